#pragma once

#include "bench/routing/Workload.h"
#include "bramleypath/routing/Router.h"

namespace bramleypath::bench {

struct Outcomes {
  std::vector<Result> results;
  std::uint64_t attempts = 0;
  std::uint64_t calls = 0;
};

// Runs one router per entry host against simulated targets, each with a queue
// and a fixed number of slots. Each router learns the load of the others only
// by gossip every 100 ms.
Outcomes RunRouters(const Scenario& aScenario,
                    const std::vector<CallSpec>& aCalls,
                    const routing::Settings& aSettings);

}  // namespace bramleypath::bench
