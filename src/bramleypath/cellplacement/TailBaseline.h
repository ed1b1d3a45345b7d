#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <optional>

#include "bramleypath/placement/Interference.h"

namespace bramleypath::cellplacement {

namespace detail {

using LowQuantile = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                               boost::accumulators::tag::count>>;

LowQuantile MakeLowQuantile();

}  // namespace detail

// The undisturbed tail latency of each service class in each load band: a low
// quantile of the samples from all workers.
struct TailBaseline {
  std::map<placement::ClassIndex,
           std::array<detail::LowQuantile, placement::kLoadBands>>
      classes;
};

// Samples needed before a baseline is used.
constexpr std::size_t kMinBaselineSamples = 20;

void AddTailSample(TailBaseline& aBaseline, placement::ClassIndex aClass,
                   placement::LoadBand aBand, double aP99Micros);

// Returns the reported tail latency divided by the baseline, at least 1;
// nullopt before there are enough samples.
std::optional<double> SlowdownOf(const TailBaseline& aBaseline,
                                 placement::ClassIndex aClass,
                                 placement::LoadBand aBand, double aP99Micros);

}  // namespace bramleypath::cellplacement
