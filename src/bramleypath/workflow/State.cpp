#include "bramleypath/workflow/State.h"

#include <algorithm>
#include <utility>

#include "bramleypath/base/Text.h"
#include "bramleypath/codec/CborWriter.h"
#include "bramleypath/workflow/Crashes.h"
#include "bramleypath/workflow/internal/WorkflowFields.h"

namespace bramleypath::workflow {

namespace {

TaskState* MutableTask(State& aState, const TaskKey& aKey) {
  return const_cast<TaskState*>(FindTask(aState, aKey));
}

StageState& StageOf(Job& aJob, const TaskKey& aKey) {
  return aJob.occurrences.at(aKey.occurrence).stages[aKey.stage];
}

const StageSpec& SpecOf(const Job& aJob, const TaskKey& aKey) {
  return aJob.spec.stages[aKey.stage];
}

void AddOccurrence(Job& aJob) {
  Occurrence occurrence;
  for (const StageSpec& spec : aJob.spec.stages) {
    StageState stage;
    stage.tasks.resize(spec.tasks);
    stage.waiting = spec.tasks;
    occurrence.stages.push_back(std::move(stage));
  }
  aJob.occurrences.emplace(aJob.opened, std::move(occurrence));
  ++aJob.opened;
}

// Clears what only running attempts need once the job has ended without any.
void DropSpec(Job& aJob) {
  if (aJob.phase == JobPhase::Active || aJob.placed > 0) {
    return;
  }
  aJob.spec.specification.clear();
  aJob.spec.specification.shrink_to_fit();
  aJob.spec.stages.clear();
  aJob.spec.stages.shrink_to_fit();
  aJob.occurrences.clear();
}

void Finish(Job& aJob, JobPhase aPhase) {
  if (aJob.phase == JobPhase::Active) {
    aJob.phase = aPhase;
  }
  DropSpec(aJob);
}

std::uint32_t OccurrencesOf(const JobSpec& aSpec) {
  return std::max<std::uint32_t>(aSpec.repetitions, 1);
}

void FinishStageIfDone(Job& aJob, const TaskKey& aKey) {
  StageState& stage = StageOf(aJob, aKey);
  if (stage.done < stage.tasks.size()) {
    return;
  }
  Occurrence& occurrence = aJob.occurrences.at(aKey.occurrence);
  ++occurrence.stagesDone;
  if (occurrence.stagesDone < occurrence.stages.size()) {
    return;
  }
  aJob.occurrences.erase(aKey.occurrence);
  ++aJob.finished;
  if (aJob.finished == OccurrencesOf(aJob.spec)) {
    Finish(aJob, JobPhase::Completed);
  }
}

// Removes the attempt and its reservation from its worker.
void ReleaseReservation(State& aState, Job& aJob, const TaskKey& aKey,
                        TaskState& aTask) {
  const auto worker = aState.workers.find(aTask.worker);
  if (worker != aState.workers.end() &&
      worker->second.attempts.erase(aKey) > 0) {
    worker->second.reserved =
        worker->second.reserved - Reservation(SpecOf(aJob, aKey));
  }
  --StageOf(aJob, aKey).placed;
  --aJob.placed;
  aTask.worker = 0;
}

void MarkDone(Job& aJob, const TaskKey& aKey, TaskState& aTask) {
  aTask.phase = TaskPhase::Done;
  aTask.checkpoint.clear();
  ++StageOf(aJob, aKey).done;
}

bool CountFailure(const State& aState, Job& aJob, const EndedTask& aEnd,
                  TaskState& aTask) {
  ++aTask.failures;
  if (SpecOf(aJob, aEnd.task).longRunning) {
    return false;
  }
  aTask.failedAttempts.push_back(aEnd.attempt);
  const QueueSettings* const queue = FindQueue(aState, aJob.spec.queue);
  return queue && aTask.failures >= queue->maxAttempts;
}

// Marks the task as done by an attempt that was ended before as not done.
void MarkDoneLate(Job& aJob, const TaskKey& aKey, TaskState& aTask) {
  if (aTask.phase == TaskPhase::Placed) {
    aTask.doneByEarlierAttempt = true;
  } else if (aTask.phase == TaskPhase::Waiting) {
    --StageOf(aJob, aKey).waiting;
    MarkDone(aJob, aKey, aTask);
  }
}

// A gang is done with the first done end of a task: the others of the attempt
// need no further attempt. Those that may still run keep their reservations
// until they have ended.
void EndGang(State& aState, Job& aJob, const EndedTask& aEnd) {
  StageState& stage = StageOf(aJob, aEnd.task);
  TaskState& ended = stage.tasks[aEnd.task.index];
  ReleaseReservation(aState, aJob, aEnd.task, ended);
  MarkDone(aJob, aEnd.task, ended);
  TaskKey key = aEnd.task;
  for (key.index = 0; key.index < stage.tasks.size(); ++key.index) {
    TaskState& task = stage.tasks[key.index];
    if (task.attempt == aEnd.attempt) {
      MarkDoneLate(aJob, key, task);
    }
  }
}

bool IsLatestAttempt(const TaskState& aTask, const EndedTask& aEnd) {
  return aTask.phase == TaskPhase::Placed && aTask.attempt == aEnd.attempt;
}

// Applies an end that became known after the attempt had been ended, for
// example because its worker could not be reached until its lease was over.
void ApplyLateEnd(State& aState, const EndedTask& aEnd) {
  Job& job = aState.jobs.at(aEnd.task.job);
  StageState& stage = StageOf(job, aEnd.task);
  if (aEnd.kind == EndKind::Failed) {
    if (CountFailure(aState, job, aEnd, stage.tasks[aEnd.task.index])) {
      Finish(job, JobPhase::Failed);
    }
    return;
  }
  if (SpecOf(job, aEnd.task).gang) {
    // One done end of a gang stands for all of its tasks.
    TaskKey key = aEnd.task;
    for (key.index = 0; key.index < stage.tasks.size(); ++key.index) {
      MarkDoneLate(job, key, stage.tasks[key.index]);
    }
  } else {
    MarkDoneLate(job, aEnd.task, stage.tasks[aEnd.task.index]);
  }
  FinishStageIfDone(job, aEnd.task);
}

ApplyResult ApplyEnd(State& aState, const EndedTask& aEnd) {
  if (!IsUnrecordedEnd(aState, aEnd)) {
    return ApplyResult::Unknown;
  }
  TaskState* const task = MutableTask(aState, aEnd.task);
  Job& job = aState.jobs.at(aEnd.task.job);
  if (!IsLatestAttempt(*task, aEnd)) {
    ApplyLateEnd(aState, aEnd);
    DropSpec(job);
    return ApplyResult::Ok;
  }
  if (aEnd.kind == EndKind::Done || aEnd.kind == EndKind::Failed) {
    ClearCrashes(aState, aEnd.task);
  }
  const StageSpec& spec = SpecOf(job, aEnd.task);
  if (spec.gang && aEnd.kind == EndKind::Done) {
    EndGang(aState, job, aEnd);
    FinishStageIfDone(job, aEnd.task);
    DropSpec(job);
    return ApplyResult::Ok;
  }
  const auto worker = aState.workers.find(task->worker);
  if (aEnd.kind == EndKind::LeaseExpired && worker != aState.workers.end()) {
    RememberExpired(worker->second, aEnd.task, aEnd.attempt);
  }
  ReleaseReservation(aState, job, aEnd.task, *task);
  if (!aEnd.checkpoint.empty()) {
    task->checkpoint = aEnd.checkpoint;
  }
  const bool done = aEnd.kind == EndKind::Done && !spec.longRunning;
  if (done || task->doneByEarlierAttempt) {
    MarkDone(job, aEnd.task, *task);
    FinishStageIfDone(job, aEnd.task);
  } else {
    task->phase = TaskPhase::Waiting;
    ++StageOf(job, aEnd.task).waiting;
    if (aEnd.kind == EndKind::Failed &&
        CountFailure(aState, job, aEnd, *task)) {
      Finish(job, JobPhase::Failed);
    }
  }
  DropSpec(job);
  return ApplyResult::Ok;
}

bool MayPlace(State& aState, const PlacedTask& aPlaced) {
  const auto job = aState.jobs.find(aPlaced.task.job);
  const auto worker = aState.workers.find(aPlaced.worker);
  const TaskState* const task = FindTask(aState, aPlaced.task);
  if (job == aState.jobs.end() || worker == aState.workers.end() || !task) {
    return false;
  }
  return job->second.phase == JobPhase::Active &&
         task->phase == TaskPhase::Waiting && aPlaced.attempt > task->attempt &&
         !worker->second.spec.draining;
}

void PlaceOne(State& aState, const PlacedTask& aPlaced) {
  if (!MayPlace(aState, aPlaced)) {
    return;
  }
  Job& job = aState.jobs.at(aPlaced.task.job);
  StageState& stage = StageOf(job, aPlaced.task);
  TaskState& task = stage.tasks[aPlaced.task.index];
  Worker& worker = aState.workers.at(aPlaced.worker);
  task.phase = TaskPhase::Placed;
  task.attempt = aPlaced.attempt;
  task.worker = aPlaced.worker;
  task.hasWorkerRestarted = false;
  --stage.waiting;
  ++stage.placed;
  ++job.placed;
  job.started = true;
  worker.attempts.insert(aPlaced.task);
  // Tasks are placed on workers that answer, so that this one lives.
  worker.expired.clear();
  worker.reserved = worker.reserved + Reservation(SpecOf(job, aPlaced.task));
}

void GiveUpJobs(State& aState, gsl::span<const TaskKey> aTasks) {
  for (const TaskKey& key : aTasks) {
    Finish(aState.jobs.at(key.job), JobPhase::Failed);
  }
}

// A worker that drains may end without an acknowledged leave.
std::vector<TaskKey> RecordCrashUnlessDraining(
    State& aState, const Worker& aWorker,
    const std::optional<CrashEvidence>& aEvidence) {
  return aWorker.spec.draining ? std::vector<TaskKey>()
                               : RecordCrash(aState, aWorker, aEvidence);
}

void EraseWorker(State& aState, WorkerNumber aNumber) {
  const auto found = aState.workers.find(aNumber);
  if (found == aState.workers.end()) {
    return;
  }
  std::vector<TaskKey> attempts(found->second.attempts.begin(),
                                found->second.attempts.end());
  // The iteration order of a hash table differs between replicas.
  std::sort(attempts.begin(), attempts.end());
  for (const TaskKey& key : attempts) {
    EndedTask end;
    end.task = key;
    end.attempt = FindTask(aState, key)->attempt;
    end.kind = EndKind::LeaseExpired;
    ApplyEnd(aState, end);
  }
  const auto byId = aState.workersById.find(found->second.spec.id.value);
  if (byId != aState.workersById.end() && byId->second == aNumber) {
    aState.workersById.erase(byId);
  }
  aState.workers.erase(found);
}

// Moves the attempts of an earlier incarnation to its successor with the same
// id. Requests name only the id, so those in flight may still be executed by
// the new incarnation. The leader stops the attempts there before their tasks
// can be placed again.
void MoveAttempts(State& aState, WorkerNumber aEarlier, Worker& aWorker) {
  Worker& earlier = aState.workers.at(aEarlier);
  for (const TaskKey& key : earlier.attempts) {
    TaskState* const task = MutableTask(aState, key);
    task->worker = aWorker.number;
    task->hasWorkerRestarted = true;
  }
  aWorker.attempts = std::move(earlier.attempts);
  aWorker.reserved = earlier.reserved;
  aState.workers.erase(aEarlier);
}

ApplyResult ApplyOne(State& aState, const SetLayout& aCommand) {
  if (aCommand.layout.version <= aState.layout.version &&
      aState.layoutChanges > 0) {
    return ApplyResult::Repeated;
  }
  aState.layout = aCommand.layout;
  ++aState.layoutChanges;
  for (const QueueSettings& queue : aState.layout.queues) {
    aState.knownQueues[queue.id.value] = queue;
  }
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const AcceptJob& aCommand) {
  if (aState.jobsById.count(aCommand.spec.id.value) > 0) {
    return ApplyResult::Repeated;
  }
  Job job;
  job.number = ++aState.lastJob;
  job.id = aCommand.spec.id;
  job.spec = aCommand.spec;
  job.acceptedUnixMs = aCommand.acceptedUnixMs;
  const bool isCancelled =
      Take(aState.earlyCancels, job.id, job.acceptedUnixMs);
  if (isCancelled) {
    Finish(job, JobPhase::Cancelled);
  } else if (job.spec.repetitions == 0) {
    AddOccurrence(job);
  }
  aState.jobsById[job.id.value] = job.number;
  aState.jobs.emplace(job.number, std::move(job));
  return isCancelled ? ApplyResult::CancelledBefore : ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const CancelJob& aCommand) {
  const auto found = aState.jobsById.find(aCommand.job.value);
  if (found == aState.jobsById.end()) {
    const bool isKept =
        aCommand.proposedUnixMs == 0 ||
        Remember(aState.earlyCancels, aCommand.job, aCommand.proposedUnixMs);
    return isKept ? ApplyResult::Unknown : ApplyResult::Full;
  }
  Job& job = aState.jobs.at(found->second);
  if (job.phase != JobPhase::Active) {
    return ApplyResult::Repeated;
  }
  Finish(job, JobPhase::Cancelled);
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const RegisterWorker& aCommand) {
  const WorkerSpec& spec = aCommand.worker;
  const auto byId = aState.workersById.find(spec.id.value);
  if (byId != aState.workersById.end()) {
    Worker& worker = aState.workers.at(byId->second);
    if (worker.spec.startedUnixMs == spec.startedUnixMs) {
      worker.spec = spec;
      worker.isLeaving = worker.isLeaving && spec.draining;
      return ApplyResult::Repeated;
    }
    if (worker.spec.startedUnixMs > spec.startedUnixMs) {
      return ApplyResult::Unknown;
    }
  }
  Worker worker;
  worker.number = ++aState.lastWorker;
  worker.spec = spec;
  if (byId != aState.workersById.end()) {
    GiveUpJobs(aState,
               RecordCrashUnlessDraining(
                   aState, aState.workers.at(byId->second), aCommand.evidence));
    MoveAttempts(aState, byId->second, worker);
  }
  aState.workersById[spec.id.value] = worker.number;
  aState.workers.emplace(worker.number, std::move(worker));
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const RemoveWorker& aCommand) {
  const auto worker = aState.workers.find(aCommand.worker);
  if (worker == aState.workers.end()) {
    return ApplyResult::Repeated;
  }
  if (aCommand.hasCrashed) {
    GiveUpJobs(aState, RecordCrashUnlessDraining(aState, worker->second,
                                                 aCommand.evidence));
  }
  EraseWorker(aState, aCommand.worker);
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const LeaveWorker& aCommand) {
  const auto worker = aState.workers.find(aCommand.worker);
  if (worker == aState.workers.end()) {
    return ApplyResult::Repeated;
  }
  if (worker->second.attempts.empty()) {
    EraseWorker(aState, aCommand.worker);
    return ApplyResult::Ok;
  }
  worker->second.spec.draining = true;
  worker->second.isLeaving = true;
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const PlaceTasks& aCommand) {
  for (const PlacedTask& placed : aCommand.tasks) {
    PlaceOne(aState, placed);
  }
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const EndTasks& aCommand) {
  for (const EndedTask& end : aCommand.tasks) {
    ApplyEnd(aState, end);
  }
  ClearTasks(aState, aCommand.cleared);
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const OpenOccurrence& aCommand) {
  const auto found = aState.jobs.find(aCommand.job);
  if (found == aState.jobs.end() || found->second.phase != JobPhase::Active) {
    return ApplyResult::Unknown;
  }
  Job& job = found->second;
  if (aCommand.occurrence != job.opened ||
      job.opened >= OccurrencesOf(job.spec)) {
    return ApplyResult::Repeated;
  }
  AddOccurrence(job);
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const ForgetJobs& aCommand) {
  for (const JobNumber number : aCommand.jobs) {
    const auto found = aState.jobs.find(number);
    if (found == aState.jobs.end() || found->second.phase == JobPhase::Active ||
        found->second.placed > 0) {
      continue;
    }
    aState.jobsById.erase(found->second.id.value);
    aState.jobs.erase(found);
  }
  return ApplyResult::Ok;
}

// Read by each replica for itself; see LeaseEnds.h.
ApplyResult ApplyOne(State& /*aState*/, const PermitLeases& /*aCommand*/) {
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& /*aState*/, const LimitLeases& /*aCommand*/) {
  return ApplyResult::Ok;
}

ApplyResult ApplyOne(State& aState, const SetDrain& aCommand) {
  switch (Set(aState.drains, aCommand.dataCentre, aCommand.drained)) {
    case DrainChange::Changed:
      return ApplyResult::Ok;
    case DrainChange::Unchanged:
      return ApplyResult::Repeated;
    case DrainChange::Full:
      break;
  }
  return ApplyResult::Full;
}

// Rebuilds the indexes and reservations that a snapshot does not store.
void RebuildIndexes(State& aState) {
  for (auto& [number, job] : aState.jobs) {
    aState.jobsById[job.id.value] = number;
    for (auto& [occurrenceNumber, occurrence] : job.occurrences) {
      for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
        const StageState& state = occurrence.stages[stage];
        for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
          const TaskState& task = state.tasks[index];
          const auto worker = aState.workers.find(task.worker);
          if (task.phase != TaskPhase::Placed ||
              worker == aState.workers.end()) {
            continue;
          }
          worker->second.attempts.insert(
              {number, occurrenceNumber, stage, index});
          worker->second.reserved =
              worker->second.reserved + Reservation(job.spec.stages[stage]);
        }
      }
    }
  }
}

// Appends a value by itself. One JSON value of the whole state would take most
// of the time of a snapshot.
template <typename T>
void AppendItem(codec::CborWriter& aWriter, const T& aValue) {
  codec::Json::to_cbor(codec::ToJson(aValue), aWriter.out);
}

template <typename T>
void AppendField(codec::CborWriter& aWriter, const char* aName,
                 const T& aValue) {
  aWriter.Text(aName);
  AppendItem(aWriter, aValue);
}

}  // namespace

ApplyResult Apply(State& aState, const Command& aCommand) {
  return std::visit(
      [&aState](const auto& aOne) { return ApplyOne(aState, aOne); }, aCommand);
}

const Job* FindJob(const State& aState, std::string_view aId) {
  const auto found = aState.jobsById.find(std::string(aId));
  return found == aState.jobsById.end() ? nullptr
                                        : &aState.jobs.at(found->second);
}

bool HasMovedAttempt(const State& aState, const Worker& aWorker) {
  return std::any_of(aWorker.attempts.begin(), aWorker.attempts.end(),
                     [&](const TaskKey& aKey) {
                       const TaskState* const task = FindTask(aState, aKey);
                       return task && task->hasWorkerRestarted;
                     });
}

bool IsDrained(const State& aState, const Worker& aWorker) {
  return IsDrained(aState.drains, aWorker.spec.dataCentre);
}

const Worker* FindWorker(const State& aState, std::string_view aId) {
  const auto found = aState.workersById.find(std::string(aId));
  return found == aState.workersById.end() ? nullptr
                                           : &aState.workers.at(found->second);
}

const QueueSettings* FindQueue(const State& aState, const QueueId& aQueue) {
  const auto found = aState.knownQueues.find(aQueue.value);
  return found == aState.knownQueues.end() ? nullptr : &found->second;
}

const QueueSettings* SelectQueue(const Layout& aLayout, std::string_view aHost,
                                 std::string_view aPath) {
  const QueueSettings* best = nullptr;
  for (const QueueSettings& queue : aLayout.queues) {
    if (queue.host != aHost || !StartsWith(aPath, queue.pathPrefix)) {
      continue;
    }
    if (!best || queue.pathPrefix.size() > best->pathPrefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const Job* FindJobOfPath(const State& aState, std::string_view aHost,
                         std::string_view aPath) {
  const std::string_view id = aPath.substr(aPath.find_last_of('/') + 1);
  const Job* const job = FindJob(aState, id);
  const QueueSettings* const queue =
      job ? FindQueue(aState, job->spec.queue) : nullptr;
  const bool isOfQueue =
      queue && queue->host == aHost &&
      aPath.substr(0, aPath.size() - id.size()) == queue->pathPrefix;
  return isOfQueue ? job : nullptr;
}

const TaskState* FindTask(const State& aState, const TaskKey& aKey) {
  const auto job = aState.jobs.find(aKey.job);
  return job == aState.jobs.end() ? nullptr : FindTask(job->second, aKey);
}

const TaskState* FindTask(const Job& aJob, const TaskKey& aKey) {
  const auto occurrence = aJob.occurrences.find(aKey.occurrence);
  if (occurrence == aJob.occurrences.end() ||
      aKey.stage >= occurrence->second.stages.size() ||
      aKey.index >= occurrence->second.stages[aKey.stage].tasks.size()) {
    return nullptr;
  }
  return &occurrence->second.stages[aKey.stage].tasks[aKey.index];
}

bool IsUnrecordedEnd(const State& aState, const EndedTask& aEnd) {
  const TaskState* const task = FindTask(aState, aEnd.task);
  if (!task || task->phase == TaskPhase::Done) {
    return false;
  }
  if (IsLatestAttempt(*task, aEnd)) {
    return true;
  }
  const Job& job = aState.jobs.at(aEnd.task.job);
  if (job.phase != JobPhase::Active || task->doneByEarlierAttempt ||
      aEnd.attempt == 0 || aEnd.attempt > task->attempt ||
      SpecOf(job, aEnd.task).longRunning) {
    return false;
  }
  const std::vector<AttemptNumber>& failed = task->failedAttempts;
  return aEnd.kind == EndKind::Done ||
         (aEnd.kind == EndKind::Failed &&
          std::find(failed.begin(), failed.end(), aEnd.attempt) ==
              failed.end());
}

bool IsStageOpen(const Job& aJob, const Occurrence& aOccurrence,
                 std::uint32_t aStage) {
  const std::vector<std::uint32_t>& after = aJob.spec.stages[aStage].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
    const StageState& stage = aOccurrence.stages[aEarlier];
    return stage.done == stage.tasks.size();
  });
}

Resources Reservation(const StageSpec& aStage) {
  return Reservation(aStage.demand, aStage.filler);
}

Resources Reservation(const Resources& aDemand, bool aFiller) {
  Resources reserved = aDemand;
  if (aFiller) {
    reserved.processorsMilli = 0;
  }
  return reserved;
}

bool IsWaiting(const Job& aJob) {
  return aJob.phase == JobPhase::Active && !aJob.started;
}

bool IsLongRunning(const Job& aJob) {
  return std::any_of(
      aJob.spec.stages.begin(), aJob.spec.stages.end(),
      [](const StageSpec& aStage) { return aStage.longRunning; });
}

std::vector<std::uint8_t> EncodeState(const State& aState) {
  std::vector<std::uint8_t> bytes;
  codec::CborWriter writer{bytes};
  writer.OpenMap();
  AppendField(writer, "layout", aState.layout);
  writer.Required("changes", aState.layoutChanges);
  writer.Required("last_job", aState.lastJob);
  writer.Required("last_worker", aState.lastWorker);
  writer.Text("jobs");
  writer.OpenArray();
  for (const auto& [number, job] : aState.jobs) {
    // Writing moves the occurrences of the job that it visits.
    writer.Value(Job(job));
  }
  writer.Close();
  writer.Text("workers");
  writer.OpenArray();
  for (const auto& [number, worker] : aState.workers) {
    AppendItem(writer, NumberedWorker{number, worker.spec, worker.expired,
                                      worker.isLeaving});
  }
  writer.Close();
  writer.Text("queues");
  writer.OpenArray();
  for (const auto& [name, queue] : aState.knownQueues) {
    AppendItem(writer, queue);
  }
  writer.Close();
  if (!aState.earlyCancels.entries.empty()) {
    writer.Text("early");
    writer.OpenArray();
    for (const auto& [order, cancel] : aState.earlyCancels.entries) {
      AppendItem(writer, cancel);
    }
    writer.Close();
  }
  const std::set<DataCentreId>& drained = aState.drains.dataCentres;
  if (!drained.empty()) {
    writer.Required("drained",
                    std::vector<DataCentreId>(drained.begin(), drained.end()));
  }
  writer.Close();
  return bytes;
}

bool DecodeState(const std::vector<std::uint8_t>& aBytes, State& aState,
                 std::string& aReason) {
  auto stored = codec::FromCbor<StoredState>(aBytes);
  if (!stored) {
    aReason = "the snapshot of the jobs can't be read";
    return false;
  }
  State state;
  state.layout = std::move(stored->layout);
  state.layoutChanges = stored->layoutChanges;
  state.lastJob = stored->lastJob;
  state.lastWorker = stored->lastWorker;
  for (NumberedWorker& one : stored->workers) {
    Worker worker;
    worker.number = one.number;
    worker.spec = std::move(one.spec);
    worker.expired = std::move(one.expired);
    worker.isLeaving = one.isLeaving;
    state.workersById[worker.spec.id.value] = worker.number;
    state.workers.emplace(one.number, std::move(worker));
  }
  for (Job& job : stored->jobs) {
    const JobNumber number = job.number;
    state.jobs.emplace(number, std::move(job));
  }
  for (QueueSettings& queue : stored->queues) {
    state.knownQueues[queue.id.value] = std::move(queue);
  }
  for (EarlyCancel& cancel : stored->earlyCancels) {
    Restore(state.earlyCancels, std::move(cancel));
  }
  state.drains.dataCentres.insert(stored->drained.begin(),
                                  stored->drained.end());
  RebuildIndexes(state);
  IndexSuspects(state);
  aState = std::move(state);
  return true;
}

}  // namespace bramleypath::workflow
