#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <gsl/span>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/cell/Command.h"
#include "bramleypath/cell/Types.h"

namespace bramleypath::cell {

// Bounds of the replicated tables. A command that would exceed one is refused,
// except that the oldest ended jobs are replaced by counts and the oldest
// request ids are dropped.
constexpr std::size_t kMaxJobs = 20000;
constexpr std::size_t kMaxTasksOfJob = 10000;
constexpr std::size_t kMaxTasks = 100000;
constexpr std::size_t kMaxWorkers = 2000;
constexpr std::size_t kMaxClientAccounts = 1000;
constexpr std::size_t kMaxEndedJobs = 1000;
constexpr std::size_t kMaxRequests = 4096;
constexpr std::size_t kMaxTextBytes = 256;

// A batch task ends as failed after failures on kMaxFailedWorkers distinct
// workers, or after kMaxFailures failures in all. The second bound matters when
// few workers are live: with back-off it takes a quarter of an hour to reach,
// so that a good task survives a period in which the only live worker is
// faulty.
constexpr std::size_t kMaxFailedWorkers = 3;
constexpr std::uint32_t kMaxFailures = 20;

// States of the state chart task_attempt.json, in the order listed there.
enum class AttemptState : std::uint8_t {
  Active,
  Cancelled,
  Cancelling,
  Evicted,
  Evicting,
  Expired,
  Failed,
  Finished,
  Proposed,
  Throttled,
};

// The live attempt of a task. It holds its reservation until it has ended.
struct Attempt {
  AttemptNumber number = 0;
  AttemptState state = AttemptState::Proposed;
  WorkerId worker;
  std::uint64_t incarnation = 0;
  Resources resources;
};

enum class TaskState : std::uint8_t {
  Pending,
  Running,
  Finished,
  Failed,
  Cancelled
};

bool HasEnded(TaskState aState);

struct Task {
  TaskState state = TaskState::Pending;
  // Number of the newest attempt; 0 before the first one.
  AttemptNumber attempts = 0;
  std::uint32_t evictions = 0;
  // Starts that resumed the task after an eviction; at most one per eviction.
  std::uint32_t resumptions = 0;
  std::uint32_t failures = 0;
  std::vector<WorkerId> failedOn;
  // The newest committed checkpoint; empty when the task starts from the
  // beginning.
  std::string checkpoint;
  std::optional<Attempt> live;
};

struct Job {
  JobSpec spec;
  // Position in the order of submission, counted from 1.
  std::uint64_t sequence = 0;
  bool cancelled = false;
  std::uint32_t evictionsUsed = 0;
  std::uint32_t endedTasks = 0;
  std::vector<Task> tasks;
};

bool HasEnded(const Job& aJob);

struct Worker {
  std::uint64_t incarnation = 0;
  Resources capacity;
  RackId rack;
  // Sum of the reservations.
  Resources reserved;
  std::map<AttemptId, Resources> reservations;
};

struct ClientAccount {
  std::optional<Resources> quota;
  // Resources reserved by the client account's live attempts.
  Resources used;
  // Counts of tasks whose ended jobs were removed.
  std::uint64_t finishedTasks = 0;
  std::uint64_t failedTasks = 0;
  std::uint64_t cancelledTasks = 0;
};

enum class RefusalCode : std::uint8_t {
  None,
  InvalidField,
  TableFull,
  RequestIdReused,
  JobExists,
  UnknownJob,
  UnknownTask,
  UnknownWorker,
  NoWorkerLargeEnough,
  TaskExceedsQuota,
  OldIncarnation,
  CapacityBelowReservations,
  WorkerHoldsReservations,
  TaskHasLiveAttempt,
  TaskEnded,
  WrongAttempt,
  WrongCheckpoint,
  InsufficientResources,
  QuotaExceeded,
  EvictionBudgetSpent,
  NotAllowedInState,
};

const char* Describe(RefusalCode aCode);

// The answer to one command.
struct Outcome {
  bool accepted = false;
  // True when the request id was answered before; the other fields then repeat
  // the first answer.
  bool repeated = false;
  RefusalCode code = RefusalCode::None;
  // The name of the field, job or limit concerned.
  std::string detail;
};

// An answered request of an operator, kept so that a resent request gets the
// same answer.
struct AnsweredRequest {
  std::uint64_t fingerprint = 0;
  Outcome outcome;
};

// The replicated state of one cell; only Apply changes it.
struct CellState {
  std::uint64_t lastSequence = 0;
  std::size_t liveTasks = 0;
  std::map<JobId, Job> jobs;
  std::map<WorkerId, Worker> workers;
  std::map<ClientAccountId, ClientAccount> clientAccounts;
  // Ended jobs that are still kept in `jobs`, oldest first.
  std::deque<JobId> endedJobs;
  std::map<RequestId, AnsweredRequest> requests;
  std::deque<RequestId> requestOrder;
};

// Applies one committed command. The result depends on the arguments alone, so
// that all replicas agree. Refuses a command that would overcommit a worker,
// run a task twice, exceed a quota or resume an eviction twice, regardless of
// who proposed it.
Outcome Apply(CellState& aState, const Command& aCommand);

const Job* FindJob(const CellState& aState, const JobId& aJob);
const Task* FindTask(const CellState& aState, const TaskId& aTask);
// The attempt while it is live; null once it has ended.
const Attempt* FindLiveAttempt(const CellState& aState,
                               const AttemptId& aAttempt);
const Worker* FindWorker(const CellState& aState, const WorkerId& aWorker);
// Whether the task is still open although this attempt of it has ended. Such an
// attempt may have finished before it was counted as expired.
bool IsEndedAttemptOfOpenTask(const CellState& aState,
                              const AttemptId& aAttempt);

std::vector<std::uint8_t> TakeSnapshot(const CellState& aState);

// Returns nullopt unless the bytes are exactly one well-formed snapshot.
std::optional<CellState> RestoreSnapshot(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::cell
