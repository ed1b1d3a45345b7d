#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/State.h"

// Promises: the completion that is expected of each accepted job, and what is
// learned from the jobs that have completed. Volatile: a new leader knows no
// promises and begins with the factor 1.
namespace bramleypath::workflow {

struct Promise {
  QueueId queue;
  TimePoint acceptedAt;
  TimePoint expectedAt;
  // Longest chain of expected run times, uncorrected.
  double chainMs = 0;
  // Between its first refusal and its acceptance.
  double waitedMs = 0;
  std::optional<TimePoint> startedAt;  // its first task
};

// How a completed job did against its promise, in ms since its acceptance.
struct PromiseOutcome {
  QueueId queue;
  double expectedMs = 0;
  double actualMs = 0;
  double ranMs = 0;  // since the start of its first task
  double chainMs = 0;
};

// Ratio of the time from the first start to the end of a job to its longest
// chain, smoothed over the completed jobs of a queue.
struct ChainFactor {
  double logMean = 0;  // natural logarithm
  std::uint32_t count = 0;
};

struct Promises {
  std::unordered_map<JobNumber, Promise> open;
  std::map<QueueId, ChainFactor> factors;
};

// Adds one completed job. Outcomes without a chain or a run time are ignored.
void Learn(ChainFactor& aFactor, const PromiseOutcome& aOutcome);
// Factor on the longest chain of the queue's jobs; 1 until enough jobs have
// completed.
//
// Load pattern: fillers share processors and are paced, callers' estimates are
// off by a factor of up to two, and the run times of fillers aren't learned. An
// uncorrected chain is too short, so that a job is held back until it can't end
// in time any more.
double FactorOf(const ChainFactor& aFactor);
double FactorOf(const Promises& aPromises, const QueueId& aQueue);

// Records the promise for an accepted job. Ignored if the table is full; it
// then holds as many jobs as a leader can have active.
void RecordPromise(Promises& aPromises, JobNumber aJob,
                   const Promise& aPromise);
// A task of the job was placed. Only the first call for a job counts.
void RecordFirstPlacement(Promises& aPromises, JobNumber aJob, TimePoint aNow);
// Removes the promise of a job that has ended. If it completed, learns from it
// and returns the outcome; none if no promise is known.
std::optional<PromiseOutcome> ClosePromise(Promises& aPromises, JobNumber aJob,
                                           bool aCompleted, TimePoint aNow);
// Removes the promises of jobs that aren't active any more. Does so only once
// there are many times as many promises as active jobs.
void PrunePromises(Promises& aPromises, const State& aState,
                   std::size_t aActiveJobs);

}  // namespace bramleypath::workflow
