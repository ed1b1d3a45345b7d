#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "bramleypath/workflow/Announcements.h"
#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr Resources kLarge{8000, 8000, 0};
constexpr Resources kSmall{2000, 8000, 0};

CellModel MakeCell(int aWorkers) {
  CellModel cell(1);
  for (int worker = 0; worker < aWorkers; ++worker) {
    cell.AddWorker("w" + std::to_string(worker));
  }
  cell.Run(Seconds(1));
  return cell;
}

JobSpec MakeLargeJob(const std::string& aId) {
  JobSpec spec = MakeJob(aId);
  spec.stages = {MakeStage(1, 5000, 300)};
  return spec;
}

Resources KnownCapacity(const CellModel& aCell, const std::string& aWorker) {
  return FindWorker(aCell.state, aWorker)->spec.capacity;
}

struct Report {
  std::uint64_t sequence;
  std::int64_t processorsMilli;
};

struct OrderCase {
  const char* name;
  // The leader has just taken over, so that it has seen none of the earlier
  // announcements of the worker.
  bool isNewLeader;
  std::int64_t before;  // processors in the replicated entry
  std::vector<Report> reports;
  std::int64_t expected;
};

// Each row guards against a capacity that is ignored, or against a late
// announcement that restores an earlier, larger one.
const OrderCase kOrders[] = {
    {"shrinks", false, 8000, {{4, 2000}}, 2000},
    {"grows", false, 2000, {{4, 2000}, {5, 8000}}, 8000},
    {"late one after a shrink", false, 8000, {{5, 2000}, {4, 8000}}, 2000},
    {"late one after no change", false, 2000, {{9, 2000}, {6, 8000}}, 2000},
    {"late one after a growth", false, 2000, {{9, 8000}, {6, 2000}}, 8000},
    {"shrinks under a new leader", true, 8000, {{5, 2000}}, 2000},
    {"late one at a new leader", true, 2000, {{6, 8000}, {9, 2000}}, 2000},
    {"grows under a new leader", true, 2000, {{9, 8000}, {10, 8000}}, 8000},
    {"the same one twice at a new leader",
     true,
     2000,
     {{6, 8000}, {6, 8000}},
     2000},
};

State MakeOrderState(const OrderCase& aCase) {
  WorkerSpec worker = MakeWorker("w");
  worker.capacity.processorsMilli = aCase.before;
  State state;
  Apply(state, SetLayout{MakeLayout(1)});
  Apply(state, RegisterWorker{worker});
  return state;
}

std::int64_t CapacityAfter(const OrderCase& aCase) {
  constexpr TimePoint kBegin{1000 * 1000};
  State state = MakeOrderState(aCase);
  Scheduler scheduler =
      MakeScheduler(SchedulerSettings(), 1, aCase.isNewLeader ? state : State(),
                    LeaseEnds(), 1, kBegin);
  TimePoint now = kBegin;
  for (const Report& report : aCase.reports) {
    now = now + Millis(100);
    OnStateChanged(scheduler, state, now);
    Announcement announcement{MakeWorker("w"), report.sequence, 0};
    announcement.worker.capacity.processorsMilli = report.processorsMilli;
    const auto changed = SpecToCommit(scheduler, state, announcement, now);
    if (changed) {
      Apply(state, RegisterWorker{*changed});
    }
  }
  return FindWorker(state, "w")->spec.capacity.processorsMilli;
}

}  // namespace

class CapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityTest);
  CPPUNIT_TEST(testAnnouncementsAreOrdered);
  CPPUNIT_TEST(testChangedCapacityIsKnownWithTheNextAnnouncement);
  CPPUNIT_TEST(testChangedLabelsAreKnown);
  CPPUNIT_TEST(testQueuedStartIsCheckedAgainstTheShrunkCapacity);
  CPPUNIT_TEST(testQueuedStartIsNotSentToADrainingWorker);
  CPPUNIT_TEST(testQueuedStartIsNotSentWithoutTheLabel);
  CPPUNIT_TEST(testGangMembersCountUntilTheirEnd);
  CPPUNIT_TEST(testWorkerRestartedAsASmallerKind);
  CPPUNIT_TEST(testWorkerRestartedAfterDrainingIsUsedAgain);
  CPPUNIT_TEST(testWorkerThatShrinksWhileCutOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testAnnouncementsAreOrdered() {
    for (const OrderCase& one : kOrders) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, CapacityAfter(one));
    }
  }

  void testChangedCapacityIsKnownWithTheNextAnnouncement() {
    CellModel cell = MakeCell(1);
    SetCapacity(cell.workers.at("w0"), kSmall, cell.now);
    cell.Run(Millis(1600));
    CPPUNIT_ASSERT(KnownCapacity(cell, "w0") == kSmall);
    SetCapacity(cell.workers.at("w0"), kLarge, cell.now);
    cell.Run(Millis(1600));
    CPPUNIT_ASSERT(KnownCapacity(cell, "w0") == kLarge);
  }

  // A label that was known too late led to starts on workers without it.
  void testChangedLabelsAreKnown() {
    CellModel cell = MakeCell(1);
    cell.workers.at("w0").spec.labels = {"b", "r1"};
    cell.Run(Millis(1600));
    CPPUNIT_ASSERT(FindWorker(cell.state, "w0")->spec.labels ==
                   cell.workers.at("w0").spec.labels);
  }

  // The start waits while its worker shrinks; it runs on another worker.
  void testQueuedStartIsCheckedAgainstTheShrunkCapacity() {
    CellModel cell = MakeCell(1);
    cell.SetLeaderLate(true);
    cell.Submit(MakeLargeJob("job"));
    cell.Run(Millis(200));
    SetCapacity(cell.workers.at("w0"), kSmall, cell.now);
    cell.Run(Seconds(6));
    cell.AddWorker("w1");
    cell.SetLeaderLate(false);
    cell.Run(Seconds(4));
    CPPUNIT_ASSERT(cell.violations.empty());
    CPPUNIT_ASSERT(FindJob(cell.state, "job")->phase == JobPhase::Completed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cell.starts);
  }

  void testQueuedStartIsNotSentToADrainingWorker() {
    CellModel cell = MakeCell(1);
    cell.SetLeaderLate(true);
    cell.Submit(MakeLargeJob("job"));
    cell.Run(Millis(200));
    cell.workers.at("w0").spec.draining = true;
    cell.Run(Seconds(2));
    cell.SetLeaderLate(false);
    cell.Run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.starts);
    cell.AddWorker("w1");
    cell.Run(Seconds(4));
    CPPUNIT_ASSERT(FindJob(cell.state, "job")->phase == JobPhase::Completed);
  }

  void testQueuedStartIsNotSentWithoutTheLabel() {
    CellModel cell = MakeCell(1);
    cell.SetLeaderLate(true);
    JobSpec spec = MakeLargeJob("job");
    spec.stages[0].requiredLabel = "a";
    cell.Submit(spec);
    cell.Run(Millis(200));
    cell.workers.at("w0").spec.labels = {"b", "r1"};
    cell.Run(Seconds(2));
    cell.SetLeaderLate(false);
    cell.Run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.starts);
  }

  // The first end of a gang released what its other members still used.
  void testGangMembersCountUntilTheirEnd() {
    CellModel cell = MakeCell(2);
    cell.workers.at("w1").runMs = 3000;
    cell.workers.at("w1").stopMs = 500;
    JobSpec gang = MakeLargeJob("gang");
    gang.stages[0].tasks = 2;
    gang.stages[0].gang = true;
    cell.Submit(gang);
    for (int job = 0; job < 4; ++job) {
      cell.Submit(MakeLargeJob("job" + std::to_string(job)));
    }
    cell.Run(Seconds(15));
    CPPUNIT_ASSERT(cell.violations.empty());
    for (const auto& [number, job] : cell.state.jobs) {
      CPPUNIT_ASSERT(job.phase == JobPhase::Completed);
    }
  }

  // The incarnation was registered with the capacity of its predecessor when it
  // answered a renewal before its first announcement, and kept it.
  void testWorkerRestartedAsASmallerKind() {
    CellModel cell = MakeCell(1);
    cell.Run(Millis(600));
    cell.Submit(MakeJob("before"));
    cell.Run(Millis(100));
    cell.RestartWorkerAs("w0", kSmall);
    cell.Run(Millis(700));
    CPPUNIT_ASSERT(FindWorker(cell.state, "w0")->spec.startedUnixMs ==
                   cell.workers.at("w0").spec.startedUnixMs);
    CPPUNIT_ASSERT(KnownCapacity(cell, "w0") == Resources());
    for (int second = 0; second < 20; ++second) {
      cell.Submit(MakeLargeJob("job" + std::to_string(second)));
      cell.Run(Seconds(1));
    }
    CPPUNIT_ASSERT(cell.violations.empty());
    CPPUNIT_ASSERT(KnownCapacity(cell, "w0") == kSmall);
    CPPUNIT_ASSERT(FindJob(cell.state, "before")->phase == JobPhase::Completed);
  }

  // It copied the predecessor's state of draining, which never ends.
  void testWorkerRestartedAfterDrainingIsUsedAgain() {
    CellModel cell = MakeCell(1);
    cell.workers.at("w0").runMs = 2000;
    cell.Submit(MakeJob("before"));
    cell.Run(Millis(100));
    cell.workers.at("w0").spec.draining = true;
    cell.Run(Millis(600));
    cell.workers.at("w0").spec.draining = false;
    cell.RestartWorkerAs("w0", kLarge);
    cell.Run(Seconds(30));
    CPPUNIT_ASSERT(!FindWorker(cell.state, "w0")->spec.draining);
    CPPUNIT_ASSERT(FindJob(cell.state, "before")->phase == JobPhase::Completed);
  }

  // The worker answers renewals again before it announces itself.
  void testWorkerThatShrinksWhileCutOff() {
    CellModel cell = MakeCell(1);
    cell.Run(Millis(600));
    cell.SetPartitioned("w0", true);
    cell.Run(Millis(500));
    SetCapacity(cell.workers.at("w0"), kSmall, cell.now);
    cell.Submit(MakeLargeJob("job"));
    cell.Run(Millis(5400));
    cell.SetPartitioned("w0", false);
    cell.Run(Seconds(6));
    CPPUNIT_ASSERT(cell.violations.empty());
    CPPUNIT_ASSERT(KnownCapacity(cell, "w0") == kSmall);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityTest);

}  // namespace bramleypath::workflow
