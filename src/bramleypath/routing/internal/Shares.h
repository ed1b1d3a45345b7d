#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// This entry host's part of a number of slots or connections of a target. The
// parts of all live hosts add up to the whole number. Which hosts get the
// remainder moves on with the target's rank in its service, so that the hosts'
// totals differ by one per kind of target at most.
std::uint32_t PartOf(std::uint32_t aWhole, std::uint32_t aTargetRank,
                     const std::vector<HostId>& aHosts, const HostId& aSelf);

// Recomputes the shares of a service's targets and what follows from them.
void UpdateShares(Router& aRouter, ServiceIndex aService, TimePoint aNow);

// The greatest number of calls that the target may have from this host now.
std::uint32_t SlotsNow(const Router& aRouter, const TargetState& aTarget);

// Puts the target into the service's list of targets with a free slot, or takes
// it out.
void UpdateFree(Router& aRouter, TargetIndex aIndex, TimePoint aNow);

// Changes the concurrency limit within the share.
void SetLimit(Router& aRouter, TargetIndex aIndex, double aLimit);

}  // namespace bramleypath::routing::detail
