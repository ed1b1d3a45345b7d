#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::metrics {

// A histogram of latencies. The limits of its buckets double from 1 ms to
// 32.8 s, and a last bucket has no limit. Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  // A negative latency counts as 0.
  void Record(Duration aLatency);

  struct Bucket {
    // Inclusive upper limit; infinite in the last bucket.
    double limitSeconds = 0;
    // Number of latencies up to the limit, those of lower buckets included.
    std::uint64_t cumulative = 0;
  };
  std::vector<Bucket> Buckets() const;
  double SumSeconds() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::metrics
