#pragma once

#include "bramleypath/cell/internal/Context.h"

namespace bramleypath::cell::detail {

// Tries to place waiting tasks, urgent jobs first, one task of a job at a time.
void PlaceWaiting(const Context& aContext, bool aOnTick);

void OnMitigationRequested(const Context& aContext,
                           const MitigationRequested& aEvent);

}  // namespace bramleypath::cell::detail
