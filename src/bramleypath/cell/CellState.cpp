#include "bramleypath/cell/CellState.h"

#include <algorithm>
#include <utility>

#include "bramleypath/base/StateChart.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bramleypath::cell {

namespace {

// Larger amounts are refused, so that sums can't overflow.
constexpr std::int64_t kMaxAmount = 1000000000000;

Outcome Accept(std::string aDetail = "") {
  Outcome outcome;
  outcome.accepted = true;
  outcome.detail = std::move(aDetail);
  return outcome;
}

Outcome Refuse(RefusalCode aCode, std::string aDetail) {
  Outcome outcome;
  outcome.code = aCode;
  outcome.detail = std::move(aDetail);
  return outcome;
}

const Chart& AttemptChart() {
  static const Chart kChart = LoadBuiltInChart("task_attempt");
  return kChart;
}

// The attempt's state after the event; nullopt when the chart has no such
// transition.
std::optional<AttemptState> NextAttemptState(AttemptState aState,
                                             const char* aEvent,
                                             const GuardEvaluator& aGuards) {
  const Chart& chart = AttemptChart();
  const auto next = NextState(chart, static_cast<StateIndex>(aState),
                              *FindEvent(chart, aEvent), aGuards);
  if (!next) {
    return std::nullopt;
  }
  return static_cast<AttemptState>(*next);
}

bool IsValidName(const std::string& aText) {
  return !aText.empty() && aText.size() <= kMaxTextBytes;
}

bool IsValidAmount(const Resources& aResources) {
  const auto inRange = [](std::int64_t aValue) {
    return aValue >= 0 && aValue <= kMaxAmount;
  };
  return inRange(aResources.processorsMilli) && inRange(aResources.memoryMb) &&
         inRange(aResources.accelerators);
}

// Returns the name of the first invalid field; empty when all are valid.
const char* InvalidField(const JobSpec& aSpec) {
  if (!IsValidName(aSpec.id.value)) {
    return "id";
  }
  if (!IsValidName(aSpec.clientAccount.value)) {
    return "member";
  }
  if (!IsValidName(aSpec.classId.value)) {
    return "class";
  }
  if (aSpec.taskCount == 0 || aSpec.taskCount > kMaxTasksOfJob) {
    return "task count";
  }
  if (!IsValidAmount(aSpec.perTask) || aSpec.perTask == Resources{}) {
    return "resources";
  }
  if (aSpec.declaredRunMs < 0) {
    return "run time";
  }
  return "";
}

Task* MutableTask(CellState& aState, const TaskId& aTask) {
  return const_cast<Task*>(FindTask(aState, aTask));
}

void Summarise(CellState& aState, const JobId& aJob) {
  const auto found = aState.jobs.find(aJob);
  ClientAccount& clientAccount =
      aState.clientAccounts[found->second.spec.clientAccount];
  for (const Task& task : found->second.tasks) {
    clientAccount.finishedTasks += task.state == TaskState::Finished ? 1 : 0;
    clientAccount.failedTasks += task.state == TaskState::Failed ? 1 : 0;
    clientAccount.cancelledTasks += task.state == TaskState::Cancelled ? 1 : 0;
  }
  aState.jobs.erase(found);
}

void EndTask(CellState& aState, Job& aJob, Task& aTask, TaskState aEnd) {
  aTask.state = aEnd;
  ++aJob.endedTasks;
  --aState.liveTasks;
  if (HasEnded(aJob)) {
    aState.endedJobs.push_back(aJob.spec.id);
  }
}

// Ended jobs are summarised only here, after a command was applied, since
// references to jobs are in use while it is applied.
void TrimEndedJobs(CellState& aState) {
  while (aState.endedJobs.size() > kMaxEndedJobs) {
    Summarise(aState, aState.endedJobs.front());
    aState.endedJobs.pop_front();
  }
}

bool SomeWorkerCouldHold(const CellState& aState, const Resources& aDemand) {
  // A cell without workers is starting up: the job waits for the first workers.
  return aState.workers.empty() ||
         std::any_of(aState.workers.begin(), aState.workers.end(),
                     [&aDemand](const auto& aEntry) {
                       return Fits(aDemand, aEntry.second.capacity);
                     });
}

Outcome Submit(CellState& aState, const JobSpec& aSpec) {
  const char* field = InvalidField(aSpec);
  if (*field != '\0') {
    return Refuse(RefusalCode::InvalidField, field);
  }
  if (aState.jobs.count(aSpec.id) != 0) {
    return Refuse(RefusalCode::JobExists, aSpec.id.value);
  }
  const auto clientAccount = aState.clientAccounts.find(aSpec.clientAccount);
  if (aState.jobs.size() >= kMaxJobs ||
      aState.liveTasks + aSpec.taskCount > kMaxTasks ||
      (clientAccount == aState.clientAccounts.end() &&
       aState.clientAccounts.size() >= kMaxClientAccounts)) {
    return Refuse(RefusalCode::TableFull, "jobs, tasks or members");
  }
  if (!SomeWorkerCouldHold(aState, aSpec.perTask)) {
    return Refuse(RefusalCode::NoWorkerLargeEnough, aSpec.id.value);
  }
  if (clientAccount != aState.clientAccounts.end() &&
      clientAccount->second.quota &&
      !Fits(aSpec.perTask, *clientAccount->second.quota)) {
    return Refuse(RefusalCode::TaskExceedsQuota, aSpec.clientAccount.value);
  }
  Job job;
  job.spec = aSpec;
  job.sequence = ++aState.lastSequence;
  job.tasks.resize(aSpec.taskCount);
  aState.clientAccounts[aSpec.clientAccount];
  aState.liveTasks += aSpec.taskCount;
  aState.jobs.emplace(aSpec.id, std::move(job));
  return Accept();
}

void CancelJob(CellState& aState, Job& aJob) {
  aJob.cancelled = true;
  for (Task& task : aJob.tasks) {
    if (task.state == TaskState::Pending) {
      EndTask(aState, aJob, task, TaskState::Cancelled);
    } else if (task.live) {
      const auto next = NextAttemptState(task.live->state, "cancel",
                                         [](std::string_view) { return true; });
      task.live->state = next.value_or(task.live->state);
    }
  }
}

Outcome Cancel(CellState& aState, const std::vector<JobId>& aJobs) {
  if (aJobs.empty() || aJobs.size() > kMaxJobs) {
    return Refuse(RefusalCode::InvalidField, "jobs");
  }
  std::size_t known = 0;
  for (const JobId& id : aJobs) {
    const auto job = aState.jobs.find(id);
    if (job == aState.jobs.end()) {
      continue;
    }
    ++known;
    if (!HasEnded(job->second) && !job->second.cancelled) {
      CancelJob(aState, job->second);
    }
  }
  if (known == 0) {
    return Refuse(RefusalCode::UnknownJob, aJobs.front().value);
  }
  return Accept(std::to_string(known) + " of " + std::to_string(aJobs.size()) +
                " jobs known");
}

// Applies an operator's request only once: a resent request gets the answer
// that the first one got.

template <typename Function>
Outcome ApplyOnce(CellState& aState, const RequestId& aRequest,
                  const Command& aCommand, Function aApply) {
  if (!IsValidName(aRequest.value)) {
    return Refuse(RefusalCode::InvalidField, "request id");
  }
  const std::vector<std::uint8_t> bytes = EncodeCommand(aCommand);
  const std::uint64_t fingerprint = XXH64(bytes.data(), bytes.size(), 0);
  const auto known = aState.requests.find(aRequest);
  if (known != aState.requests.end()) {
    if (known->second.fingerprint != fingerprint) {
      return Refuse(RefusalCode::RequestIdReused, aRequest.value);
    }
    Outcome outcome = known->second.outcome;
    outcome.repeated = true;
    return outcome;
  }
  Outcome outcome = aApply();
  aState.requests.emplace(aRequest, AnsweredRequest{fingerprint, outcome});
  aState.requestOrder.push_back(aRequest);
  if (aState.requestOrder.size() > kMaxRequests) {
    aState.requests.erase(aState.requestOrder.front());
    aState.requestOrder.pop_front();
  }
  return outcome;
}

void ReleaseReservation(CellState& aState, const Job& aJob,
                        const AttemptId& aAttempt, const Attempt& aLive) {
  Worker& worker = aState.workers.at(aLive.worker);
  worker.reservations.erase(aAttempt);
  worker.reserved = worker.reserved - aLive.resources;
  ClientAccount& clientAccount =
      aState.clientAccounts.at(aJob.spec.clientAccount);
  clientAccount.used = clientAccount.used - aLive.resources;
}

// Returns why the attempt may not start, or None when it may.
RefusalCode StartRefusal(const CellState& aState, const Job& aJob,
                         const Task& aTask, const StartAttempt& aCommand) {
  const Worker* worker = FindWorker(aState, aCommand.worker);
  const ClientAccount& clientAccount =
      aState.clientAccounts.at(aJob.spec.clientAccount);
  if (HasEnded(aTask.state) || aJob.cancelled) {
    return RefusalCode::TaskEnded;
  }
  if (aTask.live) {
    return RefusalCode::TaskHasLiveAttempt;
  }
  if (aCommand.attempt.number != aTask.attempts + 1) {
    return RefusalCode::WrongAttempt;
  }
  if (aCommand.checkpoint != aTask.checkpoint) {
    return RefusalCode::WrongCheckpoint;
  }
  if (worker == nullptr) {
    return RefusalCode::UnknownWorker;
  }
  if (worker->incarnation != aCommand.incarnation) {
    return RefusalCode::OldIncarnation;
  }
  if (!IsValidAmount(aCommand.resources) || aCommand.resources == Resources{}) {
    return RefusalCode::InvalidField;
  }
  if (!Fits(aCommand.resources, worker->capacity - worker->reserved)) {
    return RefusalCode::InsufficientResources;
  }
  if (clientAccount.quota &&
      !Fits(clientAccount.used + aCommand.resources, *clientAccount.quota)) {
    return RefusalCode::QuotaExceeded;
  }
  return RefusalCode::None;
}

Outcome ApplyTyped(CellState& aState, const StartAttempt& aCommand) {
  Task* task = MutableTask(aState, aCommand.attempt.task);
  if (task == nullptr) {
    return Refuse(RefusalCode::UnknownTask, aCommand.attempt.task.job.value);
  }
  const Job& job = aState.jobs.at(aCommand.attempt.task.job);
  const RefusalCode refusal = StartRefusal(aState, job, *task, aCommand);
  const auto next = NextAttemptState(
      AttemptState::Proposed, "start", [refusal](std::string_view aGuard) {
        return aGuard == "startable" && refusal == RefusalCode::None;
      });
  if (!next) {
    return Refuse(refusal, job.spec.id.value);
  }
  Attempt attempt;
  attempt.number = aCommand.attempt.number;
  attempt.state = *next;
  attempt.worker = aCommand.worker;
  attempt.incarnation = aCommand.incarnation;
  attempt.resources = aCommand.resources;
  Worker& worker = aState.workers.at(aCommand.worker);
  worker.reservations.emplace(aCommand.attempt, aCommand.resources);
  worker.reserved = worker.reserved + aCommand.resources;
  ClientAccount& clientAccount =
      aState.clientAccounts.at(job.spec.clientAccount);
  clientAccount.used = clientAccount.used + aCommand.resources;
  task->live = std::move(attempt);
  task->state = TaskState::Running;
  task->attempts = aCommand.attempt.number;
  if (task->resumptions < task->evictions) {
    ++task->resumptions;
  }
  return Accept();
}

const char* EventName(EndKind aKind) {
  switch (aKind) {
    case EndKind::Finished:
      return "finished";
    case EndKind::Failed:
      return "failed";
    case EndKind::Evicted:
      return "evicted";
    case EndKind::Stopped:
      return "stopped";
    case EndKind::Lost:
    case EndKind::LeaseExpired:
      break;
  }
  return "lost";
}

// Records a failure on the worker. Returns whether the task ends as failed; a
// service never does, but is restarted until it is cancelled.
bool RecordFailure(Task& aTask, const JobSpec& aSpec, const WorkerId& aWorker,
                   bool aCountsAgainstTask) {
  ++aTask.failures;
  const auto& known = aTask.failedOn;
  if (aCountsAgainstTask && known.size() < kMaxFailedWorkers &&
      std::find(known.begin(), known.end(), aWorker) == known.end()) {
    aTask.failedOn.push_back(aWorker);
  }
  return aSpec.kind == JobKind::Batch &&
         (aTask.failedOn.size() >= kMaxFailedWorkers ||
          aTask.failures >= kMaxFailures);
}

void UpdateTaskAfterEnd(CellState& aState, Job& aJob, Task& aTask,
                        const Attempt& aEnded, AttemptState aEnd,
                        const EndAttempt& aCommand) {
  if (aEnd == AttemptState::Finished) {
    EndTask(aState, aJob, aTask, TaskState::Finished);
    return;
  }
  if (aEnd == AttemptState::Cancelled) {
    EndTask(aState, aJob, aTask, TaskState::Cancelled);
    return;
  }
  if (aEnd == AttemptState::Failed &&
      RecordFailure(aTask, aJob.spec, aEnded.worker,
                    aCommand.countsAgainstTask)) {
    EndTask(aState, aJob, aTask, TaskState::Failed);
    return;
  }
  if (aEnd == AttemptState::Evicted) {
    ++aTask.evictions;
    if (!aCommand.checkpoint.empty()) {
      aTask.checkpoint = aCommand.checkpoint;
    }
  }
  aTask.state = TaskState::Pending;
}

// Returns the task if the named attempt is its live one, otherwise null with
// the refusal in aOutcome.
Task* TaskOfLiveAttempt(CellState& aState, const AttemptId& aAttempt,
                        Outcome& aOutcome) {
  Task* task = MutableTask(aState, aAttempt.task);
  if (task == nullptr) {
    aOutcome = Refuse(RefusalCode::UnknownTask, aAttempt.task.job.value);
    return nullptr;
  }
  if (!task->live || task->live->number != aAttempt.number) {
    aOutcome = Refuse(RefusalCode::WrongAttempt, aAttempt.task.job.value);
    return nullptr;
  }
  return task;
}

// Whether the attempt finished although its end was committed before, for
// example as an expired lease. A later attempt that is live must end first,
// since its reservation would be lost otherwise.
bool IsLateFinish(const CellState& aState, const EndAttempt& aCommand) {
  return aCommand.kind == EndKind::Finished &&
         IsEndedAttemptOfOpenTask(aState, aCommand.attempt) &&
         !FindTask(aState, aCommand.attempt.task)->live;
}

Outcome ApplyTyped(CellState& aState, const EndAttempt& aCommand) {
  if (IsLateFinish(aState, aCommand)) {
    EndTask(aState, aState.jobs.at(aCommand.attempt.task.job),
            *MutableTask(aState, aCommand.attempt.task), TaskState::Finished);
    return Accept();
  }
  Outcome outcome;
  Task* task = TaskOfLiveAttempt(aState, aCommand.attempt, outcome);
  if (task == nullptr) {
    return outcome;
  }
  if (aCommand.checkpoint.size() > kMaxTextBytes) {
    return Refuse(RefusalCode::InvalidField, "checkpoint");
  }
  const auto next =
      NextAttemptState(task->live->state, EventName(aCommand.kind),
                       [](std::string_view) { return false; });
  if (!next) {
    return Refuse(RefusalCode::NotAllowedInState, EventName(aCommand.kind));
  }
  Job& job = aState.jobs.at(aCommand.attempt.task.job);
  const Attempt ended = *std::move(task->live);
  task->live.reset();
  ReleaseReservation(aState, job, aCommand.attempt, ended);
  UpdateTaskAfterEnd(aState, job, *task, ended, *next, aCommand);
  return Accept();
}

const char* EventName(AttemptMark aMark) {
  switch (aMark) {
    case AttemptMark::Throttle:
      return "throttle";
    case AttemptMark::Unthrottle:
      return "unthrottle";
    case AttemptMark::Evict:
      break;
  }
  return "evict";
}

Outcome ApplyTyped(CellState& aState, const MarkAttempt& aCommand) {
  Outcome outcome;
  Task* task = TaskOfLiveAttempt(aState, aCommand.attempt, outcome);
  if (task == nullptr) {
    return outcome;
  }
  Job& job = aState.jobs.at(aCommand.attempt.task.job);
  const bool withinBudget = job.evictionsUsed < job.spec.evictionBudget;
  const auto next = NextAttemptState(
      task->live->state, EventName(aCommand.mark),
      [withinBudget](std::string_view aGuard) {
        return aGuard == "within_eviction_budget" && withinBudget;
      });
  if (!next) {
    const bool spent = aCommand.mark == AttemptMark::Evict && !withinBudget;
    return Refuse(spent ? RefusalCode::EvictionBudgetSpent
                        : RefusalCode::NotAllowedInState,
                  job.spec.id.value);
  }
  task->live->state = *next;
  if (aCommand.mark == AttemptMark::Evict) {
    ++job.evictionsUsed;
  }
  return Accept();
}

Outcome ApplyTyped(CellState& aState, const SubmitJob& aCommand) {
  return ApplyOnce(aState, aCommand.request, aCommand,
                   [&] { return Submit(aState, aCommand.spec); });
}

Outcome ApplyTyped(CellState& aState, const CancelJobs& aCommand) {
  return ApplyOnce(aState, aCommand.request, aCommand,
                   [&] { return Cancel(aState, aCommand.jobs); });
}

Outcome ApplyTyped(CellState& aState, const RegisterWorker& aCommand) {
  if (!IsValidName(aCommand.worker.value) ||
      !IsValidAmount(aCommand.capacity) ||
      aCommand.rack.value.size() > kMaxTextBytes) {
    return Refuse(RefusalCode::InvalidField, "worker, capacity or rack");
  }
  const auto found = aState.workers.find(aCommand.worker);
  if (found == aState.workers.end() && aState.workers.size() >= kMaxWorkers) {
    return Refuse(RefusalCode::TableFull, "workers");
  }
  if (found != aState.workers.end()) {
    const Worker& known = found->second;
    if (aCommand.incarnation < known.incarnation) {
      return Refuse(RefusalCode::OldIncarnation, aCommand.worker.value);
    }
    if (!Fits(known.reserved, aCommand.capacity)) {
      return Refuse(RefusalCode::CapacityBelowReservations,
                    aCommand.worker.value);
    }
  }
  Worker& worker = aState.workers[aCommand.worker];
  worker.incarnation = aCommand.incarnation;
  worker.capacity = aCommand.capacity;
  worker.rack = aCommand.rack;
  return Accept();
}

Outcome ApplyTyped(CellState& aState, const RemoveWorker& aCommand) {
  const auto found = aState.workers.find(aCommand.worker);
  if (found == aState.workers.end()) {
    return Refuse(RefusalCode::UnknownWorker, aCommand.worker.value);
  }
  if (found->second.incarnation != aCommand.incarnation) {
    return Refuse(RefusalCode::OldIncarnation, aCommand.worker.value);
  }
  if (!found->second.reservations.empty()) {
    return Refuse(RefusalCode::WorkerHoldsReservations, aCommand.worker.value);
  }
  aState.workers.erase(found);
  return Accept();
}

Outcome ApplyTyped(CellState& aState, const SetQuotas& aCommand) {
  std::size_t added = 0;
  for (const ClientAccountQuota& quota : aCommand.quotas) {
    if (!IsValidName(quota.clientAccount.value) ||
        !IsValidAmount(quota.limit)) {
      return Refuse(RefusalCode::InvalidField, "quota");
    }
    added += aState.clientAccounts.count(quota.clientAccount) == 0 ? 1 : 0;
  }
  if (aState.clientAccounts.size() + added > kMaxClientAccounts) {
    return Refuse(RefusalCode::TableFull, "members");
  }
  for (auto& [id, clientAccount] : aState.clientAccounts) {
    clientAccount.quota.reset();
  }
  for (const ClientAccountQuota& quota : aCommand.quotas) {
    aState.clientAccounts[quota.clientAccount].quota = quota.limit;
  }
  return Accept();
}

}  // namespace

bool HasEnded(TaskState aState) {
  return aState == TaskState::Finished || aState == TaskState::Failed ||
         aState == TaskState::Cancelled;
}

bool HasEnded(const Job& aJob) { return aJob.endedTasks == aJob.tasks.size(); }

Outcome Apply(CellState& aState, const Command& aCommand) {
  Outcome outcome = std::visit(
      [&aState](const auto& aTyped) { return ApplyTyped(aState, aTyped); },
      aCommand);
  TrimEndedJobs(aState);
  return outcome;
}

const Job* FindJob(const CellState& aState, const JobId& aJob) {
  const auto found = aState.jobs.find(aJob);
  return found == aState.jobs.end() ? nullptr : &found->second;
}

const Task* FindTask(const CellState& aState, const TaskId& aTask) {
  const Job* job = FindJob(aState, aTask.job);
  return job == nullptr || aTask.index >= job->tasks.size()
             ? nullptr
             : &job->tasks[aTask.index];
}

const Attempt* FindLiveAttempt(const CellState& aState,
                               const AttemptId& aAttempt) {
  const Task* task = FindTask(aState, aAttempt.task);
  return task == nullptr || !task->live || task->live->number != aAttempt.number
             ? nullptr
             : &*task->live;
}

const Worker* FindWorker(const CellState& aState, const WorkerId& aWorker) {
  const auto found = aState.workers.find(aWorker);
  return found == aState.workers.end() ? nullptr : &found->second;
}

bool IsEndedAttemptOfOpenTask(const CellState& aState,
                              const AttemptId& aAttempt) {
  const Task* task = FindTask(aState, aAttempt.task);
  return task != nullptr && !HasEnded(task->state) && aAttempt.number > 0 &&
         aAttempt.number <= task->attempts &&
         FindLiveAttempt(aState, aAttempt) == nullptr;
}

const char* Describe(RefusalCode aCode) {
  switch (aCode) {
    case RefusalCode::None:
      return "accepted";
    case RefusalCode::InvalidField:
      return "a field is missing or out of range";
    case RefusalCode::TableFull:
      return "a table of the cell is full";
    case RefusalCode::RequestIdReused:
      return "the request id was used for another request";
    case RefusalCode::JobExists:
      return "a job with this id exists";
    case RefusalCode::UnknownJob:
      return "no such job";
    case RefusalCode::UnknownTask:
      return "no such task";
    case RefusalCode::UnknownWorker:
      return "no such worker";
    case RefusalCode::NoWorkerLargeEnough:
      return "no worker is large enough for a task of the job";
    case RefusalCode::TaskExceedsQuota:
      return "one task alone is above the member's quota";
    case RefusalCode::OldIncarnation:
      return "the worker has another incarnation";
    case RefusalCode::CapacityBelowReservations:
      return "the capacity is below what is reserved";
    case RefusalCode::WorkerHoldsReservations:
      return "the worker holds reservations";
    case RefusalCode::TaskHasLiveAttempt:
      return "an attempt of the task may be running";
    case RefusalCode::TaskEnded:
      return "the task has ended or is cancelled";
    case RefusalCode::WrongAttempt:
      return "the attempt is not the current one";
    case RefusalCode::WrongCheckpoint:
      return "the checkpoint is not the committed one";
    case RefusalCode::InsufficientResources:
      return "the worker has not enough room";
    case RefusalCode::QuotaExceeded:
      return "the member's quota is used up";
    case RefusalCode::EvictionBudgetSpent:
      return "the job's eviction budget is spent";
    case RefusalCode::NotAllowedInState:
      return "not allowed in the attempt's state";
  }
  return "unknown";
}

}  // namespace bramleypath::cell
