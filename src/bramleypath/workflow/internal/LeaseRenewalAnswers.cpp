#include <algorithm>
#include <utility>

#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow {

namespace {

// Ends of a worker that runs nothing are acknowledged with its next start, or
// after this.
constexpr Duration kIdleAcknowledgeDelay = Millis(400);
constexpr Duration kHoldRetry = Millis(250);

struct HoldChanges {
  EndTasks ends;
  std::vector<Command> others;
  // A listed end is being committed already.
  bool endPending = false;
};

void NoteTrust(Scheduler& aScheduler, Contact& aContact, EndKind aKind,
               TimePoint aNow) {
  if (aKind == EndKind::Done) {
    aContact.recentFailures = 0;
    return;
  }
  if (aKind != EndKind::Failed) {
    return;
  }
  ++aContact.recentFailures;
  constexpr std::uint32_t kTrustedFailures = 2;
  if (aContact.recentFailures > kTrustedFailures) {
    constexpr std::uint32_t kMaxDoublings = 3;
    const std::uint32_t doublings =
        std::min(kMaxDoublings, aContact.recentFailures - kTrustedFailures - 1);
    aContact.avoidUntil = aNow + Millis(1500) * (1 << doublings);
    aScheduler.dispatchWanted = true;
  }
}

void TakeEnded(Scheduler& aScheduler, const State& aState, Contact& aContact,
               const HoldAnswer& aAnswer, TimePoint aNow, HoldChanges& aChanges,
               SchedulerActions& aActions) {
  for (const EndedRow& row : aAnswer.ended) {
    if (row.number <= aContact.lastSeen) {
      continue;
    }
    const auto key = detail::KeyOf(aState, row.task);
    const auto found =
        key ? aScheduler.attempts.find(*key) : aScheduler.attempts.end();
    if (found == aScheduler.attempts.end() ||
        found->second.number != row.attempt ||
        found->second.worker != aContact.worker) {
      continue;
    }
    Attempt& attempt = found->second;
    if (attempt.endProposed) {
      aChanges.endPending = true;
      continue;
    }
    if (row.kind == EndKind::Done) {
      detail::LearnRunTime(aScheduler, aState, *key, attempt, aContact, aNow);
    }
    NoteTrust(aScheduler, aContact, row.kind, aNow);
    if (row.kind != EndKind::Done) {
      aActions.push_back(
          DecisionRecord{"attempt_ended", detail::ToText(row.task),
                         "attempt=" + std::to_string(row.attempt) +
                             " how=" + std::string(ToText(row.kind))});
    }
    detail::ProposeEnd(*key, attempt, row.kind, row.checkpoint, aChanges.ends);
  }
}

// A task that makes no progress although its worker answers holds it up.
constexpr Duration kStalledAfter = Millis(2500);
constexpr Duration kStalledFillerAfter = Seconds(9);
constexpr Duration kStalledAvoid = Seconds(6);

void NoteTail(Attempt& aAttempt, std::uint32_t aTailMs, std::uint32_t aTargetMs,
              TimePoint aNow) {
  constexpr double kLevelGain = 0.6;
  const double level = LevelOf(aTailMs, aTargetMs);
  aAttempt.level += kLevelGain * (level - aAttempt.level);
  aAttempt.newestLevel = level;
  // A tail over the target by less than the rounding is reported as equal. It
  // may have risen right after the report before.
  if (aTailMs < aTargetMs) {
    aAttempt.overSince.reset();
  } else if (!aAttempt.overSince) {
    aAttempt.overSince = aAttempt.reportedAt.value_or(aNow);
  }
  aAttempt.reportedAt = aNow;
}

void NoteProgress(const State& aState, const TaskKey& aKey, Contact& aContact,
                  Attempt& aAttempt, const RunningRow& aRow, TimePoint aNow) {
  if (!aAttempt.listed || aRow.percent != aAttempt.percent) {
    aAttempt.percent = aRow.percent;
    aAttempt.progressAt = aNow;
  }
  aAttempt.listed = true;
  const StageSpec& stage = detail::StageOf(aState, aKey);
  if (stage.tailTargetMs > 0) {
    NoteTail(aAttempt, aRow.load, stage.tailTargetMs, aNow);
  } else {
    aAttempt.usedMilli = aRow.load;
  }
  if (stage.lasting || stage.gang || aAttempt.pace < 100) {
    return;
  }
  const Duration limit = stage.filler ? kStalledFillerAfter : kStalledAfter;
  if (limit < aNow - aAttempt.progressAt && !aAttempt.stopReason) {
    detail::WantStop(aAttempt, "no progress", aNow);
    if (!stage.filler) {
      aContact.avoidUntil = aNow + kStalledAvoid;
    }
  }
}

void TakeRunning(Scheduler& aScheduler, const State& aState, Contact& aContact,
                 const HoldAnswer& aAnswer, TimePoint aNow,
                 SchedulerActions& aActions,
                 std::unordered_set<TaskKey>& aListed) {
  for (const RunningRow& row : aAnswer.running) {
    const auto key = detail::KeyOf(aState, row.task);
    const auto found =
        key ? aScheduler.attempts.find(*key) : aScheduler.attempts.end();
    const bool ours = found != aScheduler.attempts.end() &&
                      found->second.number == row.attempt &&
                      found->second.worker == aContact.worker;
    if (ours) {
      aListed.insert(*key);
      NoteProgress(aState, *key, aContact, found->second, row, aNow);
      continue;
    }
    // Carried out late, after it was given up.
    SendStop stop;
    stop.worker = aContact.worker;
    stop.order = StopOrder{row.task, row.attempt, aScheduler.epoch};
    aActions.push_back(
        DecisionRecord{"stray_attempt", detail::ToText(row.task),
                       "attempt=" + std::to_string(row.attempt)});
    aActions.push_back(std::move(stop));
  }
}

// Attempts that the worker lists neither as running nor as ended.
void TakeMissing(Scheduler& aScheduler, const State& aState, Contact& aContact,
                 const HoldAnswer& aAnswer, TimePoint aSentAt, TimePoint aNow,
                 const std::unordered_set<TaskKey>& aListed,
                 HoldChanges& aChanges) {
  const auto worker = aState.workers.find(aContact.worker);
  if (worker == aState.workers.end() || aAnswer.endsTruncated) {
    return;
  }
  constexpr Duration kUnansweredStart = Millis(1500);
  for (const TaskKey& key : worker->second.attempts) {
    const auto found = aScheduler.attempts.find(key);
    if (found == aScheduler.attempts.end() || found->second.endProposed ||
        aListed.count(key) > 0) {
      continue;
    }
    Attempt& attempt = found->second;
    // The hold itself has raised the epoch there.
    const bool fenced = attempt.earlierEpoch;
    const bool stopped = attempt.stoppedAt && *attempt.stoppedAt < aSentAt;
    if (fenced || stopped) {
      detail::NoteGivenUp(aScheduler, aState, key, attempt, aNow);
      detail::ProposeEnd(key, attempt, EndKind::NeverRan, "", aChanges.ends);
      continue;
    }
    const bool unanswered = attempt.delivery == Attempt::Delivery::Unknown &&
                            kUnansweredStart < aNow - attempt.sentAt;
    const bool vanished = attempt.delivery == Attempt::Delivery::Accepted &&
                          attempt.answeredAt < aSentAt;
    if ((unanswered || vanished) && !attempt.stopReason) {
      detail::WantStop(attempt, "start unanswered", aNow);
    }
  }
}

void OnOtherIncarnation(const State& aState, Contact& aContact,
                        const OrderAnswer& aAnswer, HoldChanges& aChanges) {
  const auto worker = aState.workers.find(aContact.worker);
  if (worker == aState.workers.end()) {
    return;
  }
  if (aAnswer.outcome == OrderOutcome::OtherIncarnation) {
    aChanges.others.emplace_back(WorkerGone{aContact.worker});
    return;
  }
  WorkerSeen seen;
  seen.worker = worker->second.spec;
  seen.worker.startedUnixMs = aAnswer.startedUnixMs;
  aChanges.others.emplace_back(std::move(seen));
}

bool IsOtherIncarnation(const State& aState, const Contact& aContact,
                        const OrderAnswer& aAnswer) {
  const auto worker = aState.workers.find(aContact.worker);
  if (worker == aState.workers.end()) {
    return false;
  }
  return aAnswer.outcome == OrderOutcome::OtherIncarnation ||
         (aAnswer.outcome == OrderOutcome::Done && aAnswer.startedUnixMs > 0 &&
          aAnswer.startedUnixMs > worker->second.spec.startedUnixMs);
}

void AddCommit(HoldChanges& aChanges, Commit aCommit,
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

void OnHoldMissed(const State& aState, Contact& aContact,
                  const OrderAnswer& aAnswer, TimePoint aNow,
                  SchedulerActions& aActions) {
  if (aContact.missedHolds == 0) {
    aActions.push_back(DecisionRecord{
        "worker_unreachable", detail::WorkerText(aState, aContact.worker),
        aAnswer.reason});
  }
  ++aContact.missedHolds;
  constexpr std::int64_t kMaxRetrySteps = 4;
  aContact.holdAt =
      aNow +
      kHoldRetry * std::min<std::int64_t>(kMaxRetrySteps, aContact.missedHolds);
}

}  // namespace

SchedulerActions OnHoldAnswer(Scheduler& aScheduler, const State& aState,
                              const SendHold& aOrder, TimePoint aSentAt,
                              const HoldAnswer& aAnswer, TimePoint aNow) {
  SchedulerActions actions;
  const auto found = aScheduler.contacts.find(aOrder.worker);
  if (found == aScheduler.contacts.end()) {
    return actions;
  }
  Contact& contact = found->second;
  contact.holdInFlight = false;
  HoldChanges changes;
  if (IsOtherIncarnation(aState, contact, aAnswer.order)) {
    contact.holdAt = aNow + kHoldRetry;
    OnOtherIncarnation(aState, contact, aAnswer.order, changes);
    AddCommit(changes, Commit(), actions);
    return actions;
  }
  if (aAnswer.order.outcome != OrderOutcome::Done) {
    OnHoldMissed(aState, contact, aAnswer.order, aNow, actions);
    return actions;
  }
  if (contact.missedHolds > 0) {
    actions.push_back(DecisionRecord{
        "worker_reachable", detail::WorkerText(aState, contact.worker),
        "missed=" + std::to_string(contact.missedHolds)});
    aScheduler.dispatchWanted = true;
  }
  contact.missedHolds = 0;
  detail::NoteClock(contact, aAnswer.order.clockMs, aNow);
  detail::NoteHeard(aScheduler, contact, aNow);
  contact.synced = true;
  contact.acknowledged = std::max(contact.acknowledged, aOrder.order.lastSeen);
  std::uint64_t newest = contact.lastSeen;
  for (const EndedRow& row : aAnswer.ended) {
    newest = std::max(newest, row.number);
  }
  TakeEnded(aScheduler, aState, contact, aAnswer, aNow, changes, actions);
  std::unordered_set<TaskKey> listed;
  TakeRunning(aScheduler, aState, contact, aAnswer, aNow, actions, listed);
  TakeMissing(aScheduler, aState, contact, aAnswer, aSentAt, aNow, listed,
              changes);
  detail::AdjustPaces(aScheduler, aState, contact, aNow, actions);
  const auto worker = aState.workers.find(contact.worker);
  const bool busy =
      worker != aState.workers.end() && !worker->second.attempts.empty();
  contact.holdAt = busy ? aNow : aNow + kIdleAcknowledgeDelay;
  Commit commit;
  if (changes.endPending) {
    // Acknowledged only once that commit has ended.
    contact.holdAt = aNow + kHoldRetry;
  } else if (changes.ends.tasks.empty()) {
    contact.lastSeen = newest;
  } else {
    contact.seenProposed = true;
    commit.acknowledgedWorker = contact.worker;
    commit.acknowledgedEnd = newest;
  }
  AddCommit(changes, std::move(commit), actions);
  return actions;
}

}  // namespace bramleypath::workflow
