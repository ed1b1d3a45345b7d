#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/Resources.h"

// Jobs, the workers that run them, and the commands of the replicated log.
//
// A job consists of stages, and a stage of identical tasks. An attempt is one
// start of a task on a worker. A recurring job runs all of its stages once for
// each occurrence.
namespace bramleypath::workflow {

using QueueId = StrongId<struct QueueIdTag>;

// Both are assigned in the order of the log and never reused.
using JobNumber = std::uint64_t;
using WorkerNumber = std::uint32_t;

// One stage of a job, as its caller specifies it.
struct StageSpec {
  std::uint32_t tasks = 0;
  // Resources that each task needs. A filler does not reserve the processors.
  Resources demand;
  // The caller's estimate of a task's run time, often wrong by a factor of
  // nearly two.
  std::uint32_t estimatedMs = 0;
  // Indexes of the stages that must be done before this one starts.
  std::vector<std::uint32_t> after;
  bool checkpoints = false;
  // All tasks must run at the same time; they share one attempt number.
  bool gang = false;
  // The tasks are slower when they run in more than one rack.
  bool sameRack = false;
  // A label that the worker must have; empty: any worker.
  std::string requiredLabel;
  // Rack that holds the input data; empty: no preference.
  RackId dataRack;
  // Limit on tasks of one occurrence on one worker at a time; 0: no limit.
  std::uint32_t maxPerWorker = 0;
  bool mayDuplicate = false;
  // A long-running service: the tasks run until the job is cancelled and are
  // restarted however they end.
  bool longRunning = false;
  // Tasks of one image are assumed to have similar run times and interference.
  std::string image;
  // Upper limit of the tail latency that the task's users see. A task with a
  // limit is called a serving task; 0: the task has no users.
  std::uint32_t tailTargetMs = 0;
  // Best-effort task that uses processors left idle by others and reserves
  // none of its own.
  bool filler = false;
  // How many tasks of a long-running stage the scheduler may make unavailable
  // at a time.
  std::optional<std::uint32_t> maxUnavailable;
};

struct JobSpec {
  JobId id;
  QueueId queue;
  // Passed to the workers unchanged.
  std::string specification;
  std::vector<StageSpec> stages;
  // 0: the job runs once, immediately.
  std::uint32_t repetitions = 0;
  std::int64_t firstRunUnixMs = 0;
  std::int64_t intervalMs = 0;
};

// A queue of the configuration. A job belongs to the queue of its host name
// that has the longest matching path prefix.
struct QueueSettings {
  QueueId id;
  std::string host;
  std::string pathPrefix;
  ServiceId service;
  // 0 is the highest priority.
  std::int32_t priority = 0;
  std::uint32_t maxAttempts = 1;
  // The latency objective of a job is stretchMilli thousandths of its longest
  // chain of run times, plus targetMs.
  std::uint32_t stretchMilli = 1000;
  std::uint32_t targetMs = 0;
  // Each start needs a ticket from the admission service.
  bool needsTicket = false;
};

// The replicated configuration of a cell.
struct Layout {
  std::uint64_t version = 0;
  std::vector<QueueSettings> queues;
  std::vector<ServiceId> services;
  // Maximum body size of a submitted job; 0: no limit.
  std::uint64_t maxJobBytes = 0;
  // The configuration as its operator sent it, returned when it is read back.
  std::string document;
};

// One incarnation of a worker.
struct WorkerSpec {
  WorkerId id;
  // When its process started; distinguishes incarnations with the same id.
  std::int64_t startedUnixMs = 0;
  std::string address;
  ServiceId service;
  DataCentreId dataCentre;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
};

struct TaskKey {
  JobNumber job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t stage = 0;
  std::uint32_t index = 0;
};

inline bool operator==(const TaskKey& aLeft, const TaskKey& aRight) {
  return aLeft.job == aRight.job && aLeft.occurrence == aRight.occurrence &&
         aLeft.stage == aRight.stage && aLeft.index == aRight.index;
}
inline bool operator<(const TaskKey& aLeft, const TaskKey& aRight) {
  if (aLeft.job != aRight.job) return aLeft.job < aRight.job;
  if (aLeft.occurrence != aRight.occurrence) {
    return aLeft.occurrence < aRight.occurrence;
  }
  if (aLeft.stage != aRight.stage) return aLeft.stage < aRight.stage;
  return aLeft.index < aRight.index;
}

// One attempt of a task.
struct TaskAttempt {
  TaskKey task;
  AttemptNumber attempt = 0;
};

// How an attempt ended.
enum class EndKind : std::uint8_t {
  Done,
  Failed,          // caused by the task or by its worker
  Stopped,         // by a stop request of the scheduler
  LeaseExpired,    // the worker's lease expired
  Broken,          // another task of its gang ended
  GangIncomplete,  // its gang was not complete in time
  NeverRan         // refused by the worker, or stopped before the start arrived
};

std::string_view ToText(EndKind aKind);

// Commands of the replicated log.

struct SetLayout {
  Layout layout;
};
struct AcceptJob {
  JobSpec spec;
  std::int64_t acceptedUnixMs = 0;
};
struct CancelJob {
  JobId job;
  // When the leader proposed it; 0 if it knew the job then. The cancel of a job
  // that isn't known is remembered from then on, see EarlyCancels.h.
  std::int64_t proposedUnixMs = 0;
};
// What the leader knows about the attempts on a worker that has crashed. Those
// that are in neither list may have run there.
struct CrashEvidence {
  // The worker accepted or listed them, or stopped answering with their start.
  std::vector<TaskAttempt> ran;
  // Their start was never sent.
  std::vector<TaskAttempt> unsent;
};
// A new worker incarnation, or changed properties of a known one.
struct RegisterWorker {
  WorkerSpec worker;
  // About the incarnation that it replaces; none if that has no attempts, and
  // in logs of earlier versions, by which all of its attempts ran.
  std::optional<CrashEvidence> evidence = std::nullopt;
};
// The incarnation has ended, and with it all of its attempts.
struct RemoveWorker {
  WorkerNumber worker = 0;
  // Another incarnation answers at its address, and it did not leave.
  bool hasCrashed = false;
  // As in RegisterWorker, if it has crashed.
  std::optional<CrashEvidence> evidence = std::nullopt;
};
// The incarnation says that it will end. Its attempts may still run, so that
// they end one by one as is known of each; see Worker::isLeaving.
struct LeaveWorker {
  WorkerNumber worker = 0;
};
struct PlacedTask {
  TaskKey task;
  AttemptNumber attempt = 0;
  WorkerNumber worker = 0;
};
struct PlaceTasks {
  std::vector<PlacedTask> tasks;
};
struct EndedTask {
  TaskKey task;
  AttemptNumber attempt = 0;
  EndKind kind = EndKind::NeverRan;
  std::string checkpoint;
};
struct EndTasks {
  std::vector<EndedTask> tasks;
  // Attempts that ran for so long that their tasks aren't suspected of crashing
  // their workers.
  std::vector<TaskAttempt> cleared = {};
};
// This occurrence, the next one of its job, is due.
struct OpenOccurrence {
  JobNumber job = 0;
  std::uint32_t occurrence = 0;
};
// Removes ended jobs whose results no longer have to be kept.
struct ForgetJobs {
  std::vector<JobNumber> jobs;
};

// Commands about leases. They leave the replicated state unchanged; each
// replica draws its own conclusions from them, see LeaseEnds.h.

// The leader may grant leases to these workers for a short time. They have
// expired this many milliseconds after the proposal.
struct PermitLeases {
  std::vector<WorkerNumber> workers;
  std::uint32_t remainingMs = 0;
};
struct WorkerLeaseEnd {
  WorkerNumber worker = 0;
  // All leases of the worker have expired this many milliseconds after the
  // proposal.
  std::uint32_t remainingMs = 0;
};
// The leader grants no more leases to these workers until another permit.
struct LimitLeases {
  std::vector<WorkerLeaseEnd> workers;
};

// An operator's order: nothing is started in the data centre from now on, or
// its workers are used again. An older replica skips the command, so that it
// must change nothing but the set of drained data centres: a task that it kept
// from being placed on some replicas alone could run twice.
struct SetDrain {
  DataCentreId dataCentre;
  bool drained = false;
};

}  // namespace bramleypath::workflow

namespace std {
template <>
struct hash<bramleypath::workflow::TaskKey> {
  size_t operator()(const bramleypath::workflow::TaskKey& aKey) const noexcept {
    constexpr size_t kMultiplier = 1000003;
    size_t value = aKey.job;
    value = value * kMultiplier + aKey.occurrence;
    value = value * kMultiplier + aKey.stage;
    return value * kMultiplier + aKey.index;
  }
};
}  // namespace std
