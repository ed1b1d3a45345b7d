#include <algorithm>
#include <array>
#include <string>
#include <variant>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr std::uint32_t kWorkers = 12;
// The users' rule allows no further start of a task that was started twice
// after three workers had crashed under it.
constexpr std::uint32_t kMaxStarts = 5;

constexpr std::uint32_t kDeadlyJobs = 6;
constexpr std::uint32_t kRounds = 8;
constexpr std::uint32_t kLongRunMs = 1500;
constexpr std::uint64_t kSeeds = 30;

// Crashes of workers in rounds.
struct CrashCase {
  const char* name;
  std::uint32_t workers;  // that crash in each round
  bool isRandom;          // or the same ones, moved by step in each round
  std::uint32_t step;
  Duration interval;
};

const std::array<CrashCase, 5> kCrashCases = {{
    {"waves", 2, true, 0, Seconds(10)},
    {"waves in quick succession", 2, true, 0, Seconds(5)},
    {"two flapping workers", 2, false, 0, Seconds(5)},
    {"rolling restart", 1, false, 1, Seconds(2)},
    {"power loss of all", kWorkers, false, 0, Seconds(8)},
}};

std::string WorkerName(std::uint32_t aIndex) {
  return "w" + std::to_string(aIndex);
}

CellModel MakeCell(std::uint64_t aSeed) {
  CellModel cell(aSeed);
  for (std::uint32_t index = 0; index < kWorkers; ++index) {
    cell.AddWorker(WorkerName(index));
  }
  return cell;
}

void AddDeadlyJob(CellModel& aCell, const std::string& aId) {
  for (auto& [id, worker] : aCell.workers) {
    worker.deadlyJobs.insert(aId);
  }
  aCell.Submit(MakeJob(aId));
}

// Submits jobs for aLength, one each aInterval.
void SubmitInnocents(CellModel& aCell, std::uint32_t& aLast, Duration aInterval,
                     Duration aLength) {
  const TimePoint end = aCell.now + aLength;
  while (aCell.now < end) {
    aCell.Submit(MakeJob("innocent" + std::to_string(++aLast)));
    aCell.Run(aInterval);
  }
}

constexpr TaskKey kTask{1, 0, 0, 0};
// Crashes under a task until its job is given up.
constexpr std::uint32_t kGiveUpAt = 4;

// One job and kWorkers workers.
State MakeState() {
  State state;
  Apply(state, SetLayout{MakeLayout(1)});
  Apply(state, AcceptJob{MakeJob("job"), 0});
  for (std::uint32_t index = 0; index < kWorkers; ++index) {
    WorkerSpec worker = MakeWorker(WorkerName(index));
    worker.address = worker.id.value;
    Apply(state, RegisterWorker{worker});
  }
  return state;
}

void Place(State& aState, std::uint32_t aWorker, AttemptNumber aAttempt) {
  const Worker* const worker = FindWorker(aState, WorkerName(aWorker));
  Apply(aState, PlaceTasks{{{kTask, aAttempt, worker->number}}});
}

// Performs the actions while another incarnation answers each start, and
// renewals aren't answered. Returns the number of starts.
std::uint32_t Perform(Scheduler& aScheduler, State& aState,
                      const SchedulerActions& aActions, TimePoint aNow) {
  std::uint32_t starts = 0;
  for (const SchedulerAction& action : aActions) {
    SchedulerActions next;
    if (const auto* const commit = std::get_if<Commit>(&action)) {
      for (const Command& command : commit->commands) {
        Apply(aState, command);
      }
      next = OnCommitted(aScheduler, aState, *commit, true, aNow);
    } else if (const auto* const start = std::get_if<SendStart>(&action)) {
      ++starts;
      RequestAnswer answer;
      answer.outcome = RequestOutcome::OtherIncarnation;
      next = OnStartAnswer(aScheduler, aState, *start, answer, aNow);
    }
    starts += Perform(aScheduler, aState, next, aNow);
  }
  return starts;
}

// The first innocent job that is not completed, and its phase; empty: none.
std::string FirstUnfinished(const CellModel& aCell) {
  for (const auto& [number, job] : aCell.state.jobs) {
    if (job.id.value.rfind("innocent", 0) == 0 &&
        job.phase != JobPhase::Completed) {
      return job.id.value + " " + std::to_string(static_cast<int>(job.phase));
    }
  }
  return "";
}

// The first job that has failed; empty: none.
std::string FirstFailed(const CellModel& aCell) {
  for (const auto& [number, job] : aCell.state.jobs) {
    if (job.phase == JobPhase::Failed) {
      return job.id.value;
    }
  }
  return "";
}

}  // namespace

class DeadlyTaskTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeadlyTaskTest);
  CPPUNIT_TEST(testTaskThatCrashesItsWorkersIsGivenUp);
  CPPUNIT_TEST(testManyDeadlyTasksLeaveInnocentJobsDone);
  CPPUNIT_TEST(testInnocentJobsSurviveCrashesOfWorkers);
  CPPUNIT_TEST(testSnapshotKeepsCrashes);
  CPPUNIT_TEST(testReplacedWorkerCountsAsCrashed);
  CPPUNIT_TEST(testWorkerThatLeavesOrDrainsHasNotCrashed);
  CPPUNIT_TEST(testWorkerThatNeverAnsweredHasNotCrashed);
  CPPUNIT_TEST(testCrashAfterTheLeaseIsCounted);
  CPPUNIT_TEST(testTaskThatRanLongIsCleared);
  CPPUNIT_TEST(testAmbiguousTasksAreNotGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A task that crashed its workers was started again without end.
  void testTaskThatCrashesItsWorkersIsGivenUp() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      CellModel cell = MakeCell(seed);
      std::uint32_t last = 0;
      AddDeadlyJob(cell, "deadly");
      SubmitInnocents(cell, last, Millis(100), Seconds(20));
      cell.Run(Seconds(30));
      CPPUNIT_ASSERT_EQUAL(std::string(), FirstUnfinished(cell));
      const std::uint32_t starts = cell.startsOf["deadly.0.0.0"];
      CPPUNIT_ASSERT_MESSAGE("starts: " + std::to_string(starts),
                             starts <= kMaxStarts);
      CPPUNIT_ASSERT(FindJob(cell.state, "deadly")->phase == JobPhase::Failed);
    }
  }

  // Suspects are placed apart, so that no neighbour of a deadly task is given
  // up for it, also when the leader changes in between.
  void testManyDeadlyTasksLeaveInnocentJobsDone() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CellModel cell = MakeCell(seed);
      std::uint32_t last = 0;
      for (std::uint32_t job = 0; job < kDeadlyJobs; ++job) {
        AddDeadlyJob(cell, "deadly" + std::to_string(job));
        SubmitInnocents(cell, last, Millis(100), Seconds(1));
      }
      cell.ChangeLeader();
      SubmitInnocents(cell, last, Millis(100), Seconds(10));
      cell.Run(Seconds(60));
      const std::string text = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), FirstUnfinished(cell));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0},
                                   cell.violations.size());
      for (std::uint32_t job = 0; job < kDeadlyJobs; ++job) {
        const std::string id = "deadly" + std::to_string(job);
        std::string which = text;
        which += " ";
        which += id;
        CPPUNIT_ASSERT_MESSAGE(which,
                               cell.startsOf[id + ".0.0.0"] <= kMaxStarts);
        CPPUNIT_ASSERT_MESSAGE(
            which, FindJob(cell.state, id)->phase == JobPhase::Failed);
      }
    }
  }

  // Crashes that no task causes must not fail a job: waves over a part of the
  // workers, workers that crash again and again, a rolling restart, and a power
  // loss of all.
  void testInnocentJobsSurviveCrashesOfWorkers() {
    for (const CrashCase& one : kCrashCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CellModel cell = MakeCell(seed);
        JobSpec lasting = MakeJob("innocent lasting");
        lasting.stages[0].longRunning = true;
        cell.Submit(lasting);
        for (auto& [id, worker] : cell.workers) {
          worker.runMs = kLongRunMs;
        }
        std::uint32_t last = 0;
        for (std::uint32_t round = 0; round < kRounds; ++round) {
          for (std::uint32_t index = 0; index < one.workers; ++index) {
            const std::uint32_t worker =
                one.isRandom ? static_cast<std::uint32_t>(
                                   NextBelow(cell.random, kWorkers))
                             : (round * one.step + index) % kWorkers;
            cell.CrashWorker(WorkerName(worker), Seconds(3));
          }
          SubmitInnocents(cell, last, Millis(250), one.interval);
        }
        cell.Run(Seconds(60));
        std::string text = one.name;
        text += " seed ";
        text += std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), FirstFailed(cell));
      }
    }
  }

  // The count outlives a snapshot, and what older versions wrote is readable:
  // without a crash, the new fields are absent.
  void testSnapshotKeepsCrashes() {
    State state = MakeState();
    Place(state, 0, 1);
    Apply(state, RemoveWorker{FindWorker(state, "w0")->number, true});
    State read;
    std::string reason;
    CPPUNIT_ASSERT(DecodeState(EncodeState(state), read, reason));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FindTask(read, kTask)->crashes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w0"),
                         FindTask(read, kTask)->crashes[0].worker.value);
    CPPUNIT_ASSERT(read.suspects.count(kTask) > 0);
    const std::vector<std::uint8_t> remove = Encode(RemoveWorker{1, false});
    CPPUNIT_ASSERT(std::find(remove.begin(), remove.end(), 'x') ==
                   remove.end());
    const auto decoded = Decode(Encode(RemoveWorker{1, true}), reason);
    CPPUNIT_ASSERT(decoded && std::get<RemoveWorker>(*decoded).hasCrashed);
  }

  // The successor of a crashed worker may have another id.
  void testReplacedWorkerCountsAsCrashed() {
    State state = MakeState();
    for (std::uint32_t worker = 0; worker < kGiveUpAt; ++worker) {
      CPPUNIT_ASSERT(FindJob(state, "job")->phase == JobPhase::Active);
      Place(state, worker, worker + 1);
      Apply(state,
            RemoveWorker{FindWorker(state, WorkerName(worker))->number, true});
    }
    CPPUNIT_ASSERT(FindJob(state, "job")->phase == JobPhase::Failed);
  }

  // A late announcement of an incarnation that is gone registers it once more.
  // Tasks placed there never ran, and their job must not be given up.
  void testWorkerThatNeverAnsweredHasNotCrashed() {
    TimePoint now{1000 * 1000};
    State state;
    Apply(state, SetLayout{MakeLayout(1)});
    Apply(state, AcceptJob{MakeJob("job"), 0});
    Scheduler scheduler =
        MakeScheduler(SchedulerSettings(), 1, state, LeaseEnds(), 1, now);
    std::uint32_t refused = 0;
    for (std::uint32_t index = 0; index < kWorkers; ++index) {
      WorkerSpec gone = MakeWorker(WorkerName(index));
      gone.address = gone.id.value;
      Apply(state, RegisterWorker{gone});
      OnStateChanged(scheduler, state, now);
      OnAnnounced(scheduler, state.lastWorker, 1000, now);
      constexpr int kTicks = 60;
      for (int tick = 0; tick < kTicks; ++tick) {
        now = now + Millis(10);
        refused +=
            Perform(scheduler, state, OnTick(scheduler, state, now, 0), now);
      }
    }
    CPPUNIT_ASSERT(refused >= kGiveUpAt);
    CPPUNIT_ASSERT(JobPhase::Active == state.jobs.at(1).phase);
  }

  void testWorkerThatLeavesOrDrainsHasNotCrashed() {
    State state = MakeState();
    Place(state, 0, 1);
    Apply(state, RemoveWorker{FindWorker(state, "w0")->number, false});
    Place(state, 1, 2);
    WorkerSpec draining = FindWorker(state, "w1")->spec;
    draining.draining = true;
    Apply(state, RegisterWorker{draining});
    Apply(state, RemoveWorker{FindWorker(state, "w1")->number, true});
    CPPUNIT_ASSERT(FindTask(state, kTask)->crashes.empty());
  }

  // A crash looks like a cut until the successor appears, maybe after the
  // lease.
  void testCrashAfterTheLeaseIsCounted() {
    State state = MakeState();
    Place(state, 0, 1);
    EndTasks ends;
    ends.tasks = {EndedTask{kTask, 1, EndKind::LeaseExpired, ""}};
    Apply(state, ends);
    CPPUNIT_ASSERT(FindTask(state, kTask)->crashes.empty());
    State read;
    std::string reason;
    CPPUNIT_ASSERT(DecodeState(EncodeState(state), read, reason));
    Apply(read, RegisterWorker{MakeWorker("w0", 2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FindTask(read, kTask)->crashes.size());
  }

  void testTaskThatRanLongIsCleared() {
    State state = MakeState();
    Place(state, 0, 1);
    Apply(state, RemoveWorker{FindWorker(state, "w0")->number, true});
    Place(state, 1, 2);
    EndTasks ends;
    ends.cleared = {TaskAttempt{kTask, 1}};
    Apply(state, ends);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         FindTask(state, kTask)->crashes.size());
    ends.cleared = {TaskAttempt{kTask, 2}};
    std::string reason;
    Apply(state, *Decode(Encode(ends), reason));
    CPPUNIT_ASSERT(FindTask(state, kTask)->crashes.empty());
  }

  // Two tasks that were on the same workers each time can't be told apart.
  void testAmbiguousTasksAreNotGivenUp() {
    State state = MakeState();
    TaskKey other = kTask;
    other.index = 1;
    for (std::uint32_t worker = 0; worker < kGiveUpAt; ++worker) {
      Place(state, worker, worker + 1);
      const WorkerNumber number = FindWorker(state, WorkerName(worker))->number;
      Apply(state, PlaceTasks{{{other, worker + 1, number}}});
      Apply(state, RemoveWorker{number, true});
    }
    CPPUNIT_ASSERT(FindJob(state, "job")->phase == JobPhase::Active);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadlyTaskTest);

}  // namespace bramleypath::workflow
