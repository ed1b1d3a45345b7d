#pragma once

#include <cstdint>
#include <optional>

#include "bramleypath/workflow/Scheduler.h"

namespace bramleypath::workflow {

// What a worker says of itself at intervals.
struct Announcement {
  WorkerSpec worker;
  // Increases with each announcement of an incarnation, from 1.
  std::uint64_t sequence = 0;
  // The worker's steady clock; 0: not given.
  std::int64_t clockMs = 0;
};

// Whether both specs of one incarnation are equal.
bool IsSameSpec(const WorkerSpec& aLeft, const WorkerSpec& aRight);

// The entry of the worker to be committed because of the announcement; none if
// the replicated entry stays as it is. An announcement that arrives after a
// later one of the same incarnation changes nothing but the state of draining.
std::optional<WorkerSpec> SpecToCommit(Scheduler& aScheduler,
                                       const State& aState,
                                       const Announcement& aAnnouncement);

// An announcement of the given sequence number shows the replicated entry of
// the worker.
void OnUnchanged(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::uint64_t aSequence);

// The entry has been committed because of the announcement.
void OnRegistered(Scheduler& aScheduler, const State& aState,
                  const Announcement& aAnnouncement);

}  // namespace bramleypath::workflow
