#include "bramleypath/placement/SizeCorrection.h"

#include <algorithm>

namespace bramleypath::placement {

namespace {

namespace acc = boost::accumulators;

double FactorOf(const detail::QuantileAccumulator& aRatios,
                const SizeCorrectionSettings& aSettings) {
  if (acc::count(aRatios) < aSettings.minSamples) {
    return 1;
  }
  return std::clamp(acc::p_square_quantile(aRatios), 1 / aSettings.maxFactor,
                    aSettings.maxFactor);
}

}  // namespace

namespace detail {

QuantileAccumulator MakeQuantile(double aProbability) {
  return QuantileAccumulator(acc::quantile_probability = aProbability);
}

}  // namespace detail

SizeCorrection MakeSizeCorrection(std::size_t aClasses,
                                  const SizeCorrectionSettings& aSettings) {
  SizeCorrection correction;
  correction.settings = aSettings;
  const ClassRatios fresh{detail::MakeQuantile(aSettings.processorQuantile),
                          detail::MakeQuantile(aSettings.memoryQuantile),
                          detail::MakeQuantile(aSettings.runTimeQuantile)};
  correction.classes.assign(aClasses, fresh);
  return correction;
}

void ObserveAttempt(SizeCorrection& aCorrection, ClassIndex aClass,
                    const CorrectionFactors& aObserved) {
  if (aClass >= aCorrection.classes.size()) {
    return;
  }
  ClassRatios& ratios = aCorrection.classes[aClass];
  ratios.processors(aObserved.processors);
  ratios.memory(aObserved.memory);
  ratios.runTime(aObserved.runTime);
}

CorrectionFactors FactorsFor(const SizeCorrection& aCorrection,
                             ClassIndex aClass) {
  CorrectionFactors factors;
  if (aClass >= aCorrection.classes.size()) {
    return factors;
  }
  const ClassRatios& ratios = aCorrection.classes[aClass];
  if (!aCorrection.settings.processorsAsDeclared) {
    factors.processors = FactorOf(ratios.processors, aCorrection.settings);
  }
  // A task that exceeds its memory reservation is killed, so the factor for
  // memory is never below 1.
  factors.memory = std::max(1.0, FactorOf(ratios.memory, aCorrection.settings));
  factors.runTime = FactorOf(ratios.runTime, aCorrection.settings);
  return factors;
}

}  // namespace bramleypath::placement
