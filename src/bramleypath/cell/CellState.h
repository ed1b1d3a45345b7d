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

// Bounds of the tables. A command beyond one is refused, except that ended jobs
// are summarised and old request ids forgotten.
constexpr std::size_t kMaxJobs = 20000;
constexpr std::size_t kMaxTasksOfJob = 10000;
constexpr std::size_t kMaxTasks = 100000;
constexpr std::size_t kMaxWorkers = 2000;
constexpr std::size_t kMaxClientAccounts = 1000;
constexpr std::size_t kMaxEndedJobs = 1000;
constexpr std::size_t kMaxRequests = 4096;
constexpr std::size_t kMaxTextBytes = 256;

// A batch task ends as failed after failures on this many distinct workers, or
// after this many failures in all. The latter counts where few workers are
// live; with back-off it takes a quarter of an hour, so that a good task
// outlives a time in which the only live worker is a bad one.
constexpr std::size_t kMaxFailedWorkers = 3;
constexpr std::uint32_t kMaxFailures = 20;

// States of the chart task_attempt.json, in its order.
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
  // The newest attempt's number; 0 before the first.
  AttemptNumber attempts = 0;
  std::uint32_t evictions = 0;
  // Starts that continued an eviction; at most one for each eviction.
  std::uint32_t resumptions = 0;
  std::uint32_t failures = 0;
  std::vector<WorkerId> failedOn;
  // The newest committed checkpoint; empty: start from the beginning.
  std::string checkpoint;
  std::optional<Attempt> live;
};

struct Job {
  JobSpec spec;
  // Order of submission, from 1.
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
  // Reserved by the member's live attempts.
  Resources used;
  // Tasks of jobs that were summarised.
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
  NoWorkerCouldHold,
  AboveQuotaForever,
  OldIncarnation,
  CapacityBelowReservations,
  WorkerHoldsReservations,
  TaskHasLiveAttempt,
  TaskEnded,
  WrongAttempt,
  WrongCheckpoint,
  NoRoomOnWorker,
  QuotaExceeded,
  EvictionBudgetSpent,
  NotAllowedInState,
};

const char* Describe(RefusalCode aCode);

// The answer to one command.
struct Outcome {
  bool accepted = false;
  // The answer is the one given first to the same request id.
  bool repeated = false;
  RefusalCode code = RefusalCode::None;
  // Names the field, job or limit concerned.
  std::string detail;
};

// An operator's request that was answered, to recognise a resend.
struct AnsweredRequest {
  std::uint64_t fingerprint = 0;
  Outcome outcome;
};

// The replicated state of one cell. Changed by Apply only.
struct CellState {
  std::uint64_t lastSequence = 0;
  std::size_t liveTasks = 0;
  std::map<JobId, Job> jobs;
  std::map<WorkerId, Worker> workers;
  std::map<ClientAccountId, ClientAccount> clientAccounts;
  // Oldest first.
  std::deque<JobId> endedJobs;
  std::map<RequestId, AnsweredRequest> requests;
  std::deque<RequestId> requestOrder;
};

// Applies one committed command. The result depends on nothing but the
// arguments. Refuses whatever would overcommit a worker, run a task twice,
// exceed a quota or resume an eviction twice, whoever proposed it.
Outcome Apply(CellState& aState, const Command& aCommand);

const Job* FindJob(const CellState& aState, const JobId& aJob);
const Task* FindTask(const CellState& aState, const TaskId& aTask);
// The attempt while it is live; null once it has ended.
const Attempt* FindLiveAttempt(const CellState& aState,
                               const AttemptId& aAttempt);
const Worker* FindWorker(const CellState& aState, const WorkerId& aWorker);

std::vector<std::uint8_t> TakeSnapshot(const CellState& aState);

// None when the bytes are not exactly one well-formed snapshot.
std::optional<CellState> RestoreSnapshot(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::cell
