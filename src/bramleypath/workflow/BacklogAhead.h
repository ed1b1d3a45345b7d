#pragma once

#include <cstddef>
#include <vector>

#include <gsl/span>

namespace bramleypath::workflow {

// Remaining work of an accepted job in the order in which jobs start. Work in
// thousandths of a processor times ms.
struct OrderedWork {
  double rank = 0;     // see StartRank
  double waiting = 0;  // of tasks that are not placed
  double placed = 0;   // of tasks that may be running
};

// The work of accepted jobs of one class, summed up in the order of their
// ranks, so that a decision costs one binary search.
struct BacklogAhead {
  std::vector<double> ranks;  // ascending
  // Work of the tasks that wait, of all jobs up to each rank.
  std::vector<double> waiting;
  double placed = 0;  // of all jobs
};

// Sums up the jobs, which are in the order of their ranks.
BacklogAhead SumBacklog(gsl::span<const OrderedWork> aJobs);

// Work that a job of this rank waits for: all that is placed, since nothing is
// stopped for it, and the waiting tasks of jobs that rank before it.
//
// Load pattern: a backlog of wide jobs of a low priority, or of jobs that are
// late already, must not make a job be refused that starts before them.
double WorkAhead(const BacklogAhead& aBacklog, double aRank);

}  // namespace bramleypath::workflow
