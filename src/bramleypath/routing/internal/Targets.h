#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

void OnTargetUp(Router& aRouter, const TargetUp& aEvent, TimePoint aNow);
void OnTargetLeaving(Router& aRouter, const TargetLeaving& aEvent,
                     TimePoint aNow);
void OnTargetGone(Router& aRouter, const TargetGone& aEvent, TimePoint aNow);
void OnLocalHosts(Router& aRouter, const LocalHostsChanged& aEvent,
                  TimePoint aNow);
void OnPeerLoads(Router& aRouter, const PeerLoads& aEvent, TimePoint aNow);

// Moves the target along the chart and keeps the service's counts.
void ApplyTargetEvent(Router& aRouter, TargetIndex aIndex, EventIndex aEvent,
                      bool aNewer, TimePoint aNow);

// Frees the place of a target that is gone once its last attempt is over.
void RecycleTarget(Router& aRouter, TargetIndex aIndex);

// The service's index, added when there is room.
std::optional<ServiceIndex> EnsureService(Router& aRouter,
                                          const ServiceId& aService);

}  // namespace bramleypath::routing::detail
