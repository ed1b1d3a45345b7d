#include "bramleypath/cellplacement/TailBaseline.h"

#include <algorithm>

namespace bramleypath::cellplacement {

namespace {

namespace acc = boost::accumulators;

// Low enough to leave out disturbed samples, high enough to leave out noise.
constexpr double kBaselineQuantile = 0.1;

std::array<detail::LowQuantile, placement::kLoadBands> MakeBands() {
  return {detail::MakeLowQuantile(), detail::MakeLowQuantile(),
          detail::MakeLowQuantile()};
}

}  // namespace

namespace detail {

LowQuantile MakeLowQuantile() {
  return LowQuantile(acc::quantile_probability = kBaselineQuantile);
}

}  // namespace detail

void AddTailSample(TailBaseline& aBaseline, placement::ClassIndex aClass,
                   placement::LoadBand aBand, double aP99Micros) {
  const auto entry = aBaseline.classes.try_emplace(aClass, MakeBands()).first;
  entry->second[static_cast<std::size_t>(aBand)](aP99Micros);
}

std::optional<double> SlowdownOf(const TailBaseline& aBaseline,
                                 placement::ClassIndex aClass,
                                 placement::LoadBand aBand, double aP99Micros) {
  const auto found = aBaseline.classes.find(aClass);
  if (found == aBaseline.classes.end()) {
    return std::nullopt;
  }
  const auto& reports = found->second[static_cast<std::size_t>(aBand)];
  if (acc::count(reports) < kMinBaselineSamples) {
    return std::nullopt;
  }
  const double base = acc::p_square_quantile(reports);
  return base > 0 ? std::max(1.0, aP99Micros / base) : 1.0;
}

}  // namespace bramleypath::cellplacement
