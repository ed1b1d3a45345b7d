#pragma once

#include <cstdint>
#include <string>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

// A cell of two workers, of which one runs a long-running task.
namespace bramleypath::workflow {

inline const std::string kServingTask = "serving.0.0.0";

// The worker that runs the task, other than aExcept.
inline std::string WorkerOf(const CellModel& aCell,
                            const std::string& aExcept) {
  for (const auto& [id, worker] : aCell.workers) {
    if (id != aExcept && worker.up && worker.running.count(kServingTask) > 0) {
      return id;
    }
  }
  return "";
}

// Starts the task, and moves on by a time that depends on aSeed.
inline void StartServingTask(CellModel& aCell, std::uint64_t aSeed) {
  for (const char* const id : {"w0", "w1"}) {
    aCell.AddWorker(id);
    aCell.workers.at(id).endlessJob = "serving";
  }
  aCell.Run(Seconds(1));
  JobSpec job = MakeJob("serving");
  job.stages = {MakeStage(1, 1000, 0)};
  job.stages[0].longRunning = true;
  aCell.Submit(job);
  aCell.Run(Seconds(3) + Millis(static_cast<std::int64_t>(250 * aSeed)));
}

}  // namespace bramleypath::workflow
