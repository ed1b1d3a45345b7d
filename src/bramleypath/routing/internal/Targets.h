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

// Applies a state chart event to the target and updates the service's counts.
void ApplyTargetEvent(Router& aRouter, TargetIndex aIndex, EventIndex aEvent,
                      bool aNewer, TimePoint aNow);

// Frees the table slot of a target that was removed from its service and has
// no attempt left.
void RecycleTarget(Router& aRouter, TargetIndex aIndex);

// The service's index, added if needed; nothing when maxServices is reached.
std::optional<ServiceIndex> EnsureService(Router& aRouter,
                                          const ServiceId& aService);

}  // namespace bramleypath::routing::detail
