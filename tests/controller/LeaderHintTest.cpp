#include "bramleypath/controller/LeaderHint.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bramleypath::controller {

namespace {

const TimePoint kStart{1000 * 1000};
const HostId kSelf("10.0.0.1");
const HostId kOther("10.0.0.2");

}  // namespace

class LeaderHintTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderHintTest);
  CPPUNIT_TEST(testHintIsForgotten);
  CPPUNIT_TEST(testOwnNameIsNoHint);
  CPPUNIT_TEST(testNoNameIsNoHint);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A leader that died must be looked for again.
  void testHintIsForgotten() {
    LeaderHint hint;
    CPPUNIT_ASSERT(HintedLeader(hint, kStart).empty());
    TakeHint(hint, kSelf, kOther, kStart);
    CPPUNIT_ASSERT(kOther == HintedLeader(hint, kStart + Seconds(1)));
    CPPUNIT_ASSERT(HintedLeader(hint, kStart + Seconds(3)).empty());
  }

  // A leader that lost its disk was told by the others that it leads, and never
  // reached the one that followed it.
  void testOwnNameIsNoHint() {
    LeaderHint hint;
    TakeHint(hint, kSelf, kSelf, kStart);
    CPPUNIT_ASSERT(HintedLeader(hint, kStart).empty());
    TakeHint(hint, kSelf, kOther, kStart);
    TakeHint(hint, kSelf, kSelf, kStart + Millis(1900));
    CPPUNIT_ASSERT(HintedLeader(hint, kStart + Millis(2100)).empty());
  }

  void testNoNameIsNoHint() {
    LeaderHint hint;
    TakeHint(hint, kSelf, kOther, kStart);
    TakeHint(hint, kSelf, HostId(), kStart + Seconds(1));
    CPPUNIT_ASSERT(kOther == HintedLeader(hint, kStart + Seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderHintTest);

}  // namespace bramleypath::controller
