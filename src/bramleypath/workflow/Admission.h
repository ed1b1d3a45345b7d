#pragma once

#include <cstdint>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::workflow {

// Input of the admission decision for a new job. Work is measured in
// thousandths of a processor times milliseconds.
struct AdmissionView {
  double capacityMilli = 0;  // processors that work off the backlog
  double backlogWork = 0;    // of accepted jobs that use the same processors
  double jobWork = 0;        // of the new job
  double chainMs = 0;        // its longest chain of run times
  // Learned factor on chainMs, see FactorOf in Promises.h.
  double chainFactor = 1;
  double objectiveMs = 0;  // latency objective
  // The job is long-running or recurring.
  bool longRunning = false;
  // The job has fillers, so that it waits for the backlog of fillers.
  bool hasFillers = false;
  // Processors reserved by the long-running tasks of the new job, by those of
  // accepted jobs, and processors of all workers.
  double jobLongRunningMilli = 0;
  double longRunningMilli = 0;
  double workersMilli = 0;
};

struct AdmissionDecision {
  bool accepted = true;
  // When the caller should retry; only for refused jobs.
  std::uint32_t retryAfterSeconds = 0;
  double expectedMs = 0;  // until the job ends
};

// Time that the job is expected to take once it starts.
//
// A correction upwards leaves a third of the time in which the job is useful.
// Jobs of a queue whose objective is short against their run time would
// otherwise be refused even if nothing waits.
double CorrectedChainMs(const AdmissionView& aView);

// Decides whether to accept a new job.
//
// In a burst, a job that is expected to end later than three times its
// objective is useless to its caller and is refused at once, so that the
// accepted ones still end in time. The retry delay follows from the time that
// the backlog takes to drain, with a random factor so that refused callers
// don't return all at once.
//
// Long-running jobs keep their processors until they are cancelled. A job is
// refused if its long-running tasks would raise the total that such tasks
// reserve above a fixed share of all processors, since short jobs could not be
// placed any more.
AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom);

}  // namespace bramleypath::workflow
