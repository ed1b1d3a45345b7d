#include "bramleypath/workflow/Promises.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bramleypath::workflow {

namespace {

constexpr std::size_t kMaxOpen = 16384;
// Fewer completed jobs say too little about their queue.
constexpr std::uint32_t kMinCompleted = 8;
// Weight of a completed job once there are enough. Load changes within seconds
// in which tens of jobs of a queue complete.
constexpr double kSlowestGain = 0.05;
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 4;
// Limits on one ratio, so that a job that was held up by a lost worker doesn't
// outweigh the others.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
constexpr double kMicrosPerMilli = 1000;
constexpr std::size_t kPromisesPerActiveJob = 2;
constexpr std::size_t kFewPromises = 64;

double MillisBetween(TimePoint aFrom, TimePoint aTo) {
  return static_cast<double>((aTo - aFrom).micros) / kMicrosPerMilli;
}

}  // namespace

void Learn(ChainFactor& aFactor, const PromiseOutcome& aOutcome) {
  if (aOutcome.chainMs <= 0 || aOutcome.ranMs <= 0) {
    return;
  }
  const double ratio =
      std::clamp(aOutcome.ranMs / aOutcome.chainMs, kMinRatio, kMaxRatio);
  ++aFactor.count;
  const double gain = std::max(kSlowestGain, 1.0 / aFactor.count);
  aFactor.logMean += gain * (std::log(ratio) - aFactor.logMean);
}

double FactorOf(const ChainFactor& aFactor) {
  if (aFactor.count < kMinCompleted) {
    return 1;
  }
  return std::clamp(std::exp(aFactor.logMean), kMinFactor, kMaxFactor);
}

double FactorOf(const Promises& aPromises, const QueueId& aQueue) {
  const auto found = aPromises.factors.find(aQueue);
  return found == aPromises.factors.end() ? 1 : FactorOf(found->second);
}

void RecordPromise(Promises& aPromises, JobNumber aJob,
                   const Promise& aPromise) {
  if (aPromises.open.size() < kMaxOpen) {
    aPromises.open.emplace(aJob, aPromise);
  }
}

void RecordFirstPlacement(Promises& aPromises, JobNumber aJob, TimePoint aNow) {
  const auto found = aPromises.open.find(aJob);
  if (found != aPromises.open.end() && !found->second.startedAt) {
    found->second.startedAt = aNow;
  }
}

std::optional<PromiseOutcome> ClosePromise(Promises& aPromises, JobNumber aJob,
                                           bool aCompleted, TimePoint aNow) {
  const auto found = aPromises.open.find(aJob);
  if (found == aPromises.open.end()) {
    return std::nullopt;
  }
  const Promise promise = found->second;
  aPromises.open.erase(found);
  if (!aCompleted) {
    return std::nullopt;
  }
  PromiseOutcome outcome;
  outcome.queue = promise.queue;
  outcome.expectedMs = MillisBetween(promise.acceptedAt, promise.expectedAt);
  outcome.actualMs = MillisBetween(promise.acceptedAt, aNow);
  outcome.ranMs = promise.startedAt ? MillisBetween(*promise.startedAt, aNow)
                                    : outcome.actualMs;
  outcome.chainMs = promise.chainMs;
  Learn(aPromises.factors[promise.queue], outcome);
  return outcome;
}

void PrunePromises(Promises& aPromises, const State& aState,
                   std::size_t aActiveJobs) {
  if (aPromises.open.size() <=
      kFewPromises + kPromisesPerActiveJob * aActiveJobs) {
    return;
  }
  for (auto it = aPromises.open.begin(); it != aPromises.open.end();) {
    const auto job = aState.jobs.find(it->first);
    const bool isActive =
        job != aState.jobs.end() && job->second.phase == JobPhase::Active;
    it = isActive ? std::next(it) : aPromises.open.erase(it);
  }
}

}  // namespace bramleypath::workflow
