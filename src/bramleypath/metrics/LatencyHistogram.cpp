#include "bramleypath/metrics/LatencyHistogram.h"

#include <algorithm>
#include <limits>

#include <boost/histogram.hpp>

namespace bramleypath::metrics {

namespace {

namespace bh = boost::histogram;

constexpr int kFiniteBuckets = 16;
constexpr std::int64_t kFirstLimitMicros = 1000;
constexpr double kMicrosPerSecond = 1e6;

// The upper edges of the axis are exclusive, but the limits of a bucket are
// inclusive. Each edge is therefore 1 us above the limit, which is the
// resolution of Duration.
std::vector<double> EdgesInMicros() {
  std::vector<double> edges = {0};
  for (int bucket = 0; bucket < kFiniteBuckets; ++bucket) {
    const std::int64_t limit = kFirstLimitMicros << bucket;
    edges.push_back(static_cast<double>(limit + 1));
  }
  return edges;
}

using Axis = bh::axis::variable<>;

}  // namespace

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram(Axis({0, 1}))) counts =
      bh::make_histogram(Axis(EdgesInMicros()));
  double sumSeconds = 0;
};

LatencyHistogram::LatencyHistogram() : impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration aLatency) {
  const std::int64_t micros = std::max<std::int64_t>(0, aLatency.micros);
  this->impl->counts(static_cast<double>(micros));
  this->impl->sumSeconds += static_cast<double>(micros) / kMicrosPerSecond;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> buckets;
  buckets.reserve(kFiniteBuckets + 1);
  std::uint64_t cumulative = 0;
  // Index kFiniteBuckets is the overflow bin of the axis.
  for (int index = 0; index <= kFiniteBuckets; ++index) {
    cumulative += static_cast<std::uint64_t>(
        static_cast<double>(this->impl->counts.at(index)));
    const double limit = index == kFiniteBuckets
                             ? std::numeric_limits<double>::infinity()
                             : static_cast<double>(kFirstLimitMicros << index) /
                                   kMicrosPerSecond;
    buckets.push_back({limit, cumulative});
  }
  return buckets;
}

double LatencyHistogram::SumSeconds() const { return this->impl->sumSeconds; }

}  // namespace bramleypath::metrics
