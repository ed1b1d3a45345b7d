#include "bramleypath/workflow/BacklogAhead.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace bramleypath::workflow {

namespace {

// The second job has no waiting work.
const std::vector<OrderedWork> kJobs = {{10, 100, 5}, {20, 0, 7}, {30, 50, 0}};

struct AheadCase {
  const char* name;
  double rank;
  double work;
};

const AheadCase kCases[] = {
    {"before all", 0, 12},   {"with the rank of a job", 10, 12},
    {"between", 15, 112},    {"with the rank of the last job", 30, 112},
    {"behind all", 31, 162},
};

}  // namespace

class BacklogAheadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BacklogAheadTest);
  CPPUNIT_TEST(testWorkAhead);
  CPPUNIT_TEST(testNothingIsAheadInAnEmptyCell);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Placed work counts for all, waiting work only for those behind it.
  void testWorkAhead() {
    const BacklogAhead backlog = SumBacklog(kJobs);
    for (const AheadCase& one : kCases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.work,
                                   WorkAhead(backlog, one.rank));
    }
  }

  void testNothingIsAheadInAnEmptyCell() {
    CPPUNIT_ASSERT_EQUAL(0.0, WorkAhead(BacklogAhead(), 5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BacklogAheadTest);

}  // namespace bramleypath::workflow
