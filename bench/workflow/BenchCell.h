#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <gsl/span>

#include "bramleypath/workflow/Scheduler.h"

// The cell that the bench programs of this folder measure.
namespace bramleypath::workflow {

Layout MakeLayout();
StageSpec MakeStage(std::uint32_t aTasks, std::int64_t aProcessorsMilli);
// A worker with 32 processors.
WorkerSpec MakeWorker(std::size_t aNumber);

struct Cell {
  State state;
  TimePoint now{1000 * 1000};
  std::size_t jobs = 0;

  // Accepts a job of one stage.
  JobNumber Accept(const StageSpec& aStage);
};

// Number of tasks that the actions propose to place.
std::size_t CountPlaced(gsl::span<const SchedulerAction> aActions);

}  // namespace bramleypath::workflow
