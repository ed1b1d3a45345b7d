#include "bramleypath/workflow/internal/CrashEvidence.h"

#include <algorithm>

#include "bramleypath/workflow/internal/CrashScope.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"
#include "bramleypath/workflow/internal/Suspects.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr std::size_t kMaxExpiredRuns = 64;

}  // namespace

const Attempt* FindAttemptOn(const Scheduler& aScheduler, const TaskKey& aKey,
                             const Worker& aWorker) {
  const auto found = aScheduler.attempts.find(aKey);
  return found == aScheduler.attempts.end() ||
                 found->second.worker != aWorker.number
             ? nullptr
             : &found->second;
}

bool IsUnsent(const Attempt& aAttempt) {
  return aAttempt.startStatus == Attempt::StartStatus::Sending &&
         !aAttempt.isStartInFlight;
}

bool IsSilentStart(const Attempt& aAttempt) {
  return !aAttempt.hasRun && aAttempt.isSentAfterAnswer && !IsUnsent(aAttempt);
}

bool HasRun(const Scheduler& aScheduler, const State& aState,
            const Worker& aWorker, const Attempt& aAttempt, TimePoint aNow) {
  return aAttempt.hasRun ||
         (IsSilentStart(aAttempt) &&
          ScopeOfCrash(aScheduler, aState, aWorker, aAttempt.sentAt, aNow) ==
              CrashScope::Alone);
}

bool AwaitsEvidence(const Scheduler& aScheduler, const State& aState,
                    const Worker& aWorker, TimePoint aNow) {
  return std::any_of(
      aWorker.attempts.begin(), aWorker.attempts.end(),
      [&](const TaskKey& aKey) {
        const Attempt* const attempt = FindAttemptOn(aScheduler, aKey, aWorker);
        return attempt && IsSilentStart(*attempt) &&
               NeedsOwnHost(*FindTask(aState, aKey)) &&
               ScopeOfCrash(aScheduler, aState, aWorker, attempt->sentAt,
                            aNow) == CrashScope::Unknown;
      });
}

void RecordAnswer(WorkerSession& aSession, TimePoint aNow) {
  aSession.lastAnswerAt = aNow;
}

bool HasJustAnswered(const WorkerSession& aSession, TimePoint aNow) {
  return aSession.lastAnswerAt && aNow - *aSession.lastAnswerAt < kJustAnswered;
}

void RememberExpiredRun(WorkerSession& aSession, const TaskKey& aKey,
                        AttemptNumber aAttempt) {
  if (aSession.expiredRuns.size() >= kMaxExpiredRuns) {
    aSession.expiredRuns.erase(aSession.expiredRuns.begin());
  }
  aSession.expiredRuns.push_back(TaskAttempt{aKey, aAttempt});
}

std::optional<CrashEvidence> EvidenceOf(const Scheduler& aScheduler,
                                        const State& aState,
                                        const Worker& aWorker, TimePoint aNow) {
  CrashEvidence evidence;
  for (const auto& [key, placed] : aScheduler.pendingPlacements) {
    if (placed.worker == aWorker.number) {
      evidence.unsent.push_back(TaskAttempt{key, placed.attempt});
    }
  }
  if (aWorker.attempts.empty() && aWorker.expired.empty() &&
      evidence.unsent.empty()) {
    return std::nullopt;
  }
  for (const TaskKey& key : aWorker.attempts) {
    const AttemptNumber number = FindTask(aState, key)->attempt;
    const auto found = aScheduler.attempts.find(key);
    // This leader has not started a placement that it doesn't hold.
    const bool isHeld =
        found != aScheduler.attempts.end() && found->second.number == number;
    if (!isHeld || IsUnsent(found->second)) {
      evidence.unsent.push_back(TaskAttempt{key, number});
    } else if (HasRun(aScheduler, aState, aWorker, found->second, aNow)) {
      evidence.ran.push_back(TaskAttempt{key, number});
    }
  }
  const auto session = aScheduler.sessions.find(aWorker.number);
  if (session != aScheduler.sessions.end()) {
    const std::vector<TaskAttempt>& expired = session->second.expiredRuns;
    evidence.ran.insert(evidence.ran.end(), expired.begin(), expired.end());
  }
  return evidence;
}

void LogSilentStarts(const Scheduler& aScheduler, const State& aState,
                     const Worker& aWorker, TimePoint aNow,
                     SchedulerActions& aActions) {
  for (const TaskKey& key : aWorker.attempts) {
    const Attempt* const attempt = FindAttemptOn(aScheduler, key, aWorker);
    if (!attempt || !IsSilentStart(*attempt)) {
      continue;
    }
    const CrashScope scope =
        ScopeOfCrash(aScheduler, aState, aWorker, attempt->sentAt, aNow);
    aActions.push_back(DecisionRecord{
        "start_silent", ToText(NameOf(aState, key)),
        "attempt=" + std::to_string(attempt->number) +
            " worker=" + aWorker.spec.id.value + " crash=" + ToText(scope) +
            " earlier_crashes=" +
            std::to_string(FindTask(aState, key)->crashes.size())});
  }
}

}  // namespace bramleypath::workflow::detail
