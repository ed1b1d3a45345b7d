#pragma once

#include <string>

#include "bramleypath/workflow/Scheduler.h"

// Says which tasks wait because their only workers are in drained data centres.
namespace bramleypath::workflow::detail {

// " drained_data_centres=" and the names; empty if there are none.
std::string DescribeDrains(const State& aState);
// Whether workers suit the stage, and all of them are in drained data centres.
bool IsHeldByDrain(const State& aState, const StageSpec& aStage,
                   const QueueSettings& aQueue);
// Records the jobs with such a stage, except long-running ones, which
// RecordLongRunningWaits covers: a bounded number once a second.
void RecordDrainWaits(Scheduler& aScheduler, const State& aState,
                      TimePoint aNow, SchedulerActions& aActions);

}  // namespace bramleypath::workflow::detail
