#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::metrics {

// Latencies counted in buckets that double from 1 ms to 32.8 s. Used by one
// thread.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void Record(Duration aLatency);

  struct Bucket {
    // Inclusive upper limit, infinite in the last one.
    double limitSeconds = 0;
    // Latencies up to the limit.
    std::uint64_t cumulative = 0;
  };
  std::vector<Bucket> Buckets() const;
  double SumSeconds() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::metrics
