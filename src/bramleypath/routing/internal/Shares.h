#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// This entry host's part of a number of slots or connections of a target. The
// parts of all live hosts add up to the whole number; which hosts get the
// remainder differs from target to target.
std::uint32_t PartOf(std::uint32_t aWhole, const TargetId& aTarget,
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
