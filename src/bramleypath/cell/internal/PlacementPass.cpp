#include "bramleypath/cell/internal/PlacementPass.h"

#include <algorithm>
#include <utility>

#include "bramleypath/cell/internal/SchedulerIndex.h"

namespace bramleypath::cell::detail {

namespace {

// Workers examined for one preemption, and the pause after a search that found
// no victims. With 320 workers all of them are examined within 250 ms, well
// below the limit of 1.5 s for urgent work, and one search takes about 100 us.
constexpr std::size_t kMaxPreemptionWorkers = 64;
constexpr Duration kPreemptionPause = Millis(50);

// One pass over the waiting jobs, with the demands that fitted no worker. Free
// resources only shrink during a pass, so a demand at least as large fits no
// worker either. In a full cell with many waiting jobs, an event then costs one
// scan of the workers instead of dozens.
struct PlacementPass {
  std::vector<Resources> unplaceable;
  // Distinct capacities of the workers, filled in when first needed.
  std::vector<Resources> capacities;
  // Placements left to try, and how many may fail in a row before the pass over
  // a queue ends.
  std::size_t budget = 0;
  std::size_t maxFailedPlacements = 0;
};

bool HasSmallerOrEqual(const std::vector<Resources>& aList,
                       const Resources& aDemand) {
  return std::any_of(
      aList.begin(), aList.end(),
      [&aDemand](const Resources& aEntry) { return Fits(aEntry, aDemand); });
}

bool SomeWorkerCouldHold(const Scheduler& aScheduler, PlacementPass& aPass,
                         const Resources& aDemand) {
  if (aPass.capacities.empty()) {
    for (const WorkerCandidate& candidate : aScheduler.candidates) {
      const auto& known = aPass.capacities;
      if (std::find(known.begin(), known.end(), candidate.capacity) ==
          known.end()) {
        aPass.capacities.push_back(candidate.capacity);
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

// Whether a worker that is not silent is large enough for the task and is not
// one on which the task failed.
bool HasAlternative(const Context& aContext, const Task& aTask,
                    const Resources& aDemand) {
  const Scheduler& scheduler = aContext.scheduler;
  for (std::size_t slot = 0; slot < scheduler.candidates.size(); ++slot) {
    const WorkerCandidate& candidate = scheduler.candidates[slot];
    if (!IsSilent(aContext, scheduler.workers[slot]) &&
        Fits(aDemand, candidate.capacity) &&
        !Contains(aTask.failedOn, candidate.worker)) {
      return true;
    }
  }
  return false;
}

// Marks workers as excluded while a worker for one task is chosen, and reverts
// this on destruction. Excluded are the workers on which the task failed and,
// unless the task is urgent, the worker kept free for another job and those
// being freed for urgent tasks. A worker that fails everything is always free;
// if it were not excluded, it would use up the failures of tasks that wait for
// resources.
class ScopedExclusions {
 public:
  ScopedExclusions(const Context& aContext, const JobTrack& aTrack,
                   const PlacementRequest& aRequest, const Task& aTask)
      : candidates(aContext.scheduler.candidates) {
    const Scheduler& scheduler = aContext.scheduler;
    if (scheduler.heldSlot && !aTrack.urgent &&
        scheduler.heldFor != aRequest.task.job) {
      this->Exclude(*scheduler.heldSlot);
    }
    if (!aTrack.urgent) {
      this->ExcludePreempted(aContext);
    }
    // The other workers may be full of services that never end, so those on
    // which the task failed are excluded for a limited time only.
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
  ScopedExclusions(const ScopedExclusions&) = delete;
  ScopedExclusions& operator=(const ScopedExclusions&) = delete;
  ~ScopedExclusions() {
    for (const std::size_t slot : this->changed) {
      this->candidates[slot].excluded = false;
    }
  }

 private:
  // Resources that evictions free are for the urgent task that caused them.
  void ExcludePreempted(const Context& aContext) {
    for (const auto& [task, preemption] : aContext.scheduler.preemptions) {
      if (aContext.now < preemption.deadline) {
        this->Exclude(preemption.slot);
      }
    }
  }

  void Exclude(std::size_t aSlot) {
    if (!this->candidates[aSlot].excluded) {
      this->candidates[aSlot].excluded = true;
      this->changed.push_back(aSlot);
    }
  }

  std::vector<WorkerCandidate>& candidates;
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
  command.worker = scheduler.candidates[aSlot].worker;
  command.incarnation = worker.incarnation;
  command.resources = aRequest.demand;
  command.checkpoint = task.checkpoint;
  if (!Propose(aContext, command)) {
    return false;
  }
  worker.proposed = worker.proposed + aRequest.demand;
  Resources& use = scheduler.proposedUse[aJob.spec.clientAccount];
  use = use + aRequest.demand;
  UpdateCandidate(aContext, aSlot);
  scheduler.preemptions.erase(aRequest.task);
  aTrack.pending.pop_back();
  aTrack.waitingSince = aContext.now;
  aTrack.reason = WaitReason::CommitInFlight;
  if (scheduler.heldSlot && scheduler.heldFor == aJob.spec.id) {
    scheduler.heldSlot.reset();
  }
  return true;
}

bool MayEvict(const Context& aContext, const Job& aJob, const TaskId& aTask,
              const AttemptTrack& aTrack) {
  return aJob.spec.kind == JobKind::Batch && !aJob.spec.urgent &&
         aJob.evictionsUsed < aJob.spec.evictionBudget && !aTrack.endProposed &&
         (aTrack.goal == Goal::Run || aTrack.goal == Goal::Throttle) &&
         aContext.scheduler.markProposed.count(aTask) == 0;
}

// Returns the attempts to evict from the worker so that the demand fits;
// nullopt when evictions can't free enough. Attempts that can't be checkpointed
// are chosen last.
std::optional<std::vector<AttemptId>> FindVictims(const Context& aContext,
                                                  std::size_t aSlot,
                                                  const Resources& aDemand) {
  Resources available = aContext.scheduler.candidates[aSlot].available;
  std::vector<AttemptId> victims;
  std::vector<std::pair<AttemptId, Resources>> notCheckpointable;
  for (const auto& [task, track] : aContext.scheduler.workers[aSlot].attempts) {
    const Job* job = FindJob(aContext.state, task.job);
    if (job == nullptr || !MayEvict(aContext, *job, task, track)) {
      continue;
    }
    const Resources& held = job->tasks[task.index].live->resources;
    if (!job->spec.checkpointable) {
      notCheckpointable.emplace_back(AttemptId{task, track.number}, held);
      continue;
    }
    available = available + held;
    victims.push_back(AttemptId{task, track.number});
    if (Fits(aDemand, available)) {
      return victims;
    }
  }
  for (const auto& [attempt, held] : notCheckpointable) {
    available = available + held;
    victims.push_back(attempt);
    if (Fits(aDemand, available)) {
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

// Whether an attempt on the worker is still being evicted or stopped.
bool IsFreeingResources(const Context& aContext, std::size_t aSlot) {
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
  if (aContext.now < found->second.deadline &&
      IsFreeingResources(aContext, found->second.slot)) {
    return true;
  }
  preemptions.erase(found);
  return false;
}

// Evicts the smallest set of victims found on a bounded number of workers;
// returns false when there is none.
bool Preempt(const Context& aContext, const PlacementRequest& aRequest) {
  Scheduler& scheduler = aContext.scheduler;
  std::optional<std::size_t> bestSlot;
  std::vector<AttemptId> best;
  const std::size_t count =
      std::min(kMaxPreemptionWorkers, scheduler.candidates.size());
  for (std::size_t step = 0; step < count && best.size() != 1; ++step) {
    const std::size_t slot =
        (scheduler.preemptionCursor + step) % scheduler.candidates.size();
    const WorkerCandidate& candidate = scheduler.candidates[slot];
    if (candidate.excluded || !Fits(aRequest.demand, candidate.capacity)) {
      continue;
    }
    auto victims = FindVictims(aContext, slot, aRequest.demand);
    if (victims && (!bestSlot || victims->size() < best.size())) {
      bestSlot = slot;
      best = *std::move(victims);
    }
  }
  scheduler.preemptionCursor += count;
  if (!bestSlot) {
    scheduler.nextPreemptionAt = aContext.now + kPreemptionPause;
    return false;
  }
  for (const AttemptId& victim : best) {
    ProposeMark(aContext, victim, AttemptMark::Evict);
    Notify(aContext, NoticeKind::Preemption, victim,
           scheduler.candidates[*bestSlot].worker, aRequest.task.job.value);
  }
  scheduler.preemptions[aRequest.task] = Preemption{
      *bestSlot, aContext.now + scheduler.settings.preemptionTimeout};
  return true;
}

// The functions below keep a worker free for a job that has waited long.

// Resources held by services on the worker, which end only when they are
// cancelled.
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
  for (std::size_t slot = 0; slot < scheduler.candidates.size(); ++slot) {
    const WorkerCandidate& candidate = scheduler.candidates[slot];
    if (candidate.excluded || !Fits(demand, candidate.capacity) ||
        std::find(avoided.begin(), avoided.end(), candidate.worker) !=
            avoided.end() ||
        !Fits(demand, candidate.capacity - HeldByServices(aContext, slot))) {
      continue;
    }
    if (!best || candidate.available.processorsMilli >
                     scheduler.candidates[*best].available.processorsMilli) {
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
      scheduler.candidates[*scheduler.heldSlot].excluded) {
    scheduler.heldSlot.reset();
  }
}

void OnInsufficientResources(const Context& aContext,
                             const PlacementRequest& aRequest,
                             JobTrack& aTrack) {
  if (aTrack.reason != WaitReason::InsufficientResources &&
      aTrack.reason != WaitReason::WorkersExcluded) {
    return;
  }
  Scheduler& scheduler = aContext.scheduler;
  if (aTrack.urgent) {
    if (aContext.now >= scheduler.nextPreemptionAt &&
        Preempt(aContext, aRequest)) {
      aTrack.reason = WaitReason::WaitsForEviction;
    }
  } else if (!scheduler.heldSlot &&
             aContext.now >
                 aTrack.waitingSince + scheduler.settings.holdAfter) {
    HoldWorker(aContext, aRequest);
  }
}

// Returns the slot of a worker with enough free resources, or nullopt with the
// track's reason set.
std::optional<std::size_t> FindSlot(const Context& aContext, const Job& aJob,
                                    JobTrack& aTrack,
                                    const PlacementRequest& aRequest,
                                    PlacementPass& aPass) {
  Scheduler& scheduler = aContext.scheduler;
  const Task& task = aJob.tasks[aRequest.task.index];
  const bool held =
      scheduler.heldSlot && scheduler.heldFor == aRequest.task.job;
  if (!held && HasSmallerOrEqual(aPass.unplaceable, aRequest.demand)) {
    aTrack.reason = SomeWorkerCouldHold(scheduler, aPass, aRequest.demand)
                        ? WaitReason::InsufficientResources
                        : WaitReason::NoWorkerLargeEnough;
    return std::nullopt;
  }
  aTrack.reason = WaitReason::InsufficientResources;
  std::optional<std::size_t> slot;
  {
    const ScopedExclusions excluded(aContext, aTrack, aRequest, task);
    slot = scheduler.choose(scheduler.candidates, aRequest, aTrack.reason);
  }
  if (slot && *slot < scheduler.candidates.size() &&
      !scheduler.candidates[*slot].excluded &&
      Fits(aRequest.demand, scheduler.candidates[*slot].available)) {
    return slot;
  }
  if (aTrack.reason == WaitReason::InsufficientResources &&
      task.failedOn.empty()) {
    aPass.unplaceable.push_back(aRequest.demand);
  }
  return std::nullopt;
}

// True when a start was proposed; otherwise the track's reason says why not.
bool PlaceTask(const Context& aContext, const Job& aJob, JobTrack& aTrack,
               PlacementPass& aPass) {
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
  const auto slot = FindSlot(aContext, aJob, aTrack, request, aPass);
  if (slot) {
    return ProposeStart(aContext, aJob, aTrack, request, *slot);
  }
  if (aTrack.urgent && WaitsForPreemption(aContext, request.task)) {
    aTrack.reason = WaitReason::WaitsForEviction;
  } else {
    OnInsufficientResources(aContext, request, aTrack);
  }
  return false;
}

// Visits the jobs of the queue in turn, one task of a job at a time, until a
// whole round placed none, too many placements in a row failed, or the budget
// is spent.
void PlaceQueue(const Context& aContext, std::map<std::uint64_t, JobId>& aQueue,
                std::uint64_t& aCursor, PlacementPass& aPass) {
  std::size_t failures = 0;
  while (aPass.budget > 0 && failures < aQueue.size() &&
         failures < aPass.maxFailedPlacements) {
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
    const bool placed = PlaceTask(aContext, *job, track->second, aPass);
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
  PlacementPass pass;
  pass.budget = settings.maxPlacementsPerStep;
  pass.maxFailedPlacements = aOnTick ? settings.maxPlacementsPerStep
                                     : settings.maxFailedPlacementsPerEvent;
  // Urgent jobs may use the whole budget; the other jobs get at least half of a
  // full budget.
  PlaceQueue(aContext, scheduler.urgentQueue, scheduler.urgentCursor, pass);
  pass.budget = std::max(pass.budget, settings.maxPlacementsPerStep / 2);
  PlaceQueue(aContext, scheduler.normalQueue, scheduler.normalCursor, pass);
  // Tasks that were not reached are tried at the next event.
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
