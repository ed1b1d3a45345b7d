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
  CPPUNIT_TEST(testHintExpires);
  CPPUNIT_TEST(testOwnNameIsIgnored);
  CPPUNIT_TEST(testEmptyNameIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that keeps sending to a failed leader: after 2 s the
  // search starts again.
  void testHintExpires() {
    LeaderHint hint;
    CPPUNIT_ASSERT(HintedLeader(hint, kStart).empty());
    UpdateLeaderHint(hint, kSelf, kOther, kStart);
    CPPUNIT_ASSERT(kOther == HintedLeader(hint, kStart + Seconds(1)));
    CPPUNIT_ASSERT(HintedLeader(hint, kStart + Seconds(3)).empty());
  }

  // Guards against a former leader that lost its disk: the other hosts still
  // named it, so it sent its announcements to itself and never reached the new
  // leader.
  void testOwnNameIsIgnored() {
    LeaderHint hint;
    UpdateLeaderHint(hint, kSelf, kSelf, kStart);
    CPPUNIT_ASSERT(HintedLeader(hint, kStart).empty());
    UpdateLeaderHint(hint, kSelf, kOther, kStart);
    UpdateLeaderHint(hint, kSelf, kSelf, kStart + Millis(1900));
    CPPUNIT_ASSERT(HintedLeader(hint, kStart + Millis(2100)).empty());
  }

  void testEmptyNameIsIgnored() {
    LeaderHint hint;
    UpdateLeaderHint(hint, kSelf, kOther, kStart);
    UpdateLeaderHint(hint, kSelf, HostId(), kStart + Seconds(1));
    CPPUNIT_ASSERT(kOther == HintedLeader(hint, kStart + Seconds(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderHintTest);

}  // namespace bramleypath::controller
