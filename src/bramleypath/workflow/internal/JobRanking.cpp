#include <algorithm>
#include <iterator>
#include <utility>

#include "bramleypath/workflow/JobOrder.h"
#include "bramleypath/workflow/internal/CandidateHosts.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr Duration kRankingInterval = Millis(50);
// Run times are learned slowly.
constexpr Duration kEstimateLifetime = Millis(500);
// Estimates of ended jobs are removed once there are this many times as many
// estimates as active jobs.
constexpr std::size_t kMaxEstimatesPerJob = 2;

bool RanksBefore(const RankedJob& aLeft, const RankedJob& aRight) {
  return aLeft.rank != aRight.rank ? aLeft.rank < aRight.rank
                                   : aLeft.number < aRight.number;
}

bool HasWaitingTask(const Job& aJob) {
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
      if (occurrence.stages[stage].waiting > 0 &&
          IsStageOpen(aJob, occurrence, stage)) {
        return true;
      }
    }
  }
  return false;
}

void RecordIdle(Scheduler& aScheduler, const Job& aJob, TimePoint aNow) {
  if (!HasWaitingTask(aJob)) {
    return;
  }
  if (aJob.placed > 0) {
    aScheduler.idleSince.erase(aJob.number);
  } else {
    aScheduler.idleSince.emplace(aJob.number, aNow);
  }
}

const JobEstimate& EstimateOf(Scheduler& aScheduler, const State& aState,
                              const Job& aJob, TimePoint aNow) {
  JobEstimate& estimate = aScheduler.ranking.estimates[aJob.number];
  if (!estimate.stageRunMs.empty() && aNow < estimate.validUntil) {
    return estimate;
  }
  const QueueSettings* const queue = FindQueue(aState, aJob.spec.queue);
  estimate.stageRunMs = StageRunMs(aScheduler, aJob.spec);
  const double chainMs = LongestChainMs(aJob.spec, estimate.stageRunMs);
  estimate.objectiveMs = queue ? ObjectiveMs(*queue, chainMs) : chainMs;
  estimate.chainFactor = FactorOf(aScheduler.promises, aJob.spec.queue);
  const auto promise = aScheduler.promises.open.find(aJob.number);
  estimate.waitedMs =
      promise == aScheduler.promises.open.end() ? 0 : promise->second.waitedMs;
  estimate.level = queue ? LevelOf(queue->priority) : 0;
  estimate.validUntil = aNow + kEstimateLifetime;
  return estimate;
}

OrderedWork WorkSince(const ClassLoad& aBefore, const ClassLoad& aLoad) {
  OrderedWork work;
  work.placed = aLoad.placedWork - aBefore.placedWork;
  work.waiting = aLoad.backlogWork - aBefore.backlogWork - work.placed;
  return work;
}

double SumOf(const OrderedWork& aWork) { return aWork.waiting + aWork.placed; }

// Unlike Scheduler::idleSince, this begins anew with each stage. Otherwise a
// job between two stages would count as held since its acceptance.
bool UpdateHeld(const Job& aJob, TimePoint aNow, RankedJob& aRanked) {
  if (aJob.placed > 0 || !HasWaitingTask(aJob)) {
    aRanked.heldSince.reset();
    return false;
  }
  aRanked.heldSince = aRanked.heldSince.value_or(aNow);
  return kHeldTime < aNow - *aRanked.heldSince;
}

// Sets the job's work ratio and adds the job to the measure of its class.
void OrderInClass(JobRanking& aRanking, const RankedJob& aRanked, bool aIsHeld,
                  WaitingJob& aJob) {
  const double work = SumOf(aRanked.reserving) + SumOf(aRanked.filling);
  const bool hasFillers = SumOf(aRanked.filling) > 0;
  aJob.workRatio = WorkRatio(
      hasFillers ? aRanking.orders.filling : aRanking.orders.reserving, work);
  ClassOrder& measured =
      hasFillers ? aRanking.measured.filling : aRanking.measured.reserving;
  ++measured.jobs;
  measured.held += aIsHeld ? 1 : 0;
  measured.late += OutlookOf(aJob) == Outlook::InTime ? 0 : 1;
  measured.work += work;
}

// Sets the job's rank and its remaining work, and adds that to the load of the
// cell.
void Rank(Scheduler& aScheduler, const State& aState, const Job& aJob,
          TimePoint aNow, std::int64_t aUnixMs, RankedJob& aRanked) {
  ++aScheduler.work.jobsRanked;
  RecordIdle(aScheduler, aJob, aNow);
  const JobEstimate& estimate = EstimateOf(aScheduler, aState, aJob, aNow);
  const CellLoad before = aScheduler.cellLoad;
  WaitingJob waiting;
  waiting.longRunning = IsLongRunning(aJob);
  waiting.level = estimate.level;
  waiting.ageMs =
      estimate.waitedMs + static_cast<double>(aUnixMs - aJob.acceptedUnixMs);
  waiting.objectiveMs = estimate.objectiveMs;
  for (const auto& [number, occurrence] : aJob.occurrences) {
    waiting.remainingMs =
        std::max(waiting.remainingMs,
                 RemainingMs(aJob, occurrence, estimate.stageRunMs));
    AddRemainingWork(aJob, occurrence, estimate.stageRunMs,
                     aScheduler.cellLoad);
  }
  waiting.remainingMs = CorrectedChainMs(
      waiting.remainingMs, estimate.chainFactor, estimate.objectiveMs);
  aRanked.reserving =
      WorkSince(before.reserving, aScheduler.cellLoad.reserving);
  aRanked.filling = WorkSince(before.filling, aScheduler.cellLoad.filling);
  if (!waiting.longRunning) {
    const bool isHeld = UpdateHeld(aJob, aNow, aRanked);
    OrderInClass(aScheduler.ranking, aRanked, isHeld, waiting);
  }
  aRanked.rank = StartRank(waiting);
}

// Appends the jobs accepted since the last call; their ranks are not set.
void AppendNewJobs(JobRanking& aRanking, const State& aState) {
  for (auto it = aState.jobs.upper_bound(aRanking.lastSeen);
       it != aState.jobs.end(); ++it) {
    aRanking.lastSeen = it->first;
    aRanking.jobs.push_back(RankedJob{it->first, 0, {}, {}, {}});
  }
}

bool IsActive(const State& aState, JobNumber aNumber) {
  const auto job = aState.jobs.find(aNumber);
  return job != aState.jobs.end() && job->second.phase == JobPhase::Active;
}

void ForgetEndedJobs(Scheduler& aScheduler, const State& aState) {
  JobRanking& ranking = aScheduler.ranking;
  ranking.jobs.erase(std::remove_if(ranking.jobs.begin(), ranking.jobs.end(),
                                    [&](const RankedJob& aJob) {
                                      return !IsActive(aState, aJob.number);
                                    }),
                     ranking.jobs.end());
  PrunePromises(aScheduler.promises, aState, ranking.jobs.size());
  if (ranking.estimates.size() <= kMaxEstimatesPerJob * ranking.jobs.size()) {
    return;
  }
  for (auto it = ranking.estimates.begin(); it != ranking.estimates.end();) {
    it = IsActive(aState, it->first) ? std::next(it)
                                     : ranking.estimates.erase(it);
  }
  for (auto it = aScheduler.idleSince.begin();
       it != aScheduler.idleSince.end();) {
    it = IsActive(aState, it->first) ? std::next(it)
                                     : aScheduler.idleSince.erase(it);
  }
}

void ResetRemainingWork(CellLoad& aLoad) {
  aLoad.reserving.backlogWork = 0;
  aLoad.filling.backlogWork = 0;
  aLoad.reserving.placedWork = 0;
  aLoad.filling.placedWork = 0;
  aLoad.longRunningMilli = 0;
}

BacklogAhead SumClass(const std::vector<RankedJob>& aJobs,
                      OrderedWork RankedJob::*aClass) {
  std::vector<OrderedWork> works;
  works.reserve(aJobs.size());
  for (const RankedJob& job : aJobs) {
    works.push_back(job.*aClass);
    works.back().rank = job.rank;
  }
  return SumBacklog(works);
}

}  // namespace

void RankJobs(Scheduler& aScheduler, const State& aState, TimePoint aNow,
              std::int64_t aUnixMs) {
  JobRanking& ranking = aScheduler.ranking;
  const auto ranked = static_cast<std::ptrdiff_t>(ranking.jobs.size());
  AppendNewJobs(ranking, aState);
  auto first = ranking.jobs.begin() + ranked;
  const bool isComplete = aNow >= ranking.nextAt;
  if (isComplete) {
    ranking.nextAt = aNow + kRankingInterval;
    ForgetEndedJobs(aScheduler, aState);
    ResetRemainingWork(aScheduler.cellLoad);
    ranking.orders = std::exchange(ranking.measured, ClassOrders());
    first = ranking.jobs.begin();
  }
  for (auto it = first; it != ranking.jobs.end(); ++it) {
    const auto job = aState.jobs.find(it->number);
    if (job->second.phase == JobPhase::Active) {
      Rank(aScheduler, aState, job->second, aNow, aUnixMs, *it);
    }
  }
  std::sort(first, ranking.jobs.end(), RanksBefore);
  const bool hasChanged = first != ranking.jobs.end() || isComplete;
  std::inplace_merge(ranking.jobs.begin(), first, ranking.jobs.end(),
                     RanksBefore);
  if (hasChanged) {
    ranking.reserving = SumClass(ranking.jobs, &RankedJob::reserving);
    ranking.filling = SumClass(ranking.jobs, &RankedJob::filling);
  }
}

}  // namespace bramleypath::workflow::detail
