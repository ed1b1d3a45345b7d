#pragma once

#include <cstdint>
#include <map>

#include <gsl/span>

#include "bramleypath/metrics/LatencyHistogram.h"
#include "bramleypath/workflow/State.h"

namespace bramleypath::controller {

// The wait of jobs before their first start, split by step. A job counts with
// the first attempt of the first task of its first stage; jobs that repeat
// don't count, since their first start waits for its time.
struct FirstStarts {
  // From the acceptance to the pass that places the task.
  metrics::LatencyHistogram untilPlaced;
  // From the pass to the commit of the placement.
  metrics::LatencyHistogram untilCommitted;
  // From the commit to the start command.
  metrics::LatencyHistogram untilSent;
  // From the start command to the worker's answer.
  metrics::LatencyHistogram untilAnswered;
  // When the latest step of each job that waits ended. Bounded, since some
  // first starts are never sent.
  std::map<workflow::JobNumber, TimePoint> stepEndedAt;
};

// A pass placed the tasks. aUnixMs is the replicated time of day.
void RecordPlaced(FirstStarts& aStarts, const workflow::State& aState,
                  gsl::span<const workflow::PlacedTask> aTasks, TimePoint aNow,
                  std::int64_t aUnixMs);
// The placements were committed, or not if aOk is false.
void RecordCommitted(FirstStarts& aStarts,
                     gsl::span<const workflow::PlacedTask> aTasks, bool aOk,
                     TimePoint aNow);
void RecordSent(FirstStarts& aStarts, const workflow::TaskKey& aTask,
                TimePoint aNow);
// The worker accepted the start, or not if aOk is false.
void RecordAnswered(FirstStarts& aStarts, const workflow::TaskKey& aTask,
                    bool aOk, TimePoint aNow);

}  // namespace bramleypath::controller
