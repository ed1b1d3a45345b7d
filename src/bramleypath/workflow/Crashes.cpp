#include "bramleypath/workflow/Crashes.h"

#include <algorithm>
#include <utility>

namespace bramleypath::workflow {

namespace {

// Bounds of what is kept for the event log and of what a worker remembers.
constexpr std::size_t kMaxRecentCrashes = 64;
constexpr std::size_t kMaxLoggedSuspects = 8;
constexpr std::size_t kMaxExpired = 64;

TaskState* MutableTask(State& aState, const TaskKey& aKey) {
  return const_cast<TaskState*>(FindTask(aState, aKey));
}

std::size_t CountAddresses(const std::vector<TaskCrash>& aCrashes) {
  std::set<std::string> addresses;
  for (const TaskCrash& crash : aCrashes) {
    addresses.insert(crash.address);
  }
  return addresses.size();
}

bool IsCounted(const TaskState& aTask, AttemptNumber aAttempt) {
  return std::any_of(
      aTask.crashes.begin(), aTask.crashes.end(),
      [&](const TaskCrash& aCrash) { return aCrash.attempt == aAttempt; });
}

bool Contains(gsl::span<const TaskAttempt> aAttempts, const TaskAttempt& aOne) {
  return std::any_of(
      aAttempts.begin(), aAttempts.end(), [&](const TaskAttempt& aOther) {
        return aOther.task == aOne.task && aOther.attempt == aOne.attempt;
      });
}

// Returns whether the crash was counted.
bool CountCrash(State& aState, const Worker& aWorker, const TaskAttempt& aOne,
                bool aIsUnproven) {
  TaskState* const task = MutableTask(aState, aOne.task);
  if (!task || task->phase == TaskPhase::Done || task->doneByEarlierAttempt ||
      aState.jobs.at(aOne.task.job).phase != JobPhase::Active ||
      IsCounted(*task, aOne.attempt)) {
    return false;
  }
  task->crashes.push_back(TaskCrash{aOne.attempt, aWorker.spec.id,
                                    aWorker.spec.address, aIsUnproven});
  aState.suspects.insert(aOne.task);
  return true;
}

// The worker's attempts that may have run at its crash, in an order that is the
// same on all replicas.
std::vector<TaskAttempt> AttemptsOf(const State& aState,
                                    const Worker& aWorker) {
  std::vector<TaskAttempt> attempts = aWorker.expired;
  for (const TaskKey& key : aWorker.attempts) {
    attempts.push_back(TaskAttempt{key, FindTask(aState, key)->attempt});
  }
  std::sort(attempts.begin(), attempts.end(),
            [](const TaskAttempt& aLeft, const TaskAttempt& aRight) {
              return aLeft.task < aRight.task;
            });
  return attempts;
}

// Whether the latest crash and enough others happened while the task ran.
bool IsProven(gsl::span<const TaskCrash> aCrashes) {
  const auto proven =
      std::count_if(aCrashes.begin(), aCrashes.end(),
                    [](const TaskCrash& aCrash) { return !aCrash.isUnproven; });
  return !aCrashes[aCrashes.size() - 1].isUnproven &&
         static_cast<std::size_t>(proven) >= kProvenCrashesToGiveUp;
}

std::vector<TaskKey> SelectGivenUp(const State& aState,
                                   gsl::span<const TaskKey> aCounted) {
  std::size_t most = 0;
  std::size_t withMost = 0;
  for (const TaskKey& key : aCounted) {
    const std::size_t crashes = FindTask(aState, key)->crashes.size();
    withMost = crashes > most ? 1 : withMost + (crashes == most ? 1 : 0);
    most = std::max(most, crashes);
  }
  std::vector<TaskKey> givenUp;
  for (const TaskKey& key : aCounted) {
    const std::vector<TaskCrash>& crashes = FindTask(aState, key)->crashes;
    const std::size_t addresses = CountAddresses(crashes);
    const bool isOnlyOne = crashes.size() == most && withMost == 1 &&
                           addresses >= kCrashesToGiveUp;
    const bool isOver = crashes.size() >= kMaxCrashes && addresses > 1;
    if ((isOnlyOne || isOver) && IsProven(crashes)) {
      givenUp.push_back(key);
    }
  }
  return givenUp;
}

void DropClearedSuspects(State& aState) {
  for (auto it = aState.suspects.begin(); it != aState.suspects.end();) {
    const TaskState* const task = FindTask(aState, *it);
    it = !task || task->crashes.empty() ? aState.suspects.erase(it)
                                        : std::next(it);
  }
}

void AddToLog(State& aState, WorkerCrash aCrash) {
  aCrash.number =
      aState.recentCrashes.empty() ? 1 : aState.recentCrashes.back().number + 1;
  aState.recentCrashes.push_back(std::move(aCrash));
  if (aState.recentCrashes.size() > kMaxRecentCrashes) {
    aState.recentCrashes.pop_front();
  }
}

}  // namespace

std::vector<TaskKey> RecordCrash(
    State& aState, const Worker& aWorker,
    const std::optional<CrashEvidence>& aEvidence) {
  DropClearedSuspects(aState);
  std::vector<TaskKey> counted;
  std::uint32_t ran = 0;
  for (const TaskAttempt& one : AttemptsOf(aState, aWorker)) {
    if (aEvidence && Contains(aEvidence->unsent, one)) {
      continue;
    }
    const bool hasRun = !aEvidence || Contains(aEvidence->ran, one);
    if (CountCrash(aState, aWorker, one, !hasRun)) {
      counted.push_back(one.task);
      ran += hasRun ? 1 : 0;
    }
  }
  WorkerCrash crash;
  crash.worker = aWorker.spec.id;
  crash.address = aWorker.spec.address;
  crash.attempts = static_cast<std::uint32_t>(counted.size());
  crash.ran = ran;
  for (const TaskKey& key : counted) {
    if (FindTask(aState, key)->crashes.size() > 1 &&
        crash.suspects.size() < kMaxLoggedSuspects) {
      crash.suspects.push_back(key);
    }
  }
  std::vector<TaskKey> givenUp = SelectGivenUp(aState, counted);
  for (const TaskKey& key : givenUp) {
    crash.givenUp.push_back(GivenUpTask{key, FindTask(aState, key)->crashes});
  }
  AddToLog(aState, std::move(crash));
  return givenUp;
}

void ClearCrashes(State& aState, const TaskKey& aKey) {
  TaskState* const task = MutableTask(aState, aKey);
  if (task) {
    task->crashes.clear();
  }
  aState.suspects.erase(aKey);
}

void ClearTasks(State& aState, gsl::span<const TaskAttempt> aTasks) {
  for (const TaskAttempt& one : aTasks) {
    const TaskState* const task = FindTask(aState, one.task);
    if (task && task->phase == TaskPhase::Placed &&
        task->attempt == one.attempt) {
      ClearCrashes(aState, one.task);
    }
  }
}

void RememberExpired(Worker& aWorker, const TaskKey& aKey,
                     AttemptNumber aAttempt) {
  if (aWorker.expired.size() >= kMaxExpired) {
    aWorker.expired.erase(aWorker.expired.begin());
  }
  aWorker.expired.push_back(TaskAttempt{aKey, aAttempt});
}

void IndexSuspects(State& aState) {
  for (const auto& [number, job] : aState.jobs) {
    for (const auto& [occurrenceNumber, occurrence] : job.occurrences) {
      for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
        const std::vector<TaskState>& tasks = occurrence.stages[stage].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
          if (!tasks[index].crashes.empty()) {
            aState.suspects.insert({number, occurrenceNumber, stage, index});
          }
        }
      }
    }
  }
}

}  // namespace bramleypath::workflow
