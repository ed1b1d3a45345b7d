#pragma once

#include "bramleypath/cell/internal/Context.h"

namespace bramleypath::cell::detail {

void OnAnnounced(const Context& aContext, const WorkerAnnounced& aEvent);
void OnReported(const Context& aContext, const WorkerMessage& aMessage);

// Proposes the end of attempts whose lease has certainly expired, has commands
// sent again, and proposes the removal of unreachable workers.
void CheckWorkers(const Context& aContext);

// Sends one batch to each worker for which commands, renewals or
// acknowledgements are due.
void FlushWorkers(const Context& aContext);

}  // namespace bramleypath::cell::detail
