#include "bench/workflow/BenchCell.h"

#include <variant>

namespace bramleypath::workflow {

Layout MakeLayout() {
  QueueSettings queue;
  queue.id = QueueId("q");
  queue.host = "h";
  queue.pathPrefix = "/q/";
  queue.service = ServiceId("s");
  queue.maxAttempts = 4;
  queue.stretchMilli = 2000;
  queue.targetMs = 1000;
  Layout layout;
  layout.version = 1;
  layout.services = {queue.service};
  layout.queues = {queue};
  return layout;
}

StageSpec MakeStage(std::uint32_t aTasks, std::int64_t aProcessorsMilli) {
  StageSpec stage;
  stage.tasks = aTasks;
  stage.demand = Resources{aProcessorsMilli, 6000, 0};
  stage.estimatedMs = 1700;
  return stage;
}

namespace {

JobSpec MakeJob(const std::string& aId, const StageSpec& aStage) {
  JobSpec spec;
  spec.id = JobId(aId);
  spec.queue = QueueId("q");
  spec.stages = {aStage};
  return spec;
}

}  // namespace

WorkerSpec MakeWorker(std::size_t aNumber) {
  WorkerSpec worker;
  worker.id = WorkerId("w" + std::to_string(aNumber));
  worker.startedUnixMs = 1;
  worker.service = ServiceId("s");
  worker.rack = RackId("r" + std::to_string(aNumber / 12));
  worker.capacity = Resources{32000, 125000, 0};
  return worker;
}

JobNumber Cell::Accept(const StageSpec& aStage) {
  const std::string id = "job" + std::to_string(this->jobs++);
  Apply(this->state, AcceptJob{MakeJob(id, aStage), 0});
  return FindJob(this->state, id)->number;
}

std::size_t CountPlaced(gsl::span<const SchedulerAction> aActions) {
  std::size_t placed = 0;
  for (const SchedulerAction& action : aActions) {
    const auto* const commit = std::get_if<Commit>(&action);
    if (!commit) {
      continue;
    }
    for (const Command& command : commit->commands) {
      const auto* const places = std::get_if<PlaceTasks>(&command);
      placed += places ? places->tasks.size() : 0;
    }
  }
  return placed;
}

}  // namespace bramleypath::workflow
