#include "bramleypath/metrics/Registry.h"

#include <array>
#include <cmath>
#include <sstream>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace bramleypath::metrics {

namespace {

namespace acc = boost::accumulators;

using LatencyAccumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square>>;

// Quantiles that the P-square algorithm tracks. Only 0.5, 0.99 and 0.999 are
// reported; their estimates are more accurate with tracked neighbours on both
// sides.
const std::array<double, 7> kProbabilities{0.25, 0.5,   0.75,  0.9,
                                           0.99, 0.999, 0.9999};
constexpr std::size_t kP50 = 1;
constexpr std::size_t kP99 = 4;
constexpr std::size_t kP999 = 5;
constexpr double kMicrosPerSecond = 1e6;

// Client account and class.
using SeriesKey = std::pair<std::string, std::string>;

struct Series {
  LatencyAccumulator latency{acc::tag::extended_p_square::probabilities =
                                 kProbabilities};
  std::map<std::string, std::uint64_t, std::less<>> outcomes;
  std::map<std::string, std::uint64_t, std::less<>> tasks;
};

LatencySummary Summarise(const Series& aSeries) {
  LatencySummary summary;
  summary.count = acc::count(aSeries.latency);
  if (summary.count == 0) {
    return summary;
  }
  summary.sumSeconds = acc::sum(aSeries.latency);
  summary.maxSeconds = acc::max(aSeries.latency);
  // The P-square algorithm keeps 2 n + 3 markers for n quantiles and needs one
  // sample per marker before its estimates are valid.
  constexpr std::size_t kMinSamples = 2 * kProbabilities.size() + 3;
  if (summary.count < kMinSamples) {
    summary.p50Seconds = summary.sumSeconds / summary.count;
    summary.p99Seconds = summary.maxSeconds;
    summary.p999Seconds = summary.maxSeconds;
    return summary;
  }
  const auto estimates = acc::extended_p_square(aSeries.latency);
  summary.p50Seconds = estimates[kP50];
  summary.p99Seconds = estimates[kP99];
  summary.p999Seconds = estimates[kP999];
  return summary;
}

// Escapes a label value. Callers choose the values, which may hold any byte;
// control characters become '?'.
std::string Escape(const std::string& aText) {
  std::string escaped;
  for (const char character : aText) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    const auto code = static_cast<unsigned char>(character);
    escaped += code < 0x20 || code == 0x7f ? '?' : character;
  }
  return escaped;
}

std::string Labels(const SeriesKey& aKey) {
  return "member=\"" + Escape(aKey.first) + "\",class=\"" +
         Escape(aKey.second) + "\"";
}

void WriteType(std::ostream& aOut, const std::string& aName,
               const char* aType) {
  aOut << "# TYPE bramleypath_" << aName << ' ' << aType << '\n';
}

}  // namespace

namespace {

struct HistogramSnapshot {
  std::vector<LatencyHistogram::Bucket> buckets;
  double sumSeconds = 0;
};

void WriteHistogram(std::ostream& aOut, const std::string& aName,
                    const std::string& aLabels,
                    const HistogramSnapshot& aHistogram) {
  std::uint64_t count = 0;
  for (const LatencyHistogram::Bucket& bucket : aHistogram.buckets) {
    aOut << "bramleypath_" << aName << "_bucket{" << aLabels
         << (aLabels.empty() ? "" : ",") << "le=\"";
    if (std::isinf(bucket.limitSeconds)) {
      aOut << "+Inf";
    } else {
      aOut << bucket.limitSeconds;
    }
    aOut << "\"} " << bucket.cumulative << '\n';
    count = bucket.cumulative;
  }
  const std::string suffix = aLabels.empty() ? " " : "{" + aLabels + "} ";
  aOut << "bramleypath_" << aName << "_sum" << suffix << aHistogram.sumSeconds
       << '\n'
       << "bramleypath_" << aName << "_count" << suffix << count << '\n';
}

}  // namespace

struct Registry::Impl {
  std::map<SeriesKey, Series> series;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, double> gauges;
  // Keyed by metric name, then by queue.
  std::map<std::string, std::map<std::string, double>> queueGauges;
  std::map<std::string, std::map<std::string, std::uint64_t>> queueCounters;
  std::map<std::string, HistogramSnapshot> histograms;
  // Keyed by metric name, then by queue.
  std::map<std::string, std::map<std::string, HistogramSnapshot>>
      queueHistograms;

  Series& SeriesOf(const ClientAccountId& aClientAccount,
                   const ClassId& aClass) {
    SeriesKey key{aClientAccount.value, aClass.value};
    if (this->series.count(key) == 0 && this->series.size() >= kMaxSeries) {
      key = {"other", "other"};
    }
    return this->series[std::move(key)];
  }
};

Registry::Registry() : impl(std::make_unique<Impl>()) {}
Registry::~Registry() = default;

void Registry::RecordCall(const ClientAccountId& aClientAccount,
                          const ClassId& aClass, std::string_view aOutcome,
                          Duration aLatency) {
  Series& series = this->impl->SeriesOf(aClientAccount, aClass);
  ++series.outcomes[std::string(aOutcome)];
  series.latency(static_cast<double>(aLatency.micros) / kMicrosPerSecond);
}

void Registry::RecordTask(const ClientAccountId& aClientAccount,
                          const ClassId& aClass, std::string_view aEvent) {
  ++this->impl->SeriesOf(aClientAccount, aClass).tasks[std::string(aEvent)];
}

void Registry::SetCounter(const std::string& aName, std::uint64_t aValue) {
  this->impl->counters[aName] = aValue;
}

void Registry::SetGauge(const std::string& aName, double aValue) {
  this->impl->gauges[aName] = aValue;
}

void Registry::SetQueueGauge(const std::string& aName,
                             const std::string& aQueue, double aValue) {
  this->impl->queueGauges[aName][aQueue] = aValue;
}

void Registry::SetQueueCounter(const std::string& aName,
                               const std::string& aQueue,
                               std::uint64_t aValue) {
  this->impl->queueCounters[aName][aQueue] = aValue;
}

void Registry::SetHistogram(const std::string& aName,
                            const LatencyHistogram& aHistogram) {
  this->impl->histograms[aName] = {aHistogram.Buckets(),
                                   aHistogram.SumSeconds()};
}

void Registry::SetQueueHistogram(const std::string& aName,
                                 const std::string& aQueue,
                                 const LatencyHistogram& aHistogram) {
  this->impl->queueHistograms[aName][aQueue] = {aHistogram.Buckets(),
                                                aHistogram.SumSeconds()};
}

LatencySummary Registry::Latency(const ClientAccountId& aClientAccount,
                                 const ClassId& aClass) const {
  const auto found =
      this->impl->series.find(SeriesKey{aClientAccount.value, aClass.value});
  return found == this->impl->series.end() ? LatencySummary()
                                           : Summarise(found->second);
}

std::string Registry::WriteExposition() const {
  std::ostringstream out;
  WriteType(out, "calls_total", "counter");
  for (const auto& [key, series] : this->impl->series) {
    for (const auto& [outcome, count] : series.outcomes) {
      out << "bramleypath_calls_total{" << Labels(key) << ",outcome=\""
          << outcome << "\"} " << count << '\n';
    }
  }
  WriteType(out, "tasks_total", "counter");
  for (const auto& [key, series] : this->impl->series) {
    for (const auto& [event, count] : series.tasks) {
      out << "bramleypath_tasks_total{" << Labels(key) << ",event=\"" << event
          << "\"} " << count << '\n';
    }
  }
  WriteType(out, "call_seconds", "summary");
  for (const auto& [key, series] : this->impl->series) {
    const LatencySummary summary = Summarise(series);
    if (summary.count == 0) {
      continue;
    }
    const std::string labels = Labels(key);
    const std::array<std::pair<const char*, double>, 3> quantiles{
        {{"0.5", summary.p50Seconds},
         {"0.99", summary.p99Seconds},
         {"0.999", summary.p999Seconds}}};
    for (const auto& [name, value] : quantiles) {
      out << "bramleypath_call_seconds{" << labels << ",quantile=\"" << name
          << "\"} " << value << '\n';
    }
    out << "bramleypath_call_seconds_sum{" << labels << "} "
        << summary.sumSeconds << '\n'
        << "bramleypath_call_seconds_count{" << labels << "} " << summary.count
        << '\n'
        << "bramleypath_call_seconds_max{" << labels << "} "
        << summary.maxSeconds << '\n';
  }
  for (const auto& [name, value] : this->impl->counters) {
    WriteType(out, name, "counter");
    out << "bramleypath_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : this->impl->gauges) {
    WriteType(out, name, "gauge");
    out << "bramleypath_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, queues] : this->impl->queueCounters) {
    WriteType(out, name, "counter");
    for (const auto& [queue, value] : queues) {
      out << "bramleypath_" << name << "{queue=\"" << Escape(queue) << "\"} "
          << value << '\n';
    }
  }
  for (const auto& [name, queues] : this->impl->queueGauges) {
    WriteType(out, name, "gauge");
    for (const auto& [queue, value] : queues) {
      out << "bramleypath_" << name << "{queue=\"" << Escape(queue) << "\"} "
          << value << '\n';
    }
  }
  for (const auto& [name, histogram] : this->impl->histograms) {
    WriteType(out, name, "histogram");
    WriteHistogram(out, name, "", histogram);
  }
  for (const auto& [name, queues] : this->impl->queueHistograms) {
    WriteType(out, name, "histogram");
    for (const auto& [queue, histogram] : queues) {
      WriteHistogram(out, name, "queue=\"" + Escape(queue) + "\"", histogram);
    }
  }
  return out.str();
}

}  // namespace bramleypath::metrics
