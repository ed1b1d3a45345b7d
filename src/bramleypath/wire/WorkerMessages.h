#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/cell/Protocol.h"
#include "bramleypath/wire/WireReason.h"

namespace bramleypath::wire {

// What a worker says about itself.
struct WorkerRecord {
  WorkerId worker;
  // Grows with each restart of the worker.
  std::uint64_t incarnation = 0;
  std::string address;
  RackId rack;
  std::uint32_t processorsMilli = 0;
  std::uint32_t memoryMb = 0;
  std::uint32_t accelerators = 0;
};

// POST /v1/workers/announce: what the worker is, and what runs on it.
struct WorkerAnnounce {
  WorkerRecord record;
  cell::WorkerMessage message;
};

// Measured use of one attempt, or of a service's target, on the worker.
struct UsageSample {
  cell::AttemptId attempt;
  std::uint32_t processorsMilli = 0;
  std::uint32_t memoryMb = 0;
  // 99th percentile of a service's answers in the sampled time; 0: no answers.
  std::uint32_t p99Micros = 0;
};

// POST /v1/workers/report: changes since the last message, with usage samples
// that are sampleAgeMs old.
struct WorkerReport {
  cell::WorkerMessage message;
  std::int64_t sampleAgeMs = 0;
  std::vector<UsageSample> usage;
};

std::string ToJson(const WorkerAnnounce& aAnnounce);
std::optional<WorkerAnnounce> ParseWorkerAnnounce(std::string_view aText,
                                                  WireReason& aReason);
std::string ToJson(const WorkerReport& aReport);
std::optional<WorkerReport> ParseWorkerReport(std::string_view aText,
                                              WireReason& aReason);

// POST /v1/commands of a worker, and its reply.
std::string ToJson(const cell::CommandBatch& aBatch);
std::optional<cell::CommandBatch> ParseCommandBatch(std::string_view aText,
                                                    WireReason& aReason);
std::string ToJson(const cell::WorkerMessage& aMessage);
std::optional<cell::WorkerMessage> ParseWorkerMessage(std::string_view aText,
                                                      WireReason& aReason);

}  // namespace bramleypath::wire
