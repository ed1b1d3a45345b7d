#include <algorithm>
#include <cmath>

#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr double kDefaultRunMs = 1000;

}  // namespace

std::string RunTimeKey(const QueueId& aQueue, const StageSpec& aStage) {
  return aQueue.value + "/" + aStage.image;
}

double ExpectedRunMs(const Scheduler& aScheduler, const QueueId& aQueue,
                     const StageSpec& aStage) {
  const double estimated =
      aStage.estimatedMs > 0 ? aStage.estimatedMs : kDefaultRunMs;
  const auto learned = aScheduler.runTimes.find(RunTimeKey(aQueue, aStage));
  constexpr std::uint32_t kMinEnds = 4;
  if (learned == aScheduler.runTimes.end() ||
      learned->second.count < kMinEnds) {
    return estimated;
  }
  return std::sqrt(estimated * learned->second.meanMs);
}

std::vector<double> StageRunMs(const Scheduler& aScheduler,
                               const JobSpec& aSpec) {
  std::vector<double> runMs;
  runMs.reserve(aSpec.stages.size());
  for (const StageSpec& stage : aSpec.stages) {
    runMs.push_back(ExpectedRunMs(aScheduler, aSpec.queue, stage));
  }
  return runMs;
}

double LongestChainMs(const JobSpec& aSpec, gsl::span<const double> aStageMs) {
  std::vector<double> ends(aSpec.stages.size(), 0);
  double longest = 0;
  for (std::size_t stage = 0; stage < ends.size(); ++stage) {
    for (const std::uint32_t earlier : aSpec.stages[stage].after) {
      ends[stage] = std::max(ends[stage], ends[earlier]);
    }
    ends[stage] += aStageMs[stage];
    longest = std::max(longest, ends[stage]);
  }
  return longest;
}

double ObjectiveMs(const QueueSettings& aQueue, double aChainMs) {
  constexpr double kThousandths = 1000;
  return aQueue.stretchMilli / kThousandths * aChainMs + aQueue.targetMs;
}

void LearnRunTime(Scheduler& aScheduler, const State& aState,
                  const TaskKey& aKey, const Attempt& aAttempt,
                  WorkerSession& aSession, TimePoint aNow) {
  const StageSpec& stage = StageOf(aState, aKey);
  const Job& job = aState.jobs.at(aKey.job);
  const TaskState* const task = FindTask(aState, aKey);
  if (stage.longRunning || stage.filler || aAttempt.isFromEarlierEpoch ||
      !task->checkpoint.empty()) {
    return;
  }
  const double ranMs = MillisBetween(aAttempt.sentAt, aNow);
  const double expected = ExpectedRunMs(aScheduler, job.spec.queue, stage);
  constexpr double kSpeedGain = 0.15;
  if (ranMs > 0 && expected > 0) {
    constexpr double kFastest = 1.2;
    constexpr double kSlowest = 0.1;
    const double speed = std::clamp(expected / ranMs, kSlowest, kFastest);
    aSession.speed += kSpeedGain * (speed - aSession.speed);
  }
  RunTime& learned = aScheduler.runTimes[RunTimeKey(job.spec.queue, stage)];
  ++learned.count;
  constexpr double kSlowestGain = 0.1;
  const double gain = std::max(kSlowestGain, 1.0 / learned.count);
  learned.meanMs += gain * (ranMs - learned.meanMs);
}

}  // namespace bramleypath::workflow::detail
