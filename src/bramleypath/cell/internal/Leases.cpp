#include "bramleypath/cell/internal/Leases.h"

#include <algorithm>
#include <utility>

#include "bramleypath/cell/internal/SchedulerIndex.h"

namespace bramleypath::cell::detail {

namespace {

constexpr std::int64_t kPermille = 1000;
// Acknowledgements kept for the next batch; none is sent while the leader lease
// is not held. A worker repeats the confirmations whose acknowledgement was not
// kept.
constexpr std::size_t kMaxAcknowledgements = 4096;

// The time at which the leases granted last have certainly expired on the
// worker's clock.
TimePoint LeaseEnd(const SchedulerSettings& aSettings,
                   const WorkerTrack& aTrack) {
  const std::int64_t maxLeaseMicros =
      aSettings.lease.micros * (kPermille + aSettings.clockErrorPermille) /
      kPermille;
  return aTrack.leaseSentAt + Micros(maxLeaseMicros) + aSettings.leaseMargin;
}

void ProposeEnd(const Context& aContext, const AttemptId& aAttempt,
                AttemptTrack& aTrack, EndKind aKind,
                const std::string& aCheckpoint, bool aCountsAgainstTask) {
  if (aTrack.endProposed) {
    return;
  }
  aTrack.endProposed = Propose(
      aContext, EndAttempt{aAttempt, aKind, aCheckpoint, aCountsAgainstTask});
}

void Confirm(WorkerTrack& aWorker, const AttemptId& aAttempt,
             AttemptTrack& aTrack) {
  if (!aTrack.confirmedRunning) {
    aTrack.confirmedRunning = true;
    aWorker.digest ^= DigestOf(aAttempt);
    ++aWorker.confirmedCount;
  }
}

// Moves an eviction to its next step (throttle, checkpoint, stop) once the
// worker has confirmed the current one.
void AdvanceEviction(const Context& aContext, std::size_t aSlot,
                     const TaskId& aTask, AttemptTrack& aTrack,
                     RunningState aState) {
  const Job* job = FindJob(aContext.state, aTask.job);
  const bool checkpointable = job != nullptr && job->spec.checkpointable;
  if (aTrack.goal == Goal::EvictThrottle && aState == RunningState::Throttled) {
    SetGoal(aContext, aSlot, aTask, aTrack,
            checkpointable ? Goal::EvictCheckpoint : Goal::Stop);
  } else if (aTrack.goal == Goal::EvictCheckpoint &&
             aState == RunningState::Checkpointed) {
    SetGoal(aContext, aSlot, aTask, aTrack, Goal::Stop);
  }
}

void OnStatus(const Context& aContext, std::size_t aSlot,
              const AttemptStatus& aStatus) {
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  const auto found = worker.attempts.find(aStatus.attempt.task);
  if (found == worker.attempts.end() ||
      found->second.number != aStatus.attempt.number) {
    return;
  }
  AttemptTrack& track = found->second;
  if (!track.confirmedRunning) {
    // The next command, if any, need not wait for the resend time.
    track.resendAt = aContext.now;
  }
  Confirm(worker, aStatus.attempt, track);
  if (aStatus.state == RunningState::Running) {
    track.throttled = false;
  } else if (aStatus.state == RunningState::Throttled) {
    track.throttled = true;
  }
  AdvanceEviction(aContext, aSlot, aStatus.attempt.task, track, aStatus.state);
  if (NeedsCommand(track)) {
    worker.outstanding.insert(aStatus.attempt.task);
  }
}

EndKind KindOf(EndEvent aEvent, AttemptState aState) {
  switch (aEvent) {
    case EndEvent::Finished:
      return EndKind::Finished;
    case EndEvent::Failed:
      return EndKind::Failed;
    case EndEvent::Stopped:
      return aState == AttemptState::Cancelling ? EndKind::Stopped
             : aState == AttemptState::Evicting ? EndKind::Evicted
                                                : EndKind::Lost;
    case EndEvent::LeaseExpired:
      break;
  }
  return EndKind::Lost;
}

// A failure on a worker that fails other jobs too does not count against the
// task, unless the job has failed on other workers as well.
bool CountsAgainstTask(const Scheduler& aScheduler, const WorkerTrack& aWorker,
                       const JobId& aJob) {
  const auto job = aScheduler.jobs.find(aJob);
  return !IsSuspect(aWorker.failures) ||
         (job != aScheduler.jobs.end() && IsSuspect(job->second.failures));
}

void OnConfirmation(const Context& aContext, std::size_t aSlot,
                    const Confirmation& aConfirmation) {
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  const Attempt* live = FindLiveAttempt(aContext.state, aConfirmation.attempt);
  const bool finished = aConfirmation.event == EndEvent::Finished;
  if (live == nullptr && finished &&
      IsEndedAttemptOfOpenTask(aContext.state, aConfirmation.attempt)) {
    // Not acknowledged until the task has ended, so that the worker repeats it
    // to each later leader.
    OnLateFinish(aContext, aConfirmation.attempt);
    return;
  }
  if (live == nullptr) {
    // The attempt has ended already: a repeated or late confirmation is
    // acknowledged and has no other effect.
    if (worker.acknowledgements.size() < kMaxAcknowledgements) {
      worker.acknowledgements.push_back(aConfirmation.attempt);
    }
    return;
  }
  const auto track = worker.attempts.find(aConfirmation.attempt.task);
  if (track == worker.attempts.end()) {
    return;
  }
  if (finished && track->second.expiryProposed) {
    OnLateFinish(aContext, aConfirmation.attempt);
    return;
  }
  ProposeEnd(aContext, aConfirmation.attempt, track->second,
             KindOf(aConfirmation.event, live->state), aConfirmation.checkpoint,
             CountsAgainstTask(aContext.scheduler, worker,
                               aConfirmation.attempt.task.job));
}

// Confirms all live attempts at once if the worker runs exactly these. A new
// leader learns this from the digest, without a list of attempts.
void CompareDigest(const Context& aContext, std::size_t aSlot) {
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  if (worker.confirmedCount == worker.attempts.size() ||
      worker.reportedCount != worker.attempts.size()) {
    return;
  }
  std::uint64_t digest = 0;
  for (const auto& [task, track] : worker.attempts) {
    digest ^= DigestOf(AttemptId{task, track.number});
  }
  if (digest != worker.reportedDigest) {
    return;
  }
  for (auto& [task, track] : worker.attempts) {
    Confirm(worker, AttemptId{task, track.number}, track);
  }
}

// Proposes the end of attempts of an older incarnation, which ended with it.
void EndOlderAttempts(const Context& aContext, std::size_t aSlot) {
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  for (auto& [task, track] : worker.attempts) {
    const AttemptId id{task, track.number};
    const Attempt* live = FindLiveAttempt(aContext.state, id);
    if (live != nullptr && live->incarnation < worker.incarnation) {
      ProposeEnd(aContext, id, track, EndKind::Lost, "", false);
    }
  }
}

// Records the contact and what the worker runs. Returns false when the worker
// is not registered or the message is of an older incarnation.
bool RecordContact(const Context& aContext, std::size_t aSlot,
                   const WorkerMessage& aMessage) {
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  const Worker* registered =
      FindWorker(aContext.state, aContext.scheduler.candidates[aSlot].worker);
  if (registered == nullptr || aMessage.incarnation < worker.incarnation ||
      aMessage.incarnation < registered->incarnation) {
    return false;
  }
  if (aMessage.incarnation > worker.incarnation) {
    worker.incarnation = aMessage.incarnation;
    worker.timestamp = aMessage.timestamp;
  }
  // Messages may arrive out of order; only the newest one says what is running.
  if (aMessage.timestamp >= worker.timestamp) {
    worker.timestamp = aMessage.timestamp;
    worker.reportedDigest = aMessage.runningDigest;
    worker.reportedCount = aMessage.runningCount;
  }
  worker.reported = true;
  worker.lastContactAt = aContext.now;
  return true;
}

std::optional<std::size_t> SlotOf(const Scheduler& aScheduler,
                                  const WorkerId& aWorker) {
  const auto found = aScheduler.slots.find(aWorker);
  return found == aScheduler.slots.end()
             ? std::nullopt
             : std::optional<std::size_t>(found->second);
}

void OnMessage(const Context& aContext, std::size_t aSlot,
               const WorkerMessage& aMessage) {
  if (!RecordContact(aContext, aSlot, aMessage)) {
    return;
  }
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  EndOlderAttempts(aContext, aSlot);
  // The statuses in a message that arrives after a newer one may be out of date
  // and are skipped; commands are repeated until a newer message shows their
  // effect.
  if (aMessage.timestamp >= worker.timestamp) {
    for (const AttemptStatus& status : aMessage.statuses) {
      OnStatus(aContext, aSlot, status);
    }
  }
  for (const Confirmation& confirmation : aMessage.confirmations) {
    OnConfirmation(aContext, aSlot, confirmation);
  }
  CompareDigest(aContext, aSlot);
  worker.renewDue = aContext.now >= worker.renewAt;
  UpdateCandidate(aContext, aSlot);
  aContext.scheduler.dirty.insert(aSlot);
}

void ProposeRegistration(const Context& aContext,
                         const WorkerAnnounced& aEvent) {
  const WorkerMessage& message = aEvent.message;
  const Worker* known = FindWorker(aContext.state, message.worker);
  if (known != nullptr &&
      (message.incarnation < known->incarnation ||
       (known->incarnation == message.incarnation &&
        known->capacity == aEvent.capacity && known->rack == aEvent.rack))) {
    return;
  }
  Scheduler& scheduler = aContext.scheduler;
  if (scheduler.workerProposed.count(message.worker) == 0 &&
      Propose(aContext, RegisterWorker{message.worker, message.incarnation,
                                       aEvent.capacity, aEvent.rack})) {
    scheduler.workerProposed.insert(message.worker);
  }
}

WorkerCommand CommandFor(const Context& aContext, const AttemptId& aAttempt,
                         const AttemptTrack& aTrack) {
  WorkerCommand command;
  command.attempt = aAttempt;
  if (aTrack.goal == Goal::Stop) {
    command.kind = CommandKind::Stop;
  } else if (!aTrack.confirmedRunning) {
    const Job& job = *FindJob(aContext.state, aAttempt.task.job);
    const Task& task = job.tasks[aAttempt.task.index];
    command.kind = CommandKind::Start;
    command.clientAccount = job.spec.clientAccount;
    command.classId = job.spec.classId;
    command.jobKind = job.spec.kind;
    command.resources = task.live->resources;
    command.checkpoint = task.checkpoint;
  } else if (aTrack.goal == Goal::EvictCheckpoint) {
    command.kind = CommandKind::Checkpoint;
  } else {
    command.kind = CommandKind::Throttle;
    command.sharePercent =
        aTrack.goal == Goal::Run ? kFullSharePercent : kThrottledSharePercent;
  }
  return command;
}

void AddRenewals(const Context& aContext, WorkerTrack& aWorker,
                 CommandBatch& aBatch) {
  if (!aWorker.renewDue || aWorker.confirmedCount == 0) {
    return;
  }
  aWorker.renewDue = false;
  // Reports arrive a little early or late. Waiting for only half the interval
  // keeps a report from being left without a renewal.
  aWorker.renewAt =
      aContext.now + Micros(aContext.scheduler.settings.renewEvery.micros / 2);
  aWorker.leaseSentAt = aContext.now;
  if (aWorker.reportedDigest == aWorker.digest &&
      aWorker.reportedCount == aWorker.confirmedCount) {
    aBatch.renewAll = true;
    aBatch.runningDigest = aWorker.digest;
    aBatch.runningCount = aWorker.confirmedCount;
    return;
  }
  for (const auto& [task, track] : aWorker.attempts) {
    if (track.confirmedRunning && !track.endProposed) {
      WorkerCommand command;
      command.attempt = AttemptId{task, track.number};
      aBatch.commands.push_back(std::move(command));
    }
  }
}

bool IsOfIncarnation(const Context& aContext, const AttemptId& aAttempt,
                     std::uint64_t aIncarnation) {
  const Attempt* live = FindLiveAttempt(aContext.state, aAttempt);
  return live != nullptr && live->incarnation == aIncarnation;
}

void AddOutstanding(const Context& aContext, WorkerTrack& aWorker,
                    CommandBatch& aBatch) {
  for (auto entry = aWorker.outstanding.begin();
       entry != aWorker.outstanding.end();) {
    const auto found = aWorker.attempts.find(*entry);
    if (found == aWorker.attempts.end() || !NeedsCommand(found->second)) {
      entry = aWorker.outstanding.erase(entry);
      continue;
    }
    AttemptTrack& track = found->second;
    const AttemptId id{*entry, track.number};
    ++entry;
    if (track.resendAt > aContext.now ||
        !IsOfIncarnation(aContext, id, aWorker.incarnation)) {
      continue;
    }
    track.resendAt = aContext.now + aContext.scheduler.settings.resend;
    aBatch.commands.push_back(CommandFor(aContext, id, track));
    if (aBatch.commands.back().kind == CommandKind::Start) {
      aWorker.leaseSentAt = aContext.now;
    }
  }
}

void FlushWorker(const Context& aContext, std::size_t aSlot) {
  Scheduler& scheduler = aContext.scheduler;
  WorkerTrack& worker = scheduler.workers[aSlot];
  // The timestamp of a silent worker is too old to grant a useful lease.
  if (IsSilent(aContext, worker)) {
    return;
  }
  CommandBatch batch;
  batch.epoch = scheduler.epoch;
  batch.worker = scheduler.candidates[aSlot].worker;
  batch.incarnation = worker.incarnation;
  batch.echoedTimestamp = worker.timestamp;
  batch.leaseMs = ToMillis(scheduler.settings.lease);
  AddRenewals(aContext, worker, batch);
  AddOutstanding(aContext, worker, batch);
  batch.acknowledged.swap(worker.acknowledgements);
  if (batch.renewAll || !batch.commands.empty() ||
      !batch.acknowledged.empty()) {
    aContext.actions.emplace_back(SendCommands{std::move(batch)});
  }
}

void ExpireLeases(const Context& aContext, std::size_t aSlot) {
  WorkerTrack& worker = aContext.scheduler.workers[aSlot];
  if (worker.attempts.empty() ||
      aContext.now <= LeaseEnd(aContext.scheduler.settings, worker)) {
    return;
  }
  for (auto& [task, track] : worker.attempts) {
    if (!track.endProposed) {
      ProposeEnd(aContext, AttemptId{task, track.number}, track,
                 EndKind::LeaseExpired, "", false);
      track.expiryProposed = track.endProposed;
    }
  }
}

void RemoveIfUnreachable(const Context& aContext, std::size_t aSlot) {
  Scheduler& scheduler = aContext.scheduler;
  const WorkerTrack& worker = scheduler.workers[aSlot];
  const WorkerId& id = scheduler.candidates[aSlot].worker;
  const bool unreachable =
      aContext.now > worker.lastContactAt + scheduler.settings.removeAfter;
  if (!unreachable || !worker.attempts.empty() ||
      worker.proposed != Resources{} ||
      scheduler.workerProposed.count(id) != 0) {
    return;
  }
  const Worker* known = FindWorker(aContext.state, id);
  if (known != nullptr &&
      Propose(aContext, RemoveWorker{id, known->incarnation})) {
    scheduler.workerProposed.insert(id);
  }
}

void CheckWorker(const Context& aContext, std::size_t aSlot) {
  Scheduler& scheduler = aContext.scheduler;
  WorkerTrack& worker = scheduler.workers[aSlot];
  const bool wasExcluded = scheduler.candidates[aSlot].excluded;
  UpdateCandidate(aContext, aSlot);
  if (!wasExcluded && IsSilent(aContext, worker)) {
    Notify(aContext, NoticeKind::WorkerSilent, AttemptId{},
           scheduler.candidates[aSlot].worker, "");
    // The worker repeats its confirmations, which are acknowledged then.
    worker.acknowledgements.clear();
  }
  ExpireLeases(aContext, aSlot);
  RemoveIfUnreachable(aContext, aSlot);
  if (!worker.outstanding.empty()) {
    scheduler.dirty.insert(aSlot);
  }
}

}  // namespace

void OnAnnounced(const Context& aContext, const WorkerAnnounced& aEvent) {
  const auto slot = SlotOf(aContext.scheduler, aEvent.message.worker);
  if (slot) {
    WorkerTrack& worker = aContext.scheduler.workers[*slot];
    if (aEvent.message.incarnation >= worker.incarnation) {
      worker.announcedCapacity = aEvent.capacity;
      worker.announcedRack = aEvent.rack;
    }
    OnMessage(aContext, *slot, aEvent.message);
  }
  ProposeRegistration(aContext, aEvent);
}

void OnReported(const Context& aContext, const WorkerMessage& aMessage) {
  const auto slot = SlotOf(aContext.scheduler, aMessage.worker);
  if (slot) {
    OnMessage(aContext, *slot, aMessage);
  }
}

void CheckWorkers(const Context& aContext) {
  for (std::size_t slot = 0; slot < aContext.scheduler.candidates.size();
       ++slot) {
    if (!aContext.scheduler.candidates[slot].worker.empty()) {
      CheckWorker(aContext, slot);
    }
  }
}

void FlushWorkers(const Context& aContext) {
  if (!aContext.leaseHeld) {
    return;
  }
  for (const std::size_t slot : aContext.scheduler.dirty) {
    if (!aContext.scheduler.candidates[slot].worker.empty()) {
      FlushWorker(aContext, slot);
    }
  }
  aContext.scheduler.dirty.clear();
}

}  // namespace bramleypath::cell::detail
