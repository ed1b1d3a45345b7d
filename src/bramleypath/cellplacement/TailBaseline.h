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

// The undisturbed tail latency of each service class at each load: a low
// quantile of what was reported over all workers.
struct TailBaseline {
  std::map<placement::ClassIndex,
           std::array<detail::LowQuantile, placement::kLoadBands>>
      classes;
};

// Reports needed before a baseline counts.
constexpr std::size_t kLeastBaselineReports = 20;

void AddReport(TailBaseline& aBaseline, placement::ClassIndex aClass,
               placement::LoadBand aBand, double aP99Micros);

// The reported tail divided by the baseline, at least 1; none before enough
// reports have been seen.
std::optional<double> SlowdownOf(const TailBaseline& aBaseline,
                                 placement::ClassIndex aClass,
                                 placement::LoadBand aBand, double aP99Micros);

}  // namespace bramleypath::cellplacement
