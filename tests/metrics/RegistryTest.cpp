#include "bramleypath/metrics/Registry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bramleypath;
using namespace bramleypath::metrics;

namespace {

// Guards against inaccurate quantiles, and against an exposition that grows
// without bound because callers choose the names.
class RegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryTest);
  CPPUNIT_TEST(testQuantiles);
  CPPUNIT_TEST(testSeriesAreBounded);
  CPPUNIT_TEST(testExposition);
  CPPUNIT_TEST(testHistogram);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testQuantiles() {
    Registry registry;
    const ClientAccountId clientAccount("m");
    const ClassId callClass("c");
    constexpr int kSamples = 20000;
    for (int i = 0; i < kSamples; ++i) {
      // 7919 is coprime to 1000, so that each millisecond from 0 to 999 is
      // recorded equally often, in mixed order.
      registry.RecordCall(clientAccount, callClass, "completed",
                          Millis(i * 7919LL % 1000));
    }
    const LatencySummary summary = registry.Latency(clientAccount, callClass);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kSamples}, summary.count);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, summary.p50Seconds, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.99, summary.p99Seconds, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.999, summary.p999Seconds, 0.005);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.999, summary.maxSeconds, 1e-9);
  }

  void testSeriesAreBounded() {
    Registry registry;
    for (std::size_t i = 0; i < 2 * kMaxSeries; ++i) {
      registry.RecordCall(ClientAccountId("m" + std::to_string(i)),
                          ClassId("c"), "completed", Millis(1));
    }
    const std::string exposition = registry.WriteExposition();
    std::size_t lines = 0;
    for (std::size_t at = exposition.find("calls_total{");
         at != std::string::npos;
         at = exposition.find("calls_total{", at + 1)) {
      ++lines;
    }
    CPPUNIT_ASSERT_EQUAL(kMaxSeries + 1, lines);
    CPPUNIT_ASSERT(
        exposition.find("bramleypath_calls_total{member=\"other\",class="
                        "\"other\",outcome=\"completed\"} " +
                        std::to_string(kMaxSeries)) != std::string::npos);
  }

  void testExposition() {
    Registry registry;
    registry.RecordCall(ClientAccountId("a\"b\\c\nd"), ClassId("c"), "not_run",
                        Millis(2));
    registry.SetCounter("things_total", 3);
    registry.SetGauge("level", 0.5);
    const std::string exposition = registry.WriteExposition();
    for (const char* line :
         {"bramleypath_calls_total{member=\"a\\\"b\\\\c?d\",class=\"c\","
          "outcome=\"not_run\"} 1\n",
          "# TYPE bramleypath_things_total counter\n",
          "bramleypath_things_total 3\n", "bramleypath_level 0.5\n"}) {
      CPPUNIT_ASSERT_MESSAGE(line, exposition.find(line) != std::string::npos);
    }
  }

  // A latency equal to a bucket's limit is counted in that bucket. One above
  // all finite limits is counted in the last bucket only.
  void testHistogram() {
    LatencyHistogram latency;
    for (const std::int64_t millis : {0, 1, 2, 3, 40000}) {
      latency.Record(Millis(millis));
    }
    Registry registry;
    registry.SetHistogram("commit_seconds", latency);
    registry.SetQueueGauge("waiting_jobs", "checks", 4);
    registry.SetQueueCounter("admissions_late", "checks", 7);
    registry.SetQueueHistogram("promise_late_seconds", "checks", latency);
    const std::string exposition = registry.WriteExposition();
    const char* const promised =
        "bramleypath_promise_late_seconds_bucket{queue=\"checks\","
        "le=\"0.002\"} 3\n";
    for (const char* line :
         {"# TYPE bramleypath_commit_seconds histogram\n",
          "bramleypath_commit_seconds_bucket{le=\"0.001\"} 2\n",
          "bramleypath_commit_seconds_bucket{le=\"0.002\"} 3\n",
          "bramleypath_commit_seconds_bucket{le=\"0.004\"} 4\n",
          "bramleypath_commit_seconds_bucket{le=\"32.768\"} 4\n",
          "bramleypath_commit_seconds_bucket{le=\"+Inf\"} 5\n",
          "bramleypath_commit_seconds_sum 40.006\n",
          "bramleypath_commit_seconds_count 5\n",
          "# TYPE bramleypath_promise_late_seconds histogram\n", promised,
          "bramleypath_promise_late_seconds_count{queue=\"checks\"} 5\n",
          "bramleypath_admissions_late{queue=\"checks\"} 7\n",
          "bramleypath_waiting_jobs{queue=\"checks\"} 4\n"}) {
      CPPUNIT_ASSERT_MESSAGE(line, exposition.find(line) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);

}  // namespace
