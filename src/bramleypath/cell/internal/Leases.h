#pragma once

#include "bramleypath/cell/internal/Context.h"

namespace bramleypath::cell::detail {

void OnAnnounced(const Context& aContext, const WorkerAnnounced& aEvent);
void OnReported(const Context& aContext, const WorkerMessage& aMessage);

// Ends the attempts whose lease has certainly passed, resends commands, and
// removes workers that are gone.
void CheckWorkers(const Context& aContext);

// Sends one batch to each worker that has something due.
void FlushWorkers(const Context& aContext);

}  // namespace bramleypath::cell::detail
