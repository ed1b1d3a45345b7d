#include "bramleypath/workflow/internal/CrashScope.h"

#include <algorithm>

#include "bramleypath/workflow/internal/Suspects.h"

namespace bramleypath::workflow::detail {

namespace {

// A message that was sent before a crash is read this long after it, at most.
constexpr Duration kLateMessage = Millis(500);
// Beyond the interval of announcements, for those that are late.
constexpr Duration kAnnouncementSlack = Seconds(1);
constexpr std::size_t kOthersAnywhere = 2;
constexpr std::size_t kOthersOfRack = 1;
constexpr std::size_t kMaxLostWorkers = 256;
constexpr Duration kSettled = Seconds(1);

// When a worker was heard from for the last time, and by when it had crashed,
// if it has.
struct Silence {
  TimePoint since;
  std::optional<TimePoint> crashedBy;
};

// Other workers that may have crashed together with one.
struct Others {
  std::size_t ofRack = 0;
  std::size_t anywhere = 0;
};

bool AreCorrelated(const Others& aOthers) {
  return aOthers.ofRack >= kOthersOfRack || aOthers.anywhere >= kOthersAnywhere;
}

// How long a live worker is silent, at most.
Duration LongestSilence(const Scheduler& aScheduler) {
  return aScheduler.settings.announceInterval + kAnnouncementSlack;
}

// Whether the worker was there when the start was sent, and may have crashed
// with it.
bool MayHaveCrashedWith(const Scheduler& aScheduler, const Silence& aSilence,
                        TimePoint aSentAt) {
  const TimePoint begin = aSentAt - kJustAnswered;
  return begin - LongestSilence(aScheduler) < aSilence.since &&
         aSilence.since < aSentAt + kLateMessage &&
         (!aSilence.crashedBy || begin < *aSilence.crashedBy);
}

void Count(const RackId& aRack, const RackId& aOther, Others& aOthers) {
  ++aOthers.anywhere;
  aOthers.ofRack += !aRack.value.empty() && aRack == aOther ? 1 : 0;
}

// Whether the worker has a task that may have taken it down.
bool HasDecisiveTask(const State& aState, const Worker& aWorker) {
  return std::any_of(aWorker.attempts.begin(), aWorker.attempts.end(),
                     [&](const TaskKey& aKey) {
                       return IsNextCrashDecisive(*FindTask(aState, aKey));
                     });
}

// The worker of the session if it may have crashed with the start; else null.
// Workers that are found to have crashed are in Scheduler::lostWorkers.
const Worker* SilentWorker(const Scheduler& aScheduler, const State& aState,
                           const WorkerSession& aSession, TimePoint aSentAt) {
  const TimePoint since =
      aSession.lastMessageAt.value_or(aScheduler.leaderSince);
  if (aSession.isLost ||
      !MayHaveCrashedWith(aScheduler, {since, aSession.missedAt}, aSentAt)) {
    return nullptr;
  }
  const auto worker = aState.workers.find(aSession.worker);
  return worker == aState.workers.end() || worker->second.spec.draining ||
                 HasDecisiveTask(aState, worker->second)
             ? nullptr
             : &worker->second;
}

}  // namespace

CrashScope ScopeOfCrash(const Scheduler& aScheduler, const State& aState,
                        const Worker& aWorker, TimePoint aSentAt,
                        TimePoint aNow) {
  const RackId& rack = aWorker.spec.rack;
  Others failed;
  for (const LostWorker& lost : aScheduler.lostWorkers) {
    if (!lost.hadDecisiveTask && lost.address != aWorker.spec.address &&
        MayHaveCrashedWith(aScheduler, {lost.lastMessageAt, lost.missedAt},
                           aSentAt)) {
      Count(rack, lost.rack, failed);
    }
  }
  Others silent = failed;
  for (const auto& [number, session] : aScheduler.sessions) {
    if (AreCorrelated(failed)) {
      return CrashScope::Correlated;
    }
    const Worker* const other =
        SilentWorker(aScheduler, aState, session, aSentAt);
    if (!other || other->spec.address == aWorker.spec.address) {
      continue;
    }
    Count(rack, other->spec.rack, silent);
    if (session.missedAt) {
      Count(rack, other->spec.rack, failed);
    }
  }
  if (AreCorrelated(failed)) {
    return CrashScope::Correlated;
  }
  if (!AreCorrelated(silent) && aSentAt + kLateMessage < aNow) {
    return CrashScope::Alone;
  }
  const TimePoint knownBy = aSentAt + kLateMessage + LongestSilence(aScheduler);
  return aNow < knownBy ? CrashScope::Unknown : CrashScope::Correlated;
}

void RecordMiss(WorkerSession& aSession, TimePoint aNow) {
  aSession.missedAt = aSession.missedAt.value_or(aNow);
}

void RecordLostWorker(Scheduler& aScheduler, const State& aState,
                      const Worker& aWorker, TimePoint aNow) {
  const auto found = aScheduler.sessions.find(aWorker.number);
  if (found == aScheduler.sessions.end() || found->second.isLost ||
      aWorker.spec.draining) {
    return;
  }
  WorkerSession& session = found->second;
  session.isLost = true;
  RecordMiss(session, aNow);
  aScheduler.lastCrashAt = aNow;
  aScheduler.lostWorkers.push_back(
      LostWorker{aWorker.spec.rack, aWorker.spec.address,
                 session.lastMessageAt.value_or(aScheduler.leaderSince),
                 *session.missedAt, HasDecisiveTask(aState, aWorker)});
  if (aScheduler.lostWorkers.size() > kMaxLostWorkers) {
    aScheduler.lostWorkers.pop_front();
  }
}

bool IsUnsettled(const Scheduler& aScheduler, TimePoint aNow) {
  return aScheduler.lastCrashAt && aNow < *aScheduler.lastCrashAt + kSettled;
}

const char* ToText(CrashScope aScope) {
  switch (aScope) {
    case CrashScope::Unknown:
      return "unknown";
    case CrashScope::Alone:
      return "alone";
    case CrashScope::Correlated:
      return "correlated";
  }
  return "";
}

}  // namespace bramleypath::workflow::detail
