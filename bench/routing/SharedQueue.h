#pragma once

#include "bench/routing/Workload.h"

namespace bramleypath::bench {

// The bound: one queue for all calls that knows at once which slot is free and
// which targets are disturbed. Calls whose deadline passes in the queue are
// refused.
std::vector<Result> RunSharedQueue(const Scenario& aScenario,
                                   const std::vector<CallSpec>& aCalls);

}  // namespace bramleypath::bench
