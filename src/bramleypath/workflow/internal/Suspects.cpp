#include "bramleypath/workflow/internal/Suspects.h"

#include <algorithm>
#include <utility>

#include "bramleypath/workflow/Crashes.h"
#include "bramleypath/workflow/internal/CrashScope.h"
#include "bramleypath/workflow/internal/CrashEvidence.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr Duration kMaxSuspectWait = Millis(1500);
// A task that crashes its worker does so soon after it has started.
constexpr Duration kClearedAfter = Seconds(2);
// An idle worker that crashed is noticed only when its announcements stay away.
// A suspect placed there would be blamed for a crash that came before it.
constexpr Duration kHeardFromWithin = Millis(500);
// Nothing is placed beside a task under which this many workers crashed.
constexpr std::size_t kCrashesForOwnHost = 2;
// For so long, a task whose next crash is decisive waits while workers crash,
// since that crash would prove little.
constexpr Duration kMaxUnsettledWait = Seconds(30);
constexpr std::size_t kMaxSuspectsPerHost = 4;
constexpr std::size_t kMaxTriesPerPass = 64;
constexpr std::size_t kMaxWaitingSuspects = 4096;

std::optional<std::size_t> IndexOf(const CandidateHosts& aHosts,
                                   WorkerNumber aWorker) {
  const auto found =
      std::lower_bound(aHosts.numbers.begin(), aHosts.numbers.end(), aWorker);
  if (found == aHosts.numbers.end() || *found != aWorker) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - aHosts.numbers.begin());
}

WorkerNumber WorkerOf(const Scheduler& aScheduler, const TaskKey& aKey,
                      const TaskState& aTask) {
  if (aTask.phase == TaskPhase::Placed) {
    return aTask.worker;
  }
  const auto pending = aScheduler.pendingPlacements.find(aKey);
  return pending == aScheduler.pendingPlacements.end() ? 0
                                                       : pending->second.worker;
}

bool HasCrashedAt(const TaskState& aTask, const std::string& aAddress) {
  return std::any_of(
      aTask.crashes.begin(), aTask.crashes.end(),
      [&](const TaskCrash& aCrash) { return aCrash.address == aAddress; });
}

// The views for a suspect, in which workers with fewer tasks are cheaper.
std::vector<HostView> ViewsForSuspect(const CandidateHosts& aHosts,
                                      gsl::span<const HostView> aViews,
                                      const TaskState& aState) {
  std::vector<HostView> views(aViews.begin(), aViews.end());
  for (std::size_t host = 0; host < views.size(); ++host) {
    const Worker& worker = *aHosts.workers[host];
    views[host].excluded =
        views[host].excluded || HasCrashedAt(aState, worker.spec.address);
    views[host].interference += static_cast<double>(worker.attempts.size());
  }
  return views;
}

bool IsHeardFrom(const Scheduler& aScheduler, WorkerNumber aWorker,
                 TimePoint aNow) {
  const auto session = aScheduler.sessions.find(aWorker);
  return session != aScheduler.sessions.end() &&
         session->second.lastMessageAt &&
         aNow - *session->second.lastMessageAt < kHeardFromWithin;
}

bool HasWaited(Scheduler& aScheduler, const TaskKey& aKey, Duration aLength,
               TimePoint aNow) {
  auto& waiting = aScheduler.suspectsWaitingSince;
  if (waiting.size() >= kMaxWaitingSuspects) {
    waiting.clear();
  }
  const auto since = waiting.emplace(aKey, aNow).first;
  return aLength < aNow - since->second;
}

// Whether the attempt has run for kClearedAfter, as its worker has shown.
bool HasProvenSafe(const Scheduler& aScheduler, const Attempt& aAttempt) {
  const auto session = aScheduler.sessions.find(aAttempt.worker);
  if (!aAttempt.listed || aAttempt.proposedEnd || aAttempt.stopReason ||
      session == aScheduler.sessions.end() || !session->second.lastMessageAt) {
    return false;
  }
  const TimePoint startedAt = std::max(aAttempt.sentAt, aAttempt.answeredAt);
  return kClearedAfter < *session->second.lastMessageAt - startedAt;
}

// Whether there are few enough suspects to place them apart from each other.
bool MayPlaceApart(const State& aState, std::size_t aHosts) {
  return aState.suspects.size() <= kMaxSuspectsPerHost * aHosts;
}

std::string CrashText(gsl::span<const TaskCrash> aCrashes) {
  std::string text = "crashes=" + std::to_string(aCrashes.size());
  text += " workers=";
  for (const TaskCrash& crash : aCrashes) {
    text += crash.worker.value + "@" + crash.address +
            (crash.isUnproven ? " may have run," : ",");
  }
  return text;
}

void LogCrash(const State& aState, const WorkerCrash& aCrash,
              SchedulerActions& aActions) {
  aActions.push_back(DecisionRecord{
      "worker_crashed", aCrash.worker.value,
      "address=" + aCrash.address +
          " attempts=" + std::to_string(aCrash.attempts) +
          " ran=" + std::to_string(aCrash.ran) +
          " suspects=" + std::to_string(aCrash.suspects.size())});
  for (const TaskKey& key : aCrash.suspects) {
    const TaskState* const task = FindTask(aState, key);
    if (task) {
      aActions.push_back(DecisionRecord{"task_suspected",
                                        ToText(NameOf(aState, key)),
                                        CrashText(task->crashes)});
    }
  }
  for (const GivenUpTask& one : aCrash.givenUp) {
    const TaskName name = NameOf(aState, one.task);
    aActions.push_back(
        DecisionRecord{"job_given_up", name.job.value,
                       "task=" + ToText(name) +
                           " crashes its workers: " + CrashText(one.crashes)});
  }
}

}  // namespace

SuspectHosts CollectSuspectHosts(const Scheduler& aScheduler,
                                 const State& aState, CandidateHosts& aHosts) {
  SuspectHosts suspects;
  suspects.placesApart = MayPlaceApart(aState, aHosts.numbers.size());
  if (!suspects.placesApart) {
    return suspects;
  }
  suspects.triesLeft = kMaxTriesPerPass;
  suspects.occupied.resize(aHosts.numbers.size(), false);
  for (const TaskKey& key : aState.suspects) {
    const TaskState* const task = FindTask(aState, key);
    if (!task || task->crashes.empty()) {
      continue;
    }
    const auto host = IndexOf(aHosts, WorkerOf(aScheduler, key, *task));
    if (host) {
      suspects.occupied[*host] = true;
      aHosts.views[*host].excluded =
          aHosts.views[*host].excluded || NeedsOwnHost(*task);
    }
  }
  return suspects;
}

bool AwaitsConfirmation(const State& aState, const TaskKey& aKey,
                        WorkerSession& aSession, TimePoint aNow) {
  if (FindTask(aState, aKey)->crashes.empty() ||
      HasJustAnswered(aSession, aNow) ||
      !MayPlaceApart(aState, aState.workers.size())) {
    return false;
  }
  aSession.isConfirmationWanted = true;
  aSession.nextRenewalAt = std::min(aSession.nextRenewalAt, aNow);
  return true;
}

bool NeedsOwnHost(const TaskState& aTask) {
  return aTask.crashes.size() >= kCrashesForOwnHost;
}

bool IsNextCrashDecisive(const TaskState& aTask) {
  return aTask.crashes.size() + 1 >= kCrashesToGiveUp;
}

std::optional<std::size_t> ChooseHostForSuspect(
    Scheduler& aScheduler, const CandidateHosts& aHosts,
    SuspectHosts& aSuspects, gsl::span<const HostView> aViews,
    const TaskView& aTask, const TaskKey& aKey, const TaskState& aState,
    TimePoint aNow) {
  if (aSuspects.triesLeft == 0) {
    return std::nullopt;
  }
  --aSuspects.triesLeft;
  if (IsNextCrashDecisive(aState) && IsUnsettled(aScheduler, aNow) &&
      !HasWaited(aScheduler, aKey, kMaxUnsettledWait, aNow)) {
    return std::nullopt;
  }
  std::vector<HostView> views = ViewsForSuspect(aHosts, aViews, aState);
  std::vector<HostView> apart = views;
  for (std::size_t host = 0; host < apart.size(); ++host) {
    apart[host].excluded = apart[host].excluded || aSuspects.occupied[host] ||
                           !IsHeardFrom(aScheduler, aHosts.numbers[host], aNow);
  }
  std::optional<std::size_t> chosen = ChooseHost(apart, aTask);
  if (!chosen && HasWaited(aScheduler, aKey, kMaxSuspectWait, aNow)) {
    chosen = ChooseHost(views, aTask);
    chosen = chosen ? chosen : ChooseHost(aViews, aTask);
  }
  if (chosen) {
    aScheduler.suspectsWaitingSince.erase(aKey);
  }
  return chosen;
}

void ClearSuspects(Scheduler& aScheduler, const State& aState,
                   SchedulerActions& aActions) {
  EndTasks cleared;
  for (const TaskKey& key : aState.suspects) {
    const auto found = aScheduler.attempts.find(key);
    if (found == aScheduler.attempts.end() ||
        found->second.isClearancePending ||
        HasEnded(aState, key, found->second) ||
        !HasProvenSafe(aScheduler, found->second)) {
      continue;
    }
    found->second.isClearancePending = true;
    cleared.cleared.push_back(TaskAttempt{key, found->second.number});
  }
  if (cleared.cleared.empty()) {
    return;
  }
  const std::size_t count = cleared.cleared.size();
  aActions.push_back(DecisionRecord{
      "tasks_cleared", ToText(NameOf(aState, cleared.cleared[0].task)),
      "count=" + std::to_string(count)});
  Commit commit;
  commit.commands.emplace_back(std::move(cleared));
  aActions.push_back(std::move(commit));
}

void LogCrashes(Scheduler& aScheduler, const State& aState,
                SchedulerActions& aActions) {
  for (const WorkerCrash& crash : aState.recentCrashes) {
    if (crash.number > aScheduler.lastLoggedCrash) {
      aScheduler.lastLoggedCrash = crash.number;
      LogCrash(aState, crash, aActions);
    }
  }
}

}  // namespace bramleypath::workflow::detail
