#include "bramleypath/workflow/BacklogAhead.h"

#include <algorithm>

namespace bramleypath::workflow {

BacklogAhead SumBacklog(gsl::span<const OrderedWork> aJobs) {
  BacklogAhead backlog;
  backlog.ranks.reserve(static_cast<std::size_t>(aJobs.size()));
  backlog.waiting.reserve(static_cast<std::size_t>(aJobs.size()));
  double waiting = 0;
  for (const OrderedWork& job : aJobs) {
    backlog.placed += job.placed;
    if (job.waiting <= 0) {
      continue;
    }
    waiting += job.waiting;
    backlog.ranks.push_back(job.rank);
    backlog.waiting.push_back(waiting);
  }
  return backlog;
}

double WorkAhead(const BacklogAhead& aBacklog, double aRank) {
  const auto behind =
      std::lower_bound(aBacklog.ranks.begin(), aBacklog.ranks.end(), aRank);
  const auto ahead = behind - aBacklog.ranks.begin();
  const double waiting =
      ahead == 0 ? 0 : aBacklog.waiting[static_cast<std::size_t>(ahead) - 1];
  return aBacklog.placed + waiting;
}

}  // namespace bramleypath::workflow
