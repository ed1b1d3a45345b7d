#pragma once

#include <cstdint>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::workflow {

// What is known when a job arrives. Work is counted in thousandths of a
// processor times milliseconds.
struct AdmissionView {
  double capacityMilli = 0;  // processors of the workers in contact
  double backlogWork = 0;    // of jobs that are at least as urgent
  double jobWork = 0;        // of the new job
  double chainMs = 0;        // its longest chain of run times
  double objectiveMs = 0;    // after which it is late
  // It has no end, or starts again and again.
  bool lasting = false;
  // Processors that its lasting tasks reserve, that those of accepted jobs do,
  // and that all workers have.
  double jobLastingMilli = 0;
  double lastingMilli = 0;
  double workersMilli = 0;
};

struct AdmissionDecision {
  bool accepted = true;
  // When to come back, if refused.
  std::uint32_t retryAfterSeconds = 0;
  double expectedMs = 0;  // until it ends
};

// Answers a burst that would build a queue longer than its jobs are worth
// anything: a job that is expected to end after three times its objective is
// refused at once, so that the accepted ones still end in time. Retry-After
// follows from the time that the backlog takes to drain, with a random part so
// that refused callers don't return together.
//
// Answers lasting jobs that come one after the other and never end: once they
// reserve nearly all processors, no short job finds room, and the next lasting
// one would not run either. It is refused from there on.
AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom);

}  // namespace bramleypath::workflow
