#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// Learns from a completed call: the class's service times, the target's recent
// latency and its concurrency limit.
void NoteLatency(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                 Duration aLatency, TimePoint aNow);

void NoteArrival(Router& aRouter, ClassState& aClass, TimePoint aNow);

// Recent arrivals per second.
double ArrivalRate(const Router& aRouter, const ClassState& aClass,
                   TimePoint aNow);

}  // namespace bramleypath::routing::detail
