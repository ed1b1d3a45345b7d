#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// A serving target of the service with a free slot; aAvoid is chosen only when
// there is no other.
std::optional<TargetIndex> ChooseTarget(Router& aRouter, ServiceIndex aService,
                                        TargetIndex aAvoid, TimePoint aNow);

// An entry host of another data centre that reported free slots, or, when no
// local target is left, any that knows the service.
struct RemoteChoice {
  DataCentreId dataCentre;
  HostId host;
};
std::optional<RemoteChoice> ChooseRemote(Router& aRouter,
                                         const ServiceState& aService);

// True when another data centre with live hosts knows the service.
bool HasRemote(const Router& aRouter, const ServiceId& aService);

}  // namespace bramleypath::routing::detail
