#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/Resources.h"

// Jobs of several stages, as their callers submit them. A stage is a number of
// equal tasks; an attempt is one start of a task on a worker. A job that is due
// several times runs all of its stages once for each occurrence.
namespace bramleypath::workflow {

using QueueId = StrongId<struct QueueIdTag>;

// Numbers in the order of the log, never used again.
using JobNumber = std::uint64_t;
using WorkerNumber = std::uint32_t;

// What a job's caller asks for one stage.
struct StageSpec {
  std::uint32_t tasks = 0;
  // What each task reserves.
  Resources demand;
  // The caller's estimate of a task's run time; often off by nearly twice.
  std::uint32_t estimatedMs = 0;
  // Stages that must be done before this one starts.
  std::vector<std::uint32_t> after;
  bool checkpoints = false;
  // All tasks work only together, and are started with one attempt number.
  bool gang = false;
  // The tasks are slower when they run in more than one rack.
  bool sameRack = false;
  // A label that the worker must have; empty: any worker.
  std::string requiredLabel;
  // Where the data is; empty: anywhere.
  RackId dataRack;
  // Tasks of one occurrence on one worker at a time; 0: no limit.
  std::uint32_t maxPerWorker = 0;
  bool mayDuplicate = false;
  // The tasks run until the job is cancelled, and are restarted however they
  // end.
  bool lasting = false;
  // Tasks of one image behave alike.
  std::string image;
  // Upper limit of the tail latency of the task's own users; 0: serves none.
  std::uint32_t tailTargetMs = 0;
  // Uses processors that others leave unused; reserves memory only.
  bool filler = false;
  // Tasks of a lasting stage that may be away at a time by our own actions.
  std::optional<std::uint32_t> maxUnavailable;
};

struct JobSpec {
  JobId id;
  QueueId queue;
  // Handed to the workers as it is.
  std::string specification;
  std::vector<StageSpec> stages;
  // Zero: the job runs once, at once.
  std::uint32_t repetitions = 0;
  std::int64_t firstRunUnixMs = 0;
  std::int64_t intervalMs = 0;
};

// A queue of the configuration; selected by host name and the longest prefix.
struct QueueSettings {
  QueueId id;
  std::string host;
  std::string pathPrefix;
  ServiceId service;
  // 0 comes first.
  std::int32_t priority = 0;
  std::uint32_t maxAttempts = 1;
  // The latency objective of a job is stretch times its longest chain of run
  // times plus targetMs.
  // Thousandths.
  std::uint32_t stretchMilli = 1000;
  std::uint32_t targetMs = 0;
  // Starts need an admission ticket.
  bool needsTicket = false;
};

struct Layout {
  std::uint64_t version = 0;
  std::vector<QueueSettings> queues;
  std::vector<ServiceId> services;
  // Longest body of a submitted job; 0: no limit.
  std::uint64_t maxJobBytes = 0;
  // The configuration as its operator sent it, for reading it back.
  std::string document;
};

// One incarnation of a worker.
struct WorkerSpec {
  WorkerId id;
  // Unix milliseconds of its start; tells incarnations with one id apart.
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

// How an attempt ended.
enum class EndKind : std::uint8_t {
  Done,
  Failed,          // through the task's own fault or the worker's
  Stopped,         // on our command
  LeaseExpired,    // its lease ran out
  Broken,          // another member of its gang ended
  GangIncomplete,  // its gang was not complete in time
  NeverRan         // refused by the worker, or stopped before it arrived there
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
};
// A new incarnation, or another state of a known one.
struct WorkerSeen {
  WorkerSpec worker;
};
// The incarnation has ended, and all that it ran.
struct WorkerGone {
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
};
// Occurrences up to this one are due.
struct OpenOccurrence {
  JobNumber job = 0;
  std::uint32_t occurrence = 0;
};
// Jobs whose state nobody is owed any longer.
struct ForgetJobs {
  std::vector<JobNumber> jobs;
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
