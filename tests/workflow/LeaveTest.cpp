#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"
#include "tests/workflow/ServingTask.h"

namespace bramleypath::workflow {

namespace {

struct LeaveCase {
  const char* name = "";
  // How long after its leave the worker ends; -1: it runs on.
  std::int64_t endsAfterMs = 0;
  // Nothing passes between the worker and the leader from the leave on.
  bool isCutOff = false;
  // The leader changes this long after the leave; -1: it doesn't.
  std::int64_t leaderChangesAfterMs = -1;
  // The leave arrives once more after this time; -1: it doesn't.
  std::int64_t repeatedAfterMs = -1;
  // How long a stop takes.
  std::uint32_t stopMs = 0;
  // Bound of the time from the leave to the next start of the task.
  std::int64_t longestWaitMs = 0;
};

// A stop takes up to 400 ms, and the rest of a second is left for commits.
constexpr std::int64_t kLongestStop = 1400;
// A new leader places tasks on workers that have announced themselves to it,
// which takes up to an interval of 1.5 s.
constexpr std::int64_t kNewLeader = 1500;
// The longest lease of 10 s on the slowest clock, with its margin, and a sweep.
constexpr std::int64_t kLongestLease = 11000;

// Each row guards against a task that is started elsewhere while it still runs
// on the worker that leaves, and against a wait for the worker's lease where an
// earlier proof of the end can be had.
constexpr LeaveCase kCases[] = {
    {"ends at once", 0, false, -1, -1, 0, 1000},
    {"ends soon", 30, false, -1, -1, 400, 1000},
    {"acknowledgement lost", 4000, false, -1, -1, 0, 1000},
    {"acknowledgement lost, stops are slow", 4000, false, -1, -1, 400,
     kLongestStop},
    {"repeated while it runs", 4000, false, -1, 1000, 400, kLongestStop},
    {"repeated late", 4000, false, -1, 6000, 400, kLongestStop},
    {"cut off", 4000, true, -1, -1, 0, kLongestLease},
    {"cut off, runs on", -1, true, -1, -1, 0, kLongestLease},
    {"leader changes at once, ends at once", 0, false, 0, -1, 0,
     kNewLeader + 1000},
    {"leader changes at once, runs on", 4000, false, 0, -1, 400,
     kNewLeader + kLongestStop},
    {"leader changes during the stop", 4000, false, 200, -1, 400,
     kNewLeader + kLongestStop},
    {"cut off, leader changes", 4000, true, 500, -1, 0, kLongestLease},
};
constexpr std::uint64_t kSeeds = 8;

std::string Check(const LeaveCase& aCase, std::uint64_t aSeed) {
  CellModel cell(aSeed);
  StartServingTask(cell, aSeed);
  const std::string leaving = WorkerOf(cell, "");
  cell.workers.at(leaving).stopMs = aCase.stopMs;
  // Draining is known before the leave.
  cell.workers.at(leaving).spec.draining = true;
  cell.Run(Seconds(2));
  const TimePoint leftAt = cell.now;
  cell.SetPartitioned(leaving, aCase.isCutOff);
  cell.Leave(leaving);
  const auto isDue = [&](std::int64_t aAfterMs) {
    return aAfterMs >= 0 && cell.now - leftAt == Millis(aAfterMs);
  };
  while (WorkerOf(cell, leaving).empty() && cell.now - leftAt < Seconds(30)) {
    if (isDue(aCase.leaderChangesAfterMs)) {
      cell.ChangeLeader();
    }
    if (isDue(aCase.endsAfterMs)) {
      cell.EndWorker(leaving);
    }
    if (isDue(aCase.repeatedAfterMs)) {
      cell.Leave(leaving);
    }
    cell.Run(Millis(5));
  }
  const std::int64_t waitedMs = ToMillis(cell.now - leftAt);
  const std::string prefix =
      std::string(aCase.name) + ", seed " + std::to_string(aSeed) + ": ";
  if (!cell.violations.empty()) {
    return prefix + cell.violations.front() + "\n";
  }
  return waitedMs > aCase.longestWaitMs
             ? prefix + "waited " + std::to_string(waitedMs) + " ms\n"
             : "";
}

}  // namespace

class LeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaveTest);
  CPPUNIT_TEST(testTasksOfALeavingWorkerRunOnceAndSoon);
  CPPUNIT_TEST(testLateLeaveOfAnEarlierStartTakesNoTask);
  CPPUNIT_TEST(testWorkerThatGoesOnIsUsedAgain);
  CPPUNIT_TEST(testLeavingWorkerIsRemovedOnceItHasNoTask);
  CPPUNIT_TEST(testLeavingIsKeptInSnapshots);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two runs of one task when the acknowledgement of a leave is
  // lost (TWICE).
  void testTasksOfALeavingWorkerRunOnceAndSoon() {
    std::string failures;
    for (const LeaveCase& one : kCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        failures += Check(one, seed);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against a leave that arrives after the worker has started again
  // under its id, and takes the tasks of the new process away while they run
  // (TWICE).
  void testLateLeaveOfAnEarlierStartTakesNoTask() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CellModel cell(seed);
      StartServingTask(cell, seed);
      const std::string left = WorkerOf(cell, "");
      cell.RestartWorker(left);
      cell.Run(Seconds(20));
      for (auto& [id, worker] : cell.workers) {
        worker.stopMs = 400;
      }
      cell.Leave(WorkerOf(cell, ""));
      cell.Run(Seconds(10));
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           cell.violations.empty() ? "" : cell.violations[0]);
      CPPUNIT_ASSERT(!WorkerOf(cell, "").empty());
    }
    // A leave that says when its sender started is compared with the entry.
    CellModel cell(1);
    cell.AddWorker("w0");
    Worker known = *FindWorker(cell.state, "w0");
    known.spec.startedUnixMs = 1000;
    CPPUNIT_ASSERT(IsOfEarlierIncarnation(*cell.scheduler, known, 999));
    CPPUNIT_ASSERT(!IsOfEarlierIncarnation(*cell.scheduler, known, 1000));
    CPPUNIT_ASSERT(!IsOfEarlierIncarnation(*cell.scheduler, known, 0));
  }

  // Guards against a worker that is out of use for good because a leave came
  // from another writer or from an earlier process.
  void testWorkerThatGoesOnIsUsedAgain() {
    CellModel cell(1);
    StartServingTask(cell, 1);
    const std::string left = WorkerOf(cell, "");
    cell.Leave(left);
    cell.Run(Seconds(8));
    const Worker* const known = FindWorker(cell.state, left);
    CPPUNIT_ASSERT(known && !known->isLeaving && !known->spec.draining);
  }

  // Guards against workers that stay in the state for good after their leave.
  void testLeavingWorkerIsRemovedOnceItHasNoTask() {
    for (const bool ends : {false, true}) {
      CellModel cell(1);
      StartServingTask(cell, 1);
      const std::string left = WorkerOf(cell, "");
      const WorkerNumber number = FindWorker(cell.state, left)->number;
      cell.workers.at(left).spec.draining = true;
      cell.Run(Seconds(2));
      cell.Leave(left);
      if (ends) {
        cell.EndWorker(left);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), cell.state.workers.count(number));
      cell.Run(Millis(700));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), cell.state.workers.count(number));
    }
    // Without tasks, the leave removes it.
    CellModel cell(1);
    cell.AddWorker("w0");
    cell.Leave("w0");
    CPPUNIT_ASSERT(!FindWorker(cell.state, "w0"));
  }

  // Guards against a replica that restores a snapshot and gives the tasks of a
  // leaving worker up otherwise than the others.
  void testLeavingIsKeptInSnapshots() {
    CellModel cell(1);
    StartServingTask(cell, 1);
    const std::string left = WorkerOf(cell, "");
    State restored;
    std::string reason;
    CPPUNIT_ASSERT(DecodeState(EncodeState(cell.state), restored, reason));
    CPPUNIT_ASSERT(!FindWorker(restored, left)->isLeaving);
    const WorkerNumber number = FindWorker(cell.state, left)->number;
    const auto decoded = Decode(Encode(LeaveWorker{number}), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, decoded.has_value());
    Apply(restored, *decoded);
    CPPUNIT_ASSERT(DecodeState(EncodeState(restored), restored, reason));
    CPPUNIT_ASSERT(FindWorker(restored, left)->isLeaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaveTest);

}  // namespace bramleypath::workflow
