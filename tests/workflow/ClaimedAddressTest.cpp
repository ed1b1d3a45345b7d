#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr std::uint32_t kWorkers = 6;
constexpr std::uint64_t kSeeds = 10;

std::string WorkerName(std::uint32_t aIndex, std::uint32_t aLife) {
  return "w" + std::to_string(aIndex) + "-" + std::to_string(aLife);
}

CellModel MakeCell(std::uint64_t aSeed) {
  CellModel cell(aSeed);
  for (std::uint32_t index = 0; index < kWorkers; ++index) {
    cell.AddWorker(WorkerName(index, 0));
  }
  cell.Run(Seconds(2));
  return cell;
}

constexpr Duration kDown = Millis(200);

void ReplaceAll(CellModel& aCell, std::uint32_t aLife = 0) {
  for (std::uint32_t index = 0; index < kWorkers; ++index) {
    aCell.ReplaceWorker(WorkerName(index, aLife), WorkerName(index, aLife + 1),
                        kDown);
  }
}

struct ReplacedCase {
  const char* name = "";
  // From the first announcement of the successors to the job.
  std::int64_t jobAfterMs = 0;
  std::uint32_t tasks = 1;
  bool changesLeader = false;
};

constexpr ReplacedCase kReplacedCases[] = {
    {"at once", 5, 1},
    {"later", 100, 1},
    {"many tasks", 5, 4 * kWorkers},
    {"leader changes", 5, 4 * kWorkers, true},
};

struct LateCase {
  const char* name = "";
  bool isBusy = false;  // the live worker holds a renewal
  bool changesLeader = false;
  std::int64_t startsWithinMs = 0;
};

// A worker holds a renewal for at most 1.4 s, and a new leader waits for
// announcements, which come each 1.5 s.
constexpr LateCase kLateCases[] = {
    {"idle", false, false, 200},
    {"busy", true, false, 1700},
    {"leader changes", false, true, 2000},
};

// How long a job waits for its first start, up to 10 s.
Duration MeasureWait(CellModel& aCell, const std::string& aJob) {
  constexpr Duration kLongest = Seconds(10);
  const TimePoint submittedAt = aCell.now;
  while (aCell.startsOf[aJob + ".0.0.0"] == 0 &&
         aCell.now - submittedAt < kLongest) {
    aCell.Run(Millis(5));
  }
  return aCell.now - submittedAt;
}

}  // namespace

class ClaimedAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimedAddressTest);
  CPPUNIT_TEST(testNoStartGoesToAWorkerWhoseSuccessorIsKnown);
  CPPUNIT_TEST(testWorkerThatRestartsAgainIsReplacedAtOnce);
  CPPUNIT_TEST(testLateAnnouncementKeepsNoLiveWorkerOut);
  CPPUNIT_TEST(testRepeatedClaimsKeepNoLiveWorkerOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Starts went to workers that were gone, one after the other, although their
  // successors had registered at the same addresses.
  void testNoStartGoesToAWorkerWhoseSuccessorIsKnown() {
    for (const ReplacedCase& one : kReplacedCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CellModel cell = MakeCell(seed);
        cell.Run(Millis(static_cast<std::int64_t>(137 * seed)));
        ReplaceAll(cell);
        cell.Run(Millis(200 + one.jobAfterMs));
        JobSpec job = MakeJob("job");
        job.stages = {MakeStage(one.tasks, 2000, 500)};
        cell.Submit(job);
        if (one.changesLeader) {
          cell.ChangeLeader();
        }
        cell.Run(Seconds(10));
        const std::string text = Describe(one, seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0},
                                     cell.misdirectedStarts);
        CPPUNIT_ASSERT_MESSAGE(
            text, FindJob(cell.state, "job")->phase == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{kWorkers},
                                     cell.state.workers.size());
      }
    }
  }

  // The earlier life of a worker that restarted a second time within seconds
  // stayed in use for several intervals of announcements.
  void testWorkerThatRestartsAgainIsReplacedAtOnce() {
    constexpr std::uint32_t kRestarts = 5;
    constexpr Duration kReplacedWithin = Millis(100);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CellModel cell = MakeCell(seed);
      for (std::uint32_t life = 0; life < kRestarts; ++life) {
        cell.Run(Millis(static_cast<std::int64_t>(1000 + 137 * seed)));
        ReplaceAll(cell, life);
        cell.Run(kDown + kReplacedWithin);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "seed " + std::to_string(seed) + ", restart " +
                std::to_string(life + 1),
            std::size_t{kWorkers}, cell.state.workers.size());
      }
    }
  }

  // An announcement of an earlier process at its address must not keep a worker
  // out for longer than it takes to answer.
  void testLateAnnouncementKeepsNoLiveWorkerOut() {
    for (const LateCase& one : kLateCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CellModel cell(seed);
        cell.AddWorker("live");
        cell.renewalsWait = one.isBusy;
        cell.Run(Seconds(2) + Millis(static_cast<std::int64_t>(137 * seed)));
        if (one.isBusy) {
          cell.workers.at("live").endlessJob = "lasting";
          JobSpec lasting = MakeJob("lasting");
          lasting.stages[0].longRunning = true;
          cell.Submit(lasting);
          cell.Run(Seconds(3));
        }
        cell.AnnounceGone("gone", "live");
        cell.Submit(MakeJob("job"));
        if (one.changesLeader) {
          cell.ChangeLeader();
        }
        const Duration wait = MeasureWait(cell, "job");
        CPPUNIT_ASSERT_MESSAGE(
            Describe(one, seed) + ": " + std::to_string(ToMillis(wait)) + " ms",
            wait < Millis(one.startsWithinMs));
        cell.Run(Seconds(2));
        CPPUNIT_ASSERT(!FindWorker(cell.state, "gone"));
        CPPUNIT_ASSERT(FindWorker(cell.state, "live"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.violations.size());
      }
    }
  }

  // Another writer that goes on to announce workers at the address of a live
  // one, under new ids, must not keep it out for good.
  void testRepeatedClaimsKeepNoLiveWorkerOut() {
    constexpr int kJobs = 20;
    constexpr Duration kLongestWait = Millis(2500);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CellModel cell(seed);
      cell.AddWorker("live");
      cell.renewalsWait = true;
      cell.workers.at("live").endlessJob = "lasting";
      cell.Run(Seconds(2));
      JobSpec lasting = MakeJob("lasting");
      lasting.stages[0].longRunning = true;
      cell.Submit(lasting);
      cell.Run(Seconds(3));
      for (int number = 0; number < kJobs; ++number) {
        const std::string text = std::to_string(number);
        cell.AnnounceGone("gone" + text, "live");
        cell.Submit(MakeJob("job" + text));
        const Duration wait = MeasureWait(cell, "job" + text);
        CPPUNIT_ASSERT_MESSAGE(
            "seed " + std::to_string(seed) + ", job " + text + ": " +
                std::to_string(ToMillis(wait)) + " ms",
            wait < (number == 0 ? kLongestWait : Millis(300)));
        cell.Run(Millis(400));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimedAddressTest);

}  // namespace bramleypath::workflow
