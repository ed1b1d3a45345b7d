#pragma once

#include "bramleypath/workflow/internal/SchedulerDetail.h"

// When the leader may grant leases to a worker, in agreement with the log; see
// LeaseEnds.h.
namespace bramleypath::workflow::detail {

// How often the remaining leases of silent workers are proposed again. A
// replica that restarts knows them at most this much later than the leader.
constexpr Duration kLeaseReportInterval = Millis(500);

// How long after its proposal a permit allows grants. Longer than a worker may
// hold a renewal, so that the next renewal can extend the lease, and short,
// since the tasks of a lost worker wait for it after a change of leader.
constexpr Duration kPermitWindow = Millis(1650);
// Minimum time between two proposals, each for many workers.
constexpr Duration kPermitInterval = Millis(50);

// Whether a lease may be granted to the worker now.
bool MayGrant(const WorkerSession& aSession, TimePoint aNow);
// Upper limit of the time until all leases of the worker have expired.
Duration RemainingLease(const WorkerSession& aSession, TimePoint aNow);
// The worker has sent something: a permit for it is to be proposed, unless it
// has a recent one.
void RequestPermit(Scheduler& aScheduler, const WorkerSession& aSession,
                   TimePoint aNow);
// The worker has missed a renewal: no leases are granted until it answers, and
// a limit of its leases is proposed soon.
void MarkSilent(Scheduler& aScheduler, WorkerSession& aSession);
// Proposes the permits that were requested, and how long the leases of silent
// workers still run. The latter is repeated, so that replicas that joined or
// restarted learn it.
void CommitLeaseChanges(Scheduler& aScheduler, const State& aState,
                        TimePoint aNow, SchedulerActions& aActions);
// The commit of permits has finished; aOk if they were applied.
void OnPermitsCommitted(Scheduler& aScheduler, const PermitLeases& aCommand,
                        bool aOk);

}  // namespace bramleypath::workflow::detail
