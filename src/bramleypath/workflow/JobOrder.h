#pragma once

#include <cstdint>

namespace bramleypath::workflow {

// What decides a job's place among those that wait.
struct WaitingJob {
  bool lasting = false;
  double ageMs = 0;        // since its acceptance
  double objectiveMs = 0;  // after which it is late
  double remainingMs = 0;  // longest chain of run times still to do
};

// Order of waiting jobs under a backlog; smaller starts first. Lasting jobs
// come first, since their users are being served by nothing. Then by the time
// left until the job misses its objective. A job that can no longer make it
// yields to all that still can: started in time order, one late job would make
// the whole queue behind it late. Jobs past any use come last, oldest first.
double StartRank(const WaitingJob& aJob);

}  // namespace bramleypath::workflow
