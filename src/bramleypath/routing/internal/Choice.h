#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// Chooses a serving target of the service with a free slot. aAvoid, the target
// of the previous attempt, is passed over if the policy compares two targets.
std::optional<TargetIndex> ChooseTarget(Router& aRouter, ServiceIndex aService,
                                        TargetIndex aAvoid, TimePoint aNow);

struct RemoteChoice {
  DataCentreId dataCentre;
  HostId host;
};
// Chooses an entry host of another data centre that reported free slots or, if
// no local target is serving, of any data centre that knows the service.
std::optional<RemoteChoice> ChooseRemote(Router& aRouter,
                                         const ServiceState& aService);

// True if another data centre with live hosts knows the service.
bool HasRemote(const Router& aRouter, const ServiceId& aService);

}  // namespace bramleypath::routing::detail
