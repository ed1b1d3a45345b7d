#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Admission.h"
#include "bramleypath/workflow/Driver.h"
#include "bramleypath/workflow/State.h"
#include "bramleypath/workflow/TailModel.h"
#include "bramleypath/workflow/Tickets.h"

namespace bramleypath::workflow {

struct SchedulerSettings {
  // Longest lease that a worker grants.
  Duration maxLease = Seconds(10);
  // Workers announce themselves this often.
  Duration announceInterval = Millis(1500);
  // Run time in another rack than that of the data, as a factor.
  double farFactor = 1;
};

// The leader's view of one attempt that may be running.
struct Attempt {
  AttemptNumber number = 0;
  WorkerNumber worker = 0;
  enum class Delivery : std::uint8_t { Sending, Accepted, Unknown };
  Delivery delivery = Delivery::Unknown;
  // Placed by an earlier leader: its start is refused by a worker that has
  // seen this leader's epoch.
  bool earlierEpoch = false;
  bool listed = false;  // the worker has listed it as running
  TimePoint sentAt;
  // The start's answer came.
  TimePoint answeredAt;
  std::uint32_t percent = 0;
  TimePoint progressAt;  // when percent last changed
  std::uint32_t pace = 100;
  // The worker has confirmed it, or it is that of the start.
  bool isPaceSure = true;
  // Since when it has been slowed to a crawl.
  std::optional<TimePoint> crawlsSince;
  // Processors in use, thousandths, of a task without users.
  std::uint32_t usedMilli = 0;
  // Smoothed level of its tail, of a task with users.
  double level = 0;
  double newestLevel = 0;
  std::optional<TimePoint> reportedAt;  // its newest tail
  // Since when its reports may have been over the target.
  std::optional<TimePoint> overSince;
  // Why the attempt is to be stopped; none: it is not.
  std::optional<std::string> stopReason;
  bool stopInFlight = false;
  TimePoint stopAt;  // next stop command
  // A stop was acknowledged: the worker will not start it any more.
  std::optional<TimePoint> stoppedAt;
  bool endProposed = false;
};

// What a worker's clock showed at a point of ours.
struct ClockSample {
  std::int64_t clockMs = 0;
  TimePoint at;
};

// The leader's view of one worker incarnation.
struct Contact {
  WorkerNumber worker = 0;
  std::optional<TimePoint> heardAt;
  std::optional<ClockSample> clock;
  // End of the longest lease given, on the worker's clock.
  std::int64_t grantedUntilMs = 0;
  // What an earlier leader may have granted has surely run out by then.
  TimePoint earlierLeaseOver;
  // It has answered a hold of this epoch.
  bool synced = false;
  bool holdInFlight = false;
  TimePoint holdAt;  // next hold
  std::uint32_t missedHolds = 0;
  std::uint64_t lastSeen = 0;      // committed
  std::uint64_t acknowledged = 0;  // sent as lastSeen and answered
  bool seenProposed = false;  // ends of the newest list are being committed
  // Attempts given up on an earlier incarnation of the same id whose starts may
  // still arrive; they are fenced off here before anything else.
  std::vector<StopOrder> lateStarts;
  // Trust.
  std::uint32_t recentFailures = 0;
  TimePoint avoidUntil;
  double speed = 1;
  // The effect of the last pace is seen in the tails from then on.
  TimePoint paceSettledAt;
};

struct Commit {
  std::vector<Command> commands;
  // The worker's list of ends up to this number is committed with it; worker 0:
  // none.
  WorkerNumber acknowledgedWorker = 0;
  std::uint64_t acknowledgedEnd = 0;
};
struct SendStart {
  WorkerNumber worker = 0;
  TaskKey task;
  StartOrder order;
};
struct SendStop {
  WorkerNumber worker = 0;
  TaskKey task;  // job 0: an attempt that the state doesn't know
  StopOrder order;
};
struct SendPace {
  WorkerNumber worker = 0;
  PaceOrder order;
};
struct SendHold {
  WorkerNumber worker = 0;
  HoldOrder order;
};
struct RequestTickets {
  TaskKey stage;  // index 0
  std::vector<WorkerNumber> workers;
  TicketRequest request;
};
// A decision for the log of the process.
struct DecisionRecord {
  std::string event;
  std::string subject;  // task or worker
  std::string detail;
};

using SchedulerAction = std::variant<Commit, SendStart, SendStop, SendPace,
                                     SendHold, RequestTickets, DecisionRecord>;
using SchedulerActions = std::vector<SchedulerAction>;

// Work in milliseconds of one image, learned from its ends.
struct RunTime {
  double meanMs = 0;
  std::uint32_t count = 0;
};

// Tasks that draw on the same processors: those that reserve them, or fillers,
// which share what is left. Neither waits for the other.
struct Lane {
  double backlogWork = 0;      // waits or runs; thousandths times ms
  double processorsMilli = 0;  // that work it off
};
struct Lanes {
  Lane reserving;
  Lane filling;
  double lastingMilli = 0;  // reserved by lasting tasks, placed or not
  double workersMilli = 0;  // of all workers that stay
};

// An attempt whose start was never answered and that was given up.
struct GivenUpStart {
  TaskName task;
  AttemptNumber attempt = 0;
  TimePoint forgetAt;  // it can't be carried out after that
};

// Volatile state of the leader; rebuilt from the replicated state and from
// what workers answer. All functions below are for the leader only.
struct Scheduler {
  SchedulerSettings settings;
  Epoch epoch = 0;
  Random random;
  TimePoint gainedAt;
  std::map<WorkerNumber, Contact> contacts;
  std::unordered_map<TaskKey, Attempt> attempts;
  // Placements that are being committed.
  std::unordered_map<TaskKey, PlacedTask> placing;
  std::map<WorkerNumber, Resources> placingRoom;
  std::unordered_map<std::string, RunTime> runTimes;
  TailModel tails;
  TicketCache tickets;
  TimePoint dispatchAt;  // next look at the waiting jobs
  bool dispatchWanted = false;
  std::map<WorkerId, std::vector<GivenUpStart>> givenUp;
  // Jobs of which nothing runs although a task's turn has come.
  std::unordered_map<JobNumber, TimePoint> idleSince;
  // Fillers that were moved lately; see AdjustPaces.
  TimePoint nextMoveAt;
  std::unordered_set<JobNumber> opening;  // occurrences being committed
  Lanes lanes;                            // by the last dispatch
};

Scheduler MakeScheduler(const SchedulerSettings& aSettings, Epoch aEpoch,
                        const State& aState, std::uint64_t aSeed,
                        TimePoint aNow);

// A worker announced itself. aClockMs is its steady clock, 0 if not given.
void OnAnnounced(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::int64_t aClockMs, TimePoint aNow);
// The replicated state changed through other commands than the scheduler's.
void OnStateChanged(Scheduler& aScheduler, const State& aState, TimePoint aNow);

// The commit of a batch has ended; aOk when it is applied.
SchedulerActions OnCommitted(Scheduler& aScheduler, const State& aState,
                             const Commit& aCommit, bool aOk, TimePoint aNow);
SchedulerActions OnStartAnswer(Scheduler& aScheduler, const State& aState,
                               const SendStart& aOrder,
                               const OrderAnswer& aAnswer, TimePoint aNow);
SchedulerActions OnStopAnswer(Scheduler& aScheduler, const State& aState,
                              const SendStop& aOrder,
                              const OrderAnswer& aAnswer, TimePoint aNow);
void OnPaceAnswer(Scheduler& aScheduler, const State& aState,
                  const SendPace& aOrder, const OrderAnswer& aAnswer);
SchedulerActions OnHoldAnswer(Scheduler& aScheduler, const State& aState,
                              const SendHold& aOrder, TimePoint aSentAt,
                              const HoldAnswer& aAnswer, TimePoint aNow);
SchedulerActions OnTicketAnswer(Scheduler& aScheduler, const State& aState,
                                const RequestTickets& aRequest,
                                const TicketAnswer& aAnswer, TimePoint aNow);
// Called at least every 100 ms, and after each turn in which something
// happened. aUnixMs is the agreed time of day.
SchedulerActions OnTick(Scheduler& aScheduler, const State& aState,
                        TimePoint aNow, std::int64_t aUnixMs);

// A look at the whole cell, for logs and metrics.
struct CellSummary {
  std::uint32_t activeJobs = 0;
  std::uint32_t waitingTasks = 0;    // of stages that are open
  std::uint32_t waitingFillers = 0;  // among them
  std::uint32_t placedTasks = 0;
  std::uint32_t placedFillers = 0;
  std::uint32_t pacedFillers = 0;  // slowed
  double fillerPace = 0;           // mean percent of the placed ones
  std::uint32_t servingTasks = 0;
  std::uint32_t servingOverTarget = 0;
  double servingLevel = 0;  // mean level
  std::uint32_t workers = 0;
  std::uint32_t workersInContact = 0;
  std::uint32_t workersAvoided = 0;
  double backlogSeconds = 0;   // processor seconds of jobs under way
  double processors = 0;       // of workers in contact
  double reserved = 0;         // of those, by tasks that reserve
  double lastingReserved = 0;  // of those, by tasks that last
  double fillersUse = 0;       // processors that fillers use
};

CellSummary Summarise(const Scheduler& aScheduler, const State& aState,
                      TimePoint aNow);

// A queue's jobs, for metrics.
struct QueueSummary {
  QueueId queue;
  std::uint32_t activeJobs = 0;
  std::uint32_t waitingJobs = 0;  // accepted, nothing placed yet
  std::int64_t oldestWaitMs = 0;  // of those
};

std::vector<QueueSummary> SummariseQueues(const State& aState,
                                          std::int64_t aUnixMs);

// What admission needs to know of a new job.
AdmissionView ViewForAdmission(const Scheduler& aScheduler,
                               const JobSpec& aSpec,
                               const QueueSettings& aQueue);

// Counts of the queue's accepted jobs for which no task has been placed.
std::uint32_t CountWaitingJobs(const State& aState, const QueueId& aQueue);

}  // namespace bramleypath::workflow
