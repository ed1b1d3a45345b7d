#include <algorithm>
#include <utility>

#include "bramleypath/workflow/internal/DrainWaits.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// A task that waits for longer than this is recorded, once in each interval.
constexpr Duration kReportedWait = Seconds(1);
constexpr Duration kReportInterval = Seconds(1);
constexpr std::size_t kMaxReports = 8;

// Adds the jobs accepted since the last call, and removes those that ended.
void UpdateLongRunningJobs(LongRunningJobs& aJobs, const State& aState) {
  for (auto it = aState.jobs.upper_bound(aJobs.lastSeen);
       it != aState.jobs.end(); ++it) {
    aJobs.lastSeen = it->first;
    if (IsLongRunning(it->second)) {
      aJobs.numbers.push_back(it->first);
    }
  }
  aJobs.numbers.erase(
      std::remove_if(aJobs.numbers.begin(), aJobs.numbers.end(),
                     [&](JobNumber aNumber) {
                       const auto job = aState.jobs.find(aNumber);
                       return job == aState.jobs.end() ||
                              job->second.phase != JobPhase::Active;
                     }),
      aJobs.numbers.end());
}

// Calls aVisit for each long-running task that has still to run and whose stage
// is open.
template <typename Visit>
void ForEachLongRunningTask(const Job& aJob, Visit aVisit) {
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
      if (!aJob.spec.stages[stage].longRunning ||
          !IsStageOpen(aJob, occurrence, stage)) {
        continue;
      }
      const std::vector<TaskState>& tasks = occurrence.stages[stage].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != TaskPhase::Done) {
          aVisit(TaskKey{aJob.number, number, stage, index}, tasks[index]);
        }
      }
    }
  }
}

bool IsAtWork(const Scheduler& aScheduler, const TaskKey& aKey,
              const TaskState& aTask) {
  const auto found = aScheduler.attempts.find(aKey);
  return aTask.phase == TaskPhase::Placed &&
         found != aScheduler.attempts.end() &&
         found->second.number == aTask.attempt &&
         (found->second.listed ||
          found->second.startStatus == Attempt::StartStatus::Accepted);
}

bool IsQueued(const std::deque<QueuedStart>& aQueue, const TaskKey& aKey) {
  return std::any_of(
      aQueue.begin(), aQueue.end(),
      [&](const QueuedStart& aStart) { return aStart.task == aKey; });
}

// Why workers can't take the task, by the first reason that applies.
struct WorkerCounts {
  std::uint32_t otherService = 0;  // or without the required label
  std::uint32_t draining = 0;
  std::uint32_t drained = 0;  // in a drained data centre
  std::uint32_t unreachable = 0;
  std::uint32_t outdated = 0;  // its capacity, see IsCapacityOutdated
  std::uint32_t avoided = 0;
  std::uint32_t full = 0;
  std::uint32_t suitable = 0;
};

std::uint32_t& CountFor(WorkerCounts& aCounts, const Scheduler& aScheduler,
                        const State& aState, const Worker& aWorker,
                        const StageSpec& aStage, const QueueSettings* aQueue,
                        TimePoint aNow) {
  const std::vector<std::string>& labels = aWorker.spec.labels;
  const bool hasLabel = aStage.requiredLabel.empty() ||
                        std::find(labels.begin(), labels.end(),
                                  aStage.requiredLabel) != labels.end();
  if (!aQueue || aWorker.spec.service != aQueue->service || !hasLabel) {
    return aCounts.otherService;
  }
  if (aWorker.spec.draining) {
    return aCounts.draining;
  }
  if (IsDrained(aState, aWorker)) {
    return aCounts.drained;
  }
  const auto session = aScheduler.sessions.find(aWorker.number);
  if (session == aScheduler.sessions.end() || !session->second.clock ||
      !IsReachable(aScheduler, session->second, aNow)) {
    return aCounts.unreachable;
  }
  if (IsCapacityOutdated(aScheduler, session->second, aNow)) {
    return aCounts.outdated;
  }
  if (aNow < session->second.barredUntil) {
    return aCounts.avoided;
  }
  Resources available = aWorker.spec.capacity - aWorker.reserved;
  const auto pending = aScheduler.pendingReservations.find(aWorker.number);
  if (pending != aScheduler.pendingReservations.end()) {
    available = available - pending->second;
  }
  return Fits(Reservation(aStage), available) ? aCounts.suitable : aCounts.full;
}

std::string DescribeWorkers(const Scheduler& aScheduler, const State& aState,
                            const TaskKey& aKey, TimePoint aNow) {
  const Job& job = aState.jobs.at(aKey.job);
  const StageSpec& stage = job.spec.stages[aKey.stage];
  const QueueSettings* const queue = FindQueue(aState, job.spec.queue);
  WorkerCounts counts;
  for (const auto& [number, worker] : aState.workers) {
    ++CountFor(counts, aScheduler, aState, worker, stage, queue, aNow);
  }
  return " suitable=" + std::to_string(counts.suitable) +
         " full=" + std::to_string(counts.full) +
         " avoided=" + std::to_string(counts.avoided) +
         " unreachable=" + std::to_string(counts.unreachable) +
         " outdated=" + std::to_string(counts.outdated) +
         " draining=" + std::to_string(counts.draining) +
         " drained=" + std::to_string(counts.drained) + DescribeDrains(aState) +
         " other_service=" + std::to_string(counts.otherService) +
         " max_per_worker=" + std::to_string(stage.maxPerWorker);
}

std::string DescribeUnplaced(const Scheduler& aScheduler, const State& aState,
                             const TaskKey& aKey, TimePoint aNow) {
  if (aScheduler.pendingPlacements.count(aKey) > 0) {
    return "placement being committed";
  }
  const std::string reason =
      aScheduler.isStartWindowFull ? "start window full" : "not placed";
  return reason + DescribeWorkers(aScheduler, aState, aKey, aNow);
}

std::string DescribePlaced(const Scheduler& aScheduler, const TaskKey& aKey,
                           const TaskState& aTask) {
  const auto found = aScheduler.attempts.find(aKey);
  if (found == aScheduler.attempts.end() ||
      found->second.number != aTask.attempt) {
    return "placement not started by this leader";
  }
  const Attempt& attempt = found->second;
  if (attempt.proposedEnd) {
    return "end being committed";
  }
  if (attempt.stopReason) {
    return "being stopped: " + *attempt.stopReason;
  }
  if (attempt.isFromEarlierEpoch) {
    return "placed by an earlier leader, worker has not answered";
  }
  if (attempt.startStatus == Attempt::StartStatus::Unknown) {
    return "start unanswered";
  }
  return IsQueued(aScheduler.queuedLongRunningStarts, aKey) ? "start queued"
                                                            : "start in flight";
}

void RecordWait(const Scheduler& aScheduler, const State& aState,
                const TaskKey& aKey, const TaskState& aTask, TimePoint aSince,
                TimePoint aNow, SchedulerActions& aActions) {
  std::string detail = "waited_ms=" + std::to_string(ToMillis(aNow - aSince)) +
                       " attempt=" + std::to_string(aTask.attempt) + " reason=";
  if (aTask.phase == TaskPhase::Placed) {
    detail += DescribePlaced(aScheduler, aKey, aTask);
    const auto session = aScheduler.sessions.find(aTask.worker);
    detail += " " + (session == aScheduler.sessions.end()
                         ? "worker=" + WorkerText(aState, aTask.worker)
                         : LeaseEvidence(aState, session->second, aNow));
  } else {
    detail += DescribeUnplaced(aScheduler, aState, aKey, aNow);
  }
  aActions.push_back(DecisionRecord{
      "long_running_waits", ToText(NameOf(aState, aKey)), std::move(detail)});
}

}  // namespace

bool HasUnplacedLongRunningTask(Scheduler& aScheduler, const State& aState) {
  UpdateLongRunningJobs(aScheduler.longRunningJobs, aState);
  bool isFound = false;
  for (const JobNumber number : aScheduler.longRunningJobs.numbers) {
    ForEachLongRunningTask(aState.jobs.at(number), [&](const TaskKey& aKey,
                                                       const TaskState& aTask) {
      isFound = isFound || (aTask.phase == TaskPhase::Waiting &&
                            aScheduler.pendingPlacements.count(aKey) == 0);
    });
  }
  return isFound;
}

void RecordLongRunningWaits(Scheduler& aScheduler, const State& aState,
                            TimePoint aNow, SchedulerActions& aActions) {
  UpdateLongRunningJobs(aScheduler.longRunningJobs, aState);
  std::unordered_map<TaskKey, TimePoint> waiting;
  std::size_t reports = 0;
  for (const JobNumber number : aScheduler.longRunningJobs.numbers) {
    ForEachLongRunningTask(aState.jobs.at(number), [&](const TaskKey& aKey,
                                                       const TaskState& aTask) {
      if (IsAtWork(aScheduler, aKey, aTask)) {
        return;
      }
      const auto known = aScheduler.longRunningJobs.waitingSince.find(aKey);
      const TimePoint since =
          known == aScheduler.longRunningJobs.waitingSince.end()
              ? aNow
              : known->second;
      waiting.emplace(aKey, since);
      if (aNow >= since + kReportedWait && reports < kMaxReports) {
        ++reports;
        RecordWait(aScheduler, aState, aKey, aTask, since, aNow, aActions);
      }
    });
  }
  aScheduler.longRunningJobs.waitingSince = std::move(waiting);
  aScheduler.longRunningJobs.nextReportAt = aNow + kReportInterval;
}

}  // namespace bramleypath::workflow::detail
