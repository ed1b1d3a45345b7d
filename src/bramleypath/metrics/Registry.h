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

// Pairs of member and class with values of their own; further ones are counted
// under the member and class "other", since callers choose the names.
constexpr std::size_t kMaxSeries = 512;

// Latency of the calls of one member and class.
struct LatencySummary {
  std::uint64_t count = 0;
  double sumSeconds = 0;
  double maxSeconds = 0;
  double p50Seconds = 0;
  double p99Seconds = 0;
  double p999Seconds = 0;
};

// Metrics of one process. Used by one thread.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // A call ended; aOutcome is "completed", "not_run" or "outcome_unknown".
  void RecordCall(const ClientAccountId& aClientAccount, const ClassId& aClass,
                  std::string_view aOutcome, Duration aLatency);
  // A batch attempt or task ended; aEvent is such as "finished" or "evicted".
  void RecordTask(const ClientAccountId& aClientAccount, const ClassId& aClass,
                  std::string_view aEvent);
  // Replaces a value; aName is the name of the metric without its prefix.
  void SetCounter(const std::string& aName, std::uint64_t aValue);
  void SetGauge(const std::string& aName, double aValue);
  // A gauge of one queue, with the queue as its label.
  void SetQueueGauge(const std::string& aName, const std::string& aQueue,
                     double aValue);
  // Copies the present counts; aName ends in "_seconds".
  void SetHistogram(const std::string& aName,
                    const LatencyHistogram& aHistogram);

  LatencySummary Latency(const ClientAccountId& aClientAccount,
                         const ClassId& aClass) const;

  // The text exposition format: lines `name{labels} value` with # TYPE lines.
  std::string WriteExposition() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::metrics
