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
  // Bound of the difference between two clocks' rates, in thousandths.
  std::int64_t clockErrorPermille = 10;
  // Added to the lease before it counts as expired.
  Duration leaseMargin = Seconds(1);
  // Renewals follow a worker's reports, but no more often than this.
  Duration renewEvery = Seconds(2);
  // Nothing is sent to, or placed on, a worker not heard of for this long.
  Duration workerSilentAfter = Seconds(5);
  // A command that shows no effect is sent again.
  Duration resend = Millis(500);
  // Back-off after failures doubles between these.
  Duration backOffMin = Seconds(1);
  Duration backOffMax = Seconds(60);
  // A preemption that freed no room by then is given up.
  Duration preemptionLimit = Seconds(30);
  // A worker without reservations that was silent this long is removed.
  Duration removeAfter = Seconds(600);
  // A job that waited longer than this gets a worker kept free for it.
  Duration holdAfter = Seconds(60);
  // Placements tried in one step, which bounds the time of a step, and how many
  // may find no place: more on a tick than on other events, since these make
  // room for one task at most and come hundreds of times a second.
  std::size_t maxPlacementsPerStep = 64;
  std::size_t maxMissesPerEvent = 8;
};

// Events.

// The no-op of the term need not be committed yet: the scheduler waits for the
// first event with leaseHeld set.
struct LeadershipGained {
  Epoch epoch = 0;
};
struct LeadershipLost {};

// Each command applied to the state, after Apply, whoever proposed it. The
// token is 0 for commands of others.
struct CommandCommitted {
  std::uint64_t token = 0;
  Command command;
  Outcome outcome;
};

// A proposal was refused, or its fate is unknown.
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

// Asked for by placement when a service's tail latency rises.
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
  // that leads a newer term already must not set it before that event.
  bool leaseHeld = false;
  EventBody body;
};

// Actions.

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

// For logs, metrics and the placement module.
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

// What the leader is trying to bring about for one attempt.
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
  // A command is due at resendAt until its effect is seen.
  bool outstanding = true;
  TimePoint resendAt;
};

// Failures since the last success, kept for a worker and for a job apart.
struct FailureRecord {
  std::uint32_t count = 0;
  // Who else was part of them: jobs for a worker, workers for a job. Bounded.
  std::set<std::string> others;
  TimePoint backOffUntil;
};

struct WorkerTrack {
  bool heard = false;
  std::uint64_t incarnation = 0;
  Resources announcedCapacity;
  RackId announcedRack;
  WorkerTimestamp timestamp = 0;
  TimePoint heardAt;
  // The last Start or Renew; leases count from here.
  TimePoint leaseSentAt;
  TimePoint renewAt;
  std::uint64_t reportedDigest = 0;
  std::uint32_t reportedCount = 0;
  // Over the attempts confirmed as running.
  std::uint64_t digest = 0;
  std::uint32_t confirmedCount = 0;
  // Resources of start proposals in flight.
  Resources proposed;
  bool renewDue = false;
  FailureRecord failures;
  std::map<TaskId, AttemptTrack> attempts;
  // Attempts with a command whose effect was not seen yet.
  std::set<TaskId> outstanding;
  std::vector<AttemptId> acknowledgements;
};

struct JobTrack {
  bool urgent = false;
  std::uint64_t sequence = 0;
  // Indexes of tasks that wait; the last one is tried first.
  std::vector<std::uint32_t> pending;
  // Since a task was placed, or since the first one began to wait.
  TimePoint waitingSince;
  WaitReason reason = WaitReason::NotScheduledYet;
  FailureRecord failures;
  // Number of live attempts in each rack, for rackSpread.
  std::map<std::uint32_t, std::uint32_t> racks;
};

struct Preemption {
  std::size_t slot = 0;
  TimePoint until;
};

// The leader's scheduler of one cell. Not replicated: rebuilt from the state
// when leadership is gained.
struct Scheduler {
  SchedulerSettings settings;
  ChooseWorkerFunction choose = ChooseBestFit;
  SizeTaskFunction sizeTask;

  bool leading = false;
  // Indexes are built and the lease was held since leadership was gained.
  bool ready = false;
  Epoch epoch = 0;
  std::uint64_t lastToken = 0;

  std::unordered_map<WorkerId, std::size_t> slots;
  // Parallel: what the chooser sees, and the rest.
  std::vector<WorkerRoom> rooms;
  std::vector<WorkerTrack> workers;
  // Places of removed workers, to be used again.
  std::vector<std::size_t> freeSlots;
  std::map<RackId, std::uint32_t> racks;
  // The place of the worker of each live attempt.
  std::unordered_map<TaskId, std::size_t> running;

  std::unordered_map<JobId, JobTrack> jobs;
  // Jobs with waiting tasks by order of submission.
  std::map<std::uint64_t, JobId> urgentQueue;
  std::map<std::uint64_t, JobId> normalQueue;
  // Where the next pass over each queue continues.
  std::uint64_t urgentCursor = 0;
  std::uint64_t normalCursor = 0;
  // Set when room, quotas or back-offs changed since the last pass.
  bool placementDue = false;

  // Proposals in flight by token.
  std::unordered_map<std::uint64_t, Command> proposals;
  std::set<TaskId> markProposed;
  std::set<WorkerId> workerProposed;
  // Resources of start proposals in flight.
  std::map<ClientAccountId, Resources> proposedUse;
  std::map<TaskId, Preemption> preemptions;
  std::size_t preemptionCursor = 0;
  // Set after a search for victims that found none.
  TimePoint noPreemptionBefore{std::numeric_limits<std::int64_t>::min()};
  // A worker kept free for a job that waited long.
  std::optional<std::size_t> heldSlot;
  JobId heldFor;
  std::optional<std::vector<ClientAccountQuota>> wantedQuotas;
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

// Why tasks of the job wait. Works without leadership, with less detail.
std::optional<Explanation> Explain(const CellState& aState,
                                   const Scheduler& aScheduler,
                                   const JobId& aJob);

}  // namespace bramleypath::cell
