#pragma once

#include <cstdint>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::controller {

// Load shedding: refuses a share of the new jobs while the leader has more to
// do than it has processor time, which the delay of its event loop shows. Jobs
// that it accepts then would wait for their starts, and the renewals of all
// leases with them. The share rises only while tasks of accepted jobs wait.
struct LoadShedder {
  double delayMs = 0;  // smoothed delay of the event loop
  // As of the last summary of the cell, and those of jobs accepted since.
  std::uint32_t waitingTasks = 0;
  double refusedShare = 0;
  TimePoint adjustAt;
};

// Takes a sample of the loop's delay, as net::LoopProbe measures it.
void OnLoopDelay(LoadShedder& aShedder, Duration aDelay, TimePoint aNow);
// Whether to accept the next job as far as the leader's load is concerned.
bool IsAdmitted(const LoadShedder& aShedder, Random& aRandom);
// Seconds after which a caller that was refused should retry; random, so that
// refused callers don't return all at once.
std::uint32_t RetryAfterSeconds(const LoadShedder& aShedder, Random& aRandom);

}  // namespace bramleypath::controller
