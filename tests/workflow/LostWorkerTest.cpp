#include <cppunit/extensions/HelperMacros.h>

#include <iterator>
#include <string>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"
#include "tests/workflow/ServingTask.h"

namespace bramleypath::workflow {

namespace {

struct ChangeCase {
  const char* name = "";
  LeaderChange change = LeaderChange::Restart;
  // After the worker is lost; then again after each period, 0: only once.
  std::int64_t firstChangeMs = 0;
  std::int64_t periodMs = 0;
  // Workers answer a lease renewal only after the time that it allows them.
  bool renewalsWait = false;
  // A follower is restarted half a second before each change.
  bool restartsFollowers = false;
};

// Each row guards against a wait for the leases of earlier leaders that begins
// anew with a change of leader.
constexpr ChangeCase kCases[] = {
    {"changed soon after the loss", LeaderChange::Restart, 500, 0},
    {"changed once the loss is known", LeaderChange::Restart, 3000, 0},
    {"changed before the leases expire", LeaderChange::Restart, 7500, 0},
    {"changes every 8 s", LeaderChange::Restart, 2000, 8000},
    {"changes every 5 s", LeaderChange::Restart, 2000, 5000},
    {"changes every 3 s", LeaderChange::Restart, 1000, 3000},
    {"changed soon, renewals wait", LeaderChange::Restart, 500, 0, true},
    {"changed later, renewals wait", LeaderChange::Restart, 3000, 0, true},
    {"changed before the leases expire, renewals wait", LeaderChange::Restart,
     7500, 0, true},
    {"changes every 5 s, renewals wait", LeaderChange::Restart, 2000, 5000,
     true},
    {"frozen soon after the loss", LeaderChange::Freeze, 500, 0},
    {"frozen every 3 s", LeaderChange::Freeze, 1000, 3000},
    {"rolling restart", LeaderChange::Restart, 2000, 1500},
    {"changes every 3 s, followers restart", LeaderChange::Restart, 1000, 3000,
     false, true},
    {"hosts replaced every 3 s", LeaderChange::Replace, 1000, 3000},
    {"hosts replaced every 2 s, followers restart", LeaderChange::Replace, 1500,
     2000, true, true},
};

constexpr std::uint64_t kSeeds = 8;
// How much longer than without a change of leader a task may wait.
constexpr Duration kTolerance = Seconds(2);
constexpr Duration kGivenUpAfter = Seconds(40);

// Cuts off the worker of the task, which runs on until its lease has expired,
// and returns how long the task waits for its next run.
Duration MeasureWait(const ChangeCase& aCase, bool aChangesLeader,
                     std::uint64_t aSeed) {
  CellModel cell(aSeed);
  cell.renewalsWait = aCase.renewalsWait;
  StartServingTask(cell, aSeed);
  const std::string lost = WorkerOf(cell, "");
  CPPUNIT_ASSERT(!lost.empty());
  cell.SetPartitioned(lost, true);
  const TimePoint lostAt = cell.now;
  TimePoint nextChangeAt =
      aChangesLeader ? lostAt + Millis(aCase.firstChangeMs) : kNever;
  constexpr Duration kFollowerFirst = Millis(500);
  bool isFollowerDue = aCase.restartsFollowers;
  while (WorkerOf(cell, lost).empty() && cell.now - lostAt < kGivenUpAfter) {
    if (isFollowerDue && cell.now + kFollowerFirst >= nextChangeAt) {
      cell.RestartFollower();
      isFollowerDue = false;
    }
    if (cell.now >= nextChangeAt) {
      cell.ChangeLeader(aCase.change);
      nextChangeAt =
          aCase.periodMs > 0 ? cell.now + Millis(aCase.periodMs) : kNever;
      isFollowerDue = aCase.restartsFollowers;
    }
    cell.Run(Millis(50));
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
      std::string(aCase.name) + ", seed " + std::to_string(aSeed),
      std::string(), cell.violations.empty() ? "" : cell.violations.front());
  return cell.now - lostAt;
}

// What is wrong if the wait is longer with the changes than without them.
std::string FindLongerWait(const ChangeCase& aCase, std::uint64_t aSeed) {
  const Duration without = MeasureWait(aCase, false, aSeed);
  const Duration with = MeasureWait(aCase, true, aSeed);
  if (!(without + kTolerance < with)) {
    return "";
  }
  return std::string(aCase.name) + ", seed " + std::to_string(aSeed) + ": " +
         std::to_string(ToMillis(with)) + " ms, without " +
         std::to_string(ToMillis(without)) + " ms\n";
}

ChangeCase DrawCase(Random& aRandom) {
  constexpr LeaderChange kChanges[] = {
      LeaderChange::Restart, LeaderChange::Freeze, LeaderChange::Replace};
  const auto draw = [&](std::uint64_t aLimit) {
    return static_cast<std::int64_t>(NextBelow(aRandom, aLimit));
  };
  ChangeCase one;
  one.name = "random";
  one.change = kChanges[NextBelow(aRandom, std::size(kChanges))];
  constexpr std::uint64_t kLatestChangeMs = 9000;
  one.firstChangeMs = draw(kLatestChangeMs);
  one.periodMs = 1500 + draw(kLatestChangeMs);
  one.renewalsWait = draw(2) == 0;
  one.restartsFollowers = draw(2) == 0;
  return one;
}

}  // namespace

class LostWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostWorkerTest);
  CPPUNIT_TEST(testChangesOfLeaderDoNotProlongTheWaitForALostWorker);
  CPPUNIT_TEST(testTaskOfALostWorkerRunsDespiteChangesOfLeader);
  CPPUNIT_TEST(testRandomChangesDoNotProlongTheWait);
  CPPUNIT_TEST(testNoLeaseOutlastsItsPermit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testChangesOfLeaderDoNotProlongTheWaitForALostWorker() {
    std::string failures;
    for (const ChangeCase& one : kCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        failures += FindLongerWait(one, seed);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against a task that never runs again while the leader changes more
  // often than leases expire.
  void testTaskOfALostWorkerRunsDespiteChangesOfLeader() {
    // The longest lease of 10 s by a clock that is 2 % slow, and the 3 s within
    // which a long-running task has to run once it can.
    constexpr Duration kLongestWait = Millis(13200);
    const ChangeCase everyFiveSeconds{"changes every 5 s",
                                      LeaderChange::Restart, 5000, 5000};
    const Duration waited = MeasureWait(everyFiveSeconds, true, 1);
    CPPUNIT_ASSERT_MESSAGE("waited " + std::to_string(ToMillis(waited)) + " ms",
                           waited < kLongestWait);
  }

  void testRandomChangesDoNotProlongTheWait() {
    constexpr std::uint64_t kRandomSeeds = 60;
    std::string failures;
    for (std::uint64_t seed = 1; seed <= kRandomSeeds; ++seed) {
      Random random{seed};
      const ChangeCase one = DrawCase(random);
      failures += FindLongerWait(one, seed);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against a task that runs on two workers: while the log stalls, the
  // other replicas don't learn of the leases that the leader grants.
  void testNoLeaseOutlastsItsPermit() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CellModel cell(seed);
      StartServingTask(cell, seed);
      const std::string lost = WorkerOf(cell, "");
      cell.StallLog(Seconds(60));
      cell.Run(Seconds(4));
      cell.SetPartitioned(lost, true);
      cell.StallLog(Duration());
      cell.ChangeLeader();
      cell.Run(Seconds(20));
      CPPUNIT_ASSERT(!WorkerOf(cell, lost).empty());
      CPPUNIT_ASSERT_EQUAL(std::string(), cell.violations.empty()
                                              ? std::string()
                                              : cell.violations.front());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostWorkerTest);

}  // namespace bramleypath::workflow
