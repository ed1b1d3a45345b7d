#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/cell/Protocol.h"
#include "bramleypath/wire/WireReason.h"

namespace bramleypath::wire {

// Identity, address and capacity of a worker, as it announces them.
struct WorkerRecord {
  WorkerId worker;
  // Increases with each restart of the worker.
  std::uint64_t incarnation = 0;
  std::string address;
  RackId rack;
  std::uint32_t processorsMilli = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;
};

// Body of POST /v1/workers/announce: the worker and the attempts that run on
// it.
struct WorkerAnnounce {
  WorkerRecord record;
  cell::WorkerMessage message;
};

// Measured resource use of one attempt, or of a service's target, on the
// worker.
struct UsageSample {
  cell::AttemptId attempt;
  std::uint32_t processorsMilli = 0;
  std::uint32_t memoryMb = 0;
  // 99th percentile of a service's response times in the sampled period; 0
  // without responses.
  std::uint32_t p99Micros = 0;
};

// Body of POST /v1/workers/report: the changes since the last message, and
// usage samples that were taken sampleAgeMs before sending.
struct WorkerReport {
  cell::WorkerMessage message;
  std::int64_t sampleAgeMs = 0;
  std::vector<UsageSample> usage;
};

// The parsers below return none and set aReason when the body is invalid.

std::string ToJson(const WorkerAnnounce& aAnnounce);
std::optional<WorkerAnnounce> ParseWorkerAnnounce(std::string_view aText,
                                                  WireReason& aReason);
std::string ToJson(const WorkerReport& aReport);
std::optional<WorkerReport> ParseWorkerReport(std::string_view aText,
                                              WireReason& aReason);

// Body of POST /v1/commands to a worker, and of the response.
std::string ToJson(const cell::CommandBatch& aBatch);
std::optional<cell::CommandBatch> ParseCommandBatch(std::string_view aText,
                                                    WireReason& aReason);
std::string ToJson(const cell::WorkerMessage& aMessage);
std::optional<cell::WorkerMessage> ParseWorkerMessage(std::string_view aText,
                                                      WireReason& aReason);

}  // namespace bramleypath::wire
