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
  Late,            // accepted, although it will miss its objective
  LongRunning,     // accepted, since it waits for no backlog
  Useless,         // it would end too late to be useful
  LateWhileShort,  // it would miss its objective, and others with it
  NoRoom           // for its long-running tasks
};
constexpr std::size_t kAdmissionReasons = 6;
std::string_view ToText(AdmissionReason aReason);

struct AdmissionDecision {
  bool accepted = true;
  AdmissionReason reason = AdmissionReason::InTime;
  // When the caller should retry; only for refused jobs.
  std::uint32_t retryAfterSeconds = 0;
  double expectedMs = 0;  // until the job ends, from now
};

// Time that the job is expected to take once it starts.
//
// A correction upwards leaves a third of the time in which the job is useful.
// Jobs of a queue whose objective is short against their run time would
// otherwise be refused even if nothing waits.
double CorrectedChainMs(const AdmissionView& aView);

// Latest expected end, in ms since its submission, of a job that is accepted.
// It is three objectives unless processors are short; then it is the objective.
// A job that can't be in time alone may wait for a share of its objective that
// is smaller the lower its priority and the more work it has against others of
// its class.
double LimitMs(const AdmissionView& aView);

// Decides whether to accept a new job.
//
// The job waits for the work that starts before it. In a burst, a job that is
// expected to end later than three times its objective after its first refusal
// is useless to its caller and is refused at once, so that the accepted ones
// still end in time. For the retry delay see RetryAfterSeconds.
//
// Load pattern: wide jobs arrive at up to 2.6 times the capacity for some
// seconds. A late job is worth a seventh of one in time, and the processors
// that it uses make further jobs late. While processors are short, a job that
// would miss its objective is refused, see LimitMs; a limit beyond the
// objective would let the backlog grow until all jobs end that late.
//
// Long-running jobs keep their processors until they are cancelled. A job is
// refused if its long-running tasks would raise the total that such tasks
// reserve above a fixed share of all processors, since short jobs could not be
// placed any more.
AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom);

}  // namespace bramleypath::workflow
