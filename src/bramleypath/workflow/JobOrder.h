#pragma once

#include <cstdint>

namespace bramleypath::workflow {

// What determines the rank of a waiting job.
struct WaitingJob {
  bool longRunning = false;
  double ageMs = 0;        // since its acceptance
  double objectiveMs = 0;  // latency objective
  // Longest chain of run times still to do, corrected by FactorOf.
  double remainingMs = 0;
};

// Rank of a waiting job under a backlog; the smallest starts first.
//
// Long-running jobs come first, since their users are not served until they
// start. Other jobs follow by slack, the time left until the job misses its
// objective. A job that can't meet its objective any more yields to all that
// can; otherwise one late job would make all jobs behind it late. Jobs that can
// only end too late to be useful come last, oldest first.
double StartRank(const WaitingJob& aJob);

}  // namespace bramleypath::workflow
