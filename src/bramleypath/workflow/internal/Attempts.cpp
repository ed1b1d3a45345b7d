#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "bramleypath/workflow/internal/CrashScope.h"
#include "bramleypath/workflow/internal/CrashEvidence.h"
#include "bramleypath/workflow/internal/Incarnations.h"
#include "bramleypath/workflow/internal/LeaseGrants.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr Duration kStopRetry = Millis(400);
// The stop is sent again if the attempt is not listed as ended by then.
constexpr Duration kStopRepeatInterval = Seconds(2);

// Whether the task is placed with this attempt.
bool IsPlacedAs(const TaskState& aTask, const Attempt& aAttempt) {
  return aTask.phase == TaskPhase::Placed && aTask.attempt == aAttempt.number;
}

}  // namespace

bool HasEnded(const State& aState, const TaskKey& aKey,
              const Attempt& aAttempt) {
  const TaskState* const task = FindTask(aState, aKey);
  return !task || !IsPlacedAs(*task, aAttempt);
}

void MoveToNewIncarnation(const State& aState, const TaskKey& aKey,
                          Attempt& aAttempt, TimePoint aNow) {
  const TaskState* const task = FindTask(aState, aKey);
  if (HasEnded(aState, aKey, aAttempt) || task->worker == aAttempt.worker) {
    return;
  }
  aAttempt.worker = task->worker;
  aAttempt.startStatus = Attempt::StartStatus::Unknown;
  aAttempt.listed = false;
  aAttempt.hasRun = false;
  aAttempt.isSentAfterAnswer = false;
  aAttempt.stopInFlight = false;
  aAttempt.stopAcknowledgedAt.reset();
  aAttempt.stopReason.reset();
  RequestStop(aAttempt, "worker restarted", aNow);
}

TaskName NameOf(const State& aState, const TaskKey& aKey) {
  TaskName name;
  const auto job = aState.jobs.find(aKey.job);
  if (job != aState.jobs.end()) {
    name.job = job->second.id;
  }
  name.occurrence = aKey.occurrence;
  name.stage = aKey.stage;
  name.index = aKey.index;
  return name;
}

std::string WorkerText(const State& aState, WorkerNumber aWorker) {
  const auto worker = aState.workers.find(aWorker);
  return worker == aState.workers.end() ? std::to_string(aWorker)
                                        : worker->second.spec.id.value;
}

std::string ToText(const TaskName& aName) {
  return aName.job.value + "." + std::to_string(aName.occurrence) + "." +
         std::to_string(aName.stage) + "." + std::to_string(aName.index);
}

std::optional<TaskKey> KeyOf(const State& aState, const TaskName& aName) {
  const auto found = aState.jobsById.find(aName.job.value);
  if (found == aState.jobsById.end()) {
    return std::nullopt;
  }
  return TaskKey{found->second, aName.occurrence, aName.stage, aName.index};
}

const StageSpec& StageOf(const State& aState, const TaskKey& aKey) {
  return aState.jobs.at(aKey.job).spec.stages[aKey.stage];
}

void RequestStop(Attempt& aAttempt, const std::string& aReason,
                 TimePoint aNow) {
  if (!aAttempt.stopReason) {
    aAttempt.stopReason = aReason;
    aAttempt.nextStopAt = aNow;
  }
}

void RecordAbandonedStart(Scheduler& aScheduler, const State& aState,
                          const TaskKey& aKey, const Attempt& aAttempt,
                          TimePoint aNow) {
  const auto worker = aState.workers.find(aAttempt.worker);
  if (worker == aState.workers.end() ||
      aAttempt.startStatus != Attempt::StartStatus::Unknown) {
    return;
  }
  std::vector<AbandonedStart>& list =
      aScheduler.abandonedStarts[worker->second.spec.id];
  list.erase(std::remove_if(list.begin(), list.end(),
                            [&](const AbandonedStart& aStart) {
                              return aStart.expiresAt < aNow;
                            }),
             list.end());
  list.push_back(AbandonedStart{NameOf(aState, aKey), aAttempt.number,
                                aNow + kMaxRequestDelay});
}

void RecordAbandonedStarts(Scheduler& aScheduler, const State& aState,
                           const Worker& aWorker, TimePoint aNow) {
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    if (found == aScheduler.attempts.end()) {
      continue;
    }
    if (found->second.isStartInFlight) {
      found->second.startStatus = Attempt::StartStatus::Unknown;
    }
    RecordAbandonedStart(aScheduler, aState, key, found->second, aNow);
  }
}

std::vector<StopRequest> FencingStopsFor(const Scheduler& aScheduler,
                                         const WorkerId& aWorker,
                                         TimePoint aNow) {
  std::vector<StopRequest> requests;
  const auto found = aScheduler.abandonedStarts.find(aWorker);
  if (found == aScheduler.abandonedStarts.end()) {
    return requests;
  }
  for (const AbandonedStart& start : found->second) {
    if (aNow < start.expiresAt) {
      requests.push_back(
          StopRequest{start.task, start.attempt, aScheduler.epoch});
    }
  }
  return requests;
}

void ProposeEnd(const TaskKey& aKey, Attempt& aAttempt, EndKind aKind,
                const std::string& aCheckpoint, EndTasks& aEnds) {
  if (aAttempt.proposedEnd) {
    return;
  }
  aAttempt.proposedEnd = aKind;
  aEnds.tasks.push_back(EndedTask{aKey, aAttempt.number, aKind, aCheckpoint});
}

namespace {

void SendDueStop(Scheduler& aScheduler, const State& aState,
                 const TaskKey& aKey, Attempt& aAttempt, TimePoint aNow,
                 SchedulerActions& aActions) {
  if (!aAttempt.stopReason || aAttempt.stopInFlight ||
      aNow < aAttempt.nextStopAt) {
    return;
  }
  aAttempt.stopInFlight = true;
  SendStop stop;
  stop.worker = aAttempt.worker;
  stop.task = aKey;
  stop.request =
      StopRequest{NameOf(aState, aKey), aAttempt.number, aScheduler.epoch};
  aActions.push_back(
      DecisionRecord{"stopping", ToText(stop.request.task),
                     "attempt=" + std::to_string(aAttempt.number) +
                         " reason=" + *aAttempt.stopReason});
  aActions.push_back(std::move(stop));
}

}  // namespace

namespace {

// Workers whose attempts are to be ended.
std::unordered_set<WorkerNumber> ExpiredWorkers(const Scheduler& aScheduler,
                                                TimePoint aNow) {
  std::unordered_set<WorkerNumber> expired;
  for (const auto& [number, session] : aScheduler.sessions) {
    if (IsPresumedLost(aScheduler, session, aNow) &&
        HasLeaseExpired(session, aNow)) {
      expired.insert(number);
    }
  }
  return expired;
}

// Workers that said that they will end and still have attempts.
std::unordered_set<WorkerNumber> LeavingWorkers(const Scheduler& aScheduler,
                                                const State& aState) {
  std::unordered_set<WorkerNumber> leaving;
  for (const auto& [number, worker] : aState.workers) {
    if (worker.isLeaving && aScheduler.sessions.count(number) > 0) {
      leaving.insert(number);
    }
  }
  return leaving;
}

// Looks up jobs of the replicated state in constant time while it is unchanged.
class JobLookup {
 public:
  explicit JobLookup(const State& aState) : state(aState) {}

  // Null if there is no such job.
  const Job* Find(JobNumber aNumber) {
    const auto [entry, isNew] = this->jobs.emplace(aNumber, nullptr);
    if (isNew) {
      const auto job = this->state.jobs.find(aNumber);
      entry->second = job == this->state.jobs.end() ? nullptr : &job->second;
    }
    return entry->second;
  }

 private:
  const State& state;
  std::unordered_map<JobNumber, const Job*> jobs;
};

// Requests a stop of the attempt if its result is no longer needed.
void StopIfUnneeded(const Job& aJob, const TaskState& aTask, Attempt& aAttempt,
                    TimePoint aNow) {
  if (aJob.phase != JobPhase::Active) {
    RequestStop(aAttempt, "job ended", aNow);
  } else if (aTask.doneByEarlierAttempt) {
    RequestStop(aAttempt, "done by an earlier attempt", aNow);
  }
}

}  // namespace

void WatchAttempts(Scheduler& aScheduler, const State& aState, TimePoint aNow,
                   SchedulerActions& aActions) {
  ++aScheduler.work.attemptSweeps;
  const std::unordered_set<WorkerNumber> expiredWorkers =
      ExpiredWorkers(aScheduler, aNow);
  const std::unordered_set<WorkerNumber> leavingWorkers =
      LeavingWorkers(aScheduler, aState);
  JobLookup jobs(aState);
  EndTasks expired;
  for (auto& [key, attempt] : aScheduler.attempts) {
    const Job* const job = attempt.proposedEnd ? nullptr : jobs.Find(key.job);
    const TaskState* const task = job ? FindTask(*job, key) : nullptr;
    if (!task || !IsPlacedAs(*task, attempt)) {
      continue;
    }
    StopIfUnneeded(*job, *task, attempt, aNow);
    if (leavingWorkers.count(attempt.worker) > 0) {
      RequestStop(attempt, "worker leaves", aNow);
    }
    SendDueStop(aScheduler, aState, key, attempt, aNow, aActions);
    if (expiredWorkers.count(attempt.worker) > 0) {
      WorkerSession& session = aScheduler.sessions.at(attempt.worker);
      aActions.push_back(
          DecisionRecord{"lease_over", ToText(NameOf(aState, key)),
                         "attempt=" + std::to_string(attempt.number) + " " +
                             LeaseEvidence(aState, session, aNow)});
      if (IsUnsent(attempt)) {
        ProposeEnd(key, attempt, EndKind::NeverRan, "", expired);
        continue;
      }
      const auto worker = aState.workers.find(attempt.worker);
      if (worker != aState.workers.end() &&
          HasRun(aScheduler, aState, worker->second, attempt, aNow)) {
        RememberExpiredRun(session, key, attempt.number);
      }
      RecordAbandonedStart(aScheduler, aState, key, attempt, aNow);
      ProposeEnd(key, attempt, EndKind::LeaseExpired, "", expired);
    }
  }
  if (!expired.tasks.empty()) {
    Commit commit;
    commit.commands.emplace_back(std::move(expired));
    aActions.push_back(std::move(commit));
  }
}

}  // namespace bramleypath::workflow::detail

namespace bramleypath::workflow {

namespace {

// How long no tasks are placed on a worker that refused or did not answer a
// start.
constexpr Duration kRefusedAvoid = Millis(700);
constexpr Duration kUnansweredAvoid = Seconds(2);

void RemovePendingPlacement(Scheduler& aScheduler, const State& aState,
                            const PlacedTask& aPlaced) {
  aScheduler.pendingPlacements.erase(aPlaced.task);
  const auto reservation = aScheduler.pendingReservations.find(aPlaced.worker);
  const auto job = aState.jobs.find(aPlaced.task.job);
  if (reservation != aScheduler.pendingReservations.end() &&
      job != aState.jobs.end() &&
      aPlaced.task.stage < job->second.spec.stages.size()) {
    reservation->second =
        reservation->second -
        Reservation(job->second.spec.stages[aPlaced.task.stage]);
  }
  if (aScheduler.pendingPlacements.empty()) {
    aScheduler.pendingSince.reset();
    aScheduler.pendingReservations.clear();
  }
}

void StartPlaced(Scheduler& aScheduler, const State& aState,
                 const PlacedTask& aPlaced, TimePoint aNow) {
  const TaskState* const task = FindTask(aState, aPlaced.task);
  if (!task || task->phase != TaskPhase::Placed ||
      task->attempt != aPlaced.attempt || task->worker != aPlaced.worker ||
      aScheduler.sessions.count(aPlaced.worker) == 0) {
    return;
  }
  Attempt attempt;
  attempt.number = aPlaced.attempt;
  attempt.worker = aPlaced.worker;
  attempt.startStatus = Attempt::StartStatus::Sending;
  attempt.sentAt = aNow;
  attempt.progressAt = aNow;
  aScheduler.attempts[aPlaced.task] = std::move(attempt);
  detail::QueueStart(aScheduler, aState, aPlaced.task, aPlaced.attempt);
}

}  // namespace

namespace detail {

void StartUnstartedPlacements(Scheduler& aScheduler, const State& aState,
                              TimePoint aNow, SchedulerActions& aActions) {
  for (const auto& [number, worker] : aState.workers) {
    for (const TaskKey& key : worker.attempts) {
      const auto attempt = aScheduler.attempts.find(key);
      const bool isKnown = attempt != aScheduler.attempts.end() &&
                           !HasEnded(aState, key, attempt->second);
      if (isKnown || aScheduler.pendingPlacements.count(key) > 0) {
        continue;
      }
      const PlacedTask placed{key, FindTask(aState, key)->attempt, number};
      aActions.push_back(
          DecisionRecord{"placement_applied_late", ToText(NameOf(aState, key)),
                         "attempt=" + std::to_string(placed.attempt) +
                             " worker=" + worker.spec.id.value});
      StartPlaced(aScheduler, aState, placed, aNow);
    }
  }
}

}  // namespace detail

namespace {

void OnPlacesCommitted(Scheduler& aScheduler, const State& aState,
                       const PlaceTasks& aPlaces, bool aOk, TimePoint aNow) {
  for (const PlacedTask& placed : aPlaces.tasks) {
    RemovePendingPlacement(aScheduler, aState, placed);
    if (aOk) {
      RecordFirstPlacement(aScheduler.promises, placed.task.job, aNow);
      StartPlaced(aScheduler, aState, placed, aNow);
    }
  }
}

void RecordJobEnd(Scheduler& aScheduler, const State& aState, JobNumber aJob,
                  TimePoint aNow, SchedulerActions& aActions) {
  const auto job = aState.jobs.find(aJob);
  if (job == aState.jobs.end() || job->second.placed > 0) {
    return;
  }
  if (job->second.phase != JobPhase::Active) {
    const auto outcome =
        ClosePromise(aScheduler.promises, aJob,
                     job->second.phase == JobPhase::Completed, aNow);
    if (outcome) {
      aActions.push_back(JobCompletion{job->second.id, *outcome});
    }
  }
  if (job->second.phase == JobPhase::Completed) {
    aActions.push_back(
        DecisionRecord{"job_completed", job->second.id.value, ""});
  } else if (job->second.phase == JobPhase::Failed) {
    aActions.push_back(DecisionRecord{"job_failed", job->second.id.value,
                                      "a task failed too often"});
  }
}

void OnEndsCommitted(Scheduler& aScheduler, const State& aState,
                     const EndTasks& aEnds, bool aOk, TimePoint aNow,
                     SchedulerActions& aActions) {
  for (const EndedTask& end : aEnds.tasks) {
    const auto found = aScheduler.attempts.find(end.task);
    if (found == aScheduler.attempts.end() ||
        found->second.number != end.attempt) {
      continue;
    }
    found->second.proposedEnd.reset();
    // Its start may have left the queue, and nothing else would end it.
    if (!aOk && found->second.startStatus == Attempt::StartStatus::Sending) {
      found->second.startStatus = Attempt::StartStatus::Unknown;
      detail::RequestStop(found->second, "end not committed", aNow);
    }
    if (aOk && detail::HasEnded(aState, end.task, found->second)) {
      aScheduler.attempts.erase(found);
      RecordJobEnd(aScheduler, aState, end.task.job, aNow, aActions);
    }
  }
}

void OnClearedCommitted(Scheduler& aScheduler, const EndTasks& aEnds) {
  for (const TaskAttempt& one : aEnds.cleared) {
    const auto found = aScheduler.attempts.find(one.task);
    if (found != aScheduler.attempts.end() &&
        found->second.number == one.attempt) {
      found->second.isClearancePending = false;
    }
  }
}

void CommitEnd(const TaskKey& aKey, Attempt& aAttempt, EndKind aKind,
               SchedulerActions& aActions) {
  EndTasks ends;
  detail::ProposeEnd(aKey, aAttempt, aKind, "", ends);
  if (!ends.tasks.empty()) {
    Commit commit;
    commit.commands.emplace_back(std::move(ends));
    aActions.push_back(std::move(commit));
  }
}

Attempt* FindAttempt(Scheduler& aScheduler, const TaskKey& aKey,
                     AttemptNumber aNumber) {
  const auto found = aScheduler.attempts.find(aKey);
  return found == aScheduler.attempts.end() || found->second.number != aNumber
             ? nullptr
             : &found->second;
}

}  // namespace

SchedulerActions OnCommitted(Scheduler& aScheduler, const State& aState,
                             const Commit& aCommit, bool aOk, TimePoint aNow) {
  SchedulerActions actions;
  bool workersChanged = false;
  for (const Command& command : aCommit.commands) {
    if (const auto* places = std::get_if<PlaceTasks>(&command)) {
      OnPlacesCommitted(aScheduler, aState, *places, aOk, aNow);
    } else if (const auto* ends = std::get_if<EndTasks>(&command)) {
      OnEndsCommitted(aScheduler, aState, *ends, aOk, aNow, actions);
      OnClearedCommitted(aScheduler, *ends);
    } else if (const auto* opened = std::get_if<OpenOccurrence>(&command)) {
      aScheduler.jobsOpeningOccurrence.erase(opened->job);
    } else if (const auto* permit = std::get_if<PermitLeases>(&command)) {
      aScheduler.isLeaseCommitPending = false;
      detail::OnPermitsCommitted(aScheduler, *permit, aOk);
    } else if (std::holds_alternative<LimitLeases>(command)) {
      aScheduler.isLeaseCommitPending = false;
    } else {
      workersChanged = true;
    }
  }
  if (aCommit.acknowledgedWorker != 0) {
    const auto session = aScheduler.sessions.find(aCommit.acknowledgedWorker);
    if (session != aScheduler.sessions.end()) {
      session->second.isCommittingEnds = false;
      if (aOk) {
        session->second.committedEnd =
            std::max(session->second.committedEnd, aCommit.acknowledgedEnd);
      }
    }
  }
  if (workersChanged) {
    OnStateChanged(aScheduler, aState, aNow);
  }
  aScheduler.dispatchWanted = true;
  return actions;
}

SchedulerActions OnStartAnswer(Scheduler& aScheduler, const State& aState,
                               const SendStart& aRequest,
                               const RequestAnswer& aAnswer, TimePoint aNow) {
  SchedulerActions actions;
  detail::RecordStartAnswered(aScheduler);
  const auto found = aScheduler.sessions.find(aRequest.worker);
  if (found == aScheduler.sessions.end()) {
    return actions;
  }
  WorkerSession& session = found->second;
  Attempt* const attempt =
      FindAttempt(aScheduler, aRequest.task, aRequest.request.attempt);
  if (attempt) {
    attempt->isStartInFlight = false;
  }
  if (IsDelayedByLeader(aAnswer)) {
    actions.push_back(
        DecisionRecord{"start_delayed", detail::ToText(aRequest.request.task),
                       "attempt=" + std::to_string(aRequest.request.attempt) +
                           " reason=" + aAnswer.reason});
    if (attempt) {
      detail::QueueDelayedStart(aScheduler, aState, aRequest, *attempt, aNow);
    }
    return actions;
  }
  if (aAnswer.outcome != RequestOutcome::Done) {
    actions.push_back(DecisionRecord{
        "start_not_done", detail::ToText(aRequest.request.task),
        "attempt=" + std::to_string(aRequest.request.attempt) +
            " worker=" + detail::WorkerText(aState, aRequest.worker) +
            " reason=" + aAnswer.reason});
  }
  switch (aAnswer.outcome) {
    case RequestOutcome::Done:
      session.isOtherBoot =
          session.isOtherBoot ||
          (attempt &&
           detail::IsFromOtherBoot(session, aAnswer.clockMs, attempt->sentAt));
      session.hasExecutedStart = true;
      detail::RecordClock(session, aAnswer.clockMs, aNow);
      detail::RecordMessage(aScheduler, session, aNow);
      aScheduler.begunJobs.insert(aRequest.task.job);
      detail::RecordAnswer(session, aNow);
      if (attempt) {
        attempt->hasRun = !session.isOtherBoot;
        attempt->startStatus = Attempt::StartStatus::Accepted;
        attempt->answeredAt = aNow;
        attempt->progressAt = aNow;
      }
      session.nextRenewalAt = std::min(session.nextRenewalAt, aNow);
      break;
    case RequestOutcome::Refused:
    case RequestOutcome::NotSent:
      if (aAnswer.outcome == RequestOutcome::NotSent) {
        detail::RecordMiss(session, aNow);
      }
      detail::AvoidWorker(session, aNow + kRefusedAvoid, aNow);
      DropTicket(aScheduler.tickets, detail::StageKey(aRequest.task),
                 aRequest.worker);
      if (attempt) {
        CommitEnd(aRequest.task, *attempt, EndKind::NeverRan, actions);
      }
      break;
    case RequestOutcome::OtherIncarnation: {
      SchedulerActions removal =
          detail::RemoveIncarnation(aScheduler, aState, aRequest.worker, aNow);
      std::move(removal.begin(), removal.end(), std::back_inserter(actions));
      break;
    }
    case RequestOutcome::NoAnswer:
      session.isBootUnconfirmed = true;
      detail::RecordMiss(session, aNow);
      detail::AvoidWorker(session, aNow + kUnansweredAvoid, aNow);
      if (attempt) {
        attempt->startStatus = Attempt::StartStatus::Unknown;
      }
      session.nextRenewalAt = std::min(session.nextRenewalAt, aNow);
      break;
  }
  return actions;
}

SchedulerActions OnTicketAnswer(Scheduler& aScheduler, const State& aState,
                                const RequestTickets& aRequest,
                                const TicketAnswer& aAnswer, TimePoint aNow) {
  constexpr Duration kBusyDelay = Millis(200);
  aScheduler.tickets.requestInFlight = false;
  SchedulerActions actions;
  if (!aAnswer.answered) {
    aScheduler.tickets.nextRequestAt = aNow + kBusyDelay;
    actions.push_back(DecisionRecord{
        "tickets_missed", aRequest.request.job.value, aAnswer.reason});
    return actions;
  }
  std::vector<IssuedTicket> issued;
  for (const Ticket& ticket : aAnswer.tickets) {
    const Worker* const worker = FindWorker(aState, ticket.worker.value);
    if (worker) {
      issued.push_back(IssuedTicket{worker->number, ticket.text});
    }
  }
  StoreTickets(aScheduler.tickets, aRequest.stage, aRequest.workers, issued,
               aAnswer.validMs, aNow);
  aScheduler.dispatchWanted = true;
  return actions;
}

SchedulerActions OnStopAnswer(Scheduler& aScheduler, const State& aState,
                              const SendStop& aRequest,
                              const RequestAnswer& aAnswer, TimePoint aNow) {
  Attempt* const attempt =
      FindAttempt(aScheduler, aRequest.task, aRequest.request.attempt);
  if (aAnswer.outcome == RequestOutcome::OtherIncarnation) {
    return detail::RemoveIncarnation(aScheduler, aState, aRequest.worker, aNow);
  }
  if (!attempt || attempt->worker != aRequest.worker) {
    return {};
  }
  attempt->stopInFlight = false;
  if (aAnswer.outcome == RequestOutcome::Done) {
    // Keeps the time of the first acknowledgement. The attempt ends with a
    // lease renewal sent after it; stops are repeated as often as renewals are
    // answered, so that the latest acknowledgement would delay the end forever.
    attempt->stopAcknowledgedAt = attempt->stopAcknowledgedAt.value_or(aNow);
    attempt->nextStopAt = aNow + detail::kStopRepeatInterval;
  } else {
    attempt->nextStopAt = aNow + detail::kStopRetry;
  }
  const auto session = aScheduler.sessions.find(aRequest.worker);
  if (session != aScheduler.sessions.end()) {
    session->second.nextRenewalAt =
        std::min(session->second.nextRenewalAt, aNow);
  }
  return {};
}

}  // namespace bramleypath::workflow
