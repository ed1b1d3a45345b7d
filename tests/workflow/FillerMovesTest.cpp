#include "bramleypath/workflow/FillerMoves.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace bramleypath::workflow {

namespace {

// 700 ms and 2,000 ms until the filler works again.
constexpr MoveCosts kCheapMoves = {Millis(200), Millis(250), Millis(500)};
constexpr MoveCosts kDearMoves = {Millis(900), Millis(100), Seconds(2)};

struct MoveCase {
  const char* name;
  double remainingMs;
  double pacePercent;
  MoveCosts costs;
  bool isWorthMoving;
};

const MoveCase kMoves[] = {
    {"full pace", 10000, 100, kCheapMoves, false},
    {"slowed a little", 1000, 80, kCheapMoves, false},
    {"long run at half pace", 2000, 50, kCheapMoves, true},
    {"nearly done at half pace", 500, 50, kCheapMoves, false},
    {"nearly done and stopped", 50, 0, kCheapMoves, true},
    {"short run, moves are dear", 1400, 40, kDearMoves, false},
    {"long run, moves are dear", 5000, 40, kDearMoves, true},
    {"nothing left", 0, 0, kCheapMoves, false},
    {"very long run, slowed a little", 60000, 90, kCheapMoves, false},
};

}  // namespace

// Guards against fillers that stay on a worker where they hardly progress, and
// against moves that cost a filler more than its pace does.
class FillerMovesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FillerMovesTest);
  CPPUNIT_TEST(testCostOfAMove);
  CPPUNIT_TEST(testMoves);
  CPPUNIT_TEST(testLowerPaceNeverKeepsAFiller);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testCostOfAMove() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700, MoveMs(kCheapMoves), 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, MoveMs(kDearMoves), 1e-6);
  }

  void testMoves() {
    for (const MoveCase& one : kMoves) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          one.name, one.isWorthMoving,
          IsWorthMoving({one.remainingMs, one.pacePercent}, one.costs));
    }
  }

  void testLowerPaceNeverKeepsAFiller() {
    CPPUNIT_ASSERT(rc::check("monotone in the pace", [] {
      const SlowedFiller faster{
          static_cast<double>(*rc::gen::inRange(0, 60000)),
          static_cast<double>(*rc::gen::inRange(0, 101))};
      SlowedFiller slower = faster;
      slower.pacePercent -= *rc::gen::inRange(0, 101);
      RC_ASSERT(!IsWorthMoving(faster, kDearMoves) ||
                IsWorthMoving(slower, kDearMoves));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FillerMovesTest);

}  // namespace bramleypath::workflow
