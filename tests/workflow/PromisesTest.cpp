#include "bramleypath/workflow/Promises.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace bramleypath::workflow {

namespace {

const QueueId kQueue("checks");
constexpr TimePoint kAccepted{1000 * 1000};

Promise MakePromise(double aChainMs) {
  Promise promise;
  promise.queue = kQueue;
  promise.acceptedAt = kAccepted;
  promise.expectedAt = kAccepted + Seconds(2);
  promise.chainMs = aChainMs;
  return promise;
}

struct FactorCase {
  const char* name;
  double ratio;
  int jobs;
  double factor;
};

const FactorCase kFactors[] = {
    {"nothing known", 2, 0, 1},       {"too few jobs", 2, 7, 1},
    {"enough jobs", 2, 8, 2},         {"not below the limit", 0.2, 20, 0.5},
    {"not over the limit", 9, 20, 4},
};

}  // namespace

class PromisesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromisesTest);
  CPPUNIT_TEST(testFactors);
  CPPUNIT_TEST(testFactorStaysInItsBounds);
  CPPUNIT_TEST(testOutcome);
  CPPUNIT_TEST(testFailedJobTeachesNothing);
  CPPUNIT_TEST(testTableIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testFactors() {
    for (const FactorCase& one : kFactors) {
      ChainFactor factor;
      for (int job = 0; job < one.jobs; ++job) {
        Learn(factor, {kQueue, 0, 0, 1000 * one.ratio, 1000});
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(one.name, one.factor,
                                           FactorOf(factor), 1e-6);
    }
  }

  // A job with odd times must not give a factor that refuses or accepts all.
  void testFactorStaysInItsBounds() {
    CPPUNIT_ASSERT(rc::check("0.5 to 4 after any outcomes", [] {
      ChainFactor factor;
      const auto times = *rc::gen::arbitrary<std::vector<std::int32_t>>();
      for (const std::int32_t ranMs : times) {
        const auto chainMs = *rc::gen::arbitrary<std::int32_t>();
        Learn(factor, {kQueue, 0, 0, static_cast<double>(ranMs),
                       static_cast<double>(chainMs)});
      }
      RC_ASSERT(FactorOf(factor) >= 0.5);
      RC_ASSERT(FactorOf(factor) <= 4);
    }));
  }

  void testOutcome() {
    Promises promises;
    RecordPromise(promises, 1, MakePromise(1000));
    RecordFirstPlacement(promises, 1, kAccepted + Millis(300));
    RecordFirstPlacement(promises, 1, kAccepted + Millis(900));
    const auto outcome =
        ClosePromise(promises, 1, true, kAccepted + Millis(2500));
    CPPUNIT_ASSERT(outcome);
    CPPUNIT_ASSERT_EQUAL(2000.0, outcome->expectedMs);
    CPPUNIT_ASSERT_EQUAL(2500.0, outcome->actualMs);
    CPPUNIT_ASSERT_EQUAL(2200.0, outcome->ranMs);
    CPPUNIT_ASSERT(!ClosePromise(promises, 1, true, kAccepted + Millis(2600)));
  }

  void testFailedJobTeachesNothing() {
    Promises promises;
    RecordPromise(promises, 1, MakePromise(1000));
    CPPUNIT_ASSERT(!ClosePromise(promises, 1, false, kAccepted + Seconds(9)));
    CPPUNIT_ASSERT(promises.open.empty());
    CPPUNIT_ASSERT(promises.factors.empty());
  }

  // Cancelled jobs that never ran are not closed, and must not fill the table.
  void testTableIsBounded() {
    Promises promises;
    for (JobNumber job = 1; job <= 20000; ++job) {
      RecordPromise(promises, job, MakePromise(1000));
    }
    CPPUNIT_ASSERT(promises.open.size() <= 16384);
    PrunePromises(promises, State(), 0);
    CPPUNIT_ASSERT(promises.open.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromisesTest);

}  // namespace bramleypath::workflow
