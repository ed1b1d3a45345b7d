#include "bramleypath/workflow/internal/Incarnations.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bramleypath/workflow/internal/CrashEvidence.h"
#include "bramleypath/workflow/internal/CrashScope.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"
#include "bramleypath/workflow/internal/StartChecks.h"

namespace bramleypath::workflow::detail {

namespace {

// How long the removal of a worker waits for the answers to its starts. The
// other incarnation refuses them at once.
constexpr Duration kStartAnswerWait = Millis(250);
constexpr Duration kRemovalRetry = Millis(250);
// Another writer may go on to announce a worker at the address of a live one.
constexpr Duration kClaimsIgnored = Seconds(10);

// Ends the attempts on the worker whose start has not been sent.
EndTasks EndUnsent(Scheduler& aScheduler, const State& aState,
                   const Worker& aWorker, TimePoint aNow) {
  EndTasks ends;
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    if (found == aScheduler.attempts.end() ||
        found->second.worker != aWorker.number || !IsUnsent(found->second) ||
        HasEnded(aState, key, found->second)) {
      continue;
    }
    StopOtherMembers(aScheduler, aState, key, found->second.number, aNow);
    ProposeEnd(key, found->second, EndKind::NeverRan, "", ends);
  }
  for (const auto& [key, placed] : aScheduler.pendingPlacements) {
    if (placed.worker == aWorker.number) {
      ends.tasks.push_back(
          EndedTask{key, placed.attempt, EndKind::NeverRan, ""});
    }
  }
  return ends;
}

bool AwaitsStartAnswer(const Scheduler& aScheduler, const Worker& aWorker,
                       TimePoint aNow) {
  return std::any_of(aWorker.attempts.begin(), aWorker.attempts.end(),
                     [&](const TaskKey& aKey) {
                       const Attempt* const attempt =
                           FindAttemptOn(aScheduler, aKey, aWorker);
                       return attempt && attempt->isStartInFlight &&
                              aNow - attempt->sentAt < kStartAnswerWait;
                     });
}

DecisionRecord ReplacedRecord(const Worker& aWorker, bool aHasCrashed,
                              const EndTasks& aUnsent, bool aIsWaiting) {
  return DecisionRecord{
      "worker_replaced", aWorker.spec.id.value,
      std::string(aHasCrashed
                      ? "another incarnation answered"
                      : "another incarnation answered, this one never did") +
          " attempts=" + std::to_string(aWorker.attempts.size()) +
          " unsent=" + std::to_string(aUnsent.tasks.size()) +
          (aIsWaiting ? " waits for evidence" : "")};
}

}  // namespace

void MarkClaimedAddresses(Scheduler& aScheduler, const State& aState,
                          gsl::span<const WorkerNumber> aNew, TimePoint aNow) {
  if (aNew.empty()) {
    return;
  }
  std::unordered_map<std::string_view, std::vector<WorkerNumber>> byAddress;
  for (const WorkerNumber number : aNew) {
    byAddress.emplace(aState.workers.at(number).spec.address,
                      std::vector<WorkerNumber>());
  }
  for (const auto& [number, worker] : aState.workers) {
    const auto found = byAddress.find(worker.spec.address);
    if (found != byAddress.end()) {
      found->second.push_back(number);
    }
  }
  for (const auto& [address, numbers] : byAddress) {
    if (numbers.size() < 2) {
      continue;
    }
    for (const WorkerNumber number : numbers) {
      WorkerSession& session = aScheduler.sessions.at(number);
      if (number != numbers.back()) {
        RecordMiss(session, aNow);
      }
      if (aNow < session.claimsIgnoredUntil) {
        session.isConfirmationWanted = true;
      } else {
        session.addressClaimedAt = aNow;
      }
      session.nextRenewalAt = std::min(session.nextRenewalAt, aNow);
    }
  }
}

void ConfirmAddress(Scheduler& aScheduler, WorkerSession& aSession,
                    TimePoint aAskedAt, TimePoint aNow) {
  if (!aSession.addressClaimedAt || aAskedAt < *aSession.addressClaimedAt) {
    return;
  }
  aSession.addressClaimedAt.reset();
  aSession.claimsIgnoredUntil = aNow + kClaimsIgnored;
  aScheduler.dispatchWanted = true;
}

SchedulerActions RemoveIncarnation(Scheduler& aScheduler, const State& aState,
                                   WorkerNumber aWorker, TimePoint aNow) {
  const auto worker = aState.workers.find(aWorker);
  const auto session = aScheduler.sessions.find(aWorker);
  if (worker == aState.workers.end() || session == aScheduler.sessions.end()) {
    return {};
  }
  const bool hasCrashed = MayHaveRunAttempts(session->second);
  if (hasCrashed) {
    RecordLostWorker(aScheduler, aState, worker->second, aNow);
  }
  const bool isWaiting =
      AwaitsStartAnswer(aScheduler, worker->second, aNow) ||
      AwaitsEvidence(aScheduler, aState, worker->second, aNow);
  EndTasks unsent = EndUnsent(aScheduler, aState, worker->second, aNow);
  SchedulerActions actions;
  if (!isWaiting || !session->second.isReplaced) {
    actions.push_back(
        ReplacedRecord(worker->second, hasCrashed, unsent, isWaiting));
  }
  session->second.isReplaced = true;
  session->second.nextRenewalAt = aNow + kRemovalRetry;
  Commit commit;
  if (!unsent.tasks.empty()) {
    commit.commands.emplace_back(std::move(unsent));
  }
  if (!isWaiting) {
    RemoveWorker removal{aWorker, hasCrashed};
    if (hasCrashed) {
      LogSilentStarts(aScheduler, aState, worker->second, aNow, actions);
      removal.evidence = EvidenceOf(aScheduler, aState, worker->second, aNow);
    }
    commit.commands.emplace_back(std::move(removal));
  }
  if (!commit.commands.empty()) {
    actions.push_back(std::move(commit));
  }
  return actions;
}

}  // namespace bramleypath::workflow::detail
