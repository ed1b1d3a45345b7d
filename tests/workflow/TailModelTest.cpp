#include "bramleypath/workflow/TailModel.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/base/Random.h"

namespace bramleypath::workflow {

namespace {

constexpr double kBase = -0.9;
constexpr double kStrongAdded = 0.18;
constexpr double kWeakAdded = 0.02;

// A model that has learned from reports of a serving task beside two kinds of
// fillers, with noise from its own load.
TailModel Learn(int aReports) {
  TailModel model = MakeTailModel();
  const auto serving = ClassOf(model, "serving");
  const auto harmful = ClassOf(model, "harmful");
  const auto harmless = ClassOf(model, "harmless");
  Random random{7};
  for (int report = 0; report < aReports; ++report) {
    placement::Composition fillers;
    const double first = 6 * NextUnit(random);
    const double second = 6 * NextUnit(random);
    placement::AddToComposition(fillers, harmful, first);
    placement::AddToComposition(fillers, harmless, second);
    const double noise = 0.8 * (NextUnit(random) - 0.5);
    ObserveTail(model, serving, fillers,
                kBase + kStrongAdded * first + kWeakAdded * second + noise);
  }
  return model;
}

}  // namespace

class TailModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TailModelTest);
  CPPUNIT_TEST(testLevelIsZeroAtTheTarget);
  CPPUNIT_TEST(testPairsAreDistinguished);
  CPPUNIT_TEST(testUnknownPairIsEstimatedHigh);
  CPPUNIT_TEST(testMoreImagesThanTheTableHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testLevelIsZeroAtTheTarget() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, TailLevel(18, 18), 1e-9);
    CPPUNIT_ASSERT(TailLevel(0, 18) < 0);
  }

  // With one estimate for all fillers, those that add little would be kept from
  // workers where they could run.
  void testPairsAreDistinguished() {
    TailModel model = Learn(400);
    const auto serving = ClassOf(model, "serving");
    const double harmful =
        PredictAddedLevel(model, serving, ClassOf(model, "harmful"), 1);
    const double harmless =
        PredictAddedLevel(model, serving, ClassOf(model, "harmless"), 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kStrongAdded, harmful, 0.05);
    // Estimates include a fraction of their standard deviation.
    CPPUNIT_ASSERT(harmless >= kWeakAdded / 2);
    CPPUNIT_ASSERT(harmless * 2.5 < harmful);
  }

  void testUnknownPairIsEstimatedHigh() {
    TailModel model = MakeTailModel();
    CPPUNIT_ASSERT(PredictAddedLevel(model, ClassOf(model, "a"),
                                     ClassOf(model, "b"), 4) > 0.1);
  }

  void testMoreImagesThanTheTableHolds() {
    TailModel model = MakeTailModel();
    for (int image = 0; image < 300; ++image) {
      const auto index = ClassOf(model, "image" + std::to_string(image));
      CPPUNIT_ASSERT(index < model.baseLevel.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TailModelTest);

}  // namespace bramleypath::workflow
