#include "bramleypath/controller/FirstStarts.h"

namespace bramleypath::controller {

namespace {

constexpr std::size_t kMaxWaitingJobs = 4096;

bool IsFirstTask(const workflow::TaskKey& aTask) {
  return aTask.occurrence == 0 && aTask.stage == 0 && aTask.index == 0;
}

bool IsFirstStart(const workflow::PlacedTask& aPlaced) {
  return aPlaced.attempt == 1 && IsFirstTask(aPlaced.task);
}

// Records the time since the job's latest step and begins the next one.
void EndStep(FirstStarts& aStarts, workflow::JobNumber aJob, TimePoint aNow,
             metrics::LatencyHistogram& aStep) {
  const auto found = aStarts.stepEndedAt.find(aJob);
  if (found != aStarts.stepEndedAt.end()) {
    aStep.Record(aNow - found->second);
    found->second = aNow;
  }
}

}  // namespace

void RecordPlaced(FirstStarts& aStarts, const workflow::State& aState,
                  gsl::span<const workflow::PlacedTask> aTasks, TimePoint aNow,
                  std::int64_t aUnixMs) {
  for (const workflow::PlacedTask& placed : aTasks) {
    const auto job = aState.jobs.find(placed.task.job);
    if (!IsFirstStart(placed) || job == aState.jobs.end() ||
        job->second.spec.repetitions > 0) {
      continue;
    }
    aStarts.untilPlaced.Record(Millis(aUnixMs - job->second.acceptedUnixMs));
    aStarts.stepEndedAt[placed.task.job] = aNow;
    if (aStarts.stepEndedAt.size() > kMaxWaitingJobs) {
      aStarts.stepEndedAt.erase(aStarts.stepEndedAt.begin());
    }
  }
}

void RecordCommitted(FirstStarts& aStarts,
                     gsl::span<const workflow::PlacedTask> aTasks, bool aOk,
                     TimePoint aNow) {
  for (const workflow::PlacedTask& placed : aTasks) {
    if (!IsFirstStart(placed)) {
      continue;
    }
    if (aOk) {
      EndStep(aStarts, placed.task.job, aNow, aStarts.untilCommitted);
    } else {
      aStarts.stepEndedAt.erase(placed.task.job);
    }
  }
}

void RecordSent(FirstStarts& aStarts, const workflow::TaskKey& aTask,
                TimePoint aNow) {
  if (IsFirstTask(aTask)) {
    EndStep(aStarts, aTask.job, aNow, aStarts.untilSent);
  }
}

void RecordAnswered(FirstStarts& aStarts, const workflow::TaskKey& aTask,
                    bool aOk, TimePoint aNow) {
  if (!IsFirstTask(aTask)) {
    return;
  }
  if (aOk) {
    EndStep(aStarts, aTask.job, aNow, aStarts.untilAnswered);
  }
  aStarts.stepEndedAt.erase(aTask.job);
}

}  // namespace bramleypath::controller
