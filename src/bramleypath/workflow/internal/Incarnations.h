#pragma once

#include <optional>

#include <gsl/span>

#include "bramleypath/workflow/Scheduler.h"

// The end of a worker incarnation, and what is known then about its attempts.
namespace bramleypath::workflow::detail {

// Whether the attempt can't run on its worker before another start is sent.
bool IsUnsent(const Attempt& aAttempt);

// Whether the start of the attempt has no answer although its worker had
// answered another request right before it was sent.
bool IsSilentStart(const Attempt& aAttempt);

// Whether the attempt ran on its worker, as that has shown. A silent start
// counts if the worker crashed alone: most likely it ended the worker.
bool HasRun(const Scheduler& aScheduler, const State& aState,
            const Worker& aWorker, const Attempt& aAttempt, TimePoint aNow);

// Whether the worker, which has crashed, is to be kept until the scope of its
// crash is known, since a job may have to be given up for it.
bool AwaitsEvidence(const Scheduler& aScheduler, const State& aState,
                    const Worker& aWorker, TimePoint aNow);

// Records that the worker answered a request.
void RecordAnswer(WorkerSession& aSession, TimePoint aNow);
// Whether the worker answered a request a moment ago.
bool HasJustAnswered(const WorkerSession& aSession, TimePoint aNow);

// Remembers an attempt that ran until its lease expired. The worker may have
// crashed under it.
void RememberExpiredRun(WorkerSession& aSession, const TaskKey& aKey,
                        AttemptNumber aAttempt);

// Marks the workers whose address is that of another one, of which a member of
// aNew is one: at most one of them still listens there. Their renewals are due
// at once, since the answers tell which.
void MarkClaimedAddresses(Scheduler& aScheduler, const State& aState,
                          gsl::span<const WorkerNumber> aNew, TimePoint aNow);

// The worker has answered a renewal that was sent at aAskedAt, so that its
// address was its own then.
void ConfirmAddress(Scheduler& aScheduler, WorkerSession& aSession,
                    TimePoint aAskedAt, TimePoint aNow);

// What is known about the attempts on the worker, should it have crashed; none
// if it has no attempts.
std::optional<CrashEvidence> EvidenceOf(const Scheduler& aScheduler,
                                        const State& aState,
                                        const Worker& aWorker, TimePoint aNow);

// Another incarnation answers at the worker's address. Ends the attempts that
// were not sent, and removes the worker once the starts that are on their way
// to it are answered or late.
SchedulerActions RemoveIncarnation(Scheduler& aScheduler, const State& aState,
                                   WorkerNumber aWorker, TimePoint aNow);

}  // namespace bramleypath::workflow::detail
