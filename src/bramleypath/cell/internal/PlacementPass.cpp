#include "bramleypath/cell/internal/PlacementPass.h"

#include <algorithm>
#include <utility>

#include "bramleypath/cell/internal/SchedulerIndex.h"

namespace bramleypath::cell::detail {

namespace {

// Workers looked at for one preemption, and the pause after one that found no
// victims. With 320 workers all are looked at within 250 ms, well inside the
// 1.5 s for urgent work, and one search takes about 100 us.
constexpr std::size_t kMaxPreemptionWorkers = 64;
constexpr Duration kPreemptionPause = Millis(50);

// Demands that found no place in this pass. Room only shrinks during a pass, so
// a demand at least as large finds none either. A full cell with many waiting
// jobs then costs one scan of the workers for each event instead of dozens.
struct Pass {
  std::vector<Resources> withoutRoom;
  // Distinct capacities of the workers, once they were needed.
  std::vector<Resources> capacities;
  // Tries left, and those of them that may find no place.
  std::size_t budget = 0;
  std::size_t misses = 0;
};

bool HasSmaller(const std::vector<Resources>& aList, const Resources& aDemand) {
  return std::any_of(
      aList.begin(), aList.end(),
      [&aDemand](const Resources& aEntry) { return Fits(aEntry, aDemand); });
}

bool SomeWorkerCouldHold(const Scheduler& aScheduler, Pass& aPass,
                         const Resources& aDemand) {
  if (aPass.capacities.empty()) {
    for (const WorkerRoom& room : aScheduler.rooms) {
      const auto& known = aPass.capacities;
      if (std::find(known.begin(), known.end(), room.capacity) == known.end()) {
        aPass.capacities.push_back(room.capacity);
      }
    }
  }
  const auto& all = aPass.capacities;
  return std::any_of(all.begin(), all.end(),
                     [&aDemand](const Resources& aCapacity) {
                       return Fits(aDemand, aCapacity);
                     });
}

bool Contains(const std::vector<WorkerId>& aWorkers, const WorkerId& aWorker) {
  return std::find(aWorkers.begin(), aWorkers.end(), aWorker) != aWorkers.end();
}

// Whether a worker that is heard of could hold the task and has not failed it.
bool HasAlternative(const Context& aContext, const Task& aTask,
                    const Resources& aDemand) {
  const Scheduler& scheduler = aContext.scheduler;
  for (std::size_t slot = 0; slot < scheduler.rooms.size(); ++slot) {
    const WorkerRoom& room = scheduler.rooms[slot];
    if (!IsSilent(aContext, scheduler.workers[slot]) &&
        Fits(aDemand, room.capacity) &&
        !Contains(aTask.failedOn, room.worker)) {
      return true;
    }
  }
  return false;
}

// Shows workers as excluded while a place for one task is chosen: the worker
// kept free for another job or freed for an urgent task, unless the task is
// urgent, and those on which the task failed. Without the latter a worker that
// fails everything, and so is always free, would use up the failures of tasks
// that wait for room.
class ExcludedForTask {
 public:
  ExcludedForTask(const Context& aContext, const JobTrack& aTrack,
                  const PlacementRequest& aRequest, const Task& aTask)
      : rooms(aContext.scheduler.rooms) {
    const Scheduler& scheduler = aContext.scheduler;
    if (scheduler.heldSlot && !aTrack.urgent &&
        scheduler.heldFor != aRequest.task.job) {
      this->Exclude(*scheduler.heldSlot);
    }
    if (!aTrack.urgent) {
      this->ExcludePreempted(aContext);
    }
    // The others may be full of services for ever: not beyond a limit.
    const bool waitedLong =
        aContext.now > aTrack.waitingSince + scheduler.settings.holdAfter * 2;
    if (aTask.failedOn.empty() || waitedLong ||
        !HasAlternative(aContext, aTask, aRequest.demand)) {
      return;
    }
    for (const WorkerId& worker : aTask.failedOn) {
      const auto slot = scheduler.slots.find(worker);
      if (slot != scheduler.slots.end()) {
        this->Exclude(slot->second);
      }
    }
  }
  ExcludedForTask(const ExcludedForTask&) = delete;
  ExcludedForTask& operator=(const ExcludedForTask&) = delete;
  ~ExcludedForTask() {
    for (const std::size_t slot : this->changed) {
      this->rooms[slot].excluded = false;
    }
  }

 private:
  // Room that evictions free is for the urgent task that they make room for.
  void ExcludePreempted(const Context& aContext) {
    for (const auto& [task, preemption] : aContext.scheduler.preemptions) {
      if (aContext.now < preemption.until) {
        this->Exclude(preemption.slot);
      }
    }
  }

  void Exclude(std::size_t aSlot) {
    if (!this->rooms[aSlot].excluded) {
      this->rooms[aSlot].excluded = true;
      this->changed.push_back(aSlot);
    }
  }

  std::vector<WorkerRoom>& rooms;
  std::vector<std::size_t> changed;
};

bool WithinQuota(const Context& aContext, const ClientAccountId& aClientAccount,
                 const Resources& aDemand) {
  const ClientAccount& clientAccount =
      aContext.state.clientAccounts.at(aClientAccount);
  if (!clientAccount.quota) {
    return true;
  }
  const auto proposed = aContext.scheduler.proposedUse.find(aClientAccount);
  const Resources inFlight = proposed == aContext.scheduler.proposedUse.end()
                                 ? Resources{}
                                 : proposed->second;
  return Fits(clientAccount.used + inFlight + aDemand, *clientAccount.quota);
}

PlacementRequest RequestFor(const Context& aContext, const Job& aJob,
                            const JobTrack& aTrack, std::uint32_t aIndex) {
  PlacementRequest request;
  request.job = &aJob.spec;
  request.task = TaskId{aJob.spec.id, aIndex};
  const SizeTaskFunction& sizeTask = aContext.scheduler.sizeTask;
  request.demand = sizeTask ? sizeTask(aJob.spec) : aJob.spec.perTask;
  request.avoided = aJob.tasks[aIndex].failedOn;
  request.waited = aContext.now - aTrack.waitingSince;
  if (aJob.spec.rackSpread) {
    for (const auto& [rack, count] : aTrack.racks) {
      request.usedRacks.push_back(rack);
    }
  }
  return request;
}

bool ProposeStart(const Context& aContext, const Job& aJob, JobTrack& aTrack,
                  const PlacementRequest& aRequest, std::size_t aSlot) {
  Scheduler& scheduler = aContext.scheduler;
  WorkerTrack& worker = scheduler.workers[aSlot];
  const Task& task = aJob.tasks[aRequest.task.index];
  StartAttempt command;
  command.attempt = AttemptId{aRequest.task, task.attempts + 1};
  command.worker = scheduler.rooms[aSlot].worker;
  command.incarnation = worker.incarnation;
  command.resources = aRequest.demand;
  command.checkpoint = task.checkpoint;
  if (!Propose(aContext, command)) {
    return false;
  }
  worker.proposed = worker.proposed + aRequest.demand;
  Resources& use = scheduler.proposedUse[aJob.spec.clientAccount];
  use = use + aRequest.demand;
  UpdateRoom(aContext, aSlot);
  scheduler.preemptions.erase(aRequest.task);
  aTrack.pending.pop_back();
  aTrack.waitingSince = aContext.now;
  aTrack.reason = WaitReason::CommitInFlight;
  if (scheduler.heldSlot && scheduler.heldFor == aJob.spec.id) {
    scheduler.heldSlot.reset();
  }
  return true;
}

// Preemption.

bool MayEvict(const Context& aContext, const Job& aJob, const TaskId& aTask,
              const AttemptTrack& aTrack) {
  return aJob.spec.kind == JobKind::Batch && !aJob.spec.urgent &&
         aJob.evictionsUsed < aJob.spec.evictionBudget && !aTrack.endProposed &&
         (aTrack.goal == Goal::Run || aTrack.goal == Goal::Throttle) &&
         aContext.scheduler.markProposed.count(aTask) == 0;
}

// The attempts to evict from the worker to make room; none when that is not
// enough. Those that can't be checkpointed are taken last.
std::optional<std::vector<AttemptId>> Victims(const Context& aContext,
                                              std::size_t aSlot,
                                              const Resources& aDemand) {
  Resources room = aContext.scheduler.rooms[aSlot].room;
  std::vector<AttemptId> victims;
  std::vector<std::pair<AttemptId, Resources>> lastResort;
  for (const auto& [task, track] : aContext.scheduler.workers[aSlot].attempts) {
    const Job* job = FindJob(aContext.state, task.job);
    if (job == nullptr || !MayEvict(aContext, *job, task, track)) {
      continue;
    }
    const Resources& held = job->tasks[task.index].live->resources;
    if (!job->spec.checkpointable) {
      lastResort.emplace_back(AttemptId{task, track.number}, held);
      continue;
    }
    room = room + held;
    victims.push_back(AttemptId{task, track.number});
    if (Fits(aDemand, room)) {
      return victims;
    }
  }
  for (const auto& [attempt, held] : lastResort) {
    room = room + held;
    victims.push_back(attempt);
    if (Fits(aDemand, room)) {
      return victims;
    }
  }
  return std::nullopt;
}

bool ProposeMark(const Context& aContext, const AttemptId& aAttempt,
                 AttemptMark aMark) {
  if (!Propose(aContext, MarkAttempt{aAttempt, aMark})) {
    return false;
  }
  aContext.scheduler.markProposed.insert(aAttempt.task);
  return true;
}

// Whether something is still being evicted or stopped on the worker.
bool IsMakingRoom(const Context& aContext, std::size_t aSlot) {
  const auto& attempts = aContext.scheduler.workers[aSlot].attempts;
  return std::any_of(attempts.begin(), attempts.end(), [&](const auto& aEntry) {
    const Goal goal = aEntry.second.goal;
    return (goal != Goal::Run && goal != Goal::Throttle) ||
           aContext.scheduler.markProposed.count(aEntry.first) != 0;
  });
}

bool WaitsForPreemption(const Context& aContext, const TaskId& aTask) {
  auto& preemptions = aContext.scheduler.preemptions;
  const auto found = preemptions.find(aTask);
  if (found == preemptions.end()) {
    return false;
  }
  if (aContext.now < found->second.until &&
      IsMakingRoom(aContext, found->second.slot)) {
    return true;
  }
  preemptions.erase(found);
  return false;
}

// Evicts the fewest attempts found on a bounded number of workers.
bool Preempt(const Context& aContext, const PlacementRequest& aRequest) {
  Scheduler& scheduler = aContext.scheduler;
  std::optional<std::size_t> bestSlot;
  std::vector<AttemptId> best;
  const std::size_t count =
      std::min(kMaxPreemptionWorkers, scheduler.rooms.size());
  for (std::size_t step = 0; step < count && best.size() != 1; ++step) {
    const std::size_t slot =
        (scheduler.preemptionCursor + step) % scheduler.rooms.size();
    const WorkerRoom& room = scheduler.rooms[slot];
    if (room.excluded || !Fits(aRequest.demand, room.capacity)) {
      continue;
    }
    auto victims = Victims(aContext, slot, aRequest.demand);
    if (victims && (!bestSlot || victims->size() < best.size())) {
      bestSlot = slot;
      best = *std::move(victims);
    }
  }
  scheduler.preemptionCursor += count;
  if (!bestSlot) {
    scheduler.noPreemptionBefore = aContext.now + kPreemptionPause;
    return false;
  }
  for (const AttemptId& victim : best) {
    ProposeMark(aContext, victim, AttemptMark::Evict);
    Notify(aContext, NoticeKind::Preemption, victim,
           scheduler.rooms[*bestSlot].worker, aRequest.task.job.value);
  }
  scheduler.preemptions[aRequest.task] =
      Preemption{*bestSlot, aContext.now + scheduler.settings.preemptionLimit};
  return true;
}

// A worker kept free for a job that waited long.

// What services hold there, which end only when they are cancelled.
Resources HeldByServices(const Context& aContext, std::size_t aSlot) {
  Resources sum;
  for (const auto& [task, track] : aContext.scheduler.workers[aSlot].attempts) {
    const Job* job = FindJob(aContext.state, task.job);
    if (job != nullptr && job->spec.kind == JobKind::Service) {
      sum = sum + job->tasks[task.index].live->resources;
    }
  }
  return sum;
}

void HoldWorker(const Context& aContext, const PlacementRequest& aRequest) {
  const Resources& demand = aRequest.demand;
  const auto& avoided = aRequest.avoided;
  Scheduler& scheduler = aContext.scheduler;
  std::optional<std::size_t> best;
  for (std::size_t slot = 0; slot < scheduler.rooms.size(); ++slot) {
    const WorkerRoom& room = scheduler.rooms[slot];
    if (room.excluded || !Fits(demand, room.capacity) ||
        std::find(avoided.begin(), avoided.end(), room.worker) !=
            avoided.end() ||
        !Fits(demand, room.capacity - HeldByServices(aContext, slot))) {
      continue;
    }
    if (!best || room.room.processorsMilli >
                     scheduler.rooms[*best].room.processorsMilli) {
      best = slot;
    }
  }
  scheduler.heldSlot = best;
  scheduler.heldFor = aRequest.task.job;
}

void CheckHold(const Context& aContext) {
  Scheduler& scheduler = aContext.scheduler;
  if (!scheduler.heldSlot) {
    return;
  }
  const auto job = scheduler.jobs.find(scheduler.heldFor);
  if (job == scheduler.jobs.end() || job->second.pending.empty() ||
      scheduler.rooms[*scheduler.heldSlot].excluded) {
    scheduler.heldSlot.reset();
  }
}

void OnNoRoom(const Context& aContext, const PlacementRequest& aRequest,
              JobTrack& aTrack) {
  if (aTrack.reason != WaitReason::NoRoomNow &&
      aTrack.reason != WaitReason::WorkersExcluded) {
    return;
  }
  Scheduler& scheduler = aContext.scheduler;
  if (aTrack.urgent) {
    if (aContext.now >= scheduler.noPreemptionBefore &&
        Preempt(aContext, aRequest)) {
      aTrack.reason = WaitReason::WaitsForEviction;
    }
  } else if (!scheduler.heldSlot &&
             aContext.now >
                 aTrack.waitingSince + scheduler.settings.holdAfter) {
    HoldWorker(aContext, aRequest);
  }
}

// A worker with room, or none with the track's reason set.
std::optional<std::size_t> FindPlace(const Context& aContext, const Job& aJob,
                                     JobTrack& aTrack,
                                     const PlacementRequest& aRequest,
                                     Pass& aPass) {
  Scheduler& scheduler = aContext.scheduler;
  const Task& task = aJob.tasks[aRequest.task.index];
  const bool held =
      scheduler.heldSlot && scheduler.heldFor == aRequest.task.job;
  if (!held && HasSmaller(aPass.withoutRoom, aRequest.demand)) {
    aTrack.reason = SomeWorkerCouldHold(scheduler, aPass, aRequest.demand)
                        ? WaitReason::NoRoomNow
                        : WaitReason::NoWorkerCouldHold;
    return std::nullopt;
  }
  aTrack.reason = WaitReason::NoRoomNow;
  std::optional<std::size_t> slot;
  {
    const ExcludedForTask excluded(aContext, aTrack, aRequest, task);
    slot = scheduler.choose(scheduler.rooms, aRequest, aTrack.reason);
  }
  if (slot && *slot < scheduler.rooms.size() &&
      !scheduler.rooms[*slot].excluded &&
      Fits(aRequest.demand, scheduler.rooms[*slot].room)) {
    return slot;
  }
  if (aTrack.reason == WaitReason::NoRoomNow && task.failedOn.empty()) {
    aPass.withoutRoom.push_back(aRequest.demand);
  }
  return std::nullopt;
}

// True when a start was proposed; otherwise the track's reason says why not.
bool PlaceOne(const Context& aContext, const Job& aJob, JobTrack& aTrack,
              Pass& aPass) {
  if (aTrack.failures.backOffUntil > aContext.now) {
    aTrack.reason = WaitReason::JobBackOff;
    return false;
  }
  const PlacementRequest request =
      RequestFor(aContext, aJob, aTrack, aTrack.pending.back());
  if (!WithinQuota(aContext, aJob.spec.clientAccount, request.demand)) {
    aTrack.reason = WaitReason::QuotaExceeded;
    return false;
  }
  const auto slot = FindPlace(aContext, aJob, aTrack, request, aPass);
  if (slot) {
    return ProposeStart(aContext, aJob, aTrack, request, *slot);
  }
  if (aTrack.urgent && WaitsForPreemption(aContext, request.task)) {
    aTrack.reason = WaitReason::WaitsForEviction;
  } else {
    OnNoRoom(aContext, request, aTrack);
  }
  return false;
}

// Goes round the queue, one task of a job at a time, until no job of a round
// could be placed or the budget is spent.
void PlaceQueue(const Context& aContext, std::map<std::uint64_t, JobId>& aQueue,
                std::uint64_t& aCursor, Pass& aPass) {
  std::size_t failures = 0;
  while (aPass.budget > 0 && failures < aQueue.size() &&
         failures < aPass.misses) {
    --aPass.budget;
    auto entry = aQueue.upper_bound(aCursor);
    if (entry == aQueue.end()) {
      entry = aQueue.begin();
    }
    aCursor = entry->first;
    const auto track = aContext.scheduler.jobs.find(entry->second);
    const Job* job = FindJob(aContext.state, entry->second);
    if (track == aContext.scheduler.jobs.end() || job == nullptr ||
        track->second.pending.empty()) {
      aQueue.erase(entry);
      continue;
    }
    const bool placed = PlaceOne(aContext, *job, track->second, aPass);
    failures = placed ? 0 : failures + 1;
    if (track->second.pending.empty()) {
      aQueue.erase(entry);
    }
  }
}

}  // namespace

void PlaceWaiting(const Context& aContext, bool aOnTick) {
  Scheduler& scheduler = aContext.scheduler;
  if (!scheduler.placementDue || !aContext.leaseHeld) {
    return;
  }
  scheduler.placementDue = false;
  CheckHold(aContext);
  const SchedulerSettings& settings = scheduler.settings;
  Pass pass;
  pass.budget = settings.maxPlacementsPerStep;
  pass.misses =
      aOnTick ? settings.maxPlacementsPerStep : settings.maxMissesPerEvent;
  // Urgent jobs may use the whole budget; the others get at least half of one.
  PlaceQueue(aContext, scheduler.urgentQueue, scheduler.urgentCursor, pass);
  pass.budget = std::max(pass.budget, settings.maxPlacementsPerStep / 2);
  PlaceQueue(aContext, scheduler.normalQueue, scheduler.normalCursor, pass);
  // Those not reached are tried at the next event.
  scheduler.placementDue = pass.budget == 0;
}

void OnMitigationRequested(const Context& aContext,
                           const MitigationRequested& aEvent) {
  const Task* task = FindTask(aContext.state, aEvent.task);
  if (task != nullptr && task->live &&
      aContext.scheduler.markProposed.count(aEvent.task) == 0) {
    ProposeMark(aContext, AttemptId{aEvent.task, task->live->number},
                aEvent.mark);
  }
}

}  // namespace bramleypath::cell::detail
