#include <algorithm>

#include "bramleypath/workflow/internal/CandidateHosts.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// Minimum share of all processors assumed to be available to fillers.
constexpr double kMinFillingShare = 0.4;

}  // namespace

double RemainingMs(const Job& aJob, const Occurrence& aOccurrence,
                   gsl::span<const double> aRunMs) {
  std::vector<double> leftMs(aRunMs.begin(), aRunMs.end());
  for (std::size_t stage = 0; stage < leftMs.size(); ++stage) {
    const StageState& state = aOccurrence.stages[stage];
    if (state.done == state.tasks.size()) {
      leftMs[stage] = 0;
    }
  }
  return LongestChainMs(aJob.spec, leftMs);
}

void AddRemainingWork(const Job& aJob, const Occurrence& aOccurrence,
                      gsl::span<const double> aRunMs, CellLoad& aLoad) {
  for (std::size_t stage = 0; stage < aOccurrence.stages.size(); ++stage) {
    const StageSpec& spec = aJob.spec.stages[stage];
    const StageState& state = aOccurrence.stages[stage];
    if (spec.longRunning) {
      aLoad.longRunningMilli +=
          (state.waiting + state.placed) *
          static_cast<double>(Reservation(spec).processorsMilli);
      continue;
    }
    // A running attempt is half done on average.
    const double tasks = state.waiting + state.placed / 2.0;
    ClassLoad& load = spec.filler ? aLoad.filling : aLoad.reserving;
    const double taskWork =
        static_cast<double>(spec.demand.processorsMilli) * aRunMs[stage];
    load.backlogWork += tasks * taskWork;
    load.placedWork += state.placed / 2.0 * taskWork;
  }
}

ProcessorUse UseOf(const Scheduler& aScheduler, const State& aState,
                   const Worker& aWorker) {
  ProcessorUse use;
  for (const TaskKey& key : aWorker.attempts) {
    const StageSpec& stage = StageOf(aState, key);
    const auto attempt = aScheduler.attempts.find(key);
    if (stage.longRunning) {
      use.longRunning += static_cast<double>(stage.demand.processorsMilli);
    } else if (stage.filler && attempt != aScheduler.attempts.end()) {
      use.fillers += attempt->second.usedMilli;
    }
  }
  return use;
}

void MeasureCapacity(const Scheduler& aScheduler, const State& aState,
                     const CandidateHosts& aHosts, CellLoad& aLoad) {
  double capacity = 0;
  aLoad.workersMilli = 0;
  double longRunning = 0;
  double filling = 0;
  for (const auto& [number, worker] : aState.workers) {
    if (IsDrained(aState, worker)) {
      // Its long-running tasks go on there and take nothing from other workers.
      aLoad.workersMilli += UseOf(aScheduler, aState, worker).longRunning;
    } else if (!worker.spec.draining) {
      aLoad.workersMilli +=
          static_cast<double>(worker.spec.capacity.processorsMilli);
    }
  }
  for (std::size_t index = 0; index < aHosts.views.size(); ++index) {
    if (aHosts.views[index].excluded || aHosts.views[index].avoided) {
      continue;
    }
    const Worker& worker = *aHosts.workers[index];
    capacity += static_cast<double>(worker.spec.capacity.processorsMilli);
    const ProcessorUse use = UseOf(aScheduler, aState, worker);
    longRunning += use.longRunning;
    filling += use.fillers;
  }
  aLoad.reserving.processorsMilli = capacity - longRunning;
  aLoad.filling.processorsMilli =
      std::max(filling, capacity * kMinFillingShare);
}

}  // namespace bramleypath::workflow::detail

namespace bramleypath::workflow {

namespace {

// Sets what depends on the jobs of the class that the new job belongs to.
void AddLoadOfClass(const Scheduler& aScheduler, AdmissionView& aView) {
  const JobRanking& ranking = aScheduler.ranking;
  const ClassLoad& load = aView.hasFillers ? aScheduler.cellLoad.filling
                                           : aScheduler.cellLoad.reserving;
  const ClassOrder& order =
      aView.hasFillers ? ranking.orders.filling : ranking.orders.reserving;
  aView.capacityMilli = load.processorsMilli;
  aView.classWork = load.backlogWork;
  aView.isShort = IsShort(order);
  aView.workRatio = WorkRatio(order, aView.jobWork);
  WaitingJob job;
  job.ageMs = aView.waitedMs;
  job.objectiveMs = aView.objectiveMs;
  job.remainingMs =
      CorrectedChainMs(aView.chainMs, aView.chainFactor, aView.objectiveMs);
  job.level = aView.level;
  job.workRatio = aView.workRatio;
  aView.backlogWork = WorkAhead(
      aView.hasFillers ? ranking.filling : ranking.reserving, StartRank(job));
}

}  // namespace

AdmissionView ViewForAdmission(const Scheduler& aScheduler,
                               const JobSpec& aSpec,
                               const QueueSettings& aQueue, TimePoint aNow) {
  AdmissionView view;
  const std::vector<double> runMs = detail::StageRunMs(aScheduler, aSpec);
  for (std::size_t number = 0; number < runMs.size(); ++number) {
    const StageSpec& stage = aSpec.stages[number];
    view.longRunning = view.longRunning || stage.longRunning;
    if (stage.longRunning) {
      view.jobLongRunningMilli +=
          stage.tasks * static_cast<double>(Reservation(stage).processorsMilli);
    }
    view.hasFillers = view.hasFillers || stage.filler;
    view.jobWork += stage.tasks *
                    static_cast<double>(stage.demand.processorsMilli) *
                    runMs[number];
  }
  view.longRunning = view.longRunning || aSpec.repetitions > 0;
  view.chainMs = detail::LongestChainMs(aSpec, runMs);
  view.chainFactor = FactorOf(aScheduler.promises, aSpec.queue);
  view.objectiveMs = detail::ObjectiveMs(aQueue, view.chainMs);
  view.waitedMs = MsSinceRefusal(aScheduler.refusals, aSpec.id, aNow);
  view.level = LevelOf(aQueue.priority);
  view.longRunningMilli = aScheduler.cellLoad.longRunningMilli;
  view.workersMilli = aScheduler.cellLoad.workersMilli;
  AddLoadOfClass(aScheduler, view);
  return view;
}

void OnAccepted(Scheduler& aScheduler, const State& aState, const JobId& aJob,
                const AdmissionView& aView, double aExpectedMs,
                TimePoint aNow) {
  const Job* const job = FindJob(aState, aJob.value);
  if (!job || aView.longRunning) {
    return;
  }
  Promise promise;
  promise.queue = job->spec.queue;
  promise.acceptedAt = aNow;
  // Nothing is expected before the capacity of the workers is known.
  const double expectedMs = std::max(aExpectedMs, aView.chainMs);
  constexpr double kMicrosPerMilli = 1000;
  promise.expectedAt =
      aNow + Micros(static_cast<std::int64_t>(expectedMs * kMicrosPerMilli));
  promise.waitedMs = aView.waitedMs;
  promise.chainMs = aView.chainMs;
  RecordPromise(aScheduler.promises, job->number, promise);
}

namespace {

bool HasEndedTask(const Job& aJob) {
  if (aJob.finished > 0) {
    return true;
  }
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (const StageState& stage : occurrence.stages) {
      const bool ended = std::any_of(
          stage.tasks.begin(), stage.tasks.end(), [](const TaskState& aTask) {
            return aTask.phase == TaskPhase::Done || aTask.failures > 0 ||
                   !aTask.checkpoint.empty();
          });
      if (ended) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

std::uint32_t CountWaitingJobs(const Scheduler& aScheduler, const State& aState,
                               const QueueId& aQueue) {
  std::uint32_t count = 0;
  for (const auto& [number, job] : aState.jobs) {
    if (job.phase != JobPhase::Active || job.spec.queue != aQueue) {
      continue;
    }
    const bool begun = job.started && (aScheduler.begunJobs.count(number) > 0 ||
                                       HasEndedTask(job));
    count += begun ? 0 : 1;
  }
  return count;
}

}  // namespace bramleypath::workflow
