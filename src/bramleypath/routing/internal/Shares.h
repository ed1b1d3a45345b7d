#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// This entry host's share of aWhole slots or connections of a target. The
// shares of all live hosts add up to aWhole. The target's rank in its service
// rotates which hosts get the remainder, so that the hosts' totals over targets
// of equal size differ by one at most.
std::uint32_t ComputeHostShare(std::uint32_t aWhole, std::uint32_t aTargetRank,
                               const std::vector<HostId>& aHosts,
                               const HostId& aSelf);

// Recomputes the shares of a service's targets and the limits, totals and free
// list that depend on them.
void UpdateShares(Router& aRouter, ServiceIndex aService, TimePoint aNow);

// The number of calls that this host may have outstanding at the target now.
std::uint32_t CurrentSlots(const Router& aRouter, const TargetState& aTarget);

// Adds the target to the service's freeTargets or removes it, as its state,
// outstanding calls and pacing require.
void UpdateFreeList(Router& aRouter, TargetIndex aIndex, TimePoint aNow);

// Sets the concurrency limit to aLimit, within the bounds of the limit policy.
void SetLimit(Router& aRouter, TargetIndex aIndex, double aLimit);

}  // namespace bramleypath::routing::detail
