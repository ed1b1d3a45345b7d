#include <algorithm>
#include <utility>

#include "bramleypath/workflow/Announcements.h"
#include "bramleypath/workflow/internal/CrashScope.h"
#include "bramleypath/workflow/internal/CrashEvidence.h"
#include "bramleypath/workflow/internal/Incarnations.h"
#include "bramleypath/workflow/internal/LeaseGrants.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow {

namespace {

// A worker without running attempts gets the next renewal, which acknowledges
// its ends, after this delay or with its next start.
constexpr Duration kIdleAcknowledgeDelay = Millis(400);
constexpr Duration kRenewalRetry = Millis(250);
// A leaving worker is asked for its lists again after this time, while its
// attempts are being stopped. It waits for the acknowledgement of its leave.
constexpr Duration kLeavingRenewalInterval = Millis(60);

// Commands that follow from the answer to a lease renewal.
struct RenewalChanges {
  EndTasks ends;
  std::vector<Command> others;
  // A listed end has been proposed before and is not committed yet.
  bool endPending = false;
};

void RecordOutcome(Scheduler& aScheduler, WorkerSession& aSession,
                   EndKind aKind, TimePoint aNow) {
  if (aKind == EndKind::Done) {
    aSession.recentFailures = 0;
    return;
  }
  if (aKind != EndKind::Failed) {
    return;
  }
  ++aSession.recentFailures;
  constexpr std::uint32_t kToleratedFailures = 2;
  if (aSession.recentFailures > kToleratedFailures) {
    constexpr std::uint32_t kMaxDoublings = 3;
    constexpr Duration kShortestAvoid = Millis(1500);
    const std::uint32_t doublings = std::min(
        kMaxDoublings, aSession.recentFailures - kToleratedFailures - 1);
    detail::AvoidWorker(aSession, aNow + kShortestAvoid * (1 << doublings),
                        aNow);
    aScheduler.dispatchWanted = true;
  }
}

// Forgets an attempt that has ended in the replicated state, as all members of
// a gang do with the first end of one. The specification of its stage is gone.
void ForgetIfEnded(Scheduler& aScheduler, const State& aState,
                   const std::optional<TaskKey>& aKey) {
  const auto found =
      aKey ? aScheduler.attempts.find(*aKey) : aScheduler.attempts.end();
  if (found != aScheduler.attempts.end() &&
      detail::HasEnded(aState, *aKey, found->second)) {
    aScheduler.attempts.erase(found);
  }
}

// Why a listed end does not belong to an attempt that the leader holds.
std::string_view SkipReason(const Scheduler& aScheduler,
                            const WorkerSession& aSession,
                            const std::optional<TaskKey>& aKey,
                            const EndedAttempt& aRow) {
  if (!aKey) {
    return "unknown job";
  }
  const auto found = aScheduler.attempts.find(*aKey);
  if (found == aScheduler.attempts.end()) {
    return "no attempt";
  }
  return found->second.number != aRow.attempt      ? "other attempt"
         : found->second.worker != aSession.worker ? "other worker"
                                                   : "";
}

std::string_view ToText(TaskPhase aPhase) {
  switch (aPhase) {
    case TaskPhase::Waiting:
      return "waiting";
    case TaskPhase::Placed:
      return "placed";
    case TaskPhase::Done:
      return "done";
  }
  return "";
}

// Stopped attempts that were ended by their acknowledged stop are listed as a
// matter of course; only the other skipped ends are recorded.
void RecordSkippedEnd(const State& aState, const WorkerSession& aSession,
                      const std::optional<TaskKey>& aKey,
                      const EndedAttempt& aRow, std::string_view aReason,
                      SchedulerActions& aActions) {
  const TaskState* const task = aKey ? FindTask(aState, *aKey) : nullptr;
  if (aRow.kind == EndKind::Stopped ||
      (task && task->phase == TaskPhase::Done)) {
    return;
  }
  aActions.push_back(DecisionRecord{
      "end_skipped", detail::ToText(aRow.task),
      "attempt=" + std::to_string(aRow.attempt) +
          " how=" + std::string(ToText(aRow.kind)) +
          " worker=" + detail::WorkerText(aState, aSession.worker) +
          " number=" + std::to_string(aRow.number) +
          " reason=" + std::string(aReason) + " task=" +
          (task ? std::string(ToText(task->phase)) +
                      " latest_attempt=" + std::to_string(task->attempt)
                : "unknown")});
}

// Proposes an end of an attempt that the leader no longer holds, unless it is
// recorded or changes nothing. The list is acknowledged as a whole, so that an
// end that is left out here is lost.
void ProcessLateEnd(const State& aState, const WorkerSession& aSession,
                    const std::optional<TaskKey>& aKey,
                    const EndedAttempt& aRow, std::string_view aReason,
                    RenewalChanges& aChanges, SchedulerActions& aActions) {
  if (aKey) {
    EndedTask end{*aKey, aRow.attempt, aRow.kind, aRow.checkpoint};
    if (IsUnrecordedEnd(aState, end)) {
      aActions.push_back(DecisionRecord{
          "late_end", detail::ToText(aRow.task),
          "attempt=" + std::to_string(aRow.attempt) +
              " how=" + std::string(ToText(aRow.kind)) +
              " worker=" + detail::WorkerText(aState, aSession.worker) +
              " reason=" + std::string(aReason)});
      aChanges.ends.tasks.push_back(std::move(end));
      return;
    }
  }
  RecordSkippedEnd(aState, aSession, aKey, aRow, aReason, aActions);
}

void ProcessEnded(Scheduler& aScheduler, const State& aState,
                  WorkerSession& aSession, const RenewLeaseAnswer& aAnswer,
                  TimePoint aNow, RenewalChanges& aChanges,
                  SchedulerActions& aActions) {
  for (const EndedAttempt& row : aAnswer.ended) {
    if (row.number <= aSession.committedEnd) {
      continue;
    }
    const auto key = detail::KeyOf(aState, row.task);
    if (key) {
      aScheduler.begunJobs.insert(key->job);
    }
    ForgetIfEnded(aScheduler, aState, key);
    const std::string_view skipReason =
        SkipReason(aScheduler, aSession, key, row);
    if (!skipReason.empty()) {
      ProcessLateEnd(aState, aSession, key, row, skipReason, aChanges,
                     aActions);
      continue;
    }
    Attempt& attempt = aScheduler.attempts.at(*key);
    if (attempt.proposedEnd) {
      aChanges.endPending = true;
      // The attempt was given up a moment ago. Its actual end must be committed
      // before the task can be placed again.
      if (row.kind == EndKind::Done && attempt.proposedEnd != EndKind::Done) {
        aChanges.ends.tasks.push_back(
            EndedTask{*key, row.attempt, row.kind, row.checkpoint});
      }
      continue;
    }
    if (row.kind == EndKind::Done) {
      detail::LearnRunTime(aScheduler, aState, *key, attempt, aSession, aNow);
    }
    RecordOutcome(aScheduler, aSession, row.kind, aNow);
    if (row.kind != EndKind::Done) {
      aActions.push_back(
          DecisionRecord{"attempt_ended", detail::ToText(row.task),
                         "attempt=" + std::to_string(row.attempt) +
                             " how=" + std::string(ToText(row.kind))});
    }
    detail::ProposeEnd(*key, attempt, row.kind, row.checkpoint, aChanges.ends);
  }
}

// A task without progress for this long is restarted although its worker
// answers; the worker is avoided afterwards unless the task is a filler.
constexpr Duration kStalledAfter = Millis(2500);
constexpr Duration kStalledFillerAfter = Seconds(9);
constexpr Duration kStalledAvoid = Seconds(6);

void RecordTail(Attempt& aAttempt, std::uint32_t aTailMs,
                std::uint32_t aTargetMs, TimePoint aNow) {
  constexpr double kLevelGain = 0.6;
  const double level = TailLevel(aTailMs, aTargetMs);
  aAttempt.level += kLevelGain * (level - aAttempt.level);
  aAttempt.newestLevel = level;
  // Tails are rounded, so that one slightly over the target is reported as
  // equal to it. It may have been over since just after the previous report.
  if (aTailMs < aTargetMs) {
    aAttempt.overTargetSince.reset();
  } else if (!aAttempt.overTargetSince) {
    aAttempt.overTargetSince = aAttempt.tailReportedAt.value_or(aNow);
  }
  aAttempt.tailReportedAt = aNow;
}

void RecordProgress(const State& aState, const TaskKey& aKey,
                    WorkerSession& aSession, Attempt& aAttempt,
                    const RunningAttempt& aRow, TimePoint aNow) {
  if (!aAttempt.listed || aRow.percent != aAttempt.percent) {
    aAttempt.percent = aRow.percent;
    aAttempt.progressAt = aNow;
  }
  aAttempt.listed = true;
  aAttempt.hasRun = true;
  const StageSpec& stage = detail::StageOf(aState, aKey);
  if (stage.tailTargetMs > 0) {
    RecordTail(aAttempt, aRow.load, stage.tailTargetMs, aNow);
  } else {
    aAttempt.usedMilli = aRow.load;
  }
  constexpr std::uint32_t kFullPace = 100;
  if (stage.longRunning || stage.gang || aAttempt.pace < kFullPace) {
    return;
  }
  const Duration limit = stage.filler ? kStalledFillerAfter : kStalledAfter;
  if (limit < aNow - aAttempt.progressAt && !aAttempt.stopReason) {
    detail::RequestStop(aAttempt, "no progress", aNow);
    if (!stage.filler) {
      detail::AvoidWorker(aSession, aNow + kStalledAvoid, aNow);
    }
  }
}

void ProcessRunning(Scheduler& aScheduler, const State& aState,
                    WorkerSession& aSession, const RenewLeaseAnswer& aAnswer,
                    TimePoint aNow, SchedulerActions& aActions,
                    std::unordered_set<TaskKey>& aListed) {
  for (const RunningAttempt& row : aAnswer.running) {
    const auto key = detail::KeyOf(aState, row.task);
    if (key) {
      aScheduler.begunJobs.insert(key->job);
    }
    ForgetIfEnded(aScheduler, aState, key);
    const auto found =
        key ? aScheduler.attempts.find(*key) : aScheduler.attempts.end();
    const bool ours = found != aScheduler.attempts.end() &&
                      found->second.number == row.attempt &&
                      found->second.worker == aSession.worker;
    if (ours) {
      aListed.insert(*key);
      RecordProgress(aState, *key, aSession, found->second, row, aNow);
      continue;
    }
    // The start was executed late, after the attempt had been ended.
    SendStop stop;
    stop.worker = aSession.worker;
    stop.request = StopRequest{row.task, row.attempt, aScheduler.epoch};
    aActions.push_back(
        DecisionRecord{"stray_attempt", detail::ToText(row.task),
                       "attempt=" + std::to_string(row.attempt)});
    aActions.push_back(std::move(stop));
  }
}

// Whether an attempt of an earlier leader that the worker has never listed can
// be started by this one. It has then run nowhere, so that it keeps its number.
// The members of a gang are only placed together.
bool MayTakeOver(const State& aState, const TaskKey& aKey,
                 const Attempt& aAttempt) {
  const Job& job = aState.jobs.at(aKey.job);
  return !aAttempt.listed && !aAttempt.stopReason &&
         !FindTask(aState, aKey)->hasWorkerRestarted &&
         job.phase == JobPhase::Active && !detail::StageOf(aState, aKey).gang;
}

// Whether to wait until the worker has announced its capacity to this leader
// before one of its attempts is started.
bool MustAwaitAnnouncement(const Scheduler& aScheduler,
                           const WorkerSession& aSession,
                           const Attempt& aAttempt, TimePoint aNow) {
  constexpr std::int64_t kAwaitedAnnouncements = 2;
  return detail::IsCapacityOutdated(aScheduler, aSession, aNow) &&
         aNow - aAttempt.sentAt <
             aScheduler.settings.announceInterval * kAwaitedAnnouncements;
}

// Starts an attempt that an earlier leader placed. The worker has not begun it
// and refuses the earlier leader's start, so that it can't run twice; ending it
// would take two commits, and be lost again if this leader does not last.
void TakeOver(Scheduler& aScheduler, const State& aState, const TaskKey& aKey,
              Attempt& aAttempt, TimePoint aNow, SchedulerActions& aActions) {
  aActions.push_back(DecisionRecord{
      "attempt_taken_over", detail::ToText(detail::NameOf(aState, aKey)),
      "attempt=" + std::to_string(aAttempt.number) +
          " worker=" + detail::WorkerText(aState, aAttempt.worker)});
  // The earlier start may still reach a new incarnation of the worker.
  detail::RecordAbandonedStart(aScheduler, aState, aKey, aAttempt, aNow);
  Attempt next;
  next.number = aAttempt.number;
  next.worker = aAttempt.worker;
  next.startStatus = Attempt::StartStatus::Sending;
  next.sentAt = aNow;
  next.progressAt = aNow;
  aAttempt = std::move(next);
  detail::QueueStart(aScheduler, aState, aKey, aAttempt.number);
}

// Starts, ends or stops attempts that the worker lists neither as running nor
// as ended.
void ProcessUnlisted(Scheduler& aScheduler, const State& aState,
                     WorkerSession& aSession, const RenewLeaseAnswer& aAnswer,
                     TimePoint aSentAt, TimePoint aNow,
                     const std::unordered_set<TaskKey>& aListed,
                     RenewalChanges& aChanges, SchedulerActions& aActions) {
  const auto worker = aState.workers.find(aSession.worker);
  if (worker == aState.workers.end() || aAnswer.endsTruncated) {
    return;
  }
  constexpr Duration kUnansweredStart = Millis(1500);
  for (const TaskKey& key : worker->second.attempts) {
    const auto found = aScheduler.attempts.find(key);
    if (found == aScheduler.attempts.end() || found->second.proposedEnd ||
        aListed.count(key) > 0) {
      continue;
    }
    Attempt& attempt = found->second;
    if (attempt.sentAt < aSentAt) {
      // The start did not end the worker.
      attempt.isSentAfterAnswer = false;
    }
    // The worker has seen this epoch with the renewal and refuses older starts.
    const bool fenced = attempt.isFromEarlierEpoch;
    const bool stopped =
        attempt.stopAcknowledgedAt && *attempt.stopAcknowledgedAt < aSentAt;
    if (fenced && !stopped && MayTakeOver(aState, key, attempt)) {
      if (MustAwaitAnnouncement(aScheduler, aSession, attempt, aNow)) {
        continue;
      }
      TakeOver(aScheduler, aState, key, attempt, aNow, aActions);
      continue;
    }
    if (fenced || stopped) {
      aActions.push_back(DecisionRecord{
          "attempt_given_up", detail::ToText(detail::NameOf(aState, key)),
          "attempt=" + std::to_string(attempt.number) +
              " worker=" + detail::WorkerText(aState, aSession.worker) +
              " evidence=" + (fenced ? "epoch raised" : "stop acknowledged") +
              ", not listed"});
      detail::RecordAbandonedStart(aScheduler, aState, key, attempt, aNow);
      detail::ProposeEnd(key, attempt, EndKind::NeverRan, "", aChanges.ends);
      continue;
    }
    const bool unanswered =
        attempt.startStatus == Attempt::StartStatus::Unknown &&
        kUnansweredStart < aNow - attempt.sentAt;
    const bool vanished =
        attempt.startStatus == Attempt::StartStatus::Accepted &&
        attempt.answeredAt < aSentAt;
    if ((unanswered || vanished) && !attempt.stopReason) {
      detail::RequestStop(attempt, "start unanswered", aNow);
    }
  }
}

SchedulerActions OnOtherIncarnation(Scheduler& aScheduler, const State& aState,
                                    const WorkerSession& aSession,
                                    const RequestAnswer& aAnswer,
                                    TimePoint aNow) {
  if (aAnswer.outcome == RequestOutcome::OtherIncarnation) {
    return detail::RemoveIncarnation(aScheduler, aState, aSession.worker, aNow);
  }
  const Worker& worker = aState.workers.at(aSession.worker);
  if (detail::AwaitsEvidence(aScheduler, aState, worker, aNow)) {
    return {};
  }
  WorkerSpec spec = worker.spec;
  spec.startedUnixMs = aAnswer.startedUnixMs;
  // It may be of another kind. Nothing is placed there until it announces its
  // capacity.
  spec.capacity = Resources();
  spec.draining = false;
  Commit commit;
  commit.commands.emplace_back(RegistrationOf(aScheduler, aState, spec, aNow));
  return {std::move(commit)};
}

bool IsOtherIncarnation(const State& aState, const WorkerSession& aSession,
                        const RequestAnswer& aAnswer) {
  const auto worker = aState.workers.find(aSession.worker);
  if (worker == aState.workers.end()) {
    return false;
  }
  return aAnswer.outcome == RequestOutcome::OtherIncarnation ||
         (aAnswer.outcome == RequestOutcome::Done &&
          aAnswer.startedUnixMs > 0 &&
          aAnswer.startedUnixMs > worker->second.spec.startedUnixMs);
}

void AddCommit(RenewalChanges& aChanges, Commit aCommit,
               SchedulerActions& aActions) {
  Commit commit = std::move(aCommit);
  if (!aChanges.ends.tasks.empty()) {
    commit.commands.emplace_back(std::move(aChanges.ends));
  }
  for (Command& command : aChanges.others) {
    commit.commands.push_back(std::move(command));
  }
  if (!commit.commands.empty()) {
    aActions.push_back(std::move(commit));
  }
}

void OnRenewalMissed(Scheduler& aScheduler, const State& aState,
                     WorkerSession& aSession, const RequestAnswer& aAnswer,
                     TimePoint aNow, SchedulerActions& aActions) {
  if (aSession.missedRenewals == 0) {
    aActions.push_back(DecisionRecord{
        "worker_unreachable", detail::WorkerText(aState, aSession.worker),
        aAnswer.reason});
  }
  ++aSession.missedRenewals;
  detail::RecordMiss(aSession, aNow);
  detail::MarkSilent(aScheduler, aSession);
  // Most likely it has ended and closed the connection: a new connection is
  // then refused, which proves it.
  if (aSession.missedRenewals == 1 &&
      detail::IsLeaving(aState, aSession.worker)) {
    aSession.nextRenewalAt = aNow;
    return;
  }
  constexpr std::int64_t kMaxRetrySteps = 4;
  aSession.nextRenewalAt =
      aNow + kRenewalRetry * std::min<std::int64_t>(kMaxRetrySteps,
                                                    aSession.missedRenewals);
}

// A worker that said that it will end has ended: no process listens at its
// address any more.
void RemoveEndedWorker(Scheduler& aScheduler, const State& aState,
                       WorkerSession& aSession, TimePoint aNow,
                       RenewalChanges& aChanges, SchedulerActions& aActions) {
  const Worker& worker = aState.workers.at(aSession.worker);
  aActions.push_back(
      DecisionRecord{"worker_ended", worker.spec.id.value,
                     "connection refused, attempts=" +
                         std::to_string(worker.attempts.size())});
  detail::RecordAbandonedStarts(aScheduler, aState, worker, aNow);
  aSession.nextRenewalAt = aNow + kRenewalRetry;
  aChanges.others.emplace_back(RemoveWorker{aSession.worker, false});
  AddCommit(aChanges, Commit(), aActions);
}

}  // namespace

SchedulerActions OnLeaseRenewalAnswer(Scheduler& aScheduler,
                                      const State& aState,
                                      const SendLeaseRenewal& aRequest,
                                      TimePoint aSentAt,
                                      const RenewLeaseAnswer& aAnswer,
                                      TimePoint aNow) {
  SchedulerActions actions;
  if (aRequest.request.waitMs == 0) {
    --aScheduler.promptRenewalsInFlight;
  }
  const auto found = aScheduler.sessions.find(aRequest.worker);
  if (found == aScheduler.sessions.end()) {
    return actions;
  }
  WorkerSession& session = found->second;
  aScheduler.sessionsWithoutRenewal.insert(session.worker);
  RenewalChanges changes;
  if (IsOtherIncarnation(aState, session, aAnswer.result)) {
    session.nextRenewalAt = aNow + kRenewalRetry;
    return OnOtherIncarnation(aScheduler, aState, session, aAnswer.result,
                              aNow);
  }
  if (IsDelayedByLeader(aAnswer.result)) {
    session.nextRenewalAt = aNow;
    ++session.unsentRenewals;
    // Comes after the first renewals that have not been tried yet.
    session.firstRenewal = RenewalClass::Other;
    return actions;
  }
  if (aAnswer.result.isConnectionRefused &&
      detail::IsLeaving(aState, session.worker)) {
    RemoveEndedWorker(aScheduler, aState, session, aNow, changes, actions);
    return actions;
  }
  if (aAnswer.result.outcome != RequestOutcome::Done) {
    OnRenewalMissed(aScheduler, aState, session, aAnswer.result, aNow, actions);
    return actions;
  }
  if (session.missedRenewals > 0) {
    actions.push_back(DecisionRecord{
        "worker_reachable", detail::WorkerText(aState, session.worker),
        "missed=" + std::to_string(session.missedRenewals)});
    aScheduler.dispatchWanted = true;
  }
  session.missedRenewals = 0;
  session.unsentRenewals = 0;
  session.isBootUnconfirmed = false;
  session.isConfirmationWanted = false;
  detail::ConfirmAddress(aScheduler, session, aSentAt, aNow);
  session.expiredRuns.clear();
  detail::RecordAnswer(session, aNow);
  detail::RecordClock(session, aAnswer.result.clockMs, aNow);
  detail::RecordMessage(aScheduler, session, aNow);
  session.hasAnsweredRenewal = true;
  session.acknowledgedEnd =
      std::max(session.acknowledgedEnd, aRequest.request.lastSeen);
  std::uint64_t newest = session.committedEnd;
  for (const EndedAttempt& row : aAnswer.ended) {
    newest = std::max(newest, row.number);
  }
  ProcessEnded(aScheduler, aState, session, aAnswer, aNow, changes, actions);
  std::unordered_set<TaskKey> listed;
  ProcessRunning(aScheduler, aState, session, aAnswer, aNow, actions, listed);
  ProcessUnlisted(aScheduler, aState, session, aAnswer, aSentAt, aNow, listed,
                  changes, actions);
  detail::AdjustPaces(aScheduler, aState, session, aNow, actions);
  const auto worker = aState.workers.find(session.worker);
  const bool busy =
      worker != aState.workers.end() && !worker->second.attempts.empty();
  session.nextRenewalAt = busy ? aNow : aNow + kIdleAcknowledgeDelay;
  if (detail::IsLeaving(aState, session.worker)) {
    session.nextRenewalAt = aNow + kLeavingRenewalInterval;
  } else if (busy &&
             detail::HasUnresolvedAttempt(aScheduler, worker->second, aNow)) {
    session.nextRenewalAt = aNow + kRenewalRetry;
  }
  Commit commit;
  if (changes.endPending) {
    // The list is acknowledged only once the pending commit has finished.
    session.nextRenewalAt = aNow + kRenewalRetry;
  } else if (changes.ends.tasks.empty()) {
    session.committedEnd = newest;
  } else {
    session.isCommittingEnds = true;
    commit.acknowledgedWorker = session.worker;
    commit.acknowledgedEnd = newest;
  }
  AddCommit(changes, std::move(commit), actions);
  return actions;
}

}  // namespace bramleypath::workflow
