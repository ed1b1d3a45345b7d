#pragma once

#include <string>

#include "bramleypath/cell/Scheduler.h"
#include "bramleypath/cellplacement/Advisor.h"
#include "bramleypath/net/Http.h"

// Answers to operators' questions about jobs and interference.
namespace bramleypath::daemon {

// What the leader of a cell knows about its jobs.
struct CellView {
  const cell::CellState& state;
  const cell::Scheduler& scheduler;
  const DataCentreId& dataCentre;
};

// The cell's jobs. The query parameters member and state select by client
// account and by state.
net::HttpResponse ListJobs(const CellView& aCell,
                           const net::HttpRequest& aRequest);

// The tasks of one job and why they wait; 404 if there is no such job.
net::HttpResponse ExplainJob(const CellView& aCell, const std::string& aJob);

// The pairs of classes that interfere most. The query parameter member selects
// by a client account of the aggressor, and class by the class of the aggressor
// or of the victim.
net::HttpResponse ExplainPairs(const cellplacement::Advisor& aAdvisor,
                               const cell::CellState& aState,
                               const net::HttpRequest& aRequest);

}  // namespace bramleypath::daemon
