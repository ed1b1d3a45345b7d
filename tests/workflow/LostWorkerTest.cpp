#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

struct ChangeCase {
  const char* name;
  // After the worker is lost; then again after each period, 0: only once.
  std::int64_t firstChangeMs;
  std::int64_t periodMs;
  // Workers answer a lease renewal only after the time that it allows them.
  bool renewalsWait;
};

// Each row guards against a wait for the leases of earlier leaders that begins
// anew with a change of leader.
constexpr ChangeCase kCases[] = {
    {"changed soon after the loss", 500, 0, false},
    {"changed once the loss is known", 3000, 0, false},
    {"changed before the leases expire", 7500, 0, false},
    {"changes every 8 s", 2000, 8000, false},
    {"changes every 5 s", 2000, 5000, false},
    {"changes every 3 s", 1000, 3000, false},
    {"changed soon, renewals wait", 500, 0, true},
    {"changed later, renewals wait", 3000, 0, true},
    {"changed before the leases expire, renewals wait", 7500, 0, true},
    {"changes every 5 s, renewals wait", 2000, 5000, true},
};

constexpr std::uint64_t kSeeds = 8;
// How much longer than without a change of leader a task may wait.
constexpr Duration kTolerance = Seconds(2);
constexpr Duration kGivenUpAfter = Seconds(40);

const std::string kTask = "serving.0.0.0";

std::string WorkerOf(const CellModel& aCell) {
  for (const auto& [id, worker] : aCell.workers) {
    if (worker.up && worker.running.count(kTask) > 0) {
      return id;
    }
  }
  return "";
}

// How long the task of a lost worker waits for its next run.
Duration MeasureWait(const ChangeCase& aCase, bool aChangesLeader,
                     std::uint64_t aSeed) {
  CellModel cell(aSeed);
  cell.renewalsWait = aCase.renewalsWait;
  for (const char* const id : {"w0", "w1"}) {
    cell.AddWorker(id);
    cell.workers.at(id).endlessJob = "serving";
  }
  cell.Run(Seconds(1));
  JobSpec job = MakeJob("serving");
  job.stages = {MakeStage(1, 1000, 0)};
  job.stages[0].longRunning = true;
  cell.Submit(job);
  cell.Run(Seconds(3) + Millis(static_cast<std::int64_t>(250 * aSeed)));
  const std::string lost = WorkerOf(cell);
  CPPUNIT_ASSERT(!lost.empty());
  cell.workers.at(lost).up = false;
  const TimePoint lostAt = cell.now;
  TimePoint nextChangeAt =
      aChangesLeader ? lostAt + Millis(aCase.firstChangeMs) : kNever;
  while (WorkerOf(cell).empty() && cell.now - lostAt < kGivenUpAfter) {
    if (cell.now >= nextChangeAt) {
      cell.ChangeLeader();
      nextChangeAt =
          aCase.periodMs > 0 ? cell.now + Millis(aCase.periodMs) : kNever;
    }
    cell.Run(Millis(50));
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), cell.violations.size());
  return cell.now - lostAt;
}

}  // namespace

class LostWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostWorkerTest);
  CPPUNIT_TEST(testChangesOfLeaderDoNotProlongTheWaitForALostWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testChangesOfLeaderDoNotProlongTheWaitForALostWorker() {
    std::string failures;
    for (const ChangeCase& one : kCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Duration without = MeasureWait(one, false, seed);
        const Duration with = MeasureWait(one, true, seed);
        if (without + kTolerance < with) {
          failures += std::string(one.name) + ", seed " + std::to_string(seed) +
                      ": " + std::to_string(ToMillis(with)) + " ms, without " +
                      std::to_string(ToMillis(without)) + " ms\n";
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostWorkerTest);

}  // namespace bramleypath::workflow
