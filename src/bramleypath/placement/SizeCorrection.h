#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <vector>

#include "bramleypath/placement/Composition.h"

namespace bramleypath::placement {

namespace detail {

using QuantileAccumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                               boost::accumulators::tag::count>>;

QuantileAccumulator MakeQuantile(double aProbability);

}  // namespace detail

// Observed use divided by the declared use of one class's attempts.
struct ClassRatios {
  detail::QuantileAccumulator processors;
  detail::QuantileAccumulator memory;
  detail::QuantileAccumulator runTime;
};

struct SizeCorrectionSettings {
  // Processors beyond the reservation slow the host; memory beyond it kills.
  double processorQuantile = 0.8;
  double memoryQuantile = 0.95;
  double runTimeQuantile = 0.5;
  // Fewer observations than this leave the declared size as it is.
  std::size_t leastSamples = 10;
  // Declared sizes and run times are off by at most this factor either way.
  double maxFactor = 10;
  // What a member declares is what its host is committed to, so processors are
  // reserved as declared. Set to false where the members agree that observed
  // use counts instead.
  bool processorsAsDeclared = true;
};

// Corrects the declared sizes and run times of each class by what was observed.
struct SizeCorrection {
  SizeCorrectionSettings settings;
  std::vector<ClassRatios> classes;
};

struct CorrectionFactors {
  double processors = 1;
  double memory = 1;
  double runTime = 1;
};

SizeCorrection MakeSizeCorrection(std::size_t aClasses,
                                  const SizeCorrectionSettings& aSettings);

// Ratios of one ended attempt: peak use, and run time, over what was declared.
void ObserveAttempt(SizeCorrection& aCorrection, ClassIndex aClass,
                    const CorrectionFactors& aObserved);

CorrectionFactors FactorsFor(const SizeCorrection& aCorrection,
                             ClassIndex aClass);

}  // namespace bramleypath::placement
