#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "bramleypath/workflow/State.h"

// Sample jobs, workers and queues for the tests of this folder.
namespace bramleypath::workflow {

inline StageSpec MakeStage(std::uint32_t aTasks, std::int64_t aProcessorsMilli,
                           std::uint32_t aEstimatedMs) {
  StageSpec stage;
  stage.tasks = aTasks;
  stage.demand.processorsMilli = aProcessorsMilli;
  stage.demand.memoryMb = 100;
  stage.estimatedMs = aEstimatedMs;
  return stage;
}

inline JobSpec MakeJob(const std::string& aId) {
  JobSpec spec;
  spec.id = JobId(aId);
  spec.queue = QueueId("checks");
  spec.specification = "text of " + aId;
  spec.stages = {MakeStage(2, 1000, 500)};
  return spec;
}

inline Layout MakeLayout(std::uint64_t aVersion) {
  Layout layout;
  layout.version = aVersion;
  layout.services = {ServiceId("ledger")};
  QueueSettings queue;
  queue.id = QueueId("checks");
  queue.host = "a.example";
  queue.pathPrefix = "/checks/";
  queue.service = ServiceId("ledger");
  queue.maxAttempts = 3;
  queue.stretchMilli = 2000;
  queue.targetMs = 1000;
  layout.queues = {queue};
  layout.document = "document " + std::to_string(aVersion);
  return layout;
}

inline WorkerSpec MakeWorker(const std::string& aId,
                             std::int64_t aStartedUnixMs = 1) {
  WorkerSpec worker;
  worker.id = WorkerId(aId);
  worker.startedUnixMs = aStartedUnixMs;
  worker.address = "127.0.0.1:1";
  worker.service = ServiceId("ledger");
  worker.rack = RackId("r1");
  worker.labels = {"a", "r1"};
  worker.capacity = Resources{8000, 8000, 0};
  return worker;
}

// Names a row of a table of cases and a seed in a message.
template <typename Case>
std::string Describe(const Case& aCase, std::uint64_t aSeed) {
  std::string text = aCase.name;
  text += ", seed ";
  text += std::to_string(aSeed);
  return text;
}

// One of several workers, each with an address of its own.
inline WorkerSpec MakeNumberedWorker(std::size_t aNumber) {
  WorkerSpec worker = MakeWorker("w" + std::to_string(aNumber));
  worker.address = worker.id.value + ":1";
  return worker;
}

}  // namespace bramleypath::workflow
