#include "bramleypath/placement/Interference.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "bramleypath/base/Random.h"
#include "bramleypath/placement/PlacementHistory.h"
#include "bramleypath/placement/SizeCorrection.h"

namespace bramleypath::placement {

class InterferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterferenceTest);
  CPPUNIT_TEST(testEstimatesNoisyClassAmongQuietOnes);
  CPPUNIT_TEST(testUnknownClassGetsThePrior);
  CPPUNIT_TEST(testLateReportIsAttributedToItsSampleTime);
  CPPUNIT_TEST(testHistoryIsBounded);
  CPPUNIT_TEST(testCorrectsDeclaredSizes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against attributing slowdown to a quiet class that runs beside a
  // noisy one. The estimates can be told apart because the composition differs
  // from report to report.
  void testEstimatesNoisyClassAmongQuietOnes() {
    constexpr double kNoisyAdds = 0.2;
    Interference table = MakeInterference(4, {});
    Random random{1};
    for (int report = 0; report < 400; ++report) {
      Composition mix;
      double truth = 0;
      for (ClassIndex one = 1; one < 4; ++one) {
        const auto count = static_cast<double>(NextBelow(random, 3));
        if (count > 0) {
          AddToComposition(mix, one, count);
        }
        truth += one == 2 ? count * kNoisyAdds : 0;
      }
      const double noise = 0.2 * (NextUnit(random) - 0.5);
      Observe(table, 0, mix, LoadBand::Middle, truth + noise);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        kNoisyAdds, EstimateOf(table, 0, 2, LoadBand::Middle).mean, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.0, EstimateOf(table, 0, 1, LoadBand::Middle).mean, 0.02);
    const auto worst = WorstPairs(table, 1);
    CPPUNIT_ASSERT(worst.size() == 1 && worst[0].aggressor == 2);
  }

  void testUnknownClassGetsThePrior() {
    const Interference table = MakeInterference(2, {});
    const double added = PredictAddedLogSlowdown(table, 9, 1, LoadBand::Low, 0);
    CPPUNIT_ASSERT_EQUAL(table.settings.priorMean, added);
  }

  // Guards against attributing a report that arrives 60 s late to the work that
  // runs at its arrival.
  void testLateReportIsAttributedToItsSampleTime() {
    PlacementHistory history;
    Composition early;
    AddToComposition(early, 1, 1);
    Composition late;
    AddToComposition(late, 2, 1);
    const TimePoint start{0};
    RecordComposition(history, early, start);
    RecordComposition(history, late, start + Seconds(100));
    struct Row {
      const char* label;
      Duration at;
      bool found;
      ClassIndex expected;
    };
    const Row rows[] = {{"before the change", Seconds(60), true, 1},
                        {"just after it", Seconds(105), false, 0},
                        {"settled", Seconds(120), true, 2},
                        {"before the history", Seconds(-1), false, 0}};
    for (const Row& row : rows) {
      const auto found = CompositionAt(history, start + row.at, Seconds(10));
      CPPUNIT_ASSERT_MESSAGE(row.label, found.has_value() == row.found);
      CPPUNIT_ASSERT_MESSAGE(row.label,
                             !found || CountOf(*found, row.expected) == 1);
    }
  }

  void testHistoryIsBounded() {
    PlacementHistory history;
    for (std::size_t i = 0; i < 10 * kMaxHistoryRecords; ++i) {
      Composition mix;
      AddToComposition(mix, 1, static_cast<double>(i + 1));
      RecordComposition(history, mix,
                        TimePoint{static_cast<std::int64_t>(i) * 1000});
    }
    CPPUNIT_ASSERT(history.records.size() == kMaxHistoryRecords);
  }

  // Guards against workers that stay empty because tasks declare 8 times the
  // processors that they use.
  void testCorrectsDeclaredSizes() {
    SizeCorrectionSettings settings;
    settings.processorsAsDeclared = false;
    SizeCorrection correction = MakeSizeCorrection(2, settings);
    CPPUNIT_ASSERT_EQUAL(1.0, FactorsFor(correction, 1).processors);
    for (int i = 0; i < 100; ++i) {
      CorrectionFactors ratios;
      ratios.processors = 0.125;
      ratios.runTime = 100;
      ObserveAttempt(correction, 1, ratios);
    }
    const CorrectionFactors factors = FactorsFor(correction, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.125, factors.processors, 0.01);
    CPPUNIT_ASSERT_EQUAL(correction.settings.maxFactor, factors.runTime);
    CPPUNIT_ASSERT_EQUAL(1.0, FactorsFor(correction, 0).processors);
    correction.settings.processorsAsDeclared = true;
    CPPUNIT_ASSERT_EQUAL(1.0, FactorsFor(correction, 1).processors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceTest);

}  // namespace bramleypath::placement
