#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

// Tests of faults that are listed in KNOWN-RED.txt.
namespace bramleypath::workflow {

namespace {

// The longest lease of 10 s by a clock that is 2 % slow, and the 3 s within
// which a long-running task has to run once it can.
constexpr Duration kLongestWait = Millis(13200);

std::string WorkerOf(const CellModel& aCell, const std::string& aTask) {
  for (const auto& [id, worker] : aCell.workers) {
    if (worker.up && worker.running.count(aTask) > 0) {
      return id;
    }
  }
  return "";
}

}  // namespace

class KnownRedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRedTest);
  CPPUNIT_TEST(testTaskOfALostWorkerRunsDespiteChangesOfLeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each leader waits anew for the leases of earlier ones, so that the task of
  // a lost worker never runs again while the leader changes every 5 s.
  void testTaskOfALostWorkerRunsDespiteChangesOfLeader() {
    CellModel cell(1);
    cell.AddWorker("w0");
    cell.AddWorker("w1");
    cell.Run(Seconds(1));
    JobSpec job = MakeJob("serving");
    job.stages = {MakeStage(1, 1000, 0)};
    job.stages[0].longRunning = true;
    cell.Submit(job);
    cell.Run(Millis(200));
    const std::string task = "serving.0.0.0";
    const std::string lost = WorkerOf(cell, task);
    CPPUNIT_ASSERT(!lost.empty());
    cell.workers.at(lost).up = false;
    const TimePoint lostAt = cell.now;
    TimePoint nextChangeAt = cell.now + Seconds(5);
    while (WorkerOf(cell, task).empty() && cell.now - lostAt < kLongestWait) {
      if (cell.now >= nextChangeAt) {
        cell.ChangeLeader();
        nextChangeAt = cell.now + Seconds(5);
      }
      cell.Run(Millis(50));
    }
    CPPUNIT_ASSERT_MESSAGE(
        "waited " + std::to_string(ToMillis(cell.now - lostAt)) + " ms",
        cell.now - lostAt < kLongestWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRedTest);

}  // namespace bramleypath::workflow
