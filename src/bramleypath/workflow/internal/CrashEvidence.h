#pragma once

#include <optional>

#include "bramleypath/workflow/Scheduler.h"

// What is known about the attempts on a worker when it crashes: which of them
// ran there, and which can't have.
namespace bramleypath::workflow::detail {

// The attempt of the task on the worker; null if there is none.
const Attempt* FindAttemptOn(const Scheduler& aScheduler, const TaskKey& aKey,
                             const Worker& aWorker);

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

// What is known about the attempts on the worker, should it have crashed; none
// if it has no attempts.
std::optional<CrashEvidence> EvidenceOf(const Scheduler& aScheduler,
                                        const State& aState,
                                        const Worker& aWorker, TimePoint aNow);

// Writes to the event log which starts without an answer count as runs.
// Nothing else there tells them from starts that the worker accepted.
void LogSilentStarts(const Scheduler& aScheduler, const State& aState,
                     const Worker& aWorker, TimePoint aNow,
                     SchedulerActions& aActions);

}  // namespace bramleypath::workflow::detail
