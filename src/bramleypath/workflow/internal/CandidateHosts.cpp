#include "bramleypath/workflow/internal/CandidateHosts.h"

#include <algorithm>

#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// Share of its reservation that a serving task uses on average.
constexpr double kServingUse = 0.5;
// A filler goes only where the expected level of each serving task stays below.
constexpr double kFillerLevelLimit = -0.28;
// Of the processors that it could use, a filler must find this share.
constexpr double kLeastFillerShare = 0.5;
constexpr double kOtherImageHarm = 0.8;
constexpr double kOtherJobHarm = 0.0;
constexpr double kSameJobHarm = 0.2;

}  // namespace

double ProcessorsOf(const StageSpec& aStage) {
  constexpr double kThousandths = 1000;
  return static_cast<double>(aStage.demand.processorsMilli) / kThousandths;
}

void AddNeighbour(Scheduler& aScheduler, JobNumber aJob,
                  const StageSpec& aStage, Neighbours& aNeighbours,
                  std::uint32_t aPace, std::optional<double> aLevel) {
  constexpr double kFullPace = 100;
  const double processors = ProcessorsOf(aStage);
  if (aStage.tailTargetMs > 0) {
    ServingTask serving;
    serving.job = aJob;
    serving.image = ClassOf(aScheduler.tails, aStage.image);
    serving.level = aLevel.value_or(aScheduler.tails.baseLevel[serving.image]);
    aNeighbours.serving.push_back(serving);
    aNeighbours.usedProcessors += processors * kServingUse;
  } else if (aStage.filler) {
    const double used = processors * aPace / kFullPace;
    placement::AddToComposition(aNeighbours.fillers,
                                ClassOf(aScheduler.tails, aStage.image), used);
    aNeighbours.usedProcessors += used;
  } else {
    aNeighbours.usedProcessors += processors;
  }
}

namespace {

Neighbours CollectRunning(Scheduler& aScheduler, const State& aState,
                          const Worker& aWorker) {
  Neighbours neighbours;
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    std::uint32_t pace = 100;
    std::optional<double> level;
    if (found != aScheduler.attempts.end()) {
      pace = found->second.pace;
      if (found->second.listed) {
        level = found->second.level;
      }
    }
    AddNeighbour(aScheduler, key.job, StageOf(aState, key), neighbours, pace,
                 level);
  }
  return neighbours;
}

// A filler disturbs the serving tasks there, and is slow where little is left.
// With aRelaxed it may go where that is too much, and is slowed there.
void RateForFiller(Scheduler& aScheduler, const StageSpec& aStage,
                   const Neighbours& aNeighbours, bool aRelaxed,
                   HostView& aView) {
  const placement::ClassIndex image = ClassOf(aScheduler.tails, aStage.image);
  const double processors = ProcessorsOf(aStage);
  double harm = 0;
  for (const ServingTask& serving : aNeighbours.serving) {
    const double added =
        PredictAddedLevel(aScheduler.tails, serving.image, image, processors);
    harm += added;
    if (!aRelaxed && serving.level + added > kFillerLevelLimit) {
      aView.excluded = true;
    }
  }
  constexpr double kThousandths = 1000;
  const double left =
      static_cast<double>(aView.capacity.processorsMilli) / kThousandths -
      aNeighbours.usedProcessors;
  if (!aRelaxed && left < processors * kLeastFillerShare) {
    aView.excluded = true;
  }
  aView.harm = harm + std::max(0.0, processors - left) / processors;
}

// A serving task is disturbed by the fillers there. Tasks of one image share
// workers, which leaves others to the fillers that they can't bear. Tasks of
// one job avoid each other a little, since their load rises and falls together.
void RateForServing(Scheduler& aScheduler, JobNumber aJob,
                    const StageSpec& aStage, const Neighbours& aNeighbours,
                    HostView& aView) {
  const placement::ClassIndex image = ClassOf(aScheduler.tails, aStage.image);
  const double level =
      PredictLevel(aScheduler.tails, image, aNeighbours.fillers) -
      aScheduler.tails.baseLevel[image];
  double harm = level;
  bool hasSameJob = false;
  for (const ServingTask& serving : aNeighbours.serving) {
    hasSameJob = hasSameJob || serving.job == aJob;
    if (serving.job != aJob) {
      harm += serving.image == image ? kOtherJobHarm : kOtherImageHarm;
    }
  }
  aView.harm = harm + (hasSameJob ? kSameJobHarm : 0);
}

// A reported level lags behind fillers that have just come.
void RaiseToExpected(const Scheduler& aScheduler, Neighbours& aNeighbours) {
  for (ServingTask& serving : aNeighbours.serving) {
    serving.level = std::max(
        serving.level,
        PredictLevel(aScheduler.tails, serving.image, aNeighbours.fillers));
  }
}

// Tasks whose placement is being committed.
void AddPlacing(Scheduler& aScheduler, const State& aState, Hosts& aHosts) {
  for (const auto& [key, placed] : aScheduler.placing) {
    const auto job = aState.jobs.find(key.job);
    const auto number = std::lower_bound(aHosts.numbers.begin(),
                                         aHosts.numbers.end(), placed.worker);
    if (number == aHosts.numbers.end() || *number != placed.worker ||
        job == aState.jobs.end() ||
        key.stage >= job->second.spec.stages.size()) {
      continue;
    }
    constexpr std::uint32_t kFullPace = 100;
    const auto index = number - aHosts.numbers.begin();
    AddNeighbour(aScheduler, key.job, job->second.spec.stages[key.stage],
                 aHosts.neighbours[static_cast<std::size_t>(index)], kFullPace,
                 std::nullopt);
  }
}

}  // namespace

void RateHost(Scheduler& aScheduler, JobNumber aJob, const StageSpec& aStage,
              const Neighbours& aNeighbours, bool aRelaxed, HostView& aView) {
  aView.harm = 0;
  if (aStage.filler) {
    RateForFiller(aScheduler, aStage, aNeighbours, aRelaxed, aView);
  } else if (aStage.tailTargetMs > 0) {
    RateForServing(aScheduler, aJob, aStage, aNeighbours, aView);
  }
}

Hosts CollectHosts(Scheduler& aScheduler, const State& aState, TimePoint aNow) {
  Hosts hosts;
  for (const auto& [number, worker] : aState.workers) {
    const auto contact = aScheduler.contacts.find(number);
    if (contact == aScheduler.contacts.end()) {
      continue;
    }
    HostView view;
    view.capacity = worker.spec.capacity;
    view.room = worker.spec.capacity - worker.reserved;
    const auto placing = aScheduler.placingRoom.find(number);
    if (placing != aScheduler.placingRoom.end()) {
      view.room = view.room - placing->second;
    }
    view.excluded = worker.spec.draining || !contact->second.clock ||
                    !IsInContact(aScheduler, contact->second, aNow) ||
                    aNow < contact->second.avoidUntil;
    view.recentFailures = contact->second.recentFailures;
    view.speed = contact->second.speed;
    hosts.views.push_back(view);
    hosts.neighbours.push_back(CollectRunning(aScheduler, aState, worker));
    hosts.numbers.push_back(number);
    hosts.workers.push_back(&worker);
  }
  AddPlacing(aScheduler, aState, hosts);
  for (Neighbours& neighbours : hosts.neighbours) {
    RaiseToExpected(aScheduler, neighbours);
  }
  return hosts;
}

}  // namespace bramleypath::workflow::detail
