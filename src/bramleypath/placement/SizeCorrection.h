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

// Quantiles of observed divided by declared use, over the attempts of a class.
struct ClassRatios {
  detail::QuantileAccumulator processors;
  detail::QuantileAccumulator memory;
  detail::QuantileAccumulator runTime;
};

struct SizeCorrectionSettings {
  // Processor use beyond the reservation slows the host, but memory use beyond
  // it kills the task, so the quantile for memory is higher.
  double processorQuantile = 0.8;
  double memoryQuantile = 0.95;
  double runTimeQuantile = 0.5;
  // The declared size is used unchanged until this many attempts were observed.
  std::size_t minSamples = 10;
  // A declared size or run time is multiplied or divided by at most this.
  double maxFactor = 10;
  // Processors are reserved as declared, because a client account is entitled
  // to what it declares. Set to false where the client accounts agree to
  // reservations by observed use.
  bool processorsAsDeclared = true;
};

// Corrects the declared sizes and run times of each class by observed use.
struct SizeCorrection {
  SizeCorrectionSettings settings;
  std::vector<ClassRatios> classes;
};

// Factors of observed to declared use, without a unit.
struct CorrectionFactors {
  double processors = 1;
  double memory = 1;
  double runTime = 1;
};

SizeCorrection MakeSizeCorrection(std::size_t aClasses,
                                  const SizeCorrectionSettings& aSettings);

// Records an ended attempt. aObserved holds its peak use and its run time, each
// divided by what was declared. An unknown class is ignored.
void ObserveAttempt(SizeCorrection& aCorrection, ClassIndex aClass,
                    const CorrectionFactors& aObserved);

// The factors by which declared sizes of the class are multiplied; 1 where
// there are too few observations.
CorrectionFactors FactorsFor(const SizeCorrection& aCorrection,
                             ClassIndex aClass);

}  // namespace bramleypath::placement
