#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::workflow {

// Input of the admission decision for a new job. Work is measured in
// thousandths of a processor times milliseconds.
struct AdmissionView {
  double capacityMilli = 0;  // processors that work off the backlog
  // Of accepted jobs that use the same processors: those that the job waits
  // for, see WorkAhead, and all of them.
  double backlogWork = 0;
  double classWork = 0;
  double jobWork = 0;  // of the new job
  double chainMs = 0;  // its longest chain of run times
  // Learned factor on chainMs, see FactorOf in Promises.h.
  double chainFactor = 1;
  double objectiveMs = 0;   // latency objective
  std::uint32_t level = 0;  // of its priority, see LevelOf
  // Some jobs of the class can't end in time, see IsShort.
  bool isShort = false;
  double workRatio = 1;  // see WaitingJob
  // Since the job was first refused; 0: it is new.
  double waitedMs = 0;
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

// Why a job was accepted or refused.
enum class AdmissionReason : std::uint8_t {
  InTime,
  Late,         // accepted, although it will miss its objective
  LongRunning,  // accepted, since it waits for no backlog
  Useless,      // it would end too late to be useful
  NoRoom        // for its long-running tasks
};
constexpr std::size_t kAdmissionReasons = 5;
std::string_view ToText(AdmissionReason aReason);

struct AdmissionDecision {
  bool accepted = true;
  AdmissionReason reason = AdmissionReason::InTime;
  // When the caller should retry; only for refused jobs.
  std::uint32_t retryAfterSeconds = 0;
  double expectedMs = 0;  // until the job ends, from now
};

// Time in ms that a job, or the rest of it, is expected to take once it starts,
// for its place in the start order.
//
// A correction upwards leaves a third of the time in which the job is useful.
// Jobs of a queue whose objective is short against their run time would
// otherwise rank as useless even if nothing waits.
double CorrectedChainMs(double aChainMs, double aFactor, double aObjectiveMs);

// Decides whether to accept a new job.
//
// Load pattern: wide jobs arrive at up to 2.6 times the capacity for some
// seconds. The job waits only for the work that starts before it, so that what
// is refused first has a low priority or much work. A job that is expected to
// end later than three times its objective after its first refusal is useless
// to its caller and is refused at once. One that would only be late is
// accepted: fillers are limited by the neighbours that they disturb, so that a
// refusal seldom makes another job faster. The learned factor isn't applied
// here, since it contains waits and would count the backlog twice. For the
// retry delay see RetryAfterSeconds.
//
// Long-running jobs keep their processors until they are cancelled. A job is
// refused if its long-running tasks would raise the total that such tasks
// reserve above a fixed share of all processors, since short jobs could not be
// placed any more.
AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom);

}  // namespace bramleypath::workflow
