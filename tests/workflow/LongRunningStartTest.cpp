#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

// A task of a long-running job that could run must run after this time.
constexpr Duration kLongestWait = Seconds(3);
constexpr std::uint32_t kRunMs = 600000;

CellModel MakeCell(int aWorkers) {
  CellModel cell(1);
  for (int worker = 0; worker < aWorkers; ++worker) {
    const std::string id = "w" + std::to_string(worker);
    cell.AddWorker(id);
    cell.workers.at(id).runMs = kRunMs;
  }
  cell.Run(Seconds(1));
  return cell;
}

JobSpec MakeLongRunningJob(const std::string& aId) {
  JobSpec spec = MakeJob(aId);
  spec.stages = {MakeStage(1, 1000, 0)};
  spec.stages[0].longRunning = true;
  return spec;
}

bool IsRunning(const CellModel& aCell, const std::string& aJob) {
  return std::any_of(aCell.workers.begin(), aCell.workers.end(),
                     [&](const auto& aWorker) {
                       return aWorker.second.running.count(aJob + ".0.0.0") > 0;
                     });
}

const TaskState& TaskOf(const CellModel& aCell, const std::string& aJob) {
  return FindJob(aCell.state, aJob)->occurrences.at(0).stages[0].tasks[0];
}

// Runs the cell until the job's task runs, for up to aLongest. Returns the time
// that it took.
Duration RunUntilRunning(CellModel& aCell, const std::string& aJob,
                         Duration aLongest) {
  const TimePoint begin = aCell.now;
  while (!IsRunning(aCell, aJob) && aCell.now - begin < aLongest) {
    aCell.Run(Millis(5));
  }
  return aCell.now - begin;
}

void AssertRunsInTime(CellModel& aCell, const std::string& aJob) {
  const Duration took = RunUntilRunning(aCell, aJob, Seconds(20));
  CPPUNIT_ASSERT_MESSAGE("waited " + std::to_string(ToMillis(took)) + " ms",
                         took < kLongestWait);
}

// Lets the leader place the job's task while it is too late to send starts.
void PlaceWithoutStart(CellModel& aCell, const std::string& aJob) {
  aCell.faults.startTooLate = 1;
  aCell.Submit(MakeLongRunningJob(aJob));
  aCell.Run(Millis(700));
  CPPUNIT_ASSERT(TaskOf(aCell, aJob).phase == TaskPhase::Placed);
  CPPUNIT_ASSERT(!IsRunning(aCell, aJob));
}

// Whether a wait was recorded with this text.
bool IsExplained(const CellModel& aCell, const std::string& aText) {
  return std::any_of(aCell.decisions.begin(), aCell.decisions.end(),
                     [&](const DecisionRecord& aDecision) {
                       return aDecision.event == "long_running_waits" &&
                              aDecision.detail.find(aText) != std::string::npos;
                     });
}

}  // namespace

class LongRunningStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LongRunningStartTest);
  CPPUNIT_TEST(testLostStartIsResolvedWhileRenewalsWait);
  CPPUNIT_TEST(testAvoidedWorkerTakesATaskThatFitsNowhereElse);
  CPPUNIT_TEST(testAvoidedWorkerTakesATaskBesideAShortOne);
  CPPUNIT_TEST(testChangesOfLeaderUseUpNoAttempt);
  CPPUNIT_TEST(testFullStartQueueDoesNotDelayALongRunningTask);
  CPPUNIT_TEST(testNewLeaderFirstRenewsWorkersWithLongRunningTasks);
  CPPUNIT_TEST(testDelayedFirstRenewalsDoNotHoldBackOthers);
  CPPUNIT_TEST(testDelayedStartIsNotSentToADrainingWorker);
  CPPUNIT_TEST(testTakenOverStartIsNotSentToAChangedWorker);
  CPPUNIT_TEST(testAttemptOfAnEarlierIncarnationIsNotStartedAgain);
  CPPUNIT_TEST(testUnresolvedAttemptDoesNotHoldBackRenewals);
  CPPUNIT_TEST(testQueuedStartDoesNotShortenRenewals);
  CPPUNIT_TEST(testStaleAttemptDoesNotHideAPlacementThatIsAppliedLate);
  CPPUNIT_TEST(testRefusedStartGoesToAnotherWorker);
  CPPUNIT_TEST(testTaskStartsOnceALateLeaderIsInTime);
  CPPUNIT_TEST(testWaitingTaskIsExplained);
  CPPUNIT_TEST(testLatePlacementOnAWorkerNeverHeardFromIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A renewal that the worker may answer after seconds was the only evidence on
  // an unanswered start, and on the stop that followed it.
  void testLostStartIsResolvedWhileRenewalsWait() {
    for (const bool isBusy : {false, true}) {
      CellModel cell = MakeCell(2);
      cell.renewalsWait = true;
      if (isBusy) {
        // One task on each worker.
        cell.Submit(MakeLongRunningJob("other0"));
        cell.Submit(MakeLongRunningJob("other1"));
        cell.Run(Seconds(3));
      }
      cell.faults.startLost = 1;
      cell.Submit(MakeLongRunningJob("job"));
      cell.Run(Millis(100));
      cell.faults.startLost = 0;
      AssertRunsInTime(cell, "job");
      CPPUNIT_ASSERT(cell.violations.empty());
    }
  }

  // While all workers with room were avoided, for seconds after a start without
  // an answer or after failures, the task waited.
  void testAvoidedWorkerTakesATaskThatFitsNowhereElse() {
    CellModel cell = MakeCell(1);
    cell.renewalsWait = true;
    cell.faults.startLost = 1;
    cell.Submit(MakeLongRunningJob("job"));
    cell.Run(Millis(100));
    cell.faults.startLost = 0;
    AssertRunsInTime(cell, "job");
    CPPUNIT_ASSERT(cell.violations.empty());
  }

  // A short task that fits on no worker that isn't avoided hid that a
  // long-running one fits on an avoided worker.
  void testAvoidedWorkerTakesATaskBesideAShortOne() {
    CellModel cell = MakeCell(1);
    cell.scheduler->sessions.begin()->second.avoidUntil =
        cell.now + Seconds(12);
    JobSpec spec = MakeJob("job");
    spec.stages = {MakeStage(1, 1000, 500), MakeStage(1, 1000, 0)};
    spec.stages[1].longRunning = true;
    cell.Submit(spec);
    cell.Run(kLongestWait);
    CPPUNIT_ASSERT(cell.workers.at("w0").running.count("job.0.1.0") > 0);
  }

  // Each new leader ended the placements of the one before whose starts had not
  // been sent, and lost the next placement with its own leadership.
  void testChangesOfLeaderUseUpNoAttempt() {
    CellModel cell = MakeCell(3);
    cell.commitDelay = Millis(400);
    PlaceWithoutStart(cell, "job");
    for (int leader = 0; leader < 10; ++leader) {
      cell.ChangeLeader();
      cell.Run(Millis(1500));
    }
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{1}, TaskOf(cell, "job").attempt);
    cell.faults.startTooLate = 0;
    cell.ChangeLeader();
    AssertRunsInTime(cell, "job");
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{1}, TaskOf(cell, "job").attempt);
    CPPUNIT_ASSERT(cell.violations.empty());
  }

  // The start of a long-running task waited for room in the start window and
  // then behind all starts of short tasks.
  void testFullStartQueueDoesNotDelayALongRunningTask() {
    CellModel cell = MakeCell(80);
    cell.startDelay = Millis(1100);
    for (int job = 0; job < 60; ++job) {
      JobSpec spec = MakeJob("short" + std::to_string(job));
      spec.stages = {MakeStage(10, 500, 500)};
      cell.Submit(spec);
    }
    cell.Run(Millis(100));
    cell.Submit(MakeLongRunningJob("job"));
    AssertRunsInTime(cell, "job");
  }

  // The renewals of a new leader went out in the order of the workers' numbers,
  // a bounded number at a time, so that those of a late leader took seconds to
  // reach the workers with long-running tasks.
  void testNewLeaderFirstRenewsWorkersWithLongRunningTasks() {
    CellModel cell = MakeCell(100);
    for (int worker = 0; worker < 99; ++worker) {
      cell.SetPartitioned("w" + std::to_string(worker), true);
    }
    cell.Run(Seconds(6));
    cell.Submit(MakeLongRunningJob("job"));
    cell.Run(Seconds(1));
    CPPUNIT_ASSERT(IsRunning(cell, "job"));
    cell.ChangeLeader();
    const SchedulerActions actions =
        OnTick(*cell.scheduler, cell.state, cell.now, cell.UnixMs());
    const auto renewal = std::find_if(
        actions.begin(), actions.end(), [](const SchedulerAction& aAction) {
          return std::holds_alternative<SendLeaseRenewal>(aAction);
        });
    CPPUNIT_ASSERT(renewal != actions.end());
    CPPUNIT_ASSERT_EQUAL(TaskOf(cell, "job").worker,
                         std::get<SendLeaseRenewal>(*renewal).worker);
  }

  // First renewals that the leader was too late to send were tried again before
  // all others, so that workers without long-running tasks got none.
  void testDelayedFirstRenewalsDoNotHoldBackOthers() {
    constexpr int kWorkers = 100;
    CellModel cell = MakeCell(kWorkers);
    JobSpec spec = MakeLongRunningJob("job");
    spec.stages[0].tasks = 80;
    spec.stages[0].maxPerWorker = 1;
    cell.Submit(spec);
    cell.Run(Seconds(1));
    cell.SetLeaderLate(true);
    cell.ChangeLeader();
    std::set<WorkerNumber> renewed;
    for (int step = 0; step < 1000; ++step) {
      cell.Run(Millis(5));
      for (const auto& [number, session] : cell.scheduler->sessions) {
        if (cell.scheduler->sessionsWithoutRenewal.count(number) == 0) {
          renewed.insert(number);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kWorkers}, renewed.size());
  }

  // A start that waited for a late leader was sent to a worker that had begun
  // to drain meanwhile.
  void testDelayedStartIsNotSentToADrainingWorker() {
    CellModel cell = MakeCell(2);
    PlaceWithoutStart(cell, "job");
    const std::string id =
        cell.state.workers.at(TaskOf(cell, "job").worker).spec.id.value;
    WorkerSpec draining = cell.workers.at(id).spec;
    draining.draining = true;
    Apply(cell.state, RegisterWorker{draining});
    OnStateChanged(*cell.scheduler, cell.state, cell.now);
    cell.faults.startTooLate = 0;
    AssertRunsInTime(cell, "job");
    CPPUNIT_ASSERT(cell.workers.at(id).running.empty());
  }

  // A new leader started what its predecessor had placed on a worker that has
  // become smaller meanwhile, or has restarted without the required label.
  void testTakenOverStartIsNotSentToAChangedWorker() {
    struct Case {
      const char* change;
      bool restarts;
      std::vector<std::string> labels;
      Resources capacity;
    };
    const Case cases[] = {
        {"smaller", false, {"a", "r1"}, Resources{500, 8000, 0}},
        {"restarted smaller", true, {"a", "r1"}, Resources{500, 8000, 0}},
        {"restarted without label", true, {"r1"}, Resources{8000, 8000, 0}}};
    for (const Case& one : cases) {
      CellModel cell = MakeCell(1);
      cell.faults.startTooLate = 1;
      JobSpec spec = MakeLongRunningJob("job");
      spec.stages[0].requiredLabel = "a";
      cell.Submit(spec);
      cell.Run(Millis(700));
      CPPUNIT_ASSERT(TaskOf(cell, "job").phase == TaskPhase::Placed);
      cell.workers.at("w0").spec.labels = one.labels;
      cell.workers.at("w0").spec.capacity = one.capacity;
      if (one.restarts) {
        cell.RestartWorker("w0");
      } else {
        Apply(cell.state, RegisterWorker{cell.workers.at("w0").spec});
      }
      cell.faults.startTooLate = 0;
      cell.ChangeLeader();
      cell.Run(Seconds(3));
      CPPUNIT_ASSERT_MESSAGE(one.change, !IsRunning(cell, "job"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.change, std::size_t{0},
                                   cell.violations.size());
    }
  }

  // A new leader started an attempt again that had run on its worker before the
  // worker restarted, so that two starts had the same number.
  void testAttemptOfAnEarlierIncarnationIsNotStartedAgain() {
    CellModel cell = MakeCell(1);
    cell.Submit(MakeLongRunningJob("job"));
    cell.Run(Millis(500));
    CPPUNIT_ASSERT(IsRunning(cell, "job"));
    cell.RestartWorker("w0");
    cell.ChangeLeader();
    AssertRunsInTime(cell, "job");
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{2}, TaskOf(cell, "job").attempt);
  }

  // A worker with an attempt that waits for its list got no renewal at all
  // while renewals that are answered at once were at their bound, so that the
  // leases of its other tasks expired.
  void testUnresolvedAttemptDoesNotHoldBackRenewals() {
    CellModel cell = MakeCell(1);
    cell.Submit(MakeLongRunningJob("other"));
    cell.Run(Seconds(1));
    CPPUNIT_ASSERT(IsRunning(cell, "other"));
    cell.faults.startLost = 1;
    cell.Submit(MakeLongRunningJob("job"));
    cell.Run(Millis(100));
    // As many as never end during the test.
    constexpr std::uint32_t kRenewalsOfOthers = 1000;
    cell.scheduler->promptRenewalsInFlight += kRenewalsOfOthers;
    cell.Run(Seconds(20));
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{1}, TaskOf(cell, "other").attempt);
    CPPUNIT_ASSERT(IsRunning(cell, "other"));
  }

  // A start that waits in the leader's queue made the renewals of its worker
  // short, although no list can tell anything about it. After a change of
  // leader or under load that holds for most workers at once.
  void testQueuedStartDoesNotShortenRenewals() {
    CellModel cell = MakeCell(1);
    cell.renewalsWait = true;
    cell.Submit(MakeLongRunningJob("other"));
    cell.Run(Seconds(3));
    constexpr std::uint32_t kStartsOfOthers = 160;
    cell.scheduler->startsInFlight += kStartsOfOthers;
    cell.Submit(MakeLongRunningJob("job"));
    for (int step = 0; step < 400; ++step) {
      cell.Run(Millis(5));
      CPPUNIT_ASSERT_EQUAL(0U, cell.scheduler->promptRenewalsInFlight);
    }
    CPPUNIT_ASSERT(TaskOf(cell, "job").phase == TaskPhase::Placed);
  }

  // The leader's entry of an attempt that had ended hid a later placement whose
  // commit was reported as failed, so that it was never started.
  void testStaleAttemptDoesNotHideAPlacementThatIsAppliedLate() {
    CellModel cell = MakeCell(2);
    cell.Submit(MakeLongRunningJob("job"));
    cell.Run(Millis(500));
    CPPUNIT_ASSERT(IsRunning(cell, "job"));
    const Job& job = *FindJob(cell.state, "job");
    const TaskKey key{job.number, 0, 0, 0};
    const WorkerNumber worker = TaskOf(cell, "job").worker;
    const std::string id = cell.state.workers.at(worker).spec.id.value;
    cell.SetPartitioned(id, true);
    cell.Run(Seconds(2));
    cell.workers.at(id).running.clear();
    Apply(cell.state, EndTasks{{EndedTask{key, 1, EndKind::LeaseExpired, ""}}});
    Apply(cell.state, PlaceTasks{{PlacedTask{key, 2, worker}}});
    cell.SetPartitioned(id, false);
    AssertRunsInTime(cell, "job");
    CPPUNIT_ASSERT(cell.violations.empty());
  }

  // The worker that costs least refuses each start; the task must not wait for
  // it.
  void testRefusedStartGoesToAnotherWorker() {
    CellModel cell = MakeCell(3);
    cell.workers.at("w0").refusesStarts = true;
    cell.workers.at("w1").refusesStarts = true;
    cell.Submit(MakeLongRunningJob("job"));
    AssertRunsInTime(cell, "job");
  }

  // A leader that is late for longer than its leases last must start the task
  // soon after it is in time.
  void testTaskStartsOnceALateLeaderIsInTime() {
    CellModel cell = MakeCell(3);
    cell.SetLeaderLate(true);
    cell.Submit(MakeLongRunningJob("job"));
    cell.Run(Seconds(30));
    cell.SetLeaderLate(false);
    AssertRunsInTime(cell, "job");
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{1}, TaskOf(cell, "job").attempt);
  }

  // No log line told what a task of a long-running job was waiting for.
  void testWaitingTaskIsExplained() {
    CellModel late = MakeCell(1);
    PlaceWithoutStart(late, "job");
    late.Run(Seconds(2));
    CPPUNIT_ASSERT(IsExplained(late, "reason=start "));
    CellModel empty = MakeCell(0);
    empty.Submit(MakeLongRunningJob("job"));
    empty.Run(Seconds(3));
    CPPUNIT_ASSERT(IsExplained(empty, "reason=not placed suitable=0"));
  }

  // Guards against a lease that never expires: a start that was sent before the
  // leader knew the worker's clock counted as granted on that clock, so that
  // the task waited for good for a worker that is lost.
  void testLatePlacementOnAWorkerNeverHeardFromIsGivenUp() {
    CellModel cell = MakeCell(2);
    cell.workers.at("w0").up = false;
    cell.ChangeLeader();
    cell.Submit(MakeLongRunningJob("long"));
    const JobNumber job = FindJob(cell.state, "long")->number;
    const WorkerNumber lost = FindWorker(cell.state, "w0")->number;
    // Proposed by the earlier leader, and applied only now.
    Apply(cell.state, PlaceTasks{{PlacedTask{{job, 0, 0, 0}, 1, lost}}});
    constexpr Duration kLongestLease = Millis(10200);
    const Duration took = RunUntilRunning(cell, "long", Seconds(60));
    CPPUNIT_ASSERT_MESSAGE("waited " + std::to_string(ToMillis(took)) + " ms",
                           took < kLongestLease + kLongestWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningStartTest);

}  // namespace bramleypath::workflow
