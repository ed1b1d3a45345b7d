#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/cell/Protocol.h"

namespace bramleypath::wire {

// An announcement that says nothing new but that the worker lives: what an
// entry host passes on to the cell leader in place of the whole announcement.
struct WorkerHeartbeat {
  WorkerId worker;
  std::uint64_t incarnation = 0;
  cell::WorkerTimestamp timestamp = 0;
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
};

// Larger batches are refused.
constexpr std::size_t kMaxHeartbeats = 4096;

// CBOR: an array of [worker, incarnation, stamp, digest, count], which takes
// about 45 bytes a worker.
std::string EncodeHeartbeats(const std::vector<WorkerHeartbeat>& aBatch);
std::optional<std::vector<WorkerHeartbeat>> DecodeHeartbeats(
    std::string_view aBytes);

// The answer: workers that the leader does not know, so that their next
// announcement must be passed on whole.
std::string EncodeWorkerNames(const std::vector<WorkerId>& aWorkers);
std::optional<std::vector<WorkerId>> DecodeWorkerNames(std::string_view aBytes);

}  // namespace bramleypath::wire
