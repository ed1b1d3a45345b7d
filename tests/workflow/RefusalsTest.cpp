#include "bramleypath/workflow/Refusals.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>
#include <string>

namespace bramleypath::workflow {

namespace {

const JobId kJob("job");
constexpr TimePoint kStart{1000 * 1000};

RetryView AnyRetry() {
  RetryView view;
  view.roomMs = *rc::gen::inRange(0, 60000);
  view.waitedMs = *rc::gen::inRange(0, 60000);
  view.usefulMs = *rc::gen::inRange(0, 60000);
  view.ownMs = *rc::gen::inRange(0, 20000);
  return view;
}

}  // namespace

class RefusalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalsTest);
  CPPUNIT_TEST(testAgeCountsFromTheFirstRefusal);
  CPPUNIT_TEST(testTableIsBounded);
  CPPUNIT_TEST(testRetryIsWithinTheUsefulTime);
  CPPUNIT_TEST(testCallersOfOneBurstAreSpread);
  CPPUNIT_TEST(testEarlierCallersComeBackFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testAgeCountsFromTheFirstRefusal() {
    Refusals refusals;
    CPPUNIT_ASSERT_EQUAL(0.0, MsSinceRefusal(refusals, kJob, kStart));
    RecordRefusal(refusals, kJob, kStart);
    RecordRefusal(refusals, kJob, kStart + Seconds(2));
    CPPUNIT_ASSERT_EQUAL(3000.0,
                         MsSinceRefusal(refusals, kJob, kStart + Seconds(3)));
    CPPUNIT_ASSERT_EQUAL(0.0,
                         MsSinceRefusal(refusals, kJob, kStart + Seconds(61)));
  }

  // Clients choose the ids and may be refused without end.
  void testTableIsBounded() {
    Refusals refusals;
    for (int job = 0; job < 10000; ++job) {
      RecordRefusal(refusals, JobId(std::to_string(job)), kStart);
    }
    CPPUNIT_ASSERT(refusals.firstAt.size() <= 4096);
    CPPUNIT_ASSERT_EQUAL(refusals.firstAt.size(), refusals.order.size());
    ForgetOldRefusals(refusals, kStart + Seconds(61));
    CPPUNIT_ASSERT(refusals.firstAt.empty());
  }

  // A caller that comes back too late to be served has waited for nothing.
  void testRetryIsWithinTheUsefulTime() {
    CPPUNIT_ASSERT(rc::check("1 s or within the time left", [] {
      const RetryView view = AnyRetry();
      Random random{*rc::gen::arbitrary<std::uint64_t>()};
      const double seconds = RetryAfterSeconds(view, random);
      const double leftMs = view.usefulMs - view.waitedMs - view.ownMs;
      RC_ASSERT(seconds == 1 || seconds * 1000 <= leftMs);
      RC_ASSERT(seconds <= 8);
    }));
  }

  void testCallersOfOneBurstAreSpread() {
    Random random{1};
    std::set<std::uint32_t> seconds;
    for (int caller = 0; caller < 50; ++caller) {
      seconds.insert(RetryAfterSeconds({3000, 0, 30000, 1000}, random));
    }
    CPPUNIT_ASSERT(seconds.size() >= 3);
  }

  void testEarlierCallersComeBackFirst() {
    CPPUNIT_ASSERT(rc::check("a longer wait never gives a later retry", [] {
      RetryView later = AnyRetry();
      RetryView earlier = later;
      earlier.waitedMs += *rc::gen::inRange(0, 30000);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      Random first{seed};
      Random second{seed};
      RC_ASSERT(RetryAfterSeconds(earlier, first) <=
                RetryAfterSeconds(later, second));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalsTest);

}  // namespace bramleypath::workflow
