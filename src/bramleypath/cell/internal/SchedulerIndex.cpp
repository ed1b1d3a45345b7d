#include "bramleypath/cell/internal/SchedulerIndex.h"

#include <algorithm>
#include <utility>

namespace bramleypath::cell::detail {

namespace {

// Counterparts kept in a failure record; IsSuspect needs only two.
constexpr std::size_t kMaxCounterparts = 4;
// A job is also backed off after this many failures, even on one worker.
constexpr std::uint32_t kFailuresBeforeBackOff = 3;
constexpr std::uint32_t kMaxDoublings = 16;

std::map<std::uint64_t, JobId>& QueueOf(Scheduler& aScheduler,
                                        const JobTrack& aTrack) {
  return aTrack.urgent ? aScheduler.urgentQueue : aScheduler.normalQueue;
}

enum class QueuePosition : std::uint8_t { First, Last };

void Enqueue(const Context& aContext, const JobId& aJob, std::uint32_t aIndex,
             QueuePosition aPosition = QueuePosition::First) {
  const auto found = aContext.scheduler.jobs.find(aJob);
  if (found == aContext.scheduler.jobs.end()) {
    return;
  }
  JobTrack& track = found->second;
  if (track.pending.empty()) {
    track.waitingSince = aContext.now;
    track.reason = WaitReason::NotScheduledYet;
  }
  if (aPosition == QueuePosition::First) {
    track.pending.push_back(aIndex);
  } else {
    // Inserting at the front is slower than in a deque, but a vector takes 600
    // bytes less per job.
    track.pending.insert(track.pending.begin(), aIndex);
  }
  QueueOf(aContext.scheduler, track).emplace(track.sequence, aJob);
  aContext.scheduler.placementDue = true;
}

TimePoint BackOffEnd(const Context& aContext, std::uint32_t aCount) {
  const SchedulerSettings& settings = aContext.scheduler.settings;
  const std::uint32_t doublings =
      std::min(aCount == 0 ? 0 : aCount - 1, kMaxDoublings);
  const std::int64_t length = std::min(settings.backOffMin.micros << doublings,
                                       settings.backOffMax.micros);
  return aContext.now + Micros(length);
}

// Restores the back-off from the replicated failure counts, so that a change of
// the leader does not end it.
void RestoreBackOff(const Context& aContext, const Job& aJob,
                    JobTrack& aTrack) {
  std::uint32_t failures = 0;
  for (const Task& task : aJob.tasks) {
    if (task.state == TaskState::Pending) {
      failures = std::max(failures, task.failures);
    }
  }
  if (failures >= kFailuresBeforeBackOff) {
    aTrack.failures.backOffUntil = BackOffEnd(aContext, failures);
  }
}

void AddJob(const Context& aContext, const Job& aJob) {
  JobTrack& track = aContext.scheduler.jobs[aJob.spec.id];
  track.urgent = aJob.spec.urgent;
  track.sequence = aJob.sequence;
  RestoreBackOff(aContext, aJob, track);
  for (auto index = static_cast<std::uint32_t>(aJob.tasks.size()); index > 0;
       --index) {
    if (aJob.tasks[index - 1].state == TaskState::Pending) {
      Enqueue(aContext, aJob.spec.id, index - 1);
    }
  }
}

void RemoveFromQueue(Scheduler& aScheduler, JobTrack& aTrack) {
  aTrack.pending.clear();
  QueueOf(aScheduler, aTrack).erase(aTrack.sequence);
}

void RemoveJob(const Context& aContext, const JobId& aJob) {
  const auto found = aContext.scheduler.jobs.find(aJob);
  if (found == aContext.scheduler.jobs.end()) {
    return;
  }
  RemoveFromQueue(aContext.scheduler, found->second);
  aContext.scheduler.jobs.erase(found);
  Notify(aContext, NoticeKind::JobEnded, AttemptId{TaskId{aJob, 0}, 0},
         WorkerId(), "");
}

std::uint32_t RackNumber(Scheduler& aScheduler, const RackId& aRack) {
  const auto next = static_cast<std::uint32_t>(aScheduler.racks.size());
  return aScheduler.racks.emplace(aRack, next).first->second;
}

std::size_t AllocateSlot(Scheduler& aScheduler) {
  if (!aScheduler.freeSlots.empty()) {
    const std::size_t slot = aScheduler.freeSlots.back();
    aScheduler.freeSlots.pop_back();
    return slot;
  }
  aScheduler.candidates.emplace_back();
  aScheduler.workers.emplace_back();
  return aScheduler.candidates.size() - 1;
}

void UpsertWorker(const Context& aContext, const WorkerId& aId,
                  const Worker& aWorker) {
  Scheduler& scheduler = aContext.scheduler;
  const auto found = scheduler.slots.find(aId);
  std::size_t slot = 0;
  if (found != scheduler.slots.end()) {
    slot = found->second;
  } else {
    slot = AllocateSlot(scheduler);
    scheduler.slots.emplace(aId, slot);
    scheduler.workers[slot] = WorkerTrack{};
    scheduler.workers[slot].lastContactAt = aContext.now;
    // When an earlier leader last renewed the leases is unknown, but it was
    // before now.
    scheduler.workers[slot].leaseSentAt = aContext.now;
  }
  WorkerCandidate& candidate = scheduler.candidates[slot];
  candidate.worker = aId;
  candidate.rack = RackNumber(scheduler, aWorker.rack);
  candidate.capacity = aWorker.capacity;
  UpdateCandidate(aContext, slot);
  scheduler.placementDue = true;
}

void EraseWorker(const Context& aContext, const WorkerId& aId) {
  Scheduler& scheduler = aContext.scheduler;
  const auto found = scheduler.slots.find(aId);
  if (found == scheduler.slots.end()) {
    return;
  }
  scheduler.candidates[found->second] = WorkerCandidate{};
  scheduler.workers[found->second] = WorkerTrack{};
  scheduler.freeSlots.push_back(found->second);
  scheduler.slots.erase(found);
}

Goal GoalOf(AttemptState aState) {
  switch (aState) {
    case AttemptState::Throttled:
      return Goal::Throttle;
    case AttemptState::Evicting:
      return Goal::EvictThrottle;
    case AttemptState::Cancelling:
      return Goal::Stop;
    default:
      return Goal::Run;
  }
}

void AddAttempt(const Context& aContext, const TaskId& aTask,
                const Attempt& aAttempt) {
  Scheduler& scheduler = aContext.scheduler;
  const auto slot = scheduler.slots.find(aAttempt.worker);
  if (slot == scheduler.slots.end()) {
    return;
  }
  AttemptTrack& track = scheduler.workers[slot->second].attempts[aTask];
  track = AttemptTrack{};
  track.number = aAttempt.number;
  scheduler.running[aTask] = slot->second;
  const auto job = scheduler.jobs.find(aTask.job);
  if (job != scheduler.jobs.end()) {
    ++job->second.racks[scheduler.candidates[slot->second].rack];
  }
  SetGoal(aContext, slot->second, aTask, track, GoalOf(aAttempt.state));
  UpdateCandidate(aContext, slot->second);
}

void DecrementRackCount(Scheduler& aScheduler, const JobId& aJob,
                        std::uint32_t aRack) {
  const auto job = aScheduler.jobs.find(aJob);
  if (job == aScheduler.jobs.end()) {
    return;
  }
  const auto rack = job->second.racks.find(aRack);
  if (rack != job->second.racks.end() && --rack->second == 0) {
    job->second.racks.erase(rack);
  }
}

// Stops tracking the attempt and returns the slot of its worker.
std::optional<std::size_t> RemoveAttempt(const Context& aContext,
                                         const EndAttempt& aEnd) {
  const AttemptId& aAttempt = aEnd.attempt;
  Scheduler& scheduler = aContext.scheduler;
  const auto found = scheduler.running.find(aAttempt.task);
  if (found == scheduler.running.end()) {
    return std::nullopt;
  }
  const std::size_t slot = found->second;
  WorkerTrack& worker = scheduler.workers[slot];
  const auto track = worker.attempts.find(aAttempt.task);
  if (track != worker.attempts.end()) {
    if (track->second.confirmedRunning) {
      worker.digest ^= DigestOf(aAttempt);
      --worker.confirmedCount;
    }
    worker.attempts.erase(track);
  }
  worker.outstanding.erase(aAttempt.task);
  scheduler.running.erase(found);
  DecrementRackCount(scheduler, aAttempt.task.job,
                     scheduler.candidates[slot].rack);
  // After an expired lease the worker may still confirm that the attempt
  // finished, so nothing is acknowledged yet.
  if (aEnd.kind != EndKind::LeaseExpired) {
    worker.acknowledgements.push_back(aAttempt);
  }
  scheduler.dirty.insert(slot);
  UpdateCandidate(aContext, slot);
  scheduler.placementDue = true;
  return slot;
}

void AddFailure(FailureRecord& aRecord, const std::string& aCounterpart) {
  ++aRecord.count;
  if (aRecord.counterparts.size() < kMaxCounterparts) {
    aRecord.counterparts.insert(aCounterpart);
  }
}

// A failure counts against the worker unless the job also fails elsewhere, and
// against the job unless the worker also fails other jobs. So one bad job can't
// exclude workers, and one bad worker can't hold back jobs.
void RecordFailure(const Context& aContext, std::size_t aSlot,
                   const AttemptId& aAttempt) {
  Scheduler& scheduler = aContext.scheduler;
  WorkerTrack& worker = scheduler.workers[aSlot];
  const WorkerId& workerId = scheduler.candidates[aSlot].worker;
  const auto job = scheduler.jobs.find(aAttempt.task.job);
  const bool workerSuspect = IsSuspect(worker.failures);
  const bool jobSuspect =
      job != scheduler.jobs.end() && IsSuspect(job->second.failures);
  if (workerSuspect || !jobSuspect) {
    AddFailure(worker.failures, aAttempt.task.job.value);
    if (IsSuspect(worker.failures)) {
      worker.failures.backOffUntil =
          BackOffEnd(aContext, worker.failures.count);
      UpdateCandidate(aContext, aSlot);
      Notify(aContext, NoticeKind::WorkerBackOff, aAttempt, workerId, "");
    }
  }
  if (job == scheduler.jobs.end()) {
    return;
  }
  FailureRecord& record = job->second.failures;
  AddFailure(record, workerId.value);
  const Task* task = FindTask(aContext.state, aAttempt.task);
  const std::uint32_t taskFailures = task == nullptr ? 0 : task->failures;
  if (IsSuspect(record) || taskFailures >= kFailuresBeforeBackOff ||
      (!workerSuspect && record.count >= kFailuresBeforeBackOff)) {
    record.backOffUntil =
        BackOffEnd(aContext, std::max(record.count, taskFailures));
    Notify(aContext, NoticeKind::JobBackOff, aAttempt, workerId, "");
  }
}

void RecordSuccess(const Context& aContext, std::size_t aSlot,
                   const JobId& aJob) {
  aContext.scheduler.workers[aSlot].failures = FailureRecord{};
  UpdateCandidate(aContext, aSlot);
  const auto job = aContext.scheduler.jobs.find(aJob);
  if (job != aContext.scheduler.jobs.end()) {
    job->second.failures = FailureRecord{};
  }
}

// Each ClearInFlight overload undoes what was recorded while the proposal was
// in flight.

AttemptTrack* FindTrack(Scheduler& aScheduler, const AttemptId& aAttempt) {
  const auto slot = aScheduler.running.find(aAttempt.task);
  if (slot == aScheduler.running.end()) {
    return nullptr;
  }
  auto& attempts = aScheduler.workers[slot->second].attempts;
  const auto track = attempts.find(aAttempt.task);
  return track == attempts.end() || track->second.number != aAttempt.number
             ? nullptr
             : &track->second;
}

void ClearInFlight(const Context& aContext, const StartAttempt& aCommand) {
  Scheduler& scheduler = aContext.scheduler;
  const auto slot = scheduler.slots.find(aCommand.worker);
  if (slot != scheduler.slots.end()) {
    WorkerTrack& worker = scheduler.workers[slot->second];
    worker.proposed = worker.proposed - aCommand.resources;
    UpdateCandidate(aContext, slot->second);
  }
  const Job* job = FindJob(aContext.state, aCommand.attempt.task.job);
  if (job != nullptr) {
    Resources& use = scheduler.proposedUse[job->spec.clientAccount];
    use = use - aCommand.resources;
    if (use == Resources{}) {
      scheduler.proposedUse.erase(job->spec.clientAccount);
    }
  }
  const Task* task = FindTask(aContext.state, aCommand.attempt.task);
  if (task != nullptr && task->state == TaskState::Pending) {
    Enqueue(aContext, aCommand.attempt.task.job, aCommand.attempt.task.index);
  }
}

void ClearInFlight(const Context& aContext, const EndAttempt& aCommand) {
  if (aCommand.kind == EndKind::Finished &&
      aContext.scheduler.lateFinishProposed.erase(aCommand.attempt) != 0) {
    return;
  }
  AttemptTrack* track = FindTrack(aContext.scheduler, aCommand.attempt);
  if (track != nullptr) {
    track->endProposed = false;
    track->expiryProposed = false;
  }
}

void ClearInFlight(const Context& aContext, const MarkAttempt& aCommand) {
  aContext.scheduler.markProposed.erase(aCommand.attempt.task);
}

void ClearInFlight(const Context& aContext, const RegisterWorker& aCommand) {
  aContext.scheduler.workerProposed.erase(aCommand.worker);
}

void ClearInFlight(const Context& aContext, const RemoveWorker& aCommand) {
  aContext.scheduler.workerProposed.erase(aCommand.worker);
}

void ClearInFlight(const Context& aContext, const SetQuotas& /*aCommand*/) {
  aContext.scheduler.quotasProposed = false;
}

template <typename Other>
void ClearInFlight(const Context& /*aContext*/, const Other& /*aCommand*/) {}

void RemoveProposal(const Context& aContext, std::uint64_t aToken) {
  const auto found = aContext.scheduler.proposals.find(aToken);
  if (found == aContext.scheduler.proposals.end()) {
    return;
  }
  const Command command = std::move(found->second);
  aContext.scheduler.proposals.erase(found);
  std::visit([&](const auto& aTyped) { ClearInFlight(aContext, aTyped); },
             command);
}

// Each OnAccepted overload updates the indexes after an accepted command.

void OnAccepted(const Context& aContext, const SubmitJob& aCommand) {
  const Job* job = FindJob(aContext.state, aCommand.spec.id);
  if (job != nullptr && aContext.scheduler.jobs.count(job->spec.id) == 0 &&
      !HasEnded(*job)) {
    AddJob(aContext, *job);
  }
}

void StopLiveAttempts(const Context& aContext, const Job& aJob) {
  for (std::uint32_t index = 0; index < aJob.tasks.size(); ++index) {
    const Task& task = aJob.tasks[index];
    if (!task.live || task.live->state != AttemptState::Cancelling) {
      continue;
    }
    const TaskId id{aJob.spec.id, index};
    AttemptTrack* track =
        FindTrack(aContext.scheduler, AttemptId{id, task.live->number});
    if (track != nullptr) {
      SetGoal(aContext, aContext.scheduler.running.at(id), id, *track,
              Goal::Stop);
    }
  }
}

void OnAccepted(const Context& aContext, const CancelJobs& aCommand) {
  for (const JobId& id : aCommand.jobs) {
    const auto track = aContext.scheduler.jobs.find(id);
    const Job* job = FindJob(aContext.state, id);
    if (track == aContext.scheduler.jobs.end()) {
      continue;
    }
    if (job == nullptr || HasEnded(*job)) {
      RemoveJob(aContext, id);
    } else if (job->cancelled) {
      RemoveFromQueue(aContext.scheduler, track->second);
      StopLiveAttempts(aContext, *job);
    }
  }
}

void OnAccepted(const Context& aContext, const RegisterWorker& aCommand) {
  UpsertWorker(aContext, aCommand.worker,
               *FindWorker(aContext.state, aCommand.worker));
}

void OnAccepted(const Context& aContext, const RemoveWorker& aCommand) {
  EraseWorker(aContext, aCommand.worker);
}

// Removes a task that no longer waits from the queue of its job.
void RemoveWaitingTask(Scheduler& aScheduler, const TaskId& aTask) {
  const auto job = aScheduler.jobs.find(aTask.job);
  if (job != aScheduler.jobs.end()) {
    auto& pending = job->second.pending;
    pending.erase(std::remove(pending.begin(), pending.end(), aTask.index),
                  pending.end());
    if (pending.empty()) {
      RemoveFromQueue(aScheduler, job->second);
      job->second.reason = WaitReason::None;
    }
  }
  aScheduler.preemptions.erase(aTask);
}

void OnAccepted(const Context& aContext, const StartAttempt& aCommand) {
  const TaskId& id = aCommand.attempt.task;
  // The task is still queued if its proposal was reported as failed before the
  // commit.
  RemoveWaitingTask(aContext.scheduler, id);
  const Attempt* live = FindLiveAttempt(aContext.state, aCommand.attempt);
  if (live != nullptr) {
    AddAttempt(aContext, id, *live);
    Notify(aContext, NoticeKind::AttemptStarted, aCommand.attempt,
           aCommand.worker, "");
  }
}

const char* NameOf(EndKind aKind) {
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
      return "lost";
    case EndKind::LeaseExpired:
      return "lease expired";
  }
  return "";
}

std::optional<AttemptId> TakeKnownFinish(Scheduler& aScheduler,
                                         const TaskId& aTask) {
  const auto found = aScheduler.knownFinishes.find(aTask);
  if (found == aScheduler.knownFinishes.end()) {
    return std::nullopt;
  }
  const AttemptId attempt = found->second;
  aScheduler.knownFinishes.erase(found);
  return attempt;
}

void OnAccepted(const Context& aContext, const EndAttempt& aCommand) {
  const TaskId& id = aCommand.attempt.task;
  const auto slot = RemoveAttempt(aContext, aCommand);
  if (slot) {
    if (aCommand.kind == EndKind::Failed) {
      RecordFailure(aContext, *slot, aCommand.attempt);
    } else if (aCommand.kind == EndKind::Finished) {
      RecordSuccess(aContext, *slot, id.job);
    }
    Notify(aContext, NoticeKind::AttemptEnded, aCommand.attempt,
           aContext.scheduler.candidates[*slot].worker, NameOf(aCommand.kind));
  }
  const std::optional<AttemptId> finished =
      TakeKnownFinish(aContext.scheduler, id);
  const Job* job = FindJob(aContext.state, id.job);
  if (job == nullptr || HasEnded(*job)) {
    RemoveJob(aContext, id.job);
  } else if (job->tasks[id.index].state == TaskState::Pending) {
    // Proposed before any new start of the task, which is then refused.
    if (finished) {
      OnLateFinish(aContext, *finished);
    }
    // A failed task is tried after the job's other tasks, since it may have to
    // wait for a worker on which it has not failed.
    const bool failed = aCommand.kind == EndKind::Failed;
    Enqueue(aContext, id.job, id.index,
            failed ? QueuePosition::Last : QueuePosition::First);
  } else {
    RemoveWaitingTask(aContext.scheduler, id);
  }
}

void OnAccepted(const Context& aContext, const MarkAttempt& aCommand) {
  AttemptTrack* track = FindTrack(aContext.scheduler, aCommand.attempt);
  const Attempt* live = FindLiveAttempt(aContext.state, aCommand.attempt);
  if (track != nullptr && live != nullptr) {
    SetGoal(aContext, aContext.scheduler.running.at(aCommand.attempt.task),
            aCommand.attempt.task, *track, GoalOf(live->state));
  }
}

void OnAccepted(const Context& aContext, const SetQuotas& /*aCommand*/) {
  aContext.scheduler.placementDue = true;
}

}  // namespace

void OnLateFinish(const Context& aContext, const AttemptId& aAttempt) {
  Scheduler& scheduler = aContext.scheduler;
  const Task* task = FindTask(aContext.state, aAttempt.task);
  if (task->live && task->live->number != aAttempt.number) {
    scheduler.knownFinishes[aAttempt.task] = aAttempt;
    return;
  }
  if (scheduler.lateFinishProposed.count(aAttempt) == 0 &&
      Propose(aContext, EndAttempt{aAttempt, EndKind::Finished, "", false})) {
    scheduler.lateFinishProposed.insert(aAttempt);
  }
}

bool IsSilent(const Context& aContext, const WorkerTrack& aTrack) {
  return !aTrack.reported ||
         aContext.now > aTrack.lastContactAt +
                            aContext.scheduler.settings.workerSilentAfter;
}

bool IsSuspect(const FailureRecord& aRecord) {
  return aRecord.counterparts.size() >= 2;
}

bool NeedsCommand(const AttemptTrack& aTrack) {
  if (aTrack.endProposed) {
    return false;
  }
  const bool wantsThrottle = aTrack.goal == Goal::Throttle;
  return !aTrack.confirmedRunning || aTrack.goal == Goal::Stop ||
         aTrack.goal == Goal::EvictThrottle ||
         aTrack.goal == Goal::EvictCheckpoint ||
         wantsThrottle != aTrack.throttled;
}

void SetGoal(const Context& aContext, std::size_t aSlot, const TaskId& aTask,
             AttemptTrack& aTrack, Goal aGoal) {
  aTrack.goal = aGoal;
  aTrack.resendAt = aContext.now;
  aContext.scheduler.workers[aSlot].outstanding.insert(aTask);
  aContext.scheduler.dirty.insert(aSlot);
}

void UpdateCandidate(const Context& aContext, std::size_t aSlot) {
  Scheduler& scheduler = aContext.scheduler;
  WorkerCandidate& candidate = scheduler.candidates[aSlot];
  const WorkerTrack& track = scheduler.workers[aSlot];
  const Worker* worker = FindWorker(aContext.state, candidate.worker);
  if (worker == nullptr) {
    candidate.excluded = true;
    candidate.available = Resources{};
    return;
  }
  candidate.available = worker->capacity - worker->reserved - track.proposed;
  const bool known = track.incarnation == worker->incarnation &&
                     (track.announcedCapacity == Resources{} ||
                      track.announcedCapacity == worker->capacity);
  const bool excluded = IsSilent(aContext, track) || !known ||
                        track.failures.backOffUntil > aContext.now;
  if (candidate.excluded && !excluded) {
    scheduler.placementDue = true;
  }
  candidate.excluded = excluded;
}

void Rebuild(const Context& aContext) {
  for (const auto& [id, worker] : aContext.state.workers) {
    UpsertWorker(aContext, id, worker);
  }
  for (const auto& [id, job] : aContext.state.jobs) {
    if (HasEnded(job)) {
      continue;
    }
    AddJob(aContext, job);
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
      if (job.tasks[index].live) {
        AddAttempt(aContext, TaskId{id, index}, *job.tasks[index].live);
      }
    }
  }
}

void OnCommitted(const Context& aContext, const CommandCommitted& aEvent) {
  RemoveProposal(aContext, aEvent.token);
  if (aEvent.outcome.accepted && !aEvent.outcome.repeated) {
    std::visit([&](const auto& aTyped) { OnAccepted(aContext, aTyped); },
               aEvent.command);
  }
}

void OnProposalFailed(const Context& aContext, std::uint64_t aToken) {
  RemoveProposal(aContext, aToken);
}

}  // namespace bramleypath::cell::detail
