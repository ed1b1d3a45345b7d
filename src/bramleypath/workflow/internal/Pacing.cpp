#include <algorithm>
#include <utility>

#include "bramleypath/workflow/TailPacing.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// The current load of a worker by its fillers and serving tasks.
struct MixedLoad {
  placement::Composition fillers;  // processors in use
  std::vector<std::pair<TaskKey, Attempt*>> fillerAttempts;
  // Image and smoothed level of each serving task.
  std::vector<placement::ClassIndex> serving;
  std::vector<Attempt*> servingAttempts;
  std::vector<ServingLevel> levels;
};

MixedLoad CollectLoad(Scheduler& aScheduler, const State& aState,
                      const Worker& aWorker, TimePoint aNow) {
  constexpr double kThousandths = 1000;
  MixedLoad load;
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    const StageSpec& stage = StageOf(aState, key);
    if (found == aScheduler.attempts.end() || !found->second.listed) {
      continue;
    }
    Attempt& attempt = found->second;
    if (stage.filler) {
      placement::AddToComposition(load.fillers,
                                  ClassOf(aScheduler.tailModel, stage.image),
                                  attempt.usedMilli / kThousandths);
      load.fillerAttempts.emplace_back(key, &attempt);
    }
    if (stage.tailTargetMs > 0) {
      load.serving.push_back(ClassOf(aScheduler.tailModel, stage.image));
      load.servingAttempts.push_back(&attempt);
      load.levels.push_back({attempt.level,
                             attempt.overTargetSince
                                 ? aNow - *attempt.overTargetSince
                                 : Duration(),
                             attempt.newestLevel});
    }
  }
  return load;
}

void LearnTails(Scheduler& aScheduler, const State& aState,
                const Worker& aWorker, const MixedLoad& aLoad) {
  constexpr std::uint32_t kFullProgress = 100;
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    const StageSpec& stage = StageOf(aState, key);
    if (found != aScheduler.attempts.end() && found->second.listed &&
        stage.tailTargetMs > 0 && found->second.percent == kFullProgress) {
      ObserveTail(aScheduler.tailModel,
                  ClassOf(aScheduler.tailModel, stage.image), aLoad.fillers,
                  found->second.newestLevel);
    }
  }
}

std::vector<PacedFiller> ViewFillers(const Scheduler& aScheduler,
                                     const State& aState,
                                     const MixedLoad& aLoad) {
  constexpr double kThousandths = 1000;
  std::vector<PacedFiller> fillers;
  for (const auto& [key, attempt] : aLoad.fillerAttempts) {
    const StageSpec& stage = StageOf(aState, key);
    const placement::ClassIndex image =
        aScheduler.tailModel.classes.at(stage.image);
    PacedFiller filler;
    filler.percent = attempt->pace;
    const double processors =
        static_cast<double>(stage.demand.processorsMilli) / kThousandths;
    for (const placement::ClassIndex serving : aLoad.serving) {
      filler.added.push_back(
          PredictAddedLevel(aScheduler.tailModel, serving, image, processors));
      filler.plausible.push_back(PlausibleAddedLevel(
          aScheduler.tailModel, serving, image, processors));
    }
    fillers.push_back(std::move(filler));
  }
  return fillers;
}

// Whether all fillers stand still, so that the tails show the load of the
// serving tasks alone.
bool HaveFillersStopped(const MixedLoad& aLoad) {
  constexpr std::uint32_t kIdleMilli = 50;
  return std::all_of(aLoad.fillerAttempts.begin(), aLoad.fillerAttempts.end(),
                     [](const auto& aFiller) {
                       const Attempt& attempt = *aFiller.second;
                       return attempt.pace == 0 && attempt.isPaceConfirmed &&
                              attempt.usedMilli <= kIdleMilli;
                     });
}

// A serving task that is over its target while all fillers stand still is so by
// its own load. The time for which fillers may be the cause begins again.
void RestartExcess(MixedLoad& aLoad, TimePoint aNow) {
  for (std::size_t serving = 0; serving < aLoad.levels.size(); ++serving) {
    if (aLoad.levels[serving].level > 0 &&
        aLoad.levels[serving].newestLevel > 0) {
      aLoad.servingAttempts[serving]->overTargetSince = aNow;
      aLoad.levels[serving].overTargetFor = Duration();
    }
  }
}

// Limits on moves. The stops are spaced, so that a load shift on many workers
// does not stop all of their fillers at once.
struct MoveLimits {
  Duration slowedFor;  // before the filler is moved
  Duration interval;   // between two moves
};
constexpr MoveLimits kLimitsWithCosts = {Millis(600), Millis(15)};
constexpr MoveLimits kLimitsWithoutCosts = {Millis(1200), Millis(60)};

bool IsHeavilySlowed(const Scheduler& aScheduler, const QueueId& aQueue,
                     const StageSpec& aStage, const Attempt& aAttempt,
                     TimePoint aNow) {
  constexpr std::uint32_t kHeavilySlowedPercent = 30;
  const auto& costs = aScheduler.settings.moveCosts;
  if (!costs) {
    return aAttempt.pace < kHeavilySlowedPercent;
  }
  // An attempt without a checkpoint of its own would be moved for nothing.
  if (aNow - aAttempt.sentAt < costs->restore + costs->checkpointInterval) {
    return false;
  }
  // Progress is reported in whole percent, and run times are estimates.
  constexpr double kMostDone = 0.95;
  constexpr double kPercent = 100;
  const double done = std::min(kMostDone, aAttempt.percent / kPercent);
  SlowedFiller filler;
  filler.remainingMs = ExpectedRunMs(aScheduler, aQueue, aStage) * (1 - done);
  filler.pacePercent = aAttempt.pace;
  return IsWorthMoving(filler, *costs);
}

// Stops a filler that has been slowed too much for too long, so that it resumes
// from its checkpoint on another worker.
void MoveIfHeavilySlowed(Scheduler& aScheduler, const QueueId& aQueue,
                         const StageSpec& aStage, Attempt& aAttempt,
                         TimePoint aNow) {
  if (!IsHeavilySlowed(aScheduler, aQueue, aStage, aAttempt, aNow)) {
    aAttempt.heavilySlowedSince.reset();
    return;
  }
  if (!aAttempt.heavilySlowedSince) {
    aAttempt.heavilySlowedSince = aNow;
  }
  const MoveLimits& limits =
      aScheduler.settings.moveCosts ? kLimitsWithCosts : kLimitsWithoutCosts;
  if (aStage.checkpoints && !aAttempt.stopReason &&
      aNow >= aScheduler.nextMoveAt &&
      limits.slowedFor < aNow - *aAttempt.heavilySlowedSince) {
    aScheduler.nextMoveAt = aNow + limits.interval;
    RequestStop(aAttempt, "slowed too much", aNow);
  }
}

// A reported tail covers half a second, so that a new pace shows fully only
// after it.
constexpr Duration kPaceEffectDelay = Millis(550);

}  // namespace

void AdjustPaces(Scheduler& aScheduler, const State& aState,
                 WorkerSession& aSession, TimePoint aNow,
                 SchedulerActions& aActions) {
  const auto worker = aState.workers.find(aSession.worker);
  if (worker == aState.workers.end()) {
    return;
  }
  MixedLoad load = CollectLoad(aScheduler, aState, worker->second, aNow);
  LearnTails(aScheduler, aState, worker->second, load);
  if (aNow < aSession.paceEffectiveAt) {
    return;
  }
  if (HaveFillersStopped(load)) {
    RestartExcess(load, aNow);
  }
  const std::vector<std::uint32_t> percents =
      PaceFillers(ViewFillers(aScheduler, aState, load), load.levels);
  // An older pace request that is executed late overrides a confirmed one, so
  // paces are sent again while a tail stays over its target.
  const bool mayBeOverridden = MustStopFillers(load.levels);
  for (std::size_t index = 0; index < percents.size(); ++index) {
    const auto& [key, attempt] = load.fillerAttempts[index];
    MoveIfHeavilySlowed(aScheduler, aState.jobs.at(key.job).spec.queue,
                        StageOf(aState, key), *attempt, aNow);
    if (attempt->pace == percents[index] && attempt->isPaceConfirmed &&
        !mayBeOverridden) {
      continue;
    }
    if (attempt->pace != percents[index]) {
      attempt->progressAt = aNow;
    }
    attempt->pace = percents[index];
    attempt->isPaceConfirmed = false;
    aSession.paceEffectiveAt = aNow + kPaceEffectDelay;
    SendPace pace;
    pace.worker = aSession.worker;
    pace.request = PaceRequest{NameOf(aState, key), attempt->number,
                               attempt->pace, aScheduler.epoch};
    aActions.push_back(
        DecisionRecord{"paced", ToText(pace.request.task),
                       "percent=" + std::to_string(attempt->pace)});
    aActions.push_back(std::move(pace));
  }
}

}  // namespace bramleypath::workflow::detail

namespace bramleypath::workflow {

void OnPaceAnswer(Scheduler& aScheduler, const State& aState,
                  const SendPace& aRequest, const RequestAnswer& aAnswer) {
  const auto key = detail::KeyOf(aState, aRequest.request.task);
  const auto found =
      key ? aScheduler.attempts.find(*key) : aScheduler.attempts.end();
  if (found == aScheduler.attempts.end() ||
      found->second.number != aRequest.request.attempt ||
      found->second.pace != aRequest.request.percent) {
    return;
  }
  found->second.isPaceConfirmed = aAnswer.outcome == RequestOutcome::Done;
}

}  // namespace bramleypath::workflow
