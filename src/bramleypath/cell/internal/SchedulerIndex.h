#pragma once

#include "bramleypath/cell/internal/Context.h"

namespace bramleypath::cell::detail {

// Builds all indexes from the replicated state.
void Rebuild(const Context& aContext);

void OnCommitted(const Context& aContext, const CommandCommitted& aEvent);
void OnProposalFailed(const Context& aContext, std::uint64_t aToken);

// Records that the attempt finished although its end is committed, or in
// flight, as an expired lease. The task ends as finished once no attempt of it
// is live.
void OnLateFinish(const Context& aContext, const AttemptId& aAttempt);

// Updates what the chooser sees of the worker: free resources and exclusion.
void UpdateCandidate(const Context& aContext, std::size_t aSlot);

bool IsSilent(const Context& aContext, const WorkerTrack& aTrack);

// True after failures with at least two counterparts and no success between
// them.
bool IsSuspect(const FailureRecord& aRecord);

// True when a command to the worker is due for the attempt.
bool NeedsCommand(const AttemptTrack& aTrack);

// Sets the goal and has its command sent at the end of the step.
void SetGoal(const Context& aContext, std::size_t aSlot, const TaskId& aTask,
             AttemptTrack& aTrack, Goal aGoal);

}  // namespace bramleypath::cell::detail
