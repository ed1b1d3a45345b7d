#pragma once

#include <vector>

#include "bramleypath/placement/Composition.h"
#include "bramleypath/workflow/Types.h"

namespace bramleypath::workflow {

// A serving task on a worker.
struct ServingTask {
  JobNumber job = 0;
  placement::ClassIndex image = 0;
  // Tail level: the expected or the reported one, whichever is higher.
  double level = 0;
};

// The tasks that share a worker's processors.
struct Neighbours {
  std::vector<ServingTask> serving;
  placement::Composition fillers;  // processors in use by class
  // Processors that are expected to be in use.
  double usedProcessors = 0;
};

}  // namespace bramleypath::workflow
