#pragma once

#include <gsl/span>

#include "bramleypath/workflow/Scheduler.h"

// The end of a worker incarnation, and claims of its address by another one.
namespace bramleypath::workflow::detail {

// Marks the workers whose address is that of another one, of which a member of
// aNew is one: at most one of them still listens there. Their renewals are due
// at once, since the answers tell which. Those that answered a claim a moment
// ago are asked, but not marked.
void MarkClaimedAddresses(Scheduler& aScheduler, const State& aState,
                          gsl::span<const WorkerNumber> aNew, TimePoint aNow);

// The worker has answered a renewal that was sent at aAskedAt, so that its
// address was its own then.
void ConfirmAddress(Scheduler& aScheduler, WorkerSession& aSession,
                    TimePoint aAskedAt, TimePoint aNow);

// Another incarnation answers at the worker's address. Ends the attempts that
// were not sent, and removes the worker once the starts that are on their way
// to it are answered or late, and no evidence is missing; see AwaitsEvidence.
SchedulerActions RemoveIncarnation(Scheduler& aScheduler, const State& aState,
                                   WorkerNumber aWorker, TimePoint aNow);

}  // namespace bramleypath::workflow::detail
