#include "bramleypath/placement/TailResponse.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace bramleypath::placement {

namespace {

struct TailScenario {
  Interference table = MakeInterference(4, {});
  TailSettings settings;
  TailResponse state;
  std::vector<AttemptView> attempts;
  TimePoint now{1000000000};

  std::vector<Mitigation> Report(double aSlowdown) {
    this->now = this->now + Seconds(60);
    TailReport report;
    report.slowdown = aSlowdown;
    report.sampledAt = this->now - Seconds(30);
    auto steps = RespondToTail(this->state, this->settings, this->table, report,
                               this->attempts, this->now);
    for (const Mitigation& step : steps) {
      for (AttemptView& attempt : this->attempts) {
        if (attempt.attempt == step.attempt &&
            step.kind != MitigationKind::Evict) {
          attempt.throttled = step.kind == MitigationKind::Throttle;
        }
      }
    }
    return steps;
  }
};

bool Has(const std::vector<Mitigation>& aSteps, MitigationKind aKind) {
  for (const Mitigation& step : aSteps) {
    if (step.kind == aKind) {
      return true;
    }
  }
  return false;
}

}  // namespace

class TailResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TailResponseTest);
  CPPUNIT_TEST(testOneReportChangesNothing);
  CPPUNIT_TEST(testThrottlesBeforeItEvicts);
  CPPUNIT_TEST(testEvictsAttemptThatLosesLeastWork);
  CPPUNIT_TEST(testEvictionBudgetProtectsLongTasks);
  CPPUNIT_TEST(testOldSamplesAreIgnoredAfterAStep);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a response to the noise of a single report.
  void testOneReportChangesNothing() {
    TailScenario scenario;
    scenario.attempts = {AttemptView{1, 1, false, 100, 0}};
    CPPUNIT_ASSERT(scenario.Report(2.0).empty());
    CPPUNIT_ASSERT(scenario.Report(1.0).empty());
    CPPUNIT_ASSERT(scenario.Report(2.0).empty());
  }

  void testThrottlesBeforeItEvicts() {
    TailScenario scenario;
    scenario.attempts = {AttemptView{1, 1, false, 100, 0}};
    scenario.Report(2.0);
    const auto first = scenario.Report(2.0);
    CPPUNIT_ASSERT(Has(first, MitigationKind::Throttle));
    CPPUNIT_ASSERT(Has(first, MitigationKind::StopAdmission));
    CPPUNIT_ASSERT(!Has(first, MitigationKind::Evict));
    CPPUNIT_ASSERT(Has(scenario.Report(2.0), MitigationKind::Evict));
    const auto relaxed = scenario.Report(1.0);
    CPPUNIT_ASSERT(Has(relaxed, MitigationKind::Unthrottle));
    CPPUNIT_ASSERT(Has(relaxed, MitigationKind::ResumeAdmission));
  }

  void testEvictsAttemptThatLosesLeastWork() {
    TailScenario scenario;
    scenario.attempts = {AttemptView{1, 1, true, 3000, 0},
                         AttemptView{2, 1, true, 30, 0},
                         AttemptView{3, 1, true, 300, 0}};
    scenario.state.admissionStopped = true;
    scenario.Report(2.0);
    const auto steps = scenario.Report(2.0);
    CPPUNIT_ASSERT(steps.size() == 1);
    CPPUNIT_ASSERT(steps[0].kind == MitigationKind::Evict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, steps[0].attempt);
  }

  // Guards against a long task, such as a reconciliation, that never ends
  // because it is evicted again and again.
  void testEvictionBudgetProtectsLongTasks() {
    TailScenario scenario;
    scenario.attempts = {
        AttemptView{1, 1, true, 30, scenario.settings.evictionBudget}};
    scenario.state.admissionStopped = true;
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(scenario.Report(3.0).empty());
    }
  }

  // Guards against several evictions for one episode of interference: reports
  // that were sampled before an eviction arrive long after it.
  void testOldSamplesAreIgnoredAfterAStep() {
    TailScenario scenario;
    scenario.attempts = {AttemptView{1, 1, true, 30, 0},
                         AttemptView{2, 1, true, 30, 0}};
    scenario.state.admissionStopped = true;
    scenario.Report(2.0);
    CPPUNIT_ASSERT(Has(scenario.Report(2.0), MitigationKind::Evict));
    TailReport late;
    late.slowdown = 2.0;
    late.sampledAt = scenario.now - Seconds(20);
    const auto steps =
        RespondToTail(scenario.state, scenario.settings, scenario.table, late,
                      scenario.attempts, scenario.now + Seconds(30));
    CPPUNIT_ASSERT(steps.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TailResponseTest);

}  // namespace bramleypath::placement
