#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/metrics/LatencyHistogram.h"

namespace bramleypath::metrics {

// Maximum number of pairs of client account and class with a series of their
// own. Further pairs are counted under the client account and class "other",
// since callers choose the names and could create series without bound.
constexpr std::size_t kMaxSeries = 512;

// Latency of the calls of one client account and class.
struct LatencySummary {
  std::uint64_t count = 0;
  double sumSeconds = 0;
  double maxSeconds = 0;
  double p50Seconds = 0;
  double p99Seconds = 0;
  double p999Seconds = 0;
};

// Metrics of one process. Not thread-safe.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Records the end of a call. aOutcome is "completed", "not_run" or
  // "outcome_unknown".
  void RecordCall(const ClientAccountId& aClientAccount, const ClassId& aClass,
                  std::string_view aOutcome, Duration aLatency);
  // Records the end of a batch attempt or task. aEvent is its cause, such as
  // "finished" or "evicted".
  void RecordTask(const ClientAccountId& aClientAccount, const ClassId& aClass,
                  std::string_view aEvent);
  // Replaces the value of a metric. aName is its name without the prefix
  // "bramleypath_".
  void SetCounter(const std::string& aName, std::uint64_t aValue);
  void SetGauge(const std::string& aName, double aValue);
  // Replaces the value of a gauge that has the queue as its label.
  void SetQueueGauge(const std::string& aName, const std::string& aQueue,
                     double aValue);
  // Replaces the value of a counter that has the queue as its label.
  void SetQueueCounter(const std::string& aName, const std::string& aQueue,
                       std::uint64_t aValue);
  // Replaces a histogram by a copy of the current counts. aName ends in
  // "_seconds".
  void SetHistogram(const std::string& aName,
                    const LatencyHistogram& aHistogram);

  // The same with the queue as its label.
  void SetQueueHistogram(const std::string& aName, const std::string& aQueue,
                         const LatencyHistogram& aHistogram);

  // Returns zeros when no call was recorded.
  LatencySummary Latency(const ClientAccountId& aClientAccount,
                         const ClassId& aClass) const;

  // All metrics in the Prometheus text exposition format.
  std::string WriteExposition() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::metrics
