#include "bramleypath/controller/OpenSubmissions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace bramleypath::controller {

namespace {

const JobId kJob("a");
constexpr Epoch kEpoch = 4;

OpenSubmissions Begun() {
  OpenSubmissions submissions;
  Begin(submissions, kEpoch);
  return submissions;
}

}  // namespace

class OpenSubmissionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenSubmissionsTest);
  CPPUNIT_TEST(testOpenUntilAllProposalsAreClosed);
  CPPUNIT_TEST(testOutcomeOfAnEarlierTermIsIgnored);
  CPPUNIT_TEST(testTooManyProveNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a leader that denies a job whose proposal it has not yet
  // committed.
  void testOpenUntilAllProposalsAreClosed() {
    OpenSubmissions submissions = Begun();
    CPPUNIT_ASSERT(!MayBeOpen(submissions, kJob));
    Add(submissions, kJob);
    Add(submissions, kJob);
    Close(submissions, kEpoch, kJob);
    CPPUNIT_ASSERT(MayBeOpen(submissions, kJob));
    Close(submissions, kEpoch, kJob);
    CPPUNIT_ASSERT(!MayBeOpen(submissions, kJob));
  }

  // Guards against the outcome of an earlier term, which is reported late, that
  // closes a proposal of this term.
  void testOutcomeOfAnEarlierTermIsIgnored() {
    OpenSubmissions submissions = Begun();
    Add(submissions, kJob);
    Close(submissions, kEpoch - 1, kJob);
    CPPUNIT_ASSERT(IsOpen(submissions, kJob));
    Begin(submissions, kEpoch + 1);
    CPPUNIT_ASSERT(!MayBeOpen(submissions, kJob));
  }

  // Guards against denying a job that there was no room to remember.
  void testTooManyProveNothing() {
    OpenSubmissions submissions = Begun();
    for (std::size_t i = 0; i <= kMaxOpenSubmissions; ++i) {
      Add(submissions, JobId(std::to_string(i)));
    }
    CPPUNIT_ASSERT(MayBeOpen(submissions, kJob));
    CPPUNIT_ASSERT(!IsOpen(submissions, kJob));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenSubmissionsTest);

}  // namespace bramleypath::controller
