#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

void SetCallTimer(Router& aRouter, CallId aId, Call& aCall);
void ClearCallTimer(Router& aRouter, CallId aId, const Call& aCall);
// Sets the timer of the target to aAt; kNever clears it.
void SetTargetTimer(Router& aRouter, TargetIndex aIndex, TimePoint aAt);

}  // namespace bramleypath::routing::detail
