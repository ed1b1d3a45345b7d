#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/State.h"

// Evidence against tasks that crash the workers that start them. All tasks that
// may have run on a crashed worker become suspects. A suspect is placed apart
// from other suspects, so that the next crash tells which of them caused it.
namespace bramleypath::workflow {

// A task is given up after crashes of this many workers at different addresses
// if no other task of the last one had as many. Three by chance are likely for
// some task while a sixth of the workers crashes every few seconds.
constexpr std::size_t kCrashesToGiveUp = 4;
// A task is given up after this many crashes at two or more addresses, whatever
// else ran on the workers.
constexpr std::size_t kMaxCrashes = 5;
// No task is given up before it is known to have run on this many of the
// workers when they crashed.
constexpr std::size_t kProvenCrashesToGiveUp = 2;

// Counts the crash of aWorker under its tasks, and returns those to be given
// up. Without evidence, all of its attempts ran. Must be called before the
// attempts are ended or moved.
std::vector<TaskKey> RecordCrash(State& aState, const Worker& aWorker,
                                 const std::optional<CrashEvidence>& aEvidence);

// The task ended by itself or ran for so long that it is no longer a suspect.
void ClearCrashes(State& aState, const TaskKey& aKey);
void ClearTasks(State& aState, gsl::span<const TaskAttempt> aTasks);

// Remembers an attempt whose lease expired on the worker.
void RememberExpired(Worker& aWorker, const TaskKey& aKey,
                     AttemptNumber aAttempt);

// Rebuilds State::suspects.
void IndexSuspects(State& aState);

}  // namespace bramleypath::workflow
