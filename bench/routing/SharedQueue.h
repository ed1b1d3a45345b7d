#pragma once

#include "bench/routing/Workload.h"

namespace bramleypath::bench {

// Runs the reference policy, an idealised queue shared by all entry hosts. It
// knows without delay which slots are free and which targets are disturbed.
// Calls whose deadline passes in the queue are refused.
std::vector<Result> RunSharedQueue(const Scenario& aScenario,
                                   const std::vector<CallSpec>& aCalls);

}  // namespace bramleypath::bench
