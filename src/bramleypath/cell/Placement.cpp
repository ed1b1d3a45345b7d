#include "bramleypath/cell/Placement.h"

#include <algorithm>

namespace bramleypath::cell {

namespace {

// Added to the cost of a worker that is feasible but not preferred. Both exceed
// any sum of three shares, so that a preferred worker always wins.
constexpr double kRackPenalty = 10;
constexpr double kAvoidedPenalty = 100;

double Share(std::int64_t aPart, std::int64_t aWhole) {
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

// The free resources left after the task, as the sum of their shares of the
// capacity.
double RemainingShare(const WorkerCandidate& aWorker,
                      const Resources& aDemand) {
  const Resources left = aWorker.available - aDemand;
  return Share(left.processorsMilli, aWorker.capacity.processorsMilli) +
         Share(left.memoryMb, aWorker.capacity.memoryMb) +
         Share(left.accelerators, aWorker.capacity.accelerators);
}

double Penalty(const WorkerCandidate& aWorker,
               const PlacementRequest& aRequest) {
  double penalty = 0;
  const auto& racks = aRequest.usedRacks;
  if (std::find(racks.begin(), racks.end(), aWorker.rack) != racks.end()) {
    penalty += kRackPenalty;
  }
  const auto& avoided = aRequest.avoided;
  if (std::find(avoided.begin(), avoided.end(), aWorker.worker) !=
      avoided.end()) {
    penalty += kAvoidedPenalty;
  }
  return penalty;
}

}  // namespace

const char* Describe(WaitReason aReason) {
  switch (aReason) {
    case WaitReason::None:
      return "nothing waits";
    case WaitReason::NotScheduledYet:
      return "not considered yet";
    case WaitReason::NoLeader:
      return "the cell has no leader here that holds its lease";
    case WaitReason::NoWorkers:
      return "no worker is registered";
    case WaitReason::NoWorkerLargeEnough:
      return "no registered worker is large enough";
    case WaitReason::InsufficientResources:
      return "no worker has enough room at present";
    case WaitReason::WorkersExcluded:
      return "the workers with enough room are silent or backed off";
    case WaitReason::QuotaExceeded:
      return "the member's quota is used up";
    case WaitReason::JobBackOff:
      return "the job is backed off after failures";
    case WaitReason::WouldDegradeService:
      return "each place with room would slow a service too much";
    case WaitReason::WaitsForEviction:
      return "waits for the eviction of batch work";
    case WaitReason::CommitInFlight:
      return "its start is being committed";
    case WaitReason::PresetLimit:
      return "the preset in force keeps the room free of batch work";
  }
  return "unknown";
}

std::optional<std::size_t> ChooseBestFit(
    gsl::span<const WorkerCandidate> aWorkers, const PlacementRequest& aRequest,
    WaitReason& aReason) {
  std::optional<std::size_t> best;
  double bestCost = 0;
  bool anyLargeEnough = false;
  bool excludedFits = false;
  for (std::size_t index = 0; index < aWorkers.size(); ++index) {
    const WorkerCandidate& worker = aWorkers[index];
    anyLargeEnough = anyLargeEnough || Fits(aRequest.demand, worker.capacity);
    if (!Fits(aRequest.demand, worker.available)) {
      continue;
    }
    if (worker.excluded) {
      excludedFits = true;
      continue;
    }
    const double cost =
        RemainingShare(worker, aRequest.demand) + Penalty(worker, aRequest);
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  if (!best) {
    aReason = aWorkers.empty()  ? WaitReason::NoWorkers
              : !anyLargeEnough ? WaitReason::NoWorkerLargeEnough
              : excludedFits    ? WaitReason::WorkersExcluded
                                : WaitReason::InsufficientResources;
  }
  return best;
}

}  // namespace bramleypath::cell
