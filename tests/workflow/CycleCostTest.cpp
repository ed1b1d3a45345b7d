#include "bramleypath/workflow/Scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr std::size_t kWorkers = 490;
constexpr std::uint32_t kTasksPerJob = 15;
constexpr std::int64_t kSteadyClockMs = 1000;
const Resources kSmallWorker{8000, 8000, 0};

struct Cell {
  State state;
  Scheduler scheduler;
  TimePoint now{1000 * 1000};

  SchedulerActions Tick(Duration aStep) {
    this->now = this->now + aStep;
    return OnTick(this->scheduler, this->state, this->now, 0);
  }

  // Waits long enough for the next placement pass and returns its actions.
  SchedulerActions RunPass() {
    this->scheduler.dispatchWanted = true;
    return this->Tick(Millis(500));
  }
};

// Accepts jobs of one stage each with aTasks tasks in total.
void AcceptJobs(Cell& aCell, const StageSpec& aStage, std::size_t aTasks) {
  for (std::size_t left = aTasks; left > 0;) {
    JobSpec spec = MakeJob("job" + std::to_string(aCell.state.lastJob));
    spec.stages = {aStage};
    spec.stages[0].tasks =
        left < kTasksPerJob ? static_cast<std::uint32_t>(left) : kTasksPerJob;
    left -= spec.stages[0].tasks;
    Apply(aCell.state, AcceptJob{spec, 0});
  }
}

void AddWorkers(Cell& aCell, std::size_t aWorkers, const Resources& aCapacity) {
  for (std::size_t index = 0; index < aWorkers; ++index) {
    WorkerSpec worker = MakeNumberedWorker(index);
    worker.capacity = aCapacity;
    Apply(aCell.state, RegisterWorker{worker});
  }
}

void Lead(Cell& aCell) {
  aCell.scheduler = MakeScheduler(SchedulerSettings(), 1, aCell.state,
                                  LeaseEnds(), 1, aCell.now);
  for (const auto& [number, worker] : aCell.state.workers) {
    OnAnnounced(aCell.scheduler, number, kSteadyClockMs, aCell.now);
  }
}

std::size_t CountPlaced(const SchedulerActions& aActions) {
  std::size_t placed = 0;
  for (const SchedulerAction& action : aActions) {
    const auto* const commit = std::get_if<Commit>(&action);
    if (!commit) {
      continue;
    }
    for (const Command& command : commit->commands) {
      const auto* const places = std::get_if<PlaceTasks>(&command);
      placed += places ? places->tasks.size() : 0;
    }
  }
  return placed;
}

// A stage that fits on no worker, for a reason that says nothing about other
// stages.
StageSpec UnplaceableStage() {
  StageSpec stage = MakeStage(kTasksPerJob, 1000, 500);
  stage.requiredLabel = "none";
  return stage;
}

StageSpec LimitedStage() {
  StageSpec stage = MakeStage(kTasksPerJob, 1000, 500);
  stage.maxPerWorker = 1;
  return stage;
}

StageSpec FillerStage() {
  StageSpec stage = MakeStage(kTasksPerJob, 1000, 500);
  stage.filler = true;
  stage.image = "filler";
  return stage;
}

// Places one task on each worker, in the order of their numbers.
void PlaceOnEachWorker(State& aState) {
  PlaceTasks places;
  JobNumber job = 1;
  std::uint32_t index = 0;
  for (const auto& [number, worker] : aState.workers) {
    places.tasks.push_back({{job, 0, 0, index}, 1, number});
    if (++index == kTasksPerJob) {
      index = 0;
      ++job;
    }
  }
  Apply(aState, places);
}

// The list of a worker on which all placed attempts run.
std::vector<RunningAttempt> RunningOn(const State& aState,
                                      WorkerNumber aWorker) {
  std::vector<RunningAttempt> running;
  for (const TaskKey& key : aState.workers.at(aWorker).attempts) {
    RunningAttempt row;
    row.task = TaskName{aState.jobs.at(key.job).id, key.occurrence, key.stage,
                        key.index};
    row.attempt = FindTask(aState, key)->attempt;
    running.push_back(row);
  }
  return running;
}

// Answers the first renewals of all workers, so that each holds one open that
// waits for an end. Returns the number of those.
std::size_t SendWaitingRenewals(Cell& aCell) {
  std::size_t waiting = 0;
  constexpr int kMaxSweeps = 40;
  for (int sweep = 0; sweep < kMaxSweeps; ++sweep) {
    for (const SchedulerAction& action : aCell.Tick(Millis(5))) {
      // The permits without which a renewal doesn't extend the lease.
      if (const auto* const commit = std::get_if<Commit>(&action)) {
        OnCommitted(aCell.scheduler, aCell.state, *commit, true, aCell.now);
      }
      const auto* const renewal = std::get_if<SendLeaseRenewal>(&action);
      if (renewal && renewal->request.waitMs > 0) {
        ++waiting;
      } else if (renewal) {
        RenewLeaseAnswer answer;
        answer.result.outcome = RequestOutcome::Done;
        answer.result.clockMs = kSteadyClockMs;
        answer.running = RunningOn(aCell.state, renewal->worker);
        OnLeaseRenewalAnswer(aCell.scheduler, aCell.state, *renewal, aCell.now,
                             answer, aCell.now);
      }
    }
  }
  return waiting;
}

struct BacklogCase {
  const char* name;
  StageSpec stage;
  std::size_t waiting;
};

}  // namespace

// The cost of a cycle is stated as counts of work instead of time, so that the
// tests don't depend on the machine.
class CycleCostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CycleCostTest);
  CPPUNIT_TEST(testPassDoesBoundedWorkUnderABacklog);
  CPPUNIT_TEST(testPassReadsOnlyTheStagesOwnPendingPlacements);
  CPPUNIT_TEST(testEventsDoNotRepeatSweeps);
  CPPUNIT_TEST(testRenewalSweepsReadOnlySessionsThatMayBeDue);
  CPPUNIT_TEST(testPostponedSweepsSetTheNextTick);
  CPPUNIT_TEST(testFirstRenewalsReadTheTasksOfAWorkerOnce);
  CPPUNIT_TEST(testPassesDoNotRankAllJobsEachTime);
  CPPUNIT_TEST(testStageBehindManyUnplaceableOnesIsPlaced);
  CPPUNIT_TEST(testSlowPassesAreSpaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a pass that rates all workers again for each waiting stage.
  void testPassDoesBoundedWorkUnderABacklog() {
    // A pass may place 256 tasks and try 64 stages in vain. Each stage is worth
    // one rating of all workers, each placement a few single ones.
    constexpr std::uint64_t kMaxStages = 256 + 64;
    constexpr std::uint64_t kMaxRated = 64 * kWorkers + 256 * 16;
    const BacklogCase cases[] = {
        {"unplaceable", UnplaceableStage(), 100},
        {"unplaceable", UnplaceableStage(), 5000},
        {"limited", LimitedStage(), 5000},
        {"filler", FillerStage(), 5000},
        {"plain", MakeStage(kTasksPerJob, 1000, 500), 5000},
    };
    for (const BacklogCase& one : cases) {
      Cell cell;
      Apply(cell.state, SetLayout{MakeLayout(1)});
      AddWorkers(cell, kWorkers, kSmallWorker);
      AcceptJobs(cell, one.stage, one.waiting);
      Lead(cell);
      cell.Tick(Millis(1));
      const CycleWork& work = cell.scheduler.work;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::uint64_t(1), work.passes);
      CPPUNIT_ASSERT_MESSAGE(one.name, work.stagesExamined <= kMaxStages);
      CPPUNIT_ASSERT_MESSAGE(one.name, work.hostsRated <= kMaxRated);
    }
  }

  // Guards against a pass that reads all pending placements for each worker,
  // which made the leader slower the more commits it waited for.
  void testPassReadsOnlyTheStagesOwnPendingPlacements() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, kWorkers, kSmallWorker);
    AcceptJobs(cell, LimitedStage(), 5000);
    Lead(cell);
    // More would fill the start window, so that no task could be placed.
    constexpr JobNumber kPendingJobs = 8;
    for (JobNumber job = 1; job <= kPendingJobs; ++job) {
      for (std::uint32_t index = 0; index < kTasksPerJob; ++index) {
        const TaskKey key{job, 0, 0, index};
        cell.scheduler.pendingPlacements[key] = PlacedTask{key, 1, index + 1};
      }
    }
    const std::uint64_t before = cell.scheduler.work.pendingRead;
    const std::uint64_t examined = cell.scheduler.work.stagesExamined;
    cell.RunPass();
    const std::uint64_t stages = cell.scheduler.work.stagesExamined - examined;
    CPPUNIT_ASSERT(stages > 0);
    CPPUNIT_ASSERT(cell.scheduler.work.pendingRead - before <=
                   stages * kTasksPerJob);
  }

  // Guards against sweeps over all jobs, attempts and sessions on each event.
  void testEventsDoNotRepeatSweeps() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, kWorkers, kSmallWorker);
    Lead(cell);
    // 1,000 events in 100 ms.
    constexpr int kEvents = 1000;
    for (int event = 0; event < kEvents; ++event) {
      cell.Tick(Micros(100));
    }
    // At most once per 25 ms, and once per 5 ms for lease renewals.
    constexpr std::uint64_t kMaxSweeps = 100 / 25 + 1;
    constexpr std::uint64_t kMaxRenewalSweeps = 100 / 5 + 1;
    const CycleWork& work = cell.scheduler.work;
    CPPUNIT_ASSERT(work.jobSweeps <= kMaxSweeps);
    CPPUNIT_ASSERT(work.attemptSweeps <= kMaxSweeps);
    CPPUNIT_ASSERT(work.sessionSweeps <= kMaxRenewalSweeps);
    CPPUNIT_ASSERT(work.sessionSweeps > 0);
  }

  // Guards against sweeps that read all workers to find the few whose renewal
  // is due: nearly all of them hold one open.
  void testRenewalSweepsReadOnlySessionsThatMayBeDue() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, kWorkers, kSmallWorker);
    AcceptJobs(cell, MakeStage(kTasksPerJob, 1000, 500), kWorkers);
    PlaceOnEachWorker(cell.state);
    Lead(cell);
    CPPUNIT_ASSERT_EQUAL(kWorkers, SendWaitingRenewals(cell));
    const std::uint64_t before = cell.scheduler.work.sessionsRead;
    constexpr std::uint64_t kSweeps = 20;
    for (std::uint64_t sweep = 0; sweep < kSweeps; ++sweep) {
      cell.Tick(Millis(5));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         cell.scheduler.work.sessionsRead - before);
  }

  // Guards against a sweep that is put off until the idle timer fires, so that
  // a lease renewal that became due by an event is late by 100 ms.
  void testPostponedSweepsSetTheNextTick() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, 2, kSmallWorker);
    Lead(cell);
    cell.Tick(Millis(1));
    const TimePoint swept = cell.now;
    cell.scheduler.dispatchWanted = false;
    CPPUNIT_ASSERT(swept + Millis(100) == NextTickAt(cell.scheduler, cell.now));
    cell.Tick(Millis(1));
    CPPUNIT_ASSERT(NextTickAt(cell.scheduler, cell.now) <= swept + Millis(5));
    // The sweep that was put off has run.
    cell.Tick(Millis(4));
    CPPUNIT_ASSERT(!cell.scheduler.renewalSweep.postponed);
  }

  // Guards against sweeps that read all tasks of all workers again while the
  // first renewals of a new leader wait for answers to others.
  void testFirstRenewalsReadTheTasksOfAWorkerOnce() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, kWorkers, kSmallWorker);
    AcceptJobs(cell, MakeStage(kTasksPerJob, 1000, 500), kWorkers);
    PlaceTasks places;
    WorkerNumber worker = 0;
    for (const auto& [number, job] : cell.state.jobs) {
      for (std::uint32_t task = 0; task < job.spec.stages[0].tasks; ++task) {
        places.tasks.push_back({TaskKey{number, 0, 0, task}, 1, ++worker});
      }
    }
    Apply(cell.state, places);
    Lead(cell);
    constexpr int kSweeps = 20;
    for (int sweep = 0; sweep < kSweeps; ++sweep) {
      cell.Tick(Millis(5));
    }
    CPPUNIT_ASSERT(cell.scheduler.work.workersClassified > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::to_string(cell.scheduler.work.workersClassified) + " reads", true,
        cell.scheduler.work.workersClassified <= kWorkers);
  }

  // Guards against ranking the whole backlog in each pass of a burst.
  void testPassesDoNotRankAllJobsEachTime() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, kWorkers, kSmallWorker);
    AcceptJobs(cell, UnplaceableStage(), 5000);
    Lead(cell);
    for (int pass = 0; pass < 10; ++pass) {
      cell.scheduler.dispatchWanted = true;
      cell.Tick(Millis(10));
    }
    const std::uint64_t jobs = cell.state.jobs.size();
    CPPUNIT_ASSERT(cell.scheduler.work.passes >= 5);
    // At most once per 50 ms.
    CPPUNIT_ASSERT(cell.scheduler.work.jobsRanked <= 3 * jobs);
  }

  // Guards against a limit on the stages of a pass that starves the stages
  // behind the limit.
  void testStageBehindManyUnplaceableOnesIsPlaced() {
    Cell cell;
    Apply(cell.state, SetLayout{MakeLayout(1)});
    AddWorkers(cell, 2, kSmallWorker);
    AcceptJobs(cell, UnplaceableStage(), 5000);
    AcceptJobs(cell, MakeStage(1, 1000, 500), 1);
    Lead(cell);
    std::size_t placed = 0;
    constexpr int kMaxPasses = 40;
    for (int pass = 0; pass < kMaxPasses && placed == 0; ++pass) {
      cell.scheduler.dispatchWanted = true;
      placed = CountPlaced(cell.Tick(Millis(10)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), placed);
  }

  // Guards against a leader that spends all of its time on passes once they are
  // slow, so that it answers no worker in time.
  void testSlowPassesAreSpaced() {
    struct Case {
      Duration took;
      Duration next;  // earliest, from the end of the cycle
    };
    const Case cases[] = {
        {Millis(1), Millis(2)},
        {Millis(50), Millis(100)},
        // Longer ones show that the process was suspended.
        {Seconds(10), Millis(250)},
    };
    for (const Case& one : cases) {
      Cell cell;
      Apply(cell.state, SetLayout{MakeLayout(1)});
      AddWorkers(cell, 2, kSmallWorker);
      Lead(cell);
      cell.Tick(Millis(1));
      const TimePoint end = cell.now + one.took;
      OnCycleMeasured(cell.scheduler, one.took, end);
      CPPUNIT_ASSERT(end + one.next <= cell.scheduler.nextDispatchAt);
      // A cycle without a pass puts nothing off.
      const TimePoint due = cell.scheduler.nextDispatchAt;
      OnCycleMeasured(cell.scheduler, one.took, due);
      CPPUNIT_ASSERT(due == cell.scheduler.nextDispatchAt);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CycleCostTest);

}  // namespace bramleypath::workflow
