#include "bramleypath/routing/internal/Latency.h"

#include <algorithm>
#include <cmath>

#include "bramleypath/routing/internal/Shares.h"

namespace bramleypath::routing::detail {

namespace {

constexpr double kMeanWeight = 0.02;
// Relative step of the quantile estimates.
constexpr double kQuantileStep = 0.05;
constexpr double kQuick = 0.05;
constexpr double kSlow = 0.95;

// Stochastic estimate of a quantile: in balance when the given part of the
// values lies below it.
void MoveQuantile(double& aEstimate, double aPart, double aValue) {
  if (aEstimate <= 0) {
    aEstimate = aValue;
  } else if (aValue > aEstimate) {
    aEstimate *= 1 + kQuantileStep * aPart;
  } else {
    aEstimate *= 1 - kQuantileStep * (1 - aPart);
  }
}

// The first values weigh alike, so that a single one does not stand for the
// usual latency until the small weight has worn it off.
void MoveAverage(double& aAverage, double aWeight, std::uint64_t aCount,
                 double aValue) {
  const double weight = std::max(aWeight, 1.0 / static_cast<double>(aCount));
  aAverage += weight * (aValue - aAverage);
}

void LearnClass(const Settings& aSettings, ClassState& aClass, double aValue) {
  ++aClass.answers;
  MoveAverage(aClass.meanMicros, kMeanWeight, aClass.answers, aValue);
  MoveAverage(aClass.usualMicros, aSettings.usualWeight, aClass.answers,
              aValue);
  MoveQuantile(aClass.quickMicros, kQuick, aValue);
  MoveQuantile(aClass.slowMicros, kSlow, aValue);
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

void NoteLatency(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                 Duration aLatency, TimePoint aNow) {
  TargetState& target = aRouter.targets[aIndex];
  if (target.service == kNoIndex) {
    return;
  }
  const double value = std::max(1.0, static_cast<double>(aLatency.micros));
  ClassState& callClass = aRouter.services[target.service].classes[aClass];
  LearnClass(aRouter.settings, callClass, value);
  target.latencyRatio += aRouter.settings.recentWeight *
                         (value / callClass.usualMicros - target.latencyRatio);
  AdaptLimit(aRouter, aIndex);
  if (target.limit < 1.0) {
    // Leaves the slot empty for as long as makes the mean number of calls in
    // it equal to the limit.
    target.pacedUntil =
        aNow +
        Micros(static_cast<std::int64_t>(value * (1.0 / target.limit - 1.0)));
  }
}

void NoteArrival(Router& aRouter, ClassState& aClass, TimePoint aNow) {
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
