#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bramleypath/workflow/Codec.h"
#include "bramleypath/workflow/Drains.h"
#include "bramleypath/workflow/EarlyCancels.h"
#include "bramleypath/workflow/Types.h"

namespace bramleypath::workflow {

enum class TaskPhase : std::uint8_t { Waiting, Placed, Done };

// An attempt whose worker crashed before the attempt was known to have ended.
struct TaskCrash {
  AttemptNumber attempt = 0;
  WorkerId worker;
  std::string address;  // the successor has it too, maybe under another id
  // The attempt may never have run there.
  bool isUnproven = false;
};

struct TaskState {
  TaskPhase phase = TaskPhase::Waiting;
  // Failed attempts; those that ended otherwise don't count.
  std::uint16_t failures = 0;
  // Number of the latest attempt, counted from 1; 0 before the first.
  AttemptNumber attempt = 0;
  WorkerNumber worker = 0;  // while placed
  std::string checkpoint;   // empty: none
  // An earlier attempt was done after all, as its worker reported late. The
  // placed one is stopped, and the task is done once it has ended.
  bool doneByEarlierAttempt = false;
  // The worker has restarted since the placement, so that the attempt may have
  // run on an earlier incarnation.
  bool hasWorkerRestarted = false;
  // The attempts that failures counts. A worker lists an end until it is
  // acknowledged, so that an end may be proposed more than once. Empty for
  // long-running tasks, whose failures have no limit.
  std::vector<AttemptNumber> failedAttempts;
  // The crashes under the task since it last ended by itself or was cleared. A
  // task with a crash is called a suspect.
  std::vector<TaskCrash> crashes;
};

struct StageState {
  std::vector<TaskState> tasks;
  std::uint32_t waiting = 0;
  std::uint32_t placed = 0;
  std::uint32_t done = 0;
};

struct Occurrence {
  std::vector<StageState> stages;
  std::uint32_t stagesDone = 0;
};

enum class JobPhase : std::uint8_t { Active, Completed, Failed, Cancelled };

struct Job {
  JobNumber number = 0;
  JobId id;
  JobSpec spec;  // stages and specification are cleared once it ends
  JobPhase phase = JobPhase::Active;
  std::int64_t acceptedUnixMs = 0;
  // By occurrence number; completed ones are removed.
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t opened = 0;  // occurrences that became due
  std::uint32_t finished = 0;
  std::uint32_t placed = 0;  // attempts that may be running
  bool started = false;      // a task has been placed
};

struct Worker {
  WorkerNumber number = 0;
  WorkerSpec spec;
  // Reserved by attempts that may be running. Fillers reserve no processors.
  Resources reserved;
  std::unordered_set<TaskKey> attempts;
  // The latest attempts that ended with their lease. They are counted as
  // crashed if another incarnation turns out to have replaced this one.
  std::vector<TaskAttempt> expired;
  // It said that it will end. It gets no tasks and no leases, its attempts are
  // stopped, and it is removed once it has none.
  bool isLeaving = false;
};

// A task under which too many workers crashed. Its job has failed.
struct GivenUpTask {
  TaskKey task;
  std::vector<TaskCrash> crashes;
};

// A crash of a worker, for the event log. Not part of a snapshot.
struct WorkerCrash {
  std::uint64_t number = 0;  // ascending
  WorkerId worker;
  std::string address;
  std::uint32_t attempts = 0;  // counted
  std::uint32_t ran = 0;       // those of them that are known to have run
  // Tasks under which a worker had crashed before, at most kMaxLoggedSuspects.
  std::vector<TaskKey> suspects;
  std::vector<GivenUpTask> givenUp;
};

// The replicated state, identical on all replicas after the same commands.
struct State {
  Layout layout;
  std::uint64_t layoutChanges = 0;  // number of layouts applied
  JobNumber lastJob = 0;
  WorkerNumber lastWorker = 0;
  std::map<JobNumber, Job> jobs;
  std::unordered_map<std::string, JobNumber> jobsById;
  std::map<WorkerNumber, Worker> workers;
  std::unordered_map<std::string, WorkerNumber> workersById;
  // Queues of earlier layouts are kept for the jobs that they accepted.
  std::unordered_map<std::string, QueueSettings> knownQueues;
  EarlyCancels earlyCancels;
  Drains drains;
  // Index of the tasks with crashes; may hold tasks that have none any more.
  std::set<TaskKey> suspects;
  // The latest crashes, oldest first.
  std::deque<WorkerCrash> recentCrashes;
};

// Result of a command, returned to its proposer.
enum class ApplyResult : std::uint8_t {
  Ok,
  Repeated,  // applied before; nothing changed
  Unknown,   // no such job, or the command is stale
  // The job was cancelled before it arrived, and is stored as cancelled.
  CancelledBefore,
  Full  // nothing changed, since a table has no room
};

ApplyResult Apply(State& aState, const Command& aCommand);

const Job* FindJob(const State& aState, std::string_view aId);
const Worker* FindWorker(const State& aState, std::string_view aId);
const QueueSettings* FindQueue(const State& aState, const QueueId& aQueue);
// The queue for the host with the longest prefix of the path; null if none.
const QueueSettings* SelectQueue(const Layout& aLayout, std::string_view aHost,
                                 std::string_view aPath);
// The job whose id and queue make up the path, also if the queue is no longer
// configured; null if none.
const Job* FindJobOfPath(const State& aState, std::string_view aHost,
                         std::string_view aPath);
const TaskState* FindTask(const State& aState, const TaskKey& aKey);
// aKey is a task of aJob.
const TaskState* FindTask(const Job& aJob, const TaskKey& aKey);
// Whether applying the end would change the state. True also for the end of an
// attempt that was ended before without knowing that it was done or had failed.
bool IsUnrecordedEnd(const State& aState, const EndedTask& aEnd);
// Whether the worker is in a drained data centre.
bool IsDrained(const State& aState, const Worker& aWorker);
// Whether an attempt on the worker was placed on an earlier incarnation.
bool HasMovedAttempt(const State& aState, const Worker& aWorker);
// Whether all stages that must precede aStage are done.
bool IsStageOpen(const Job& aJob, const Occurrence& aOccurrence,
                 std::uint32_t aStage);
// Resources that an attempt reserves on its worker; no processors for a filler.
Resources Reservation(const StageSpec& aStage);
Resources Reservation(const Resources& aDemand, bool aFiller);
bool IsLongRunning(const Job& aJob);
// Whether the job is active and none of its tasks has ever been placed.
bool IsWaiting(const Job& aJob);

std::vector<std::uint8_t> EncodeState(const State& aState);
bool DecodeState(const std::vector<std::uint8_t>& aBytes, State& aState,
                 std::string& aReason);

}  // namespace bramleypath::workflow
