#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/Scheduler.h"

// Declarations shared by the scheduler's source files.
namespace bramleypath::workflow::detail {

// The slowest rate of a worker's clock, relative to the leader's clock.
constexpr double kSlowestClock = 0.98;
// Added to the end of a lease before it counts as expired by the slowest clock.
constexpr Duration kLeaseExpiryMargin = Millis(300);

double MillisBetween(TimePoint aFrom, TimePoint aTo);
// Whether the attempt is no longer placed in the replicated state.
bool HasEnded(const State& aState, const TaskKey& aKey,
              const Attempt& aAttempt);
// If the replicated state has moved the attempt to a new incarnation of its
// worker, moves it here too and requests its stop on that incarnation.
void MoveToNewIncarnation(const State& aState, const TaskKey& aKey,
                          Attempt& aAttempt, TimePoint aNow);
// The key of a task's stage.
inline TaskKey StageKey(const TaskKey& aTask) {
  return TaskKey{aTask.job, aTask.occurrence, aTask.stage, 0};
}
TaskName NameOf(const State& aState, const TaskKey& aKey);
std::string ToText(const TaskName& aName);
// The worker's id, or its number if it has been removed.
std::string WorkerText(const State& aState, WorkerNumber aWorker);
std::optional<TaskKey> KeyOf(const State& aState, const TaskName& aName);
const StageSpec& StageOf(const State& aState, const TaskKey& aKey);

// Length of the leases that are granted: a tenth shorter than the longest that
// a worker accepts, which is about the time that the election of a leader
// takes.
Duration GrantedLease(const SchedulerSettings& aSettings);
// Lower bound of the worker's clock at aNow.
double LowestClock(const ClockSample& aSample, TimePoint aNow);
// Estimate of the worker's clock at aNow; none before the first sample.
std::optional<std::int64_t> EstimateClock(const WorkerSession& aSession,
                                          TimePoint aNow);
// Returns the end of a lease granted now, on the worker's clock, and records it
// as granted.
std::int64_t GrantLease(Scheduler& aScheduler, WorkerSession& aSession,
                        TimePoint aNow);
// Records a reading of the worker's clock; 0 means that it sent none.
void RecordClock(WorkerSession& aSession, std::int64_t aClockMs,
                 TimePoint aNow);
// Whether an answer to a request sent at aSentAt comes from another boot of the
// worker: its clock shows less than this boot's did when the request was sent.
bool IsFromOtherBoot(const WorkerSession& aSession, std::int64_t aClockMs,
                     TimePoint aSentAt);
// Records that the worker sent something.
void RecordMessage(Scheduler& aScheduler, WorkerSession& aSession,
                   TimePoint aNow);
// Whether the incarnation may have run attempts. A late announcement can
// register one that is gone; it answers nothing and runs nothing.
bool MayHaveRunAttempts(const WorkerSession& aSession);
// Whether all leases granted to the worker have expired on its clock, even at
// kSlowestClock.
bool HasLeaseExpired(const WorkerSession& aSession, TimePoint aNow);
// What HasLeaseExpired was decided on, for the event log.
std::string LeaseEvidence(const State& aState, const WorkerSession& aSession,
                          TimePoint aNow);
// Whether the worker missed a renewal or has sent nothing for some announcement
// intervals. A leader that is too late to send renewals learns the loss of a
// worker in no other way.
bool IsPresumedLost(const Scheduler& aScheduler, const WorkerSession& aSession,
                    TimePoint aNow);
bool IsReachable(const Scheduler& aScheduler, const WorkerSession& aSession,
                 TimePoint aNow);
// See Worker::isLeaving.
bool IsLeaving(const State& aState, WorkerNumber aWorker);
// Records that the attempts of a worker, which are about to end together, may
// still be started by a request that is on its way.
void RecordAbandonedStarts(Scheduler& aScheduler, const State& aState,
                           const Worker& aWorker, TimePoint aNow);

// Whether the worker's capacity may have changed unnoticed, since its latest
// announcement is too old. A capacity that has shrunk counts for a contact
// window and an announcement interval.
bool IsCapacityOutdated(const Scheduler& aScheduler,
                        const WorkerSession& aSession, TimePoint aNow);

// Schedules a stop of the attempt, unless one is scheduled already.
void RequestStop(Attempt& aAttempt, const std::string& aReason, TimePoint aNow);
// Adds the attempt's end to aEnds, unless it has been proposed already.
void ProposeEnd(const TaskKey& aKey, Attempt& aAttempt, EndKind aKind,
                const std::string& aCheckpoint, EndTasks& aEnds);
// Records an attempt that is ended although its start may still arrive.
void RecordAbandonedStart(Scheduler& aScheduler, const State& aState,
                          const TaskKey& aKey, const Attempt& aAttempt,
                          TimePoint aNow);
// Stop requests for a new incarnation of the worker. They make it refuse the
// abandoned starts that may still arrive.
std::vector<StopRequest> FencingStopsFor(const Scheduler& aScheduler,
                                         const WorkerId& aWorker,
                                         TimePoint aNow);

// Expected run time of one task of the stage in ms, from the caller's estimate
// and the run times learned.
double ExpectedRunMs(const Scheduler& aScheduler, const QueueId& aQueue,
                     const StageSpec& aStage);
std::string RunTimeKey(const QueueId& aQueue, const StageSpec& aStage);
void LearnRunTime(Scheduler& aScheduler, const State& aState,
                  const TaskKey& aKey, const Attempt& aAttempt,
                  WorkerSession& aSession, TimePoint aNow);
// ExpectedRunMs of each stage.
std::vector<double> StageRunMs(const Scheduler& aScheduler,
                               const JobSpec& aSpec);
// Length in ms of the longest chain of dependent stages; aStageMs holds the run
// time of each stage.
double LongestChainMs(const JobSpec& aSpec, gsl::span<const double> aStageMs);
double ObjectiveMs(const QueueSettings& aQueue, double aChainMs);

// Use of a worker's processors, in thousandths.
struct ProcessorUse {
  double longRunning = 0;  // demanded by long-running tasks
  double fillers = 0;      // in use by fillers
};
ProcessorUse UseOf(const Scheduler& aScheduler, const State& aState,
                   const Worker& aWorker);

// Ranks the active jobs and measures their remaining work if that is due;
// otherwise adds only the jobs accepted since.
void RankJobs(Scheduler& aScheduler, const State& aState, TimePoint aNow,
              std::int64_t aUnixMs);
// Chooses workers for waiting tasks and commits the placements.
void Dispatch(Scheduler& aScheduler, const State& aState, TimePoint aNow,
              std::int64_t aUnixMs, SchedulerActions& aActions);
// Limit on placements that are not started yet. More would wait in this process
// until their requests time out. 800 starts per second with 75 ms for a commit
// and 100 ms for an answer need 140.
constexpr std::size_t kStartWindow = 256;
// Placements that are being committed, and starts without an answer.
std::size_t CountUnstarted(const Scheduler& aScheduler);
// Queues the start of an attempt; SendQueuedStarts sends it.
void QueueStart(Scheduler& aScheduler, const State& aState, const TaskKey& aKey,
                AttemptNumber aAttempt);
// Queues a start that was not sent because the leader was late. Nothing was
// sent, so that the same attempt may start later.
void QueueDelayedStart(Scheduler& aScheduler, const State& aState,
                       const SendStart& aRequest, const Attempt& aAttempt,
                       TimePoint aNow);
// Records that a start in flight was answered or failed.
void RecordStartAnswered(Scheduler& aScheduler);
// Sends the starts that are queued. Attempts that are no longer to start end as
// never run.
void SendQueuedStarts(Scheduler& aScheduler, const State& aState,
                      TimePoint aNow, SchedulerActions& aActions);
// Avoids the worker until then, after it refused, did not answer or failed.
void AvoidWorker(WorkerSession& aSession, TimePoint aUntil, TimePoint aNow);
// Whether an attempt on the worker waits for the worker's list: the renewals
// until then are answered at once.
bool HasUnresolvedAttempt(const Scheduler& aScheduler, const Worker& aWorker,
                          TimePoint aNow);
// Sends the lease renewals that are due.
void SendLeaseRenewals(Scheduler& aScheduler, const State& aState,
                       TimePoint aNow, SchedulerActions& aActions);
// Starts the tasks that the replicated state shows as placed although this
// leader neither started them nor waits for the commit. Their commit was
// reported as failed and has been applied all the same.
void StartUnstartedPlacements(Scheduler& aScheduler, const State& aState,
                              TimePoint aNow, SchedulerActions& aActions);
// Adjusts the paces of a worker's fillers to the tails that it reports.
void AdjustPaces(Scheduler& aScheduler, const State& aState,
                 WorkerSession& aSession, TimePoint aNow,
                 SchedulerActions& aActions);
// Whether a long-running task waits for its placement.
bool HasUnplacedLongRunningTask(Scheduler& aScheduler, const State& aState);
// Records why long-running tasks are not at work.
void RecordLongRunningWaits(Scheduler& aScheduler, const State& aState,
                            TimePoint aNow, SchedulerActions& aActions);
// Sends the stops that are due and ends attempts whose lease has expired.
void WatchAttempts(Scheduler& aScheduler, const State& aState, TimePoint aNow,
                   SchedulerActions& aActions);

}  // namespace bramleypath::workflow::detail
