#include "bramleypath/workflow/Scheduler.h"

#include <algorithm>
#include <utility>

#include "bramleypath/workflow/internal/DrainWaits.h"
#include "bramleypath/workflow/internal/LeaseGrants.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"
#include "bramleypath/workflow/internal/Suspects.h"

namespace bramleypath::workflow {

namespace {

// Minimum time between placement passes; a burst of events costs one pass.
constexpr Duration kDispatchInterval = Millis(8);
// Limit on the delay of a pass after a slow one, which may have been slow
// because the process was suspended.
constexpr Duration kMaxPassDelay = Millis(250);
// Without an event, a placement pass follows after this time, since leases,
// avoided workers and ranks change with time.
constexpr Duration kIdleDispatchInterval = Millis(500);
// Limits the cost of comparing all placed tasks with the leader's attempts.
constexpr Duration kReconcileInterval = Millis(500);
// Number of jobs whose state is kept, so that callers can query ended ones.
constexpr std::size_t kKeptEndedJobs = 16384;
constexpr std::size_t kMaxForgottenPerCommit = 512;
// Minimum times between sweeps. Lease renewals go first, so that they never
// wait behind other work.
constexpr Duration kOccurrenceSweepInterval = Millis(25);
constexpr Duration kAttemptSweepInterval = Millis(50);
constexpr Duration kRenewalSweepInterval = Millis(5);
constexpr Duration kMaxTickInterval = Millis(100);

// Whether the sweep is due. If so, the next one is put off by aInterval.
bool StartIfDue(Sweep& aSweep, Duration aInterval, TimePoint aNow) {
  if (aNow < aSweep.nextAt) {
    aSweep.postponed = true;
    return false;
  }
  aSweep.nextAt = aNow + aInterval;
  aSweep.postponed = false;
  return true;
}

// Adds the jobs accepted since the last call, and removes those that open no
// more occurrences.
void UpdateRecurringJobs(RecurringJobs& aJobs, const State& aState) {
  for (auto it = aState.jobs.upper_bound(aJobs.lastSeen);
       it != aState.jobs.end(); ++it) {
    aJobs.lastSeen = it->first;
    if (it->second.spec.repetitions > 0) {
      aJobs.numbers.push_back(it->first);
    }
  }
  const auto isFinished = [&](JobNumber aNumber) {
    const auto job = aState.jobs.find(aNumber);
    return job == aState.jobs.end() || job->second.phase != JobPhase::Active ||
           job->second.opened >= job->second.spec.repetitions;
  };
  aJobs.numbers.erase(
      std::remove_if(aJobs.numbers.begin(), aJobs.numbers.end(), isFinished),
      aJobs.numbers.end());
}

void OpenDueOccurrences(Scheduler& aScheduler, const State& aState,
                        std::int64_t aUnixMs, SchedulerActions& aActions) {
  ++aScheduler.work.jobSweeps;
  UpdateRecurringJobs(aScheduler.recurringJobs, aState);
  for (const JobNumber number : aScheduler.recurringJobs.numbers) {
    if (aScheduler.jobsOpeningOccurrence.count(number) > 0) {
      continue;
    }
    const Job& job = aState.jobs.at(number);
    const std::int64_t due =
        job.spec.firstRunUnixMs + job.opened * job.spec.intervalMs;
    if (aUnixMs < due) {
      continue;
    }
    aScheduler.jobsOpeningOccurrence.insert(number);
    Commit commit;
    commit.commands.emplace_back(OpenOccurrence{number, job.opened});
    aActions.push_back(std::move(commit));
  }
}

void ForgetOldJobs(const State& aState, SchedulerActions& aActions) {
  if (aState.jobs.size() < kKeptEndedJobs + kMaxForgottenPerCommit) {
    return;
  }
  ForgetJobs forget;
  for (const auto& [number, job] : aState.jobs) {
    if (forget.jobs.size() >= kMaxForgottenPerCommit) {
      break;
    }
    if (job.phase != JobPhase::Active && job.placed == 0) {
      forget.jobs.push_back(number);
    }
  }
  if (!forget.jobs.empty()) {
    Commit commit;
    commit.commands.emplace_back(std::move(forget));
    aActions.push_back(std::move(commit));
  }
}

void CountWaiting(const Job& aJob, CellSummary& aSummary) {
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
      const std::uint32_t waiting = occurrence.stages[stage].waiting;
      if (waiting > 0 && IsStageOpen(aJob, occurrence, stage)) {
        aSummary.waitingTasks += waiting;
        aSummary.waitingFillers += aJob.spec.stages[stage].filler ? waiting : 0;
      }
    }
  }
}

void CountAttempt(const StageSpec& aStage, const Attempt& aAttempt,
                  CellSummary& aSummary) {
  ++aSummary.placedTasks;
  if (aStage.filler) {
    constexpr std::uint32_t kFullPace = 100;
    ++aSummary.placedFillers;
    aSummary.pacedFillers += aAttempt.pace < kFullPace ? 1 : 0;
    aSummary.fillerPace += aAttempt.pace;
  }
  if (aStage.tailTargetMs > 0 && aAttempt.listed) {
    ++aSummary.servingTasks;
    aSummary.servingOverTarget += aAttempt.newestLevel > 0 ? 1 : 0;
    aSummary.servingLevel += aAttempt.newestLevel;
  }
}

void AddProcessors(const Scheduler& aScheduler, const State& aState,
                   TimePoint aNow, CellSummary& aSummary) {
  constexpr double kThousandths = 1000;
  for (const auto& [number, worker] : aState.workers) {
    const auto session = aScheduler.sessions.find(number);
    if (session == aScheduler.sessions.end() ||
        !detail::IsReachable(aScheduler, session->second, aNow)) {
      continue;
    }
    aSummary.processors +=
        static_cast<double>(worker.spec.capacity.processorsMilli) /
        kThousandths;
    aSummary.reserved +=
        static_cast<double>(worker.reserved.processorsMilli) / kThousandths;
    const detail::ProcessorUse use = detail::UseOf(aScheduler, aState, worker);
    aSummary.longRunningReserved += use.longRunning / kThousandths;
    aSummary.fillerProcessors += use.fillers / kThousandths;
  }
}

}  // namespace

CellSummary Summarise(const Scheduler& aScheduler, const State& aState,
                      TimePoint aNow) {
  CellSummary summary;
  for (const auto& [number, job] : aState.jobs) {
    if (job.phase == JobPhase::Active) {
      ++summary.activeJobs;
      CountWaiting(job, summary);
    }
  }
  for (const auto& [key, attempt] : aScheduler.attempts) {
    if (!detail::HasEnded(aState, key, attempt)) {
      CountAttempt(detail::StageOf(aState, key), attempt, summary);
    }
  }
  summary.fillerPace /= std::max(1U, summary.placedFillers);
  summary.servingLevel /= std::max(1U, summary.servingTasks);
  for (const auto& [number, session] : aScheduler.sessions) {
    ++summary.workers;
    summary.reachableWorkers +=
        detail::IsReachable(aScheduler, session, aNow) ? 1 : 0;
    summary.workersAvoided += aNow < session.avoidUntil ? 1 : 0;
  }
  AddProcessors(aScheduler, aState, aNow, summary);
  summary.pendingPlacements =
      static_cast<std::uint32_t>(aScheduler.pendingPlacements.size());
  if (aScheduler.pendingSince) {
    constexpr double kMillisPerSecond = 1000;
    summary.pendingSeconds =
        detail::MillisBetween(*aScheduler.pendingSince, aNow) /
        kMillisPerSecond;
  }
  constexpr double kMilliMsPerSecond = 1e6;
  summary.backlogSeconds = (aScheduler.cellLoad.reserving.backlogWork +
                            aScheduler.cellLoad.filling.backlogWork) /
                           kMilliMsPerSecond;
  return summary;
}

std::vector<QueueSummary> SummariseQueues(const State& aState,
                                          std::int64_t aUnixMs) {
  std::vector<QueueSummary> summaries;
  summaries.reserve(aState.layout.queues.size());
  for (const QueueSettings& queue : aState.layout.queues) {
    QueueSummary summary;
    summary.queue = queue.id;
    summaries.push_back(std::move(summary));
  }
  for (const auto& [number, job] : aState.jobs) {
    const auto found = std::find_if(summaries.begin(), summaries.end(),
                                    [&job = job](const QueueSummary& aSummary) {
                                      return aSummary.queue == job.spec.queue;
                                    });
    if (found == summaries.end() || job.phase != JobPhase::Active) {
      continue;
    }
    ++found->activeJobs;
    if (IsWaiting(job)) {
      ++found->waitingJobs;
      found->oldestWaitMs =
          std::max(found->oldestWaitMs, aUnixMs - job.acceptedUnixMs);
    }
  }
  return summaries;
}

void OnDrainSet(Scheduler& aScheduler) {
  aScheduler.survey.nextAt = TimePoint();
  aScheduler.dispatchWanted = true;
}

namespace {

// Removes jobs that the state has forgotten, once they are the larger part.
void PruneBegunJobs(Scheduler& aScheduler, const State& aState) {
  if (aScheduler.begunJobs.size() <= 2 * aState.jobs.size()) {
    return;
  }
  for (auto it = aScheduler.begunJobs.begin();
       it != aScheduler.begunJobs.end();) {
    it = aState.jobs.count(*it) == 0 ? aScheduler.begunJobs.erase(it)
                                     : std::next(it);
  }
}

}  // namespace

SchedulerActions OnTick(Scheduler& aScheduler, const State& aState,
                        TimePoint aNow, std::int64_t aUnixMs) {
  SchedulerActions actions;
  if (StartIfDue(aScheduler.renewalSweep, kRenewalSweepInterval, aNow)) {
    detail::SendLeaseRenewals(aScheduler, aState, aNow, actions);
  }
  detail::CommitLeaseChanges(aScheduler, aState, aNow, actions);
  // A start can wait, a lease expires.
  detail::SendQueuedStarts(aScheduler, aState, aNow, actions);
  if (aNow >= aScheduler.nextReconcileAt) {
    aScheduler.nextReconcileAt = aNow + kReconcileInterval;
    detail::StartUnstartedPlacements(aScheduler, aState, aNow, actions);
  }
  if (StartIfDue(aScheduler.attemptSweep, kAttemptSweepInterval, aNow)) {
    detail::WatchAttempts(aScheduler, aState, aNow, actions);
    detail::ClearSuspects(aScheduler, aState, actions);
    detail::LogCrashes(aScheduler, aState, actions);
  }
  if (StartIfDue(aScheduler.occurrenceSweep, kOccurrenceSweepInterval, aNow)) {
    OpenDueOccurrences(aScheduler, aState, aUnixMs, actions);
  }
  const TimePoint due = aScheduler.dispatchWanted
                            ? aScheduler.nextDispatchAt
                            : aScheduler.nextDispatchAt + kIdleDispatchInterval;
  if (aNow >= due) {
    aScheduler.dispatchWanted = false;
    aScheduler.nextDispatchAt = aNow + kDispatchInterval;
    detail::Dispatch(aScheduler, aState, aNow, aUnixMs, actions);
    ForgetOldJobs(aState, actions);
    PruneBegunJobs(aScheduler, aState);
  }
  if (aNow >= aScheduler.longRunningJobs.nextReportAt) {
    detail::RecordLongRunningWaits(aScheduler, aState, aNow, actions);
  }
  detail::RecordDrainWaits(aScheduler, aState, aNow, actions);
  return actions;
}

void OnCycleMeasured(Scheduler& aScheduler, Duration aTook, TimePoint aNow) {
  if (aScheduler.measuredPasses == aScheduler.work.passes) {
    return;
  }
  aScheduler.measuredPasses = aScheduler.work.passes;
  constexpr std::int64_t kDelayPerPass = 2;
  const Duration delay = std::min(aTook * kDelayPerPass, kMaxPassDelay);
  aScheduler.nextDispatchAt = std::max(aScheduler.nextDispatchAt, aNow + delay);
}

TimePoint NextTickAt(const Scheduler& aScheduler, TimePoint aNow) {
  TimePoint next = aNow + kMaxTickInterval;
  if (aScheduler.dispatchWanted) {
    next = std::min(next, aScheduler.nextDispatchAt);
  }
  for (const Sweep* const sweep :
       {&aScheduler.renewalSweep, &aScheduler.attemptSweep,
        &aScheduler.occurrenceSweep}) {
    if (sweep->postponed) {
      next = std::min(next, sweep->nextAt);
    }
  }
  return next;
}

}  // namespace bramleypath::workflow
