#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::workflow {

// Jobs that were refused, by their ids, so that the time since the first
// refusal counts as their age. Volatile and bounded; the oldest are forgotten
// first. A leader that doesn't know a job takes it for a new one.
struct Refusals {
  std::unordered_map<std::string, TimePoint> firstAt;
  std::deque<std::string> order;  // by their first refusal
};

// Removes what is older than a caller can still retry.
void ForgetOldRefusals(Refusals& aRefusals, TimePoint aNow);
void RecordRefusal(Refusals& aRefusals, const JobId& aJob, TimePoint aNow);
// Time in ms since the first refusal of the job; 0 if none is known.
double MsSinceRefusal(const Refusals& aRefusals, const JobId& aJob,
                      TimePoint aNow);

// Input of the retry delay of a refused job, in ms.
struct RetryView {
  double roomMs = 0;    // until the job would be accepted
  double waitedMs = 0;  // since its first refusal
  double usefulMs = 0;  // after its first attempt, it is useless to its caller
  double ownMs = 0;     // that it takes once it starts
};

// Seconds after which a refused caller should retry.
//
// Load pattern: callers that were refused in a burst come back together and
// cause the next one. The delay is between the time until there is room and
// twice that time. It is the shorter the longer the caller has waited, so that
// the callers refused first come back first. It never exceeds the time until
// which the job can start and still be useful, unless that is less than a
// second, the least that Retry-After can say; a caller that would have to wait
// for all of it is sent back after half of it at the earliest.
std::uint32_t RetryAfterSeconds(const RetryView& aView, Random& aRandom);

}  // namespace bramleypath::workflow
