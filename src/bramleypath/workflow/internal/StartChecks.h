#pragma once

#include <string>

#include "bramleypath/workflow/Scheduler.h"

// A placement is checked again right before its start is sent, since its worker
// may have changed while it waited for the commit and in the queue.
namespace bramleypath::workflow::detail {

// Whether the worker has the label that the stage requires, if any.
bool HasRequiredLabel(const Worker& aWorker, const StageSpec& aStage);

// One of the reasons below.
constexpr const char* kDataCentreDrained = "data centre drained";

// Why the worker no longer suits the placed attempt; empty if it does.
std::string UnsuitableReason(const Scheduler& aScheduler, const State& aState,
                             const TaskKey& aKey, const Attempt& aAttempt,
                             TimePoint aNow);
// Stops the other members of the attempt's gang. Without this one they would
// wait for it until they time out.
void StopOtherMembers(Scheduler& aScheduler, const State& aState,
                      const TaskKey& aKey, AttemptNumber aAttempt,
                      TimePoint aNow);

}  // namespace bramleypath::workflow::detail
