#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Command.h"
#include "bramleypath/cell/Placement.h"
#include "bramleypath/cell/Protocol.h"

namespace bramleypath::cell {

struct SchedulerSettings {
  // Length of a lease on the worker's clock.
  Duration lease = Seconds(10);
  // Upper bound of the difference between the rates of two clocks, in
  // thousandths.
  std::int64_t clockErrorPermille = 10;
  // Safety margin that is added before the leader treats a lease as expired.
  Duration leaseMargin = Seconds(1);
  // Target interval of renewals, which are sent after a worker's reports.
  Duration renewEvery = Seconds(2);
  // A worker without a message for this long is silent: nothing is sent to it
  // or placed on it.
  Duration workerSilentAfter = Seconds(5);
  // A command without a visible effect is sent again after this time.
  Duration resend = Millis(500);
  // Bounds of the back-off after failures, which doubles with each failure.
  Duration backOffMin = Seconds(1);
  Duration backOffMax = Seconds(60);
  // A preemption that has not freed enough resources by then is abandoned.
  Duration preemptionTimeout = Seconds(30);
  // A worker that holds no reservation and was silent for this long is removed.
  Duration removeAfter = Seconds(600);
  // A job that has waited longer than this gets a worker that is kept free for
  // it.
  Duration holdAfter = Seconds(60);
  // Placements tried in one step, which bounds its duration, and how many of
  // them in a row may fail on an event other than a tick. Such events free
  // resources for one task at most and come hundreds of times a second, so that
  // fewer failures are allowed than on a tick.
  std::size_t maxPlacementsPerStep = 64;
  std::size_t maxFailedPlacementsPerEvent = 8;
};

// The events that a caller passes to Step.

// The replica became the leader. The no-op entry of its term need not be
// committed yet: the scheduler waits for the first event with leaseHeld set.
struct LeadershipGained {
  Epoch epoch = 0;
};
struct LeadershipLost {};

// A command was applied to the state. Sent after each Apply, regardless of who
// proposed the command; the token is 0 unless this scheduler did.
struct CommandCommitted {
  std::uint64_t token = 0;
  Command command;
  Outcome outcome;
};

// A proposal was refused, or its outcome is unknown.
struct ProposalFailed {
  std::uint64_t token = 0;
};

struct WorkerAnnounced {
  WorkerMessage message;
  Resources capacity;
  RackId rack;
};

// A report or the reply to a command batch. Usage samples go to the placement
// module directly.
struct WorkerReported {
  WorkerMessage message;
};

struct QuotasChanged {
  std::vector<ClientAccountQuota> quotas;
};

// Sent by the placement module when a service's tail latency rises.
struct MitigationRequested {
  TaskId task;
  AttemptMark mark = AttemptMark::Throttle;
};

// Preset weights or estimates changed: waiting tasks are tried again.
struct PlacementChanged {};

struct Tick {};

using EventBody =
    std::variant<LeadershipGained, LeadershipLost, CommandCommitted,
                 ProposalFailed, WorkerAnnounced, WorkerReported, QuotasChanged,
                 MitigationRequested, PlacementChanged, Tick>;

struct Event {
  // Whether the caller holds the leader lease right now, in the term of the
  // last LeadershipGained. Without it nothing is proposed or sent. A caller
  // that already leads a newer term must not set it before that term's
  // LeadershipGained.
  bool leaseHeld = false;
  EventBody body;
};

// The actions that Step returns to its caller.

struct ProposeCommand {
  std::uint64_t token = 0;
  Command command;
};

// The caller checks the leader lease again immediately before sending.
struct SendCommands {
  CommandBatch batch;
};

enum class NoticeKind : std::uint8_t {
  JobEnded,
  AttemptStarted,
  AttemptEnded,
  WorkerSilent,
  WorkerBackOff,
  JobBackOff,
  Preemption,
};

// An occurrence to report to logs, metrics and the placement module.
struct Notice {
  NoticeKind kind = NoticeKind::JobEnded;
  JobId job;
  std::uint32_t taskIndex = 0;
  AttemptNumber attempt = 0;
  WorkerId worker;
  std::string detail;
};

using Action = std::variant<ProposeCommand, SendCommands, Notice>;
using Actions = std::vector<Action>;

// The state that the leader drives an attempt to.
enum class Goal : std::uint8_t {
  Run,
  Throttle,
  EvictThrottle,
  EvictCheckpoint,
  Stop
};

// The leader's view of one live attempt.
struct AttemptTrack {
  AttemptNumber number = 0;
  Goal goal = Goal::Run;
  bool confirmedRunning = false;
  bool throttled = false;
  bool endProposed = false;
  // The end in flight is an expired lease, not one that the worker confirmed.
  bool expiryProposed = false;
  // A command is sent at resendAt, and again until its effect is seen.
  bool outstanding = true;
  TimePoint resendAt;
};

// Failures since the last success, recorded separately for each worker and each
// job.
struct FailureRecord {
  std::uint32_t count = 0;
  // The counterparts in these failures: jobs for a worker, workers for a job.
  // The number kept is bounded.
  std::set<std::string> counterparts;
  TimePoint backOffUntil;
};

// The leader's view of one worker.
struct WorkerTrack {
  bool reported = false;
  std::uint64_t incarnation = 0;
  Resources announcedCapacity;
  RackId announcedRack;
  WorkerTimestamp timestamp = 0;
  TimePoint lastContactAt;
  // When the last Start or Renew was sent; the leader counts leases from here.
  TimePoint leaseSentAt;
  TimePoint renewAt;
  std::uint64_t reportedDigest = 0;
  std::uint32_t reportedCount = 0;
  // Digest and number of the attempts confirmed as running.
  std::uint64_t digest = 0;
  std::uint32_t confirmedCount = 0;
  // Resources of start proposals in flight.
  Resources proposed;
  bool renewDue = false;
  FailureRecord failures;
  std::map<TaskId, AttemptTrack> attempts;
  // Tasks with a command whose effect has not been seen yet.
  std::set<TaskId> outstanding;
  std::vector<AttemptId> acknowledgements;
};

// The leader's view of one job.
struct JobTrack {
  bool urgent = false;
  std::uint64_t sequence = 0;
  // Indexes of the waiting tasks; the last one is tried first.
  std::vector<std::uint32_t> pending;
  // When a task was last placed, or when the first one began to wait.
  TimePoint waitingSince;
  WaitReason reason = WaitReason::NotScheduledYet;
  FailureRecord failures;
  // Number of live attempts in each rack, for rackSpread.
  std::map<std::uint32_t, std::uint32_t> racks;
};

// Evictions on the worker in the slot, for one urgent task.
struct Preemption {
  std::size_t slot = 0;
  TimePoint deadline;
};

// The leader's scheduler of one cell. Not replicated: rebuilt from the state
// when leadership is gained.
struct Scheduler {
  SchedulerSettings settings;
  ChooseWorkerFunction choose = ChooseBestFit;
  SizeTaskFunction sizeTask;

  bool leading = false;
  // True once the lease was held after leadership was gained and the indexes
  // were built.
  bool ready = false;
  Epoch epoch = 0;
  std::uint64_t lastToken = 0;

  std::unordered_map<WorkerId, std::size_t> slots;
  // Both are indexed by slot: what the chooser sees of a worker, and what else
  // the leader keeps about it.
  std::vector<WorkerCandidate> candidates;
  std::vector<WorkerTrack> workers;
  // Slots of removed workers, to be reused.
  std::vector<std::size_t> freeSlots;
  std::map<RackId, std::uint32_t> racks;
  // The slot of the worker for each task with a live attempt.
  std::unordered_map<TaskId, std::size_t> running;

  std::unordered_map<JobId, JobTrack> jobs;
  // Jobs with waiting tasks, by order of submission.
  std::map<std::uint64_t, JobId> urgentQueue;
  std::map<std::uint64_t, JobId> normalQueue;
  // Sequence number after which the next pass over each queue continues.
  std::uint64_t urgentCursor = 0;
  std::uint64_t normalCursor = 0;
  // Set when free resources, quotas or back-offs changed since the last pass.
  bool placementDue = false;

  // Proposals in flight by token.
  std::unordered_map<std::uint64_t, Command> proposals;
  std::set<TaskId> markProposed;
  // Late finishes in flight; see OnLateFinish.
  std::set<AttemptId> lateFinishProposed;
  // Finished attempts of tasks of which a later attempt is live.
  std::map<TaskId, AttemptId> knownFinishes;
  std::set<WorkerId> workerProposed;
  // Resources of start proposals in flight.
  std::map<ClientAccountId, Resources> proposedUse;
  std::map<TaskId, Preemption> preemptions;
  std::size_t preemptionCursor = 0;
  // No victims are searched for before this time; set after a search that found
  // none.
  TimePoint nextPreemptionAt{std::numeric_limits<std::int64_t>::min()};
  // The slot of a worker that is kept free for a job which has waited long, and
  // that job.
  std::optional<std::size_t> heldSlot;
  JobId heldFor;
  std::optional<std::vector<ClientAccountQuota>> desiredQuotas;
  bool quotasProposed = false;

  // Workers to which something may have to be sent at the end of the step.
  std::set<std::size_t> dirty;
};

// Handles one event. The caller sends a Tick about every 100 ms.
Actions Step(Scheduler& aScheduler, const CellState& aState,
             const Event& aEvent, TimePoint aNow);

struct Explanation {
  WaitReason reason = WaitReason::None;
  std::size_t waiting = 0;
  std::size_t running = 0;
  std::size_t ended = 0;
  std::string text;
};

// Explains why tasks of the job wait; nullopt for an unknown job. Without
// leadership the only reason given is NoLeader.
std::optional<Explanation> Explain(const CellState& aState,
                                   const Scheduler& aScheduler,
                                   const JobId& aJob);

}  // namespace bramleypath::cell
