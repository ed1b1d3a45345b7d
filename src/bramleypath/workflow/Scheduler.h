#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Admission.h"
#include "bramleypath/workflow/BacklogAhead.h"
#include "bramleypath/workflow/Driver.h"
#include "bramleypath/workflow/JobOrder.h"
#include "bramleypath/workflow/FillerMoves.h"
#include "bramleypath/workflow/LeaseEnds.h"
#include "bramleypath/workflow/Neighbours.h"
#include "bramleypath/workflow/Promises.h"
#include "bramleypath/workflow/Refusals.h"
#include "bramleypath/workflow/State.h"
#include "bramleypath/workflow/TailModel.h"
#include "bramleypath/workflow/Tickets.h"

namespace bramleypath::workflow {

struct SchedulerSettings {
  // Longest lease that a worker accepts.
  Duration maxLease = Seconds(10);
  // Interval of the workers' announcements.
  Duration announceInterval = Millis(1500);
  // Factor on the run time of a task in another rack than its data.
  double farFactor = 1;
  // None: fillers are moved by their pace alone.
  std::optional<MoveCosts> moveCosts;
};

// The leader's view of one attempt that may be running.
struct Attempt {
  AttemptNumber number = 0;
  WorkerNumber worker = 0;
  enum class StartStatus : std::uint8_t { Sending, Accepted, Unknown };
  // Whether the start request is queued or in flight, was accepted or has no
  // answer.
  StartStatus startStatus = StartStatus::Unknown;
  // The start request has been sent and has no answer yet.
  bool isStartInFlight = false;
  // Placed by an earlier leader. A worker that has seen this leader's epoch
  // refuses its start.
  bool isFromEarlierEpoch = false;
  bool listed = false;  // the worker has listed it as running
  // The worker has accepted its start, or has listed it as running.
  bool hasRun = false;
  // The worker had answered another request right before the start was sent.
  bool isSentAfterAnswer = false;
  TimePoint sentAt;
  TimePoint answeredAt;       // of the start
  std::uint32_t percent = 0;  // progress
  TimePoint progressAt;       // when percent last changed
  std::uint32_t pace = 100;   // percent
  // The worker has confirmed the pace, or it has not changed since the start.
  bool isPaceConfirmed = true;
  // Since when its pace has been too low for useful progress.
  std::optional<TimePoint> heavilySlowedSince;
  // Processors in use, in thousandths; not reported for serving tasks.
  std::uint32_t usedMilli = 0;
  // Smoothed and latest tail level of a serving task; see TailModel.
  double level = 0;
  double newestLevel = 0;
  std::optional<TimePoint> tailReportedAt;  // latest report
  // Since when its reports have been at or over the target.
  std::optional<TimePoint> overTargetSince;
  // Why the attempt is to be stopped; none: it may run on.
  std::optional<std::string> stopReason;
  bool stopInFlight = false;
  TimePoint nextStopAt;
  // First acknowledgement of a stop; the worker refuses the start from then on.
  std::optional<TimePoint> stopAcknowledgedAt;
  // How its end was proposed, until the commit has finished.
  std::optional<EndKind> proposedEnd;
  // A suspect's clearance is being committed, see ClearSuspects.
  bool isClearancePending = false;
};

// A reading of a worker's clock and when the leader received it.
struct ClockSample {
  std::int64_t clockMs = 0;
  TimePoint at;
};

// Order of the first renewals of an epoch, which are sent a bounded number at a
// time. Attempts that an earlier leader placed wait for them. Later renewals
// follow in the order of their times.
enum class RenewalClass : std::uint8_t { LongRunning, Busy, Other };

// Announcements of a worker that its entry contradicts, each of them later than
// the one before: they are older than the latest one received, or they say that
// it doesn't drain.
struct Contradictions {
  std::int64_t startedUnixMs = 0;
  std::uint64_t latest = 0;  // sequence
  std::uint32_t count = 0;
  TimePoint since;
};

// The leader's view of one worker incarnation.
struct WorkerSession {
  WorkerNumber worker = 0;
  std::optional<TimePoint> lastMessageAt;
  // When the worker last said what its capacity is; none until it announces
  // itself to a new leader.
  std::optional<TimePoint> announcedAt;
  // Highest sequence of the incarnation's announcements; 0: none received.
  std::uint64_t newestAnnouncement = 0;
  // The incarnation was registered under an earlier leader, whose highest
  // sequence is unknown.
  bool isInherited = false;
  Contradictions contradictions;
  // Start of the process that goes on announcing itself, if the registered
  // start is a later one that another writer claimed; see SpecToCommit.
  std::optional<std::int64_t> confirmedStartUnixMs;
  std::optional<ClockSample> clock;
  // Leases may be granted before then, since the log permits it.
  TimePoint permittedUntil;
  // Latest end of the leases granted, on the worker's clock.
  std::int64_t grantedUntilMs = 0;
  // Leases that an earlier leader may have granted have expired by then.
  TimePoint earlierLeaseEndsAt;
  // The worker has answered a lease renewal of this epoch.
  bool hasAnsweredRenewal = false;
  // The worker has executed a start of this epoch.
  bool hasExecutedStart = false;
  // Set by the first sweep over the session; Other once the leader was too late
  // to send the renewal.
  std::optional<RenewalClass> firstRenewal;
  TimePoint nextRenewalAt;
  std::uint32_t missedRenewals = 0;
  // Renewals since the last answer that this leader was too late to send.
  std::uint32_t unsentRenewals = 0;
  // Numbers of the worker's last end that is committed, and of the last one
  // that was acknowledged to the worker.
  std::uint64_t committedEnd = 0;
  std::uint64_t acknowledgedEnd = 0;
  bool isCommittingEnds = false;  // those of the worker's latest list
  // Another boot answered a start. Its ends have other numbers, so that
  // committedEnd is not sent to it.
  bool isOtherBoot = false;
  // A start was not answered, so that another boot may have executed it. Ends
  // are acknowledged again once this boot has answered a renewal.
  bool isBootUnconfirmed = false;
  // Another incarnation has answered at its address. It is removed once the
  // starts that are on their way to it are answered.
  bool isReplaced = false;
  // When a request to the worker failed for the first time since its last
  // message.
  std::optional<TimePoint> missedAt;
  bool isLost = false;  // it is in Scheduler::lostWorkers
  // When the worker last answered a request.
  std::optional<TimePoint> lastAnswerAt;
  // The worker is to answer the next renewal at once: a start waits for that,
  // see AwaitsConfirmation, or another worker has claimed its address.
  bool isConfirmationWanted = false;
  // Since when another worker claims its address. Nothing is placed on it until
  // it answers a renewal sent after that.
  std::optional<TimePoint> addressClaimedAt;
  // It has answered although its address was claimed: until then, further
  // claims keep nothing off it.
  TimePoint claimsIgnoredUntil;
  // Attempts that ran until their lease expired, since when the worker has not
  // answered.
  std::vector<TaskAttempt> expiredRuns;
  // Stops for attempts of an earlier incarnation whose starts may still arrive.
  // They are sent before any other request, so that the worker refuses the
  // starts.
  std::vector<StopRequest> fencingStops;
  // Failures since the last task that was done.
  std::uint32_t recentFailures = 0;
  // Until then the worker is given only long-running tasks that fit on no other
  // worker, and before barredUntil no task at all; see AvoidWorker.
  TimePoint avoidUntil;
  TimePoint barredUntil;
  // Smoothed ratio of expected to actual run time of its tasks.
  double speed = 1;
  // Tails reported from then on show the effect of the last pace change.
  TimePoint paceEffectiveAt;
};

// A worker that has crashed and is removed; see CrashScope.h.
struct LostWorker {
  RackId rack;
  std::string address;
  TimePoint lastMessageAt;
  TimePoint missedAt;            // it had crashed by then
  bool hadDecisiveTask = false;  // see IsNextCrashDecisive
};

// Commands to be committed as one batch.
struct Commit {
  std::vector<Command> commands;
  // Once applied, the ends of this worker up to acknowledgedEnd are committed;
  // 0: the batch has no ends of a worker's list.
  WorkerNumber acknowledgedWorker = 0;
  std::uint64_t acknowledgedEnd = 0;
};
struct SendStart {
  WorkerNumber worker = 0;
  TaskKey task;
  StartRequest request;
};
struct SendStop {
  WorkerNumber worker = 0;
  TaskKey task;  // job 0: the attempt is not in the replicated state
  StopRequest request;
};
struct SendPace {
  WorkerNumber worker = 0;
  PaceRequest request;
};
struct SendLeaseRenewal {
  WorkerNumber worker = 0;
  RenewLeaseRequest request;
};
struct RequestTickets {
  TaskKey stage;  // its index is 0
  std::vector<WorkerNumber> workers;
  TicketRequest request;
};
// A scheduling decision, written to the event log.
struct DecisionRecord {
  std::string event;
  std::string subject;  // task or worker
  std::string detail;
};

// A job with a promise has completed.
struct JobCompletion {
  JobId job;
  PromiseOutcome outcome;
};

using SchedulerAction =
    std::variant<Commit, SendStart, SendStop, SendPace, SendLeaseRenewal,
                 RequestTickets, DecisionRecord, JobCompletion>;
using SchedulerActions = std::vector<SchedulerAction>;

// Run time of one image, learned from its completed tasks.
struct RunTime {
  double meanMs = 0;
  std::uint32_t count = 0;
};

// Backlog and processors of one class of tasks: those that reserve processors,
// or fillers, which share the idle ones. Neither class waits for the other.
struct ClassLoad {
  double backlogWork = 0;      // waiting or running; thousandths times ms
  double placedWork = 0;       // of backlogWork, running
  double processorsMilli = 0;  // available to the class
};
struct CellLoad {
  ClassLoad reserving;
  ClassLoad filling;
  double longRunningMilli = 0;  // demanded by long-running tasks, placed or not
  // Of all workers that are not draining and in no drained data centre.
  double workersMilli = 0;
};

// An attempt that was ended although its start was never answered.
struct AbandonedStart {
  TaskName task;
  AttemptNumber attempt = 0;
  TimePoint expiresAt;  // the start can't arrive after that
};

// A start of a committed placement that is to be sent.
struct QueuedStart {
  TaskKey task;
  AttemptNumber attempt = 0;
};

// When a sweep over all entries of a kind runs next. A sweep runs at most once
// in an interval, however many events come in.
struct Sweep {
  TimePoint nextAt;
  // A tick came before nextAt, so that a sweep is needed at that time.
  bool postponed = false;
};

// Jobs that repeat, so that due occurrences are found without reading all jobs.
struct RecurringJobs {
  std::vector<JobNumber> numbers;
  JobNumber lastSeen = 0;  // jobs up to it have been looked at
};

// Jobs with long-running tasks, and those of their tasks that are not at work.
struct LongRunningJobs {
  std::vector<JobNumber> numbers;
  JobNumber lastSeen = 0;  // jobs up to it have been looked at
  std::unordered_map<TaskKey, TimePoint> waitingSince;
  TimePoint nextReportAt;
};

// The tasks on each worker as of the last survey, and those placed since.
struct HostSurvey {
  TimePoint nextAt;
  std::vector<WorkerNumber> numbers;   // ascending
  std::vector<Neighbours> neighbours;  // in the order of numbers
};

// An active job and its rank, see StartRank.
struct RankedJob {
  JobNumber number = 0;
  double rank = 0;
  // As of the ranking; their ranks are not set.
  OrderedWork reserving;
  OrderedWork filling;
  // Since when no task is placed although a stage could start.
  std::optional<TimePoint> heldSince;
};

// Expected times of a job, which change slowly.
struct JobEstimate {
  std::vector<double> stageRunMs;
  double objectiveMs = 0;
  double chainFactor = 1;   // see FactorOf
  double waitedMs = 0;      // see Promise
  std::uint32_t level = 0;  // see LevelOf
  TimePoint validUntil;
};

// The order of the jobs of each class of work; a job with fillers counts as
// filling.
struct ClassOrders {
  ClassOrder reserving;
  ClassOrder filling;
};

// The active jobs in the order in which their tasks start, as of the last
// ranking, and the jobs accepted since.
struct JobRanking {
  TimePoint nextAt;
  std::vector<RankedJob> jobs;
  JobNumber lastSeen = 0;  // jobs up to it have been ranked
  ClassOrders orders;      // as of the last complete ranking
  BacklogAhead reserving;  // of the jobs in this order
  BacklogAhead filling;
  ClassOrders measured;  // by the ranking under way, and jobs accepted since
  std::unordered_map<JobNumber, JobEstimate> estimates;
};

// Counts of the work done in scheduling cycles, which bounds their cost.
struct CycleWork {
  std::uint64_t passes = 0;          // placement passes
  std::uint64_t stagesExamined = 0;  // whose tasks were tried on workers
  std::uint64_t hostsRated = 0;
  std::uint64_t jobsRanked = 0;
  // Pending placements that were read to place other tasks.
  std::uint64_t pendingRead = 0;
  std::uint64_t jobSweeps = 0;      // over all jobs, for due occurrences
  std::uint64_t attemptSweeps = 0;  // over all attempts
  std::uint64_t sessionSweeps = 0;  // over sessions, for lease renewals
  std::uint64_t sessionsRead = 0;   // in these sweeps
  // Workers whose tasks were read to order the first renewals of an epoch.
  std::uint64_t workersClassified = 0;
};

// Volatile state of the leader, rebuilt from the replicated state and the
// answers of workers. The functions below are called on the leader only.
struct Scheduler {
  SchedulerSettings settings;
  Epoch epoch = 0;
  Random random;
  TimePoint leaderSince;
  std::map<WorkerNumber, WorkerSession> sessions;
  // Sessions that missed a renewal, or that an earlier leader left. Those that
  // turn out to answer are removed when limits are proposed.
  std::set<WorkerNumber> silentSessions;
  // Sessions for which a permit is to be proposed.
  std::set<WorkerNumber> permitsRequested;
  bool hasAnnouncedPermits = false;
  // At most one commit of permits and limits is pending at a time.
  bool isLeaseCommitPending = false;
  TimePoint permitsEndAt;   // of the permits being committed
  TimePoint nextPermitsAt;  // earliest time of the next commit
  TimePoint nextLimitsAt;
  // Sessions without a renewal in flight; only their renewals can be due.
  std::set<WorkerNumber> sessionsWithoutRenewal;
  std::unordered_map<TaskKey, Attempt> attempts;
  // Placements that are being committed, so ordered that those of one stage are
  // adjacent.
  std::map<TaskKey, PlacedTask> pendingPlacements;
  // Since when there has always been a pending placement.
  std::optional<TimePoint> pendingSince;
  // Oldest first. Those of long-running tasks are sent before all others.
  std::deque<QueuedStart> queuedLongRunningStarts;
  std::deque<QueuedStart> queuedStarts;
  // Suspects that found no worker without another suspect, and since when.
  std::unordered_map<TaskKey, TimePoint> suspectsWaitingSince;
  std::uint64_t lastLoggedCrash = 0;   // WorkerCrash::number
  std::deque<LostWorker> lostWorkers;  // the latest ones, oldest first
  // When a worker was last found to have crashed.
  std::optional<TimePoint> lastCrashAt;
  std::uint32_t startsInFlight = 0;
  // A pass left tasks waiting because of kStartWindow.
  bool isStartWindowFull = false;
  // Renewals in flight that the worker answers at once.
  std::uint32_t promptRenewalsInFlight = 0;
  // Earliest time of the next start, after one was delayed by the leader.
  TimePoint nextStartAt;
  std::map<WorkerNumber, Resources> pendingReservations;
  std::unordered_map<std::string, RunTime> runTimes;
  TailModel tailModel;
  TicketCache tickets;
  TimePoint nextDispatchAt;  // earliest time of the next placement pass
  // Earliest time of the next pass for long-running tasks alone.
  TimePoint nextLongRunningPassAt;
  bool dispatchWanted = false;
  TimePoint nextReconcileAt;  // see StartUnstartedPlacements
  std::map<WorkerId, std::vector<AbandonedStart>> abandonedStarts;
  // Jobs without a placed task although a stage could start, and since when.
  std::unordered_map<JobNumber, TimePoint> idleSince;
  // Earliest time to move another filler away; see AdjustPaces.
  TimePoint nextMoveAt;
  std::unordered_set<JobNumber> jobsOpeningOccurrence;  // being committed
  // Jobs of which a worker has accepted or listed a task.
  std::unordered_set<JobNumber> begunJobs;
  // As of the last ranking and survey.
  CellLoad cellLoad;
  JobRanking ranking;
  Promises promises;
  Refusals refusals;
  // Where the next pass continues in the ranking after the jobs at its top.
  std::size_t nextJobInTurn = 0;
  HostSurvey survey;
  RecurringJobs recurringJobs;
  LongRunningJobs longRunningJobs;
  Sweep occurrenceSweep;
  Sweep attemptSweep;
  Sweep renewalSweep;
  TimePoint nextDrainReportAt;  // see RecordDrainWaits
  // Starts that were committed and not sent, since their data centre was
  // drained.
  std::uint64_t startsKeptOffDrained = 0;
  CycleWork work;
  std::uint64_t measuredPasses = 0;  // of work.passes; see OnCycleMeasured
};

// Upper limit of the time between a grant and the end of the lease, by the
// leader's clock.
Duration LongestLease(const SchedulerSettings& aSettings);
// The same if nothing is known about the leader that granted it, which may run
// another version.
Duration LongestUnknownLease(const SchedulerSettings& aSettings);

// Creates the scheduler of a new leader. The status of the attempts in aState
// is unknown at first.
Scheduler MakeScheduler(const SchedulerSettings& aSettings, Epoch aEpoch,
                        const State& aState, const LeaseEnds& aLeaseEnds,
                        std::uint64_t aSeed, TimePoint aNow);

// A worker announced itself. aClockMs is its steady clock; 0 if not given.
void OnAnnounced(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::int64_t aClockMs, TimePoint aNow);
// The replicated state was changed by commands that the scheduler did not
// propose.
void OnStateChanged(Scheduler& aScheduler, const State& aState, TimePoint aNow);

// A drain was set or ended: the capacity is measured anew and tasks are placed
// at once.
void OnDrainSet(Scheduler& aScheduler);

// A worker's leave was applied: its lists are requested soon, since it may end
// at any time.
void OnLeft(Scheduler& aScheduler, WorkerNumber aWorker, TimePoint aNow);

// The commit of a batch has finished; aOk if the batch was applied.
SchedulerActions OnCommitted(Scheduler& aScheduler, const State& aState,
                             const Commit& aCommit, bool aOk, TimePoint aNow);
SchedulerActions OnStartAnswer(Scheduler& aScheduler, const State& aState,
                               const SendStart& aRequest,
                               const RequestAnswer& aAnswer, TimePoint aNow);
SchedulerActions OnStopAnswer(Scheduler& aScheduler, const State& aState,
                              const SendStop& aRequest,
                              const RequestAnswer& aAnswer, TimePoint aNow);
void OnPaceAnswer(Scheduler& aScheduler, const State& aState,
                  const SendPace& aRequest, const RequestAnswer& aAnswer);
SchedulerActions OnLeaseRenewalAnswer(Scheduler& aScheduler,
                                      const State& aState,
                                      const SendLeaseRenewal& aRequest,
                                      TimePoint aSentAt,
                                      const RenewLeaseAnswer& aAnswer,
                                      TimePoint aNow);
SchedulerActions OnTicketAnswer(Scheduler& aScheduler, const State& aState,
                                const RequestTickets& aRequest,
                                const TicketAnswer& aAnswer, TimePoint aNow);
// Must be called at least every 100 ms, and after each turn of the event loop
// in which an event was handled. aUnixMs is the replicated time of day.
SchedulerActions OnTick(Scheduler& aScheduler, const State& aState,
                        TimePoint aNow, std::int64_t aUnixMs);
// A cycle with a call of OnTick, including its actions, took aTook and ended at
// aNow. If it ran a placement pass, the next pass is put off by twice that
// time, so that passes use at most a third of the leader's time.
void OnCycleMeasured(Scheduler& aScheduler, Duration aTook, TimePoint aNow);
// When OnTick must be called next, unless an event comes first.
TimePoint NextTickAt(const Scheduler& aScheduler, TimePoint aNow);

// Summary of the whole cell for logs and metrics.
struct CellSummary {
  std::uint32_t activeJobs = 0;
  std::uint32_t waitingTasks = 0;    // of stages that may start
  std::uint32_t waitingFillers = 0;  // fillers among them
  std::uint32_t placedTasks = 0;
  std::uint32_t pendingPlacements = 0;
  // How long placements have been pending without a break.
  double pendingSeconds = 0;
  std::uint32_t placedFillers = 0;
  std::uint32_t pacedFillers = 0;  // below full pace
  double fillerPace = 0;           // mean pace of placed fillers, percent
  std::uint32_t servingTasks = 0;
  std::uint32_t servingOverTarget = 0;
  double servingLevel = 0;  // mean tail level
  std::uint32_t workers = 0;
  std::uint32_t reachableWorkers = 0;
  std::uint32_t workersAvoided = 0;
  double backlogSeconds = 0;  // processor seconds of work left
  double processors = 0;      // of reachable workers
  double reserved = 0;        // of processors, by all tasks
  // Processors demanded by long-running tasks.
  double longRunningReserved = 0;
  double fillerProcessors = 0;  // processors in use by fillers
};

CellSummary Summarise(const Scheduler& aScheduler, const State& aState,
                      TimePoint aNow);

// Summary of a queue's jobs for metrics.
struct QueueSummary {
  QueueId queue;
  std::uint32_t activeJobs = 0;
  std::uint32_t waitingJobs = 0;  // see IsWaiting
  std::int64_t oldestWaitMs = 0;  // of the oldest waiting job
};

std::vector<QueueSummary> SummariseQueues(const State& aState,
                                          std::int64_t aUnixMs);

// Input of DecideAdmission for a new job.
AdmissionView ViewForAdmission(const Scheduler& aScheduler,
                               const JobSpec& aSpec,
                               const QueueSettings& aQueue, TimePoint aNow);

// The job was accepted, and is expected to end expectedMs after aNow. Jobs that
// are long-running or repeat have no promise.
void OnAccepted(Scheduler& aScheduler, const State& aState, const JobId& aJob,
                const AdmissionView& aView, double aExpectedMs, TimePoint aNow);

// Number of the queue's active jobs of which no task is known to have run. A
// task that was placed may never have started.
std::uint32_t CountWaitingJobs(const Scheduler& aScheduler, const State& aState,
                               const QueueId& aQueue);

}  // namespace bramleypath::workflow
