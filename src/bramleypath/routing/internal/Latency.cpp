#include "bramleypath/routing/internal/Latency.h"

#include <algorithm>
#include <cmath>

#include "bramleypath/routing/internal/Shares.h"

namespace bramleypath::routing::detail {

namespace {

// Weight of one answer in the mean service time of a class.
constexpr double kMeanWeight = 0.02;
// Relative step of the quantile estimates per answer.
constexpr double kQuantileStep = 0.05;
constexpr double kFastQuantile = 0.05;
constexpr double kSlowQuantile = 0.95;

// Stochastic approximation of a quantile: its expected change is zero when the
// part aPart of the values lies below the estimate.
void UpdateQuantile(double& aEstimate, double aPart, double aValue) {
  if (aEstimate <= 0) {
    aEstimate = aValue;
  } else if (aValue > aEstimate) {
    aEstimate *= 1 + kQuantileStep * aPart;
  } else {
    aEstimate *= 1 - kQuantileStep * (1 - aPart);
  }
}

// Averages the first values with equal weights. With the small constant weight
// alone, the first value would dominate the average for a long time.
void UpdateAverage(double& aAverage, double aWeight, std::uint64_t aCount,
                   double aValue) {
  const double weight = std::max(aWeight, 1.0 / static_cast<double>(aCount));
  aAverage += weight * (aValue - aAverage);
}

void UpdateClassStatistics(const Settings& aSettings, ClassState& aClass,
                           double aValue) {
  ++aClass.answers;
  UpdateAverage(aClass.meanMicros, kMeanWeight, aClass.answers, aValue);
  UpdateAverage(aClass.baselineMicros, aSettings.baselineWeight, aClass.answers,
                aValue);
  UpdateQuantile(aClass.p5Micros, kFastQuantile, aValue);
  UpdateQuantile(aClass.p95Micros, kSlowQuantile, aValue);
}

void AdaptLimit(Router& aRouter, TargetIndex aIndex) {
  const Settings& settings = aRouter.settings;
  const TargetState& target = aRouter.targets[aIndex];
  const double gradient =
      std::min(1.0, settings.gradientTolerance / target.latencyRatio);
  const double wanted = target.limit * gradient + settings.limitHeadroom;
  SetLimit(aRouter, aIndex,
           target.limit + settings.limitWeight * (wanted - target.limit));
}

}  // namespace

void RecordLatency(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                   Duration aLatency, TimePoint aNow) {
  TargetState& target = aRouter.targets[aIndex];
  if (target.service == kNoIndex) {
    return;
  }
  const double value = std::max(1.0, static_cast<double>(aLatency.micros));
  ClassState& callClass = aRouter.services[target.service].classes[aClass];
  UpdateClassStatistics(aRouter.settings, callClass, value);
  target.latencyRatio +=
      aRouter.settings.latencyRatioWeight *
      (value / callClass.baselineMicros - target.latencyRatio);
  AdaptLimit(aRouter, aIndex);
  if (target.limit < 1.0) {
    // Keeps the slot empty for long enough that the mean number of calls in it
    // equals the limit.
    target.pacedUntil =
        aNow +
        Micros(static_cast<std::int64_t>(value * (1.0 / target.limit - 1.0)));
  }
}

void RecordArrival(Router& aRouter, ClassState& aClass, TimePoint aNow) {
  const double window =
      static_cast<double>(aRouter.settings.arrivalWindow.micros) / 1e6;
  aClass.arrivalsPerSecond = ArrivalRate(aRouter, aClass, aNow) + 1.0 / window;
  aClass.lastArrival = aNow;
}

double ArrivalRate(const Router& aRouter, const ClassState& aClass,
                   TimePoint aNow) {
  const double age = static_cast<double>((aNow - aClass.lastArrival).micros);
  const auto window =
      static_cast<double>(aRouter.settings.arrivalWindow.micros);
  return aClass.arrivalsPerSecond * std::exp(-std::max(0.0, age) / window);
}

}  // namespace bramleypath::routing::detail
