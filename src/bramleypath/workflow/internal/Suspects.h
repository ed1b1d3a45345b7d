#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/internal/CandidateHosts.h"

// Placement of suspects, see Crashes.h, and their clearance by the leader.
namespace bramleypath::workflow::detail {

// Which workers of a pass have a suspect.
struct SuspectHosts {
  // False after a crash of a large part of the cell: there are too many
  // suspects to place them apart, and they are placed like other tasks.
  bool placesApart = false;
  std::vector<bool> occupied;  // by the index of the worker
  // Suspects that may still be tried in this pass, which bounds its cost.
  std::size_t triesLeft = 0;
};

// Excludes workers with a task under which two workers have crashed, so that
// nothing is lost with them but what already runs there.
SuspectHosts CollectSuspectHosts(const Scheduler& aScheduler,
                                 const State& aState, CandidateHosts& aHosts);

// Chooses a worker for a suspect: one with few tasks and without another
// suspect that was heard from a moment ago, at an address where none has
// crashed under it. Falls back to any other worker once the task has waited for
// kMaxSuspectWait.
std::optional<std::size_t> ChooseHostForSuspect(
    Scheduler& aScheduler, const CandidateHosts& aHosts,
    SuspectHosts& aSuspects, gsl::span<const HostView> aViews,
    const TaskView& aTask, const TaskKey& aKey, const TaskState& aState,
    TimePoint aNow);

// Whether the start of a suspect has to wait until its worker answers a
// renewal, which is requested. Should the worker not answer the start, it is
// known then that it had not crashed before.
bool AwaitsConfirmation(const State& aState, const TaskKey& aKey,
                        WorkerSession& aSession, TimePoint aNow);

// Whether nothing else may be placed beside the task.
bool NeedsOwnHost(const TaskState& aTask);

// Whether the next crash under the task may give its job up.
bool IsNextCrashDecisive(const TaskState& aTask);

// Proposes the clearance of suspects that have run for longer than a task that
// crashes its worker would.
void ClearSuspects(Scheduler& aScheduler, const State& aState,
                   SchedulerActions& aActions);

// Writes the crashes since the last call to the event log.
void LogCrashes(Scheduler& aScheduler, const State& aState,
                SchedulerActions& aActions);

}  // namespace bramleypath::workflow::detail
