#include <utility>

#include "bramleypath/workflow/TailPacing.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// What the fillers and the serving tasks of a worker do at the moment.
struct MixedLoad {
  placement::Composition fillers;  // processors in use
  std::vector<std::pair<TaskKey, Attempt*>> fillerAttempts;
  // Of the serving tasks: their images and newest levels.
  std::vector<placement::ClassIndex> serving;
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
                                  ClassOf(aScheduler.tails, stage.image),
                                  attempt.usedMilli / kThousandths);
      load.fillerAttempts.emplace_back(key, &attempt);
    }
    if (stage.tailTargetMs > 0) {
      load.serving.push_back(ClassOf(aScheduler.tails, stage.image));
      load.levels.push_back({attempt.level, attempt.overSince
                                                ? aNow - *attempt.overSince
                                                : Duration()});
    }
  }
  return load;
}

void LearnTails(Scheduler& aScheduler, const State& aState,
                const Worker& aWorker, const MixedLoad& aLoad) {
  constexpr std::uint32_t kAtWork = 100;
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    const StageSpec& stage = StageOf(aState, key);
    if (found != aScheduler.attempts.end() && found->second.listed &&
        stage.tailTargetMs > 0 && found->second.percent == kAtWork) {
      ObserveTail(aScheduler.tails, ClassOf(aScheduler.tails, stage.image),
                  aLoad.fillers, found->second.newestLevel);
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
        aScheduler.tails.classes.at(stage.image);
    PacedFiller filler;
    filler.percent = attempt->pace;
    for (const placement::ClassIndex serving : aLoad.serving) {
      filler.added.push_back(PredictAddedLevel(
          aScheduler.tails, serving, image,
          static_cast<double>(stage.demand.processorsMilli) / kThousandths));
    }
    fillers.push_back(std::move(filler));
  }
  return fillers;
}

// A filler that can hardly work beside its neighbours is moved: it resumes from
// its checkpoint where there is room. Moves are spaced, so that a load shift on
// many workers does not empty them at once.
void MoveIfCrawling(Scheduler& aScheduler, const StageSpec& aStage,
                    Attempt& aAttempt, TimePoint aNow) {
  constexpr std::uint32_t kCrawlPercent = 30;
  constexpr Duration kCrawlLimit = Millis(1200);
  constexpr Duration kMoveInterval = Millis(60);
  if (aAttempt.pace >= kCrawlPercent) {
    aAttempt.crawlsSince.reset();
    return;
  }
  if (!aAttempt.crawlsSince) {
    aAttempt.crawlsSince = aNow;
  }
  if (aStage.checkpoints && !aAttempt.stopReason &&
      aNow >= aScheduler.nextMoveAt &&
      kCrawlLimit < aNow - *aAttempt.crawlsSince) {
    aScheduler.nextMoveAt = aNow + kMoveInterval;
    WantStop(aAttempt, "crowded out", aNow);
  }
}

// A tail is reported over half a second, after a pace has taken effect.
constexpr Duration kPaceSettle = Millis(550);

}  // namespace

void AdjustPaces(Scheduler& aScheduler, const State& aState, Contact& aContact,
                 TimePoint aNow, SchedulerActions& aActions) {
  const auto worker = aState.workers.find(aContact.worker);
  if (worker == aState.workers.end()) {
    return;
  }
  const MixedLoad load = CollectLoad(aScheduler, aState, worker->second, aNow);
  LearnTails(aScheduler, aState, worker->second, load);
  if (aNow < aContact.paceSettledAt) {
    return;
  }
  const std::vector<std::uint32_t> percents =
      PaceFillers(ViewFillers(aScheduler, aState, load), load.levels);
  // An order that is carried out late undoes one that was confirmed.
  const bool isInDoubt = IsUnbearable(load.levels);
  for (std::size_t index = 0; index < percents.size(); ++index) {
    const auto& [key, attempt] = load.fillerAttempts[index];
    MoveIfCrawling(aScheduler, StageOf(aState, key), *attempt, aNow);
    if (attempt->pace == percents[index] && attempt->isPaceSure && !isInDoubt) {
      continue;
    }
    if (attempt->pace != percents[index]) {
      attempt->progressAt = aNow;
    }
    attempt->pace = percents[index];
    attempt->isPaceSure = false;
    aContact.paceSettledAt = aNow + kPaceSettle;
    SendPace pace;
    pace.worker = aContact.worker;
    pace.order = PaceOrder{NameOf(aState, key), attempt->number, attempt->pace,
                           aScheduler.epoch};
    aActions.push_back(
        DecisionRecord{"paced", ToText(pace.order.task),
                       "percent=" + std::to_string(attempt->pace)});
    aActions.push_back(std::move(pace));
  }
}

}  // namespace bramleypath::workflow::detail

namespace bramleypath::workflow {

void OnPaceAnswer(Scheduler& aScheduler, const State& aState,
                  const SendPace& aOrder, const OrderAnswer& aAnswer) {
  const auto key = detail::KeyOf(aState, aOrder.order.task);
  const auto found =
      key ? aScheduler.attempts.find(*key) : aScheduler.attempts.end();
  if (found == aScheduler.attempts.end() ||
      found->second.number != aOrder.order.attempt ||
      found->second.pace != aOrder.order.percent) {
    return;
  }
  found->second.isPaceSure = aAnswer.outcome == OrderOutcome::Done;
}

}  // namespace bramleypath::workflow
