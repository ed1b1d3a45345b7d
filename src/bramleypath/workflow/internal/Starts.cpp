#include <algorithm>
#include <utility>

#include "bramleypath/workflow/internal/CrashEvidence.h"
#include "bramleypath/workflow/internal/LeaseGrants.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"
#include "bramleypath/workflow/internal/StartChecks.h"
#include "bramleypath/workflow/internal/Suspects.h"

namespace bramleypath::workflow::detail {

namespace {

// No starts are sent for this long after one was delayed, so that renewals,
// which expire, are sent first.
constexpr Duration kDelayedStartPause = Millis(50);
// 800 starts per second with answers after 100 ms need 80.
constexpr std::uint32_t kMaxStartsInFlight = 128;
// Further starts of long-running tasks, which must not wait for the answers to
// others.
constexpr std::uint32_t kMaxLongRunningInFlight = 32;

// Whether the stage needs a ticket for the worker and holds no valid one.
bool LacksTicket(const Scheduler& aScheduler, const State& aState,
                 const TaskKey& aKey, WorkerNumber aWorker, TimePoint aNow) {
  const QueueSettings* const queue =
      FindQueue(aState, aState.jobs.at(aKey.job).spec.queue);
  return queue && queue->needsTicket &&
         !FindTicket(aScheduler.tickets, StageKey(aKey), aWorker, aNow);
}

SendStart MakeStart(Scheduler& aScheduler, const State& aState,
                    const TaskKey& aKey, const Attempt& aAttempt,
                    WorkerSession& aSession, TimePoint aNow) {
  SendStart start;
  start.worker = aAttempt.worker;
  start.task = aKey;
  start.request.task = NameOf(aState, aKey);
  start.request.attempt = aAttempt.number;
  start.request.specification = aState.jobs.at(aKey.job).spec.specification;
  start.request.untilWorkerMs = MayGrant(aSession, aNow)
                                    ? GrantLease(aScheduler, aSession, aNow)
                                    : aSession.grantedUntilMs;
  start.request.epoch = aScheduler.epoch;
  start.request.checkpoint = FindTask(aState, aKey)->checkpoint;
  start.request.ticket =
      FindTicket(aScheduler.tickets, StageKey(aKey), aAttempt.worker, aNow)
          .value_or("");
  return start;
}

// Whether the worker has a lease for the task, or may be granted one.
bool MayStart(const WorkerSession& aSession, TimePoint aNow) {
  constexpr std::int64_t kShortestLeaseMs = 2000;
  const auto clock = EstimateClock(aSession, aNow);
  return MayGrant(aSession, aNow) ||
         (clock && *clock + kShortestLeaseMs < aSession.grantedUntilMs);
}

// Whether the task has still to run: its job may have ended since the
// placement, and an end of an earlier attempt may have been recorded.
bool IsStillNeeded(const State& aState, const TaskKey& aKey) {
  return aState.jobs.at(aKey.job).phase == JobPhase::Active &&
         !FindTask(aState, aKey)->doneByEarlierAttempt;
}

// Why a queued start must not be sent; empty if it may be.
std::string WhyNotToStart(const Scheduler& aScheduler, const State& aState,
                          const TaskKey& aKey, const Attempt& aAttempt,
                          TimePoint aNow) {
  if (aAttempt.stopReason) {
    return *aAttempt.stopReason;
  }
  if (!IsStillNeeded(aState, aKey)) {
    return "no longer needed";
  }
  if (LacksTicket(aScheduler, aState, aKey, aAttempt.worker, aNow)) {
    return "no valid ticket";
  }
  return "";
}

DecisionRecord WithdrawnRecord(const State& aState, const TaskKey& aKey,
                               const Attempt& aAttempt,
                               const std::string& aReason) {
  std::string detail = "attempt=" + std::to_string(aAttempt.number) +
                       " worker=" + WorkerText(aState, aAttempt.worker) +
                       " reason=" + aReason;
  const auto worker = aState.workers.find(aAttempt.worker);
  if (worker != aState.workers.end()) {
    detail += " capacity=" + ToText(worker->second.spec.capacity) +
              " reserved=" + ToText(worker->second.reserved);
  }
  return DecisionRecord{"start_withdrawn", ToText(NameOf(aState, aKey)),
                        std::move(detail)};
}

// Sends the start, drops it or ends its attempt. False if it has to wait until
// leases may be granted to its worker.
bool SendOne(Scheduler& aScheduler, const State& aState,
             const QueuedStart& aQueued, TimePoint aNow, EndTasks& aNeverRan,
             SchedulerActions& aActions) {
  const auto found = aScheduler.attempts.find(aQueued.task);
  if (found == aScheduler.attempts.end() ||
      found->second.number != aQueued.attempt ||
      found->second.startStatus != Attempt::StartStatus::Sending ||
      found->second.proposedEnd ||
      HasEnded(aState, aQueued.task, found->second)) {
    return true;
  }
  Attempt& attempt = found->second;
  const auto session = aScheduler.sessions.find(attempt.worker);
  if (session == aScheduler.sessions.end()) {
    return true;
  }
  const std::string reason =
      WhyNotToStart(aScheduler, aState, aQueued.task, attempt, aNow);
  if (!reason.empty()) {
    aActions.push_back(DecisionRecord{
        "start_dropped", ToText(NameOf(aState, aQueued.task)),
        "attempt=" + std::to_string(attempt.number) + " reason=" + reason});
    ProposeEnd(aQueued.task, attempt, EndKind::NeverRan, "", aNeverRan);
    return true;
  }
  const std::string unsuitable =
      UnsuitableReason(aScheduler, aState, aQueued.task, attempt, aNow);
  if (!unsuitable.empty()) {
    aScheduler.startsKeptOffDrained += unsuitable == kDataCentreDrained ? 1 : 0;
    aActions.push_back(
        WithdrawnRecord(aState, aQueued.task, attempt, unsuitable));
    StopOtherMembers(aScheduler, aState, aQueued.task, attempt.number, aNow);
    ProposeEnd(aQueued.task, attempt, EndKind::NeverRan, "", aNeverRan);
    return true;
  }
  if (!MayStart(session->second, aNow)) {
    RequestPermit(aScheduler, session->second, aNow);
    return false;
  }
  if (AwaitsConfirmation(aState, aQueued.task, session->second, aNow)) {
    return false;
  }
  ++aScheduler.startsInFlight;
  attempt.isStartInFlight = true;
  attempt.isSentAfterAnswer = HasJustAnswered(session->second, aNow);
  attempt.sentAt = aNow;
  attempt.progressAt = aNow;
  aActions.push_back(MakeStart(aScheduler, aState, aQueued.task, attempt,
                               session->second, aNow));
  return true;
}

// Sends the starts of one queue while fewer than aMaxInFlight are in flight.
void SendQueue(Scheduler& aScheduler, const State& aState,
               std::deque<QueuedStart>& aQueue, std::uint32_t aMaxInFlight,
               TimePoint aNow, EndTasks& aNeverRan,
               SchedulerActions& aActions) {
  std::vector<QueuedStart> waiting;
  while (!aQueue.empty() && aNow >= aScheduler.nextStartAt &&
         aScheduler.startsInFlight < aMaxInFlight) {
    const QueuedStart next = aQueue.front();
    aQueue.pop_front();
    if (!SendOne(aScheduler, aState, next, aNow, aNeverRan, aActions)) {
      waiting.push_back(next);
    }
  }
  aQueue.insert(aQueue.begin(), waiting.begin(), waiting.end());
}

}  // namespace

std::size_t CountUnstarted(const Scheduler& aScheduler) {
  return aScheduler.pendingPlacements.size() + aScheduler.queuedStarts.size() +
         aScheduler.queuedLongRunningStarts.size() + aScheduler.startsInFlight;
}

void RecordStartAnswered(Scheduler& aScheduler) {
  --aScheduler.startsInFlight;
  if (aScheduler.isStartWindowFull) {
    aScheduler.dispatchWanted = true;
  }
}

void QueueStart(Scheduler& aScheduler, const State& aState, const TaskKey& aKey,
                AttemptNumber aAttempt) {
  std::deque<QueuedStart>& queue = StageOf(aState, aKey).longRunning
                                       ? aScheduler.queuedLongRunningStarts
                                       : aScheduler.queuedStarts;
  queue.push_back(QueuedStart{aKey, aAttempt});
}

void QueueDelayedStart(Scheduler& aScheduler, const State& aState,
                       const SendStart& aRequest, const Attempt& aAttempt,
                       TimePoint aNow) {
  aScheduler.nextStartAt = aNow + kDelayedStartPause;
  // An attempt that was moved to another incarnation is being stopped there.
  if (aAttempt.worker == aRequest.worker &&
      aAttempt.startStatus == Attempt::StartStatus::Sending &&
      !HasEnded(aState, aRequest.task, aAttempt)) {
    QueueStart(aScheduler, aState, aRequest.task, aAttempt.number);
  }
}

void SendQueuedStarts(Scheduler& aScheduler, const State& aState,
                      TimePoint aNow, SchedulerActions& aActions) {
  EndTasks neverRan;
  SendQueue(aScheduler, aState, aScheduler.queuedLongRunningStarts,
            kMaxStartsInFlight + kMaxLongRunningInFlight, aNow, neverRan,
            aActions);
  SendQueue(aScheduler, aState, aScheduler.queuedStarts, kMaxStartsInFlight,
            aNow, neverRan, aActions);
  if (!neverRan.tasks.empty()) {
    Commit commit;
    commit.commands.emplace_back(std::move(neverRan));
    aActions.push_back(std::move(commit));
  }
}

}  // namespace bramleypath::workflow::detail
