#include "bramleypath/placement/ChooseWorker.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::placement {

namespace {

// Weight of the preference for fuller workers, which leaves large free blocks
// for large tasks. It is small against the cost of interference, so that it
// only breaks ties.
constexpr double kPackingCost = 0.02;
// Added for a rack that already runs a task of the job. It exceeds the cost of
// any interference that is admitted.
constexpr double kRackReuseCost = 10.0;
// Slope of the logistic function that turns the used fraction of the tail limit
// into the risk of an eviction.
constexpr double kEvictionSteepness = 2.4;

double FullnessAfter(const WorkerView& aWorker, const Resources& aDemand) {
  if (aWorker.capacity.processorsMilli <= 0) {
    return 1;
  }
  const auto left = static_cast<double>(aWorker.available.processorsMilli -
                                        aDemand.processorsMilli);
  return 1 - left / static_cast<double>(aWorker.capacity.processorsMilli);
}

bool RackIsUsed(const TaskRequest& aTask, std::uint32_t aRack) {
  return std::find(aTask.usedRacks.begin(), aTask.usedRacks.end(), aRack) !=
         aTask.usedRacks.end();
}

struct ServiceEffect {
  // Sum over the services of the increase of the slowdown factor.
  double added = 0;
  // The largest log slowdown after the placement.
  double worst = 0;
  // The largest quotient of a service's log slowdown after the placement and
  // the limit at its load.
  double worstLimitFraction = 0;
};

double LimitShare(LoadBand aBand, const Weights& aWeights) {
  switch (aBand) {
    case LoadBand::Low:
      return 1;
    case LoadBand::Middle:
      return aWeights.middleLoadShare;
    case LoadBand::High:
      return aWeights.highLoadShare;
  }
  return 1;
}

ServiceEffect EffectOnServices(const WorkerView& aWorker,
                               const Interference& aTable,
                               const TaskRequest& aTask,
                               const Weights& aWeights) {
  const double caution = aWeights.caution;
  const double logLimit = std::log(aWeights.maxServiceSlowdown);
  ServiceEffect effect;
  for (const ServiceView& service : aWorker.services) {
    const LoadBand band = BandOf(service.load);
    const double before = PredictLogSlowdown(aTable, service.classIndex,
                                             aWorker.batch, band, caution);
    const double added = PredictAddedLogSlowdown(
        aTable, service.classIndex, aTask.classIndex, band, caution);
    // The same factor costs more time on a service that is slowed already.
    effect.added += std::exp(before + added) - std::exp(before);
    effect.worst = std::max(effect.worst, before + added);
    effect.worstLimitFraction =
        std::max(effect.worstLimitFraction,
                 (before + added) / (logLimit * LimitShare(band, aWeights)));
  }
  return effect;
}

double SlowdownOfTask(const WorkerView& aWorker, const Interference& aTable,
                      const TaskRequest& aTask, double aCaution) {
  double sum = PredictLogSlowdown(aTable, aTask.classIndex, aWorker.batch,
                                  LoadBand::Low, aCaution);
  for (const ServiceView& service : aWorker.services) {
    sum += PredictAddedLogSlowdown(aTable, aTask.classIndex, service.classIndex,
                                   LoadBand::Low, aCaution);
  }
  return sum;
}

double EvictionRisk(double aShareOfLimit) {
  return 1 / (1 + std::exp(-kEvictionSteepness * (aShareOfLimit - 1)));
}

struct Assessment {
  double cost = 0;
  double worstLogSlowdown = 0;  // of the services on the worker
  double worstLimitFraction = 0;
};

Assessment AssessBatch(const WorkerView& aWorker, const Interference& aTable,
                       const TaskRequest& aTask, const Weights& aWeights) {
  const ServiceEffect effect =
      EffectOnServices(aWorker, aTable, aTask, aWeights);
  Assessment result;
  result.worstLogSlowdown = effect.worst;
  result.worstLimitFraction = effect.worstLimitFraction;
  result.cost = aWeights.tailLatency * effect.added;
  if (!aWorker.services.empty()) {
    result.cost += aWeights.evictions * EvictionRisk(effect.worstLimitFraction);
  }
  result.cost += aWeights.throughput *
                 SlowdownOfTask(aWorker, aTable, aTask, aWeights.caution);
  return result;
}

Assessment AssessService(const WorkerView& aWorker, const Interference& aTable,
                         const TaskRequest& aTask, const Weights& aWeights) {
  Assessment result;
  result.worstLogSlowdown =
      PredictLogSlowdown(aTable, aTask.classIndex, aWorker.batch,
                         LoadBand::High, aWeights.caution);
  result.cost =
      aWeights.tailLatency * (std::exp(result.worstLogSlowdown) - 1) +
      aWeights.throughput * static_cast<double>(aWorker.services.size());
  return result;
}

}  // namespace

std::optional<WorkerChoice> ChooseWorker(gsl::span<const WorkerView> aWorkers,
                                         const Interference& aTable,
                                         const TaskRequest& aTask,
                                         const Weights& aWeights,
                                         NoWorkerReason& aReason) {
  aReason = NoWorkerReason::NoSuchWorker;
  const double limit = 1 + aTask.waitedSeconds / aWeights.patienceSeconds;
  std::optional<WorkerChoice> best;
  for (std::size_t index = 0; index < aWorkers.size(); ++index) {
    const WorkerView& worker = aWorkers[index];
    if (!Fits(aTask.demand, worker.capacity)) {
      continue;
    }
    if (worker.excluded) {
      aReason = std::max(aReason, NoWorkerReason::Excluded);
      continue;
    }
    if (!Fits(aTask.demand, worker.available)) {
      aReason = aReason == NoWorkerReason::WouldDegradeService
                    ? aReason
                    : NoWorkerReason::InsufficientResources;
      continue;
    }
    const bool ignoresTailLimit = aTask.isService || aTask.urgent;
    if (worker.admissionStopped && !ignoresTailLimit) {
      aReason = NoWorkerReason::WouldDegradeService;
      continue;
    }
    const Assessment assessed =
        aTask.isService ? AssessService(worker, aTable, aTask, aWeights)
                        : AssessBatch(worker, aTable, aTask, aWeights);
    if (assessed.worstLimitFraction > limit && !ignoresTailLimit) {
      aReason = NoWorkerReason::WouldDegradeService;
      continue;
    }
    double cost =
        assessed.cost - kPackingCost * FullnessAfter(worker, aTask.demand);
    if (aTask.spreadRacks && RackIsUsed(aTask, worker.rack)) {
      cost += kRackReuseCost;
    }
    if (!best || cost < best->cost) {
      best = WorkerChoice{index, cost, std::exp(assessed.worstLogSlowdown)};
    }
  }
  return best;
}

const char* Describe(NoWorkerReason aReason) {
  switch (aReason) {
    case NoWorkerReason::NoSuchWorker:
      return "no worker is large enough";
    case NoWorkerReason::InsufficientResources:
      return "no worker has enough free resources at present";
    case NoWorkerReason::WouldDegradeService:
      return "every worker with enough free resources runs a service that it "
             "would slow too much";
    case NoWorkerReason::Excluded:
      return "the workers that are large enough are excluded";
  }
  return "";
}

}  // namespace bramleypath::placement
