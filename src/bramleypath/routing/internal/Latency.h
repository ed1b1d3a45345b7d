#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// Updates the service times of the class, the latency ratio of the target and
// its concurrency limit from a completed call.
void RecordLatency(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                   Duration aLatency, TimePoint aNow);

void RecordArrival(Router& aRouter, ClassState& aClass, TimePoint aNow);

// Arrivals per second, averaged over Settings::arrivalWindow.
double ArrivalRate(const Router& aRouter, const ClassState& aClass,
                   TimePoint aNow);

}  // namespace bramleypath::routing::detail
