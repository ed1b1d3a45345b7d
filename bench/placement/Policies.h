#pragma once

#include <gsl/span>
#include <optional>

#include "bramleypath/placement/ChooseWorker.h"

namespace bramleypath::bench {

enum class Policy {
  FirstFit,
  BestFit,
  // The worker with the most room: spreads load without knowledge of pairs.
  InterferenceBlind,
  InterferenceAware,
  // The same, reserving processors by observed use.
  AwareObservedSizes
};

const char* NameOf(Policy aPolicy);

bool UsesEstimates(Policy aPolicy);

std::optional<std::size_t> Place(Policy aPolicy,
                                 gsl::span<const placement::WorkerView> aViews,
                                 const placement::Interference& aTable,
                                 const placement::TaskRequest& aTask,
                                 const placement::Weights& aWeights);

}  // namespace bramleypath::bench
