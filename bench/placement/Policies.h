#pragma once

#include <gsl/span>
#include <optional>

#include "bramleypath/placement/ChooseWorker.h"

namespace bramleypath::bench {

enum class Policy {
  FirstFit,
  BestFit,
  // Places a task on the worker with the most free processors, which spreads
  // load without knowledge of interference.
  InterferenceBlind,
  InterferenceAware,
  // InterferenceAware with processors reserved by observed use.
  AwareObservedSizes
};

const char* NameOf(Policy aPolicy);

// True for the policies that learn interference and sizes from reports.
bool UsesEstimates(Policy aPolicy);

// Returns the index of the worker for the task, or none when it has to wait.
std::optional<std::size_t> Place(Policy aPolicy,
                                 gsl::span<const placement::WorkerView> aViews,
                                 const placement::Interference& aTable,
                                 const placement::TaskRequest& aTask,
                                 const placement::Weights& aWeights);

}  // namespace bramleypath::bench
