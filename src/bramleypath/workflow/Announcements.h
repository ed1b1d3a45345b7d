#pragma once

#include <cstdint>
#include <optional>

#include "bramleypath/workflow/Scheduler.h"

namespace bramleypath::workflow {

// What a worker says of itself at intervals.
struct Announcement {
  WorkerSpec worker;
  // Increases with each announcement of an incarnation.
  std::uint64_t sequence = 0;
  // The worker's steady clock; 0: not given.
  std::int64_t clockMs = 0;
};

// The entry of the worker to be committed because of the announcement; none if
// the replicated entry stays as it is.
std::optional<WorkerSpec> SpecToCommit(Scheduler& aScheduler,
                                       const State& aState,
                                       const Announcement& aAnnouncement);

}  // namespace bramleypath::workflow
