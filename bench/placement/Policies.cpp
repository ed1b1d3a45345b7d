#include "bench/placement/Policies.h"

namespace bramleypath::bench {

namespace {

std::optional<std::size_t> FirstFit(
    gsl::span<const placement::WorkerView> aViews,
    const placement::TaskRequest& aTask) {
  for (std::size_t index = 0; index < aViews.size(); ++index) {
    if (!aViews[index].admissionStopped &&
        Fits(aTask.demand, aViews[index].available)) {
      return index;
    }
  }
  return std::nullopt;
}

// The worker with the fewest free processors, or with aMost the one with the
// most, among those with enough free resources.
std::optional<std::size_t> ByFreeProcessors(
    gsl::span<const placement::WorkerView> aViews,
    const placement::TaskRequest& aTask, bool aMost) {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < aViews.size(); ++index) {
    if (aViews[index].admissionStopped ||
        !Fits(aTask.demand, aViews[index].available)) {
      continue;
    }
    if (!best || (aViews[index].available.processorsMilli <
                  aViews[*best].available.processorsMilli) != aMost) {
      best = index;
    }
  }
  return best;
}

}  // namespace

const char* NameOf(Policy aPolicy) {
  switch (aPolicy) {
    case Policy::FirstFit:
      return "first_fit";
    case Policy::BestFit:
      return "best_fit";
    case Policy::InterferenceBlind:
      return "blind";
    case Policy::InterferenceAware:
      return "aware";
    case Policy::AwareObservedSizes:
      return "aware_sizes";
  }
  return "";
}

bool UsesEstimates(Policy aPolicy) {
  return aPolicy == Policy::InterferenceAware ||
         aPolicy == Policy::AwareObservedSizes;
}

std::optional<std::size_t> Place(Policy aPolicy,
                                 gsl::span<const placement::WorkerView> aViews,
                                 const placement::Interference& aTable,
                                 const placement::TaskRequest& aTask,
                                 const placement::Weights& aWeights) {
  if (aPolicy == Policy::FirstFit) {
    return FirstFit(aViews, aTask);
  }
  if (aPolicy == Policy::BestFit) {
    return ByFreeProcessors(aViews, aTask, false);
  }
  if (aPolicy == Policy::InterferenceBlind) {
    return ByFreeProcessors(aViews, aTask, true);
  }
  placement::NoWorkerReason reason =
      placement::NoWorkerReason::InsufficientResources;
  const auto choice =
      placement::ChooseWorker(aViews, aTable, aTask, aWeights, reason);
  if (!choice) {
    return std::nullopt;
  }
  return choice->worker;
}

}  // namespace bramleypath::bench
