#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/cell/Protocol.h"

namespace bramleypath::wire {

// A shortened announcement that only shows that the worker is alive. An entry
// host forwards it to the cell leader in place of an announcement without
// changes.
struct WorkerHeartbeat {
  WorkerId worker;
  std::uint64_t incarnation = 0;
  cell::WorkerTimestamp timestamp = 0;
  // Digest and number of the attempts that run on the worker.
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
};

// Maximum number of items in a batch; larger batches are malformed.
constexpr std::size_t kMaxHeartbeats = 4096;

// Encodes a batch as a CBOR array of [worker, incarnation, stamp, digest,
// count], which takes about 45 bytes per worker.
std::string EncodeHeartbeats(const std::vector<WorkerHeartbeat>& aBatch);
// Returns none for malformed bytes.
std::optional<std::vector<WorkerHeartbeat>> DecodeHeartbeats(
    std::string_view aBytes);

// The response to a batch lists the workers that the leader doesn't know. The
// entry host forwards their next announcement in full. Decoding returns none
// for malformed bytes.
std::string EncodeWorkerNames(const std::vector<WorkerId>& aWorkers);
std::optional<std::vector<WorkerId>> DecodeWorkerNames(std::string_view aBytes);

}  // namespace bramleypath::wire
