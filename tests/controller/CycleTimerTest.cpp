#include "bramleypath/controller/CycleTimer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <optional>

#include "bramleypath/net/Clock.h"
#include "tests/net/Loop.h"

namespace bramleypath::controller {

class CycleTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CycleTimerTest);
  CPPUNIT_TEST(testPutOffTimerIsArmedOnce);
  CPPUNIT_TEST(testEarlierTimeReplacesPendingOne);
  CPPUNIT_TEST(testDestroyedTimerIsSilent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a system call for each of the cycles that run before the
  // timer expires, and against a cycle at a time that was put off.
  void testPutOffTimerIsArmedOnce() {
    constexpr int kCycles = 1000;
    asio::io_context context;
    std::optional<TimePoint> firedFor;
    CycleTimer timer(context, [&](TimePoint aDueAt) {
      CPPUNIT_ASSERT(net::Now() >= aDueAt);
      firedFor = aDueAt;
    });
    const TimePoint start = net::Now();
    for (int cycle = 1; cycle <= kCycles; ++cycle) {
      timer.Set(start + Millis(50) + Micros(cycle), start);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, timer.Armings());
    CPPUNIT_ASSERT(net_test::RunUntil(context, [&] { return !!firedFor; }));
    CPPUNIT_ASSERT(firedFor == start + Millis(50) + Micros(kCycles));
    CPPUNIT_ASSERT(timer.Armings() <= 2);
  }

  // Guards against a cycle that waits for a later expiry, and against a timer
  // that doesn't fire again.
  void testEarlierTimeReplacesPendingOne() {
    asio::io_context context;
    int fired = 0;
    TimePoint firedFor;
    CycleTimer timer(context, [&](TimePoint aDueAt) {
      ++fired;
      firedFor = aDueAt;
    });
    const TimePoint start = net::Now();
    timer.Set(start + Seconds(3600), start);
    timer.Set(start + Millis(5), start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, timer.Armings());
    CPPUNIT_ASSERT(net_test::RunUntil(context, [&] { return fired == 1; }));
    CPPUNIT_ASSERT(firedFor == start + Millis(5));
    const TimePoint again = net::Now();
    timer.Set(again + Millis(5), again);
    CPPUNIT_ASSERT(net_test::RunUntil(context, [&] { return fired == 2; }));
    CPPUNIT_ASSERT(firedFor == again + Millis(5));
  }

  // Guards against a call into an object that is gone when its expiry was
  // already queued.
  void testDestroyedTimerIsSilent() {
    asio::io_context context;
    bool fired = false;
    {
      CycleTimer timer(context, [&](TimePoint /*aDueAt*/) { fired = true; });
      timer.Set(net::Now(), net::Now());
    }
    context.run_for(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT(!fired);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CycleTimerTest);

}  // namespace bramleypath::controller
