#include "bramleypath/workflow/internal/CandidateHosts.h"

#include <algorithm>

#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// Share of its reserved processors that a serving task uses on average.
constexpr double kServingUse = 0.5;
// A filler is placed only where the expected level of each serving task stays
// at most this high, 0.64 of its target.
constexpr double kFillerLevelLimit = -0.45;
// A filler that adds less to a level may be placed beside any serving task that
// isn't about to be over its target, since the task's own load varies far more.
constexpr double kNegligibleLevel = 0.04;
// No filler is placed beside a serving task above this level. A filler works at
// full pace until its first report, so that a sequence of new ones could keep
// the task over its target although each of them is stopped.
constexpr double kClosedLevel = -0.05;
// Share of the processors a filler demands that must be idle on its worker.
constexpr double kMinFillerShare = 0.5;
constexpr double kOtherImagePenalty = 0.8;
constexpr double kOtherJobPenalty = 0.0;
constexpr double kSameJobPenalty = 0.2;

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
    serving.image = ClassOf(aScheduler.tailModel, aStage.image);
    serving.level =
        aLevel.value_or(aScheduler.tailModel.baseLevel[serving.image]);
    aNeighbours.serving.push_back(serving);
    aNeighbours.usedProcessors += processors * kServingUse;
  } else if (aStage.filler) {
    const double used = processors * aPace / kFullPace;
    placement::AddToComposition(
        aNeighbours.fillers, ClassOf(aScheduler.tailModel, aStage.image), used);
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

// Rates a worker for a filler by what it adds to the levels of the serving
// tasks there and by the processors that it would lack. Workers where either is
// too much are excluded unless the rating is relaxed, and those with a serving
// task about to be over its target in any case.
void RateForFiller(const StageRating& aRating, const Neighbours& aNeighbours,
                   HostView& aView) {
  const double processors = aRating.processors;
  double interference = 0;
  for (const ServingTask& serving : aNeighbours.serving) {
    const double added = aRating.addedLevels[serving.image];
    interference += added;
    const bool isTooMuch =
        added > kNegligibleLevel && serving.level + added > kFillerLevelLimit;
    if (serving.level > kClosedLevel || (!aRating.relaxed && isTooMuch)) {
      aView.excluded = true;
    }
  }
  constexpr double kThousandths = 1000;
  const double left =
      static_cast<double>(aView.capacity.processorsMilli) / kThousandths -
      aNeighbours.usedProcessors;
  if (!aRating.relaxed && left < processors * kMinFillerShare) {
    aView.excluded = true;
  }
  aView.interference =
      interference + std::max(0.0, processors - left) / processors;
}

// Rates a worker for a serving task by how much the fillers there raise its
// level. Serving tasks of one image preferably share workers, which leaves
// other workers to the fillers that interfere with them. Tasks of one job have
// a small penalty, since their load rises and falls together.
void RateForServing(const TailModel& aModel, const StageRating& aRating,
                    const Neighbours& aNeighbours, HostView& aView) {
  const double level =
      PredictLevel(aModel, aRating.image, aNeighbours.fillers) -
      aModel.baseLevel[aRating.image];
  double interference = level;
  bool hasSameJob = false;
  for (const ServingTask& serving : aNeighbours.serving) {
    hasSameJob = hasSameJob || serving.job == aRating.job;
    if (serving.job != aRating.job) {
      interference += serving.image == aRating.image ? kOtherJobPenalty
                                                     : kOtherImagePenalty;
    }
  }
  aView.interference = interference + (hasSameJob ? kSameJobPenalty : 0);
}

// Raises levels to the expected ones, since reports lag behind fillers that
// were placed a moment ago.
void RaiseToExpected(const Scheduler& aScheduler, Neighbours& aNeighbours) {
  for (ServingTask& serving : aNeighbours.serving) {
    serving.level = std::max(
        serving.level,
        PredictLevel(aScheduler.tailModel, serving.image, aNeighbours.fillers));
  }
}

// Adds the tasks whose placement is being committed.
void AddPendingPlacements(Scheduler& aScheduler, const State& aState,
                          CandidateHosts& aHosts) {
  for (const auto& [key, placed] : aScheduler.pendingPlacements) {
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

StageRating MakeStageRating(Scheduler& aScheduler, JobNumber aJob,
                            const StageSpec& aStage, bool aRelaxed) {
  StageRating rating;
  rating.filler = aStage.filler;
  rating.serving = !aStage.filler && aStage.tailTargetMs > 0;
  rating.relaxed = aRelaxed;
  rating.job = aJob;
  rating.processors = ProcessorsOf(aStage);
  if (!rating.filler && !rating.serving) {
    return rating;
  }
  TailModel& model = aScheduler.tailModel;
  rating.image = ClassOf(model, aStage.image);
  for (std::size_t serving = 0;
       rating.filler && serving < model.baseLevel.size(); ++serving) {
    rating.addedLevels.push_back(
        PredictAddedLevel(model, static_cast<placement::ClassIndex>(serving),
                          rating.image, rating.processors));
  }
  return rating;
}

void RateHost(Scheduler& aScheduler, const StageRating& aRating,
              const Neighbours& aNeighbours, HostView& aView) {
  ++aScheduler.work.hostsRated;
  aView.interference = 0;
  if (aRating.filler) {
    RateForFiller(aRating, aNeighbours, aView);
  } else if (aRating.serving) {
    RateForServing(aScheduler.tailModel, aRating, aNeighbours, aView);
  }
}

CandidateHosts CollectCandidateHosts(Scheduler& aScheduler, const State& aState,
                                     TimePoint aNow) {
  CandidateHosts hosts;
  for (const auto& [number, worker] : aState.workers) {
    const auto session = aScheduler.sessions.find(number);
    if (session == aScheduler.sessions.end()) {
      continue;
    }
    HostView view;
    view.capacity = worker.spec.capacity;
    view.available = worker.spec.capacity - worker.reserved;
    const auto pending = aScheduler.pendingReservations.find(number);
    if (pending != aScheduler.pendingReservations.end()) {
      view.available = view.available - pending->second;
    }
    view.excluded = worker.spec.draining || IsDrained(aState, worker) ||
                    session->second.isReplaced ||
                    session->second.addressClaimedAt ||
                    !session->second.clock ||
                    !IsReachable(aScheduler, session->second, aNow) ||
                    IsCapacityOutdated(aScheduler, session->second, aNow) ||
                    aNow < session->second.barredUntil;
    view.avoided = aNow < session->second.avoidUntil;
    view.recentFailures = session->second.recentFailures;
    view.speed = session->second.speed;
    hosts.views.push_back(view);
    hosts.numbers.push_back(number);
    hosts.workers.push_back(&worker);
  }
  hosts.neighbours = aScheduler.survey.neighbours;
  return hosts;
}

bool IsSurveyed(const Scheduler& aScheduler, const CandidateHosts& aHosts) {
  return aScheduler.survey.numbers == aHosts.numbers;
}

void SurveyNeighbours(Scheduler& aScheduler, const State& aState,
                      CandidateHosts& aHosts) {
  HostSurvey& survey = aScheduler.survey;
  survey.numbers = aHosts.numbers;
  survey.neighbours.clear();
  survey.neighbours.reserve(aHosts.workers.size());
  for (const Worker* const worker : aHosts.workers) {
    survey.neighbours.push_back(CollectRunning(aScheduler, aState, *worker));
  }
  aHosts.neighbours = survey.neighbours;
  AddPendingPlacements(aScheduler, aState, aHosts);
  for (Neighbours& neighbours : survey.neighbours) {
    RaiseToExpected(aScheduler, neighbours);
  }
}

}  // namespace bramleypath::workflow::detail
