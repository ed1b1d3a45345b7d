#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr std::uint32_t kRacks = 3;
constexpr std::uint32_t kPerRack = 6;
constexpr std::uint64_t kSeeds = 10;
// A job may be given up once this many workers have crashed under one task.
constexpr std::uint32_t kCrashesToGiveUp = 2;
// The users' rule allows no further start of a task that was started twice
// after three workers had crashed under it.
constexpr std::uint32_t kMaxStarts = 5;

enum class Shape { Plain, Lasting, Gang, LaterStage, ManyTasks };

struct RackCase {
  const char* name = "";
  Shape shape = Shape::Plain;
  StaleConnection connection = StaleConnection::Closed;
  // Restarts of the rack while the job waits, and the time between two.
  std::uint32_t restarts = 1;
  std::int64_t intervalMs = 0;
  bool changesLeader = false;
};

// Each row guards against a job that is given up although no worker crashed
// while one of its tasks ran there.
constexpr RackCase kRackCases[] = {
    {"one task", Shape::Plain, StaleConnection::Closed},
    {"lasting task", Shape::Lasting, StaleConnection::Closed},
    {"gang", Shape::Gang, StaleConnection::Closed},
    {"task of a later stage", Shape::LaterStage, StaleConnection::Closed},
    {"many tasks", Shape::ManyTasks, StaleConnection::Closed},
    {"starts lost at once", Shape::Plain, StaleConnection::Reset},
    {"starts lost without a word", Shape::Plain, StaleConnection::Silent},
    {"many starts lost at once", Shape::ManyTasks, StaleConnection::Reset},
    {"gang, starts lost at once", Shape::Gang, StaleConnection::Reset},
    {"leader changes", Shape::ManyTasks, StaleConnection::Closed, 1, 0, true},
    {"leader changes, starts lost", Shape::ManyTasks, StaleConnection::Reset, 1,
     0, true},
    {"restarts in quick succession", Shape::Plain, StaleConnection::Closed, 12,
     500},
    {"restarts, many tasks", Shape::ManyTasks, StaleConnection::Closed, 12,
     500},
    {"restarts, starts lost at once", Shape::Plain, StaleConnection::Reset, 12,
     500},
    {"restarts, many starts lost", Shape::ManyTasks, StaleConnection::Reset, 12,
     700},
    {"restarts, starts lost without a word", Shape::ManyTasks,
     StaleConnection::Silent, 12, 900},
    {"restarts beside changes of leader", Shape::ManyTasks,
     StaleConnection::Reset, 12, 700, true},
};

std::string RackName(std::uint32_t aRack) {
  return "r" + std::to_string(aRack + 1);
}

std::string JobName(std::uint32_t aRack) {
  return "job" + std::to_string(aRack);
}

std::string WorkerName(std::uint32_t aIndex, std::uint32_t aLife) {
  return "w" + std::to_string(aIndex) + "-" + std::to_string(aLife);
}

CellModel MakeCell(std::uint64_t aSeed, Shape aShape = Shape::Plain) {
  CellModel cell(aSeed);
  for (std::uint32_t index = 0; index < kRacks * kPerRack; ++index) {
    const std::string name = WorkerName(index, 0);
    cell.AddWorker(name);
    WorkerSpec& spec = cell.workers.at(name).spec;
    spec.rack = RackId(RackName(index / kPerRack));
    spec.labels = {"a", spec.rack.value};
    if (aShape == Shape::Lasting) {
      cell.workers.at(name).endlessJob = JobName(index / kPerRack);
    }
  }
  // Longer than the announcements take to show the racks.
  cell.Run(Seconds(4));
  return cell;
}

JobSpec MakeRackJob(const std::string& aId, Shape aShape, std::uint32_t aRack) {
  JobSpec job = MakeJob(aId);
  StageSpec stage = MakeStage(1, 2000, 500);
  stage.requiredLabel = RackName(aRack);
  stage.longRunning = aShape == Shape::Lasting;
  if (aShape == Shape::Gang) {
    stage.gang = true;
    stage.tasks = kPerRack;
  } else if (aShape == Shape::ManyTasks) {
    stage.tasks = kPerRack * 4;
  }
  job.stages = {stage};
  if (aShape == Shape::LaterStage) {
    StageSpec first = MakeStage(1, 1000, 500);
    first.requiredLabel = RackName((aRack + 1) % kRacks);
    job.stages = {first, stage};
    job.stages[1].after = {0};
  }
  return job;
}

// Moves on to a moment at which the leader takes the worker for alive: shortly
// after one of its announcements.
void RunUntilAnnounced(CellModel& aCell, const std::string& aWorker) {
  constexpr Duration kShortly = Millis(50);
  const WorkerNumber number = FindWorker(aCell.state, aWorker)->number;
  const auto announcedAt = [&] {
    return aCell.scheduler->sessions.at(number).announcedAt;
  };
  const auto before = announcedAt();
  while (announcedAt() == before) {
    aCell.Run(Millis(5));
  }
  aCell.Run(kShortly);
}

// All workers of the rack crash and are replaced by new ones after 200 ms.
void RestartRack(CellModel& aCell, std::uint32_t aRack, std::uint32_t aLife,
                 StaleConnection aConnection) {
  constexpr Duration kDown = Millis(200);
  for (std::uint32_t index = aRack * kPerRack; index < (aRack + 1) * kPerRack;
       ++index) {
    aCell.ReplaceWorker(WorkerName(index, aLife), WorkerName(index, aLife + 1),
                        kDown, aConnection);
  }
}

std::uint32_t MostCrashesUnder(const CellModel& aCell,
                               const std::string& aJob) {
  std::uint32_t most = 0;
  for (const auto& [task, crashes] : aCell.crashesUnder) {
    if (task.rfind(aJob + ".", 0) == 0) {
      most = std::max(most, crashes);
    }
  }
  return most;
}

// The first job that was given up without cause; empty: none.
std::string FirstGivenUp(const CellModel& aCell) {
  for (const auto& [number, job] : aCell.state.jobs) {
    if (job.phase == JobPhase::Failed &&
        MostCrashesUnder(aCell, job.id.value) < kCrashesToGiveUp) {
      return job.id.value;
    }
  }
  return "";
}

// The first job without cause to wait that is neither completed nor, if it
// lasts, at work; empty: none.
std::string FirstIdle(const CellModel& aCell, Shape aShape) {
  for (const auto& [number, job] : aCell.state.jobs) {
    const bool isAtWork =
        aShape == Shape::Lasting &&
        std::any_of(aCell.workers.begin(), aCell.workers.end(),
                    [&id = job.id.value](const auto& aOne) {
                      return aOne.second.running.count(id + ".0.0.0") > 0;
                    });
    if (job.phase == JobPhase::Active && !isAtWork) {
      return job.id.value;
    }
  }
  return "";
}

// Attempts that were counted as crashed with their workers.
std::uint32_t CountSuspected(const CellModel& aCell) {
  std::uint32_t counted = 0;
  for (const WorkerCrash& crash : aCell.state.recentCrashes) {
    counted += crash.attempts;
  }
  return counted;
}

// Those of them that count as having run.
std::uint32_t CountProven(const CellModel& aCell) {
  std::uint32_t proven = 0;
  for (const WorkerCrash& crash : aCell.state.recentCrashes) {
    proven += crash.ran;
  }
  return proven;
}

// Restarts each rack in turn, right before a job comes that needs it.
CellModel PlayRacks(const RackCase& aCase, std::uint64_t aSeed) {
  CellModel cell = MakeCell(aSeed, aCase.shape);
  for (std::uint32_t rack = 0; rack < kRacks; ++rack) {
    if (aSeed % 2 == 0) {
      RunUntilAnnounced(cell, WorkerName(rack * kPerRack, 0));
    } else {
      cell.Run(Millis(static_cast<std::int64_t>(NextBelow(cell.random, 1500))));
    }
    for (std::uint32_t life = 0; life < aCase.restarts; ++life) {
      RestartRack(cell, rack, life, aCase.connection);
      cell.Run(Millis(205));
      if (life == 0) {
        cell.Submit(MakeRackJob(JobName(rack), aCase.shape, rack));
      }
      if (aCase.changesLeader) {
        cell.Run(Millis(static_cast<std::int64_t>(NextBelow(cell.random, 60))));
        cell.ChangeLeader();
      }
      cell.Run(Millis(aCase.intervalMs));
    }
    cell.Run(Seconds(5));
  }
  cell.Run(Seconds(20));
  return cell;
}

std::string DeadlyName(std::uint32_t aNumber) {
  return "deadly" + std::to_string(aNumber);
}

struct DeadlyCase {
  const char* name = "";
  bool crashesSilently = false;
  // Innocent jobs that keep the workers busy.
  std::uint32_t innocentsPerSecond = 0;
  std::int64_t downMs = 3000;
  bool changesId = false;
  // Racks crash in turn, each for kRackDown, until kRacksSettle.
  std::int64_t rackIntervalMs = 0;
  std::uint32_t jobs = 1;  // that crash their workers
};

constexpr Duration kRackDown = Millis(600);
constexpr Duration kRacksSettle = Seconds(10);

// Each row guards against a task that takes its worker down before the start is
// answered, and is started again without end.
constexpr DeadlyCase kDeadlyCases[] = {
    {"idle cell", false, 0},
    {"idle cell, silent crashes", true, 0},
    {"busy cell", false, 20},
    {"busy cell, silent crashes", true, 20},
    {"workers return soon", true, 0, 200},
    {"workers return soon under other ids", true, 0, 200, true},
    {"busy cell, workers return soon", true, 20, 600, true},
    {"racks crash, workers return soon", true, 0, 600, true, 700},
    {"racks crash", true, 0, 3000, false, 400},
    {"several tasks", false, 0, 3000, true, 0, 4},
    {"several tasks, silent crashes", true, 0, 600, true, 0, 4},
    {"several tasks, racks crash", true, 0, 600, true, 700, 4},
};

// The running workers of the rack of aWorker.
std::vector<std::string> RackOf(const CellModel& aCell,
                                const std::string& aWorker) {
  const RackId& rack = aCell.workers.at(aWorker).spec.rack;
  std::vector<std::string> mates;
  for (const auto& [id, worker] : aCell.workers) {
    if (worker.up && worker.spec.rack == rack) {
      mates.push_back(id);
    }
  }
  return mates;
}

// Racks crash one after the other for aLength, and are back under other ids.
void CrashRacksInTurn(CellModel& aCell, Duration aInterval, Duration aLength) {
  const TimePoint end = aCell.now + aLength;
  while (aCell.now < end) {
    const auto rack = RackId(
        RackName(static_cast<std::uint32_t>(NextBelow(aCell.random, kRacks))));
    for (const auto& [id, worker] : std::map(aCell.workers)) {
      if (worker.up && worker.spec.rack == rack) {
        aCell.ReplaceWorker(id, id + "+", kRackDown, StaleConnection::Silent);
      }
    }
    aCell.Run(aInterval);
  }
}

CellModel PlayDeadly(const DeadlyCase& aCase, std::uint64_t aSeed) {
  CellModel cell = MakeCell(aSeed);
  cell.crashesSilently = aCase.crashesSilently;
  cell.crashedFor = Millis(aCase.downMs);
  cell.changesIdAtCrash = aCase.changesId;
  for (auto& [id, worker] : cell.workers) {
    for (std::uint32_t number = 0; number < aCase.jobs; ++number) {
      worker.deadlyJobs.insert(DeadlyName(number));
    }
    worker.crashesBeforeAnswer = true;
  }
  cell.Run(Millis(static_cast<std::int64_t>(NextBelow(cell.random, 1500))));
  for (std::uint32_t number = 0; number < aCase.jobs; ++number) {
    JobSpec deadly = MakeJob(DeadlyName(number));
    deadly.stages = {MakeStage(1, 1000, 500)};
    cell.Submit(deadly);
  }
  constexpr std::uint32_t kSeconds = 40;
  std::uint32_t last = 0;
  for (std::uint32_t second = 0; second < kSeconds; ++second) {
    for (std::uint32_t one = 0; one < aCase.innocentsPerSecond; ++one) {
      cell.Submit(MakeJob("innocent" + std::to_string(++last)));
      cell.Run(Millis(1000 / aCase.innocentsPerSecond));
    }
    if (aCase.rackIntervalMs > 0 && Seconds(second) < kRacksSettle) {
      CrashRacksInTurn(cell, Millis(aCase.rackIntervalMs), Seconds(1));
    } else if (aCase.innocentsPerSecond == 0) {
      cell.Run(Seconds(1));
    }
  }
  cell.Run(Seconds(20));
  return cell;
}

// Workers that crash together, right before the start of a task reaches one of
// them.
struct SharedCrashCase {
  const char* name = "";
  // Otherwise workers of all racks, kScattered beside the one of the task.
  bool isRack = true;
  std::int64_t downMs = 600;
  bool keepsIds = false;
  // Each worker has a lasting task, so that none is idle.
  bool isBusy = false;
};

constexpr std::uint32_t kScattered = 3;
// Crashes in a row, each of which hits a start of the task.
constexpr std::uint32_t kSharedCrashes = 8;
// A task that could run must not wait for longer.
constexpr Duration kLongestWait = Seconds(3);

// Each row guards against a job that is given up since its starts were lost
// with workers that crashed for another cause.
constexpr SharedCrashCase kSharedCrashCases[] = {
    {"rack", true},
    {"rack that is back soon", true, 200},
    {"rack that is back late", true, 3000},
    {"rack, same ids", true, 600, true},
    {"scattered workers", false},
    {"scattered workers, same ids", false, 600, true},
    {"rack, no idle worker", true, 600, false, true},
    {"rack, no idle worker, same ids", true, 3000, true, true},
};

struct SharedCrashResult {
  std::uint32_t crashes = 0;  // that hit a start
  bool isGivenUp = false;
  Duration wait;  // from the last crash until the task runs
  std::string violation;
};

// The workers that crash together with aWorker.
std::vector<std::string> CrashWith(CellModel& aCell,
                                   const SharedCrashCase& aCase,
                                   const std::string& aWorker) {
  if (aCase.isRack) {
    return RackOf(aCell, aWorker);
  }
  std::vector<std::string> others;
  for (const auto& [id, worker] : aCell.workers) {
    if (worker.up && id != aWorker) {
      others.push_back(id);
    }
  }
  std::vector<std::string> workers{aWorker};
  while (workers.size() <= kScattered && !others.empty()) {
    const auto chosen = others.begin() + static_cast<std::ptrdiff_t>(NextBelow(
                                             aCell.random, others.size()));
    workers.push_back(*chosen);
    others.erase(chosen);
  }
  return workers;
}

SharedCrashResult PlaySharedCrashes(const SharedCrashCase& aCase,
                                    std::uint64_t aSeed) {
  CellModel cell = MakeCell(aSeed);
  if (aCase.isBusy) {
    JobSpec lasting = MakeJob("lasting");
    lasting.stages = {MakeStage(kRacks * kPerRack, 1000, 500)};
    lasting.stages[0].longRunning = true;
    lasting.stages[0].maxPerWorker = 1;
    for (auto& [id, worker] : cell.workers) {
      worker.endlessJob = "lasting";
    }
    cell.Submit(lasting);
    cell.Run(Seconds(4));
  }
  cell.crashesSilently = true;
  SharedCrashResult result;
  TimePoint lastCrashAt;
  cell.crashesBeforeStart = [&](const std::string& aWorker,
                                const StartRequest& aRequest) {
    if (aRequest.task.job.value != "job" || result.crashes == kSharedCrashes) {
      return false;
    }
    ++result.crashes;
    lastCrashAt = cell.now;
    for (const std::string& id : CrashWith(cell, aCase, aWorker)) {
      if (aCase.keepsIds) {
        cell.CrashWorker(id, Millis(aCase.downMs));
      } else {
        cell.ReplaceWorker(id, id + "'", Millis(aCase.downMs),
                           StaleConnection::Silent);
      }
    }
    return true;
  };
  JobSpec job = MakeJob("job");
  job.stages = {MakeStage(1, 2000, 500)};
  cell.Submit(job);
  const TimePoint end = cell.now + Seconds(120);
  while (cell.now < end && cell.startsOf["job.0.0.0"] == 0 &&
         FindJob(cell.state, "job")->phase == JobPhase::Active) {
    cell.Run(Millis(10));
  }
  result.wait = cell.now - lastCrashAt;
  cell.Run(Seconds(5));
  result.isGivenUp = FindJob(cell.state, "job")->phase == JobPhase::Failed;
  result.violation = cell.violations.empty() ? "" : cell.violations[0];
  return result;
}

// What is known about a task's attempt when its worker crashes.
enum class Known { Ran, MayHaveRun, Unsent, NotStored };

struct CountCase {
  const char* name = "";
  std::vector<Known> crashes;  // one after the other, at different addresses
  std::size_t counted = 0;
  JobPhase phase = JobPhase::Active;
};

const std::vector<CountCase> kCountCases = {
    {"ran each time",
     {Known::Ran, Known::Ran, Known::Ran, Known::Ran},
     4,
     JobPhase::Failed},
    {"log of an earlier version",
     {Known::NotStored, Known::NotStored, Known::NotStored, Known::NotStored},
     4,
     JobPhase::Failed},
    {"never sent",
     {Known::Unsent, Known::Unsent, Known::Unsent, Known::Unsent,
      Known::Unsent},
     0},
    {"may have run each time",
     {Known::MayHaveRun, Known::MayHaveRun, Known::MayHaveRun,
      Known::MayHaveRun, Known::MayHaveRun, Known::MayHaveRun},
     6},
    {"first start not answered",
     {Known::MayHaveRun, Known::Ran, Known::Ran, Known::Ran},
     4,
     JobPhase::Failed},
    {"ran twice",
     {Known::MayHaveRun, Known::MayHaveRun, Known::Ran, Known::Ran},
     4,
     JobPhase::Failed},
    {"ran once",
     {Known::MayHaveRun, Known::MayHaveRun, Known::MayHaveRun, Known::Ran},
     4},
    {"may have run at the latest crash",
     {Known::Ran, Known::Ran, Known::Ran, Known::MayHaveRun},
     4},
    {"may have run after a log of an earlier version",
     {Known::NotStored, Known::NotStored, Known::NotStored, Known::MayHaveRun},
     4},
};

std::optional<CrashEvidence> EvidenceFor(Known aKnown, const TaskKey& aKey,
                                         AttemptNumber aAttempt) {
  CrashEvidence evidence;
  if (aKnown == Known::NotStored) {
    return std::nullopt;
  }
  if (aKnown == Known::Ran) {
    evidence.ran = {TaskAttempt{aKey, aAttempt}};
  } else if (aKnown == Known::Unsent) {
    evidence.unsent = {TaskAttempt{aKey, aAttempt}};
  }
  return evidence;
}

// Applies the command as another replica reads it from the log.
void ApplyFromLog(State& aState, const Command& aCommand) {
  std::string reason;
  const auto command = Decode(Encode(aCommand), reason);
  CPPUNIT_ASSERT_MESSAGE(reason, command);
  Apply(aState, *command);
}

State RestoreFromSnapshot(const State& aState) {
  State restored;
  std::string reason;
  CPPUNIT_ASSERT_MESSAGE(reason,
                         DecodeState(EncodeState(aState), restored, reason));
  return restored;
}

// Lets workers crash under the first task of a job, with a snapshot between two
// crashes. The successors have their ids or others.
State PlayCrashes(const CountCase& aCase, bool aKeepsId) {
  constexpr TaskKey kTask{1, 0, 0, 0};
  State state;
  Apply(state, SetLayout{MakeLayout(1)});
  Apply(state, AcceptJob{MakeJob("job"), 0});
  AttemptNumber attempt = 0;
  for (const Known known : aCase.crashes) {
    ++attempt;
    WorkerSpec worker = MakeWorker("w" + std::to_string(attempt));
    worker.address = worker.id.value;
    Apply(state, RegisterWorker{worker});
    Apply(state, PlaceTasks{{{kTask, attempt, state.lastWorker}}});
    const auto evidence = EvidenceFor(known, kTask, attempt);
    if (aKeepsId) {
      ++worker.startedUnixMs;
      ApplyFromLog(state, RegisterWorker{worker, evidence});
      Apply(state, RemoveWorker{state.lastWorker, false});
    } else {
      ApplyFromLog(state, RemoveWorker{state.lastWorker, true, evidence});
    }
    state = RestoreFromSnapshot(state);
  }
  return state;
}

}  // namespace

class CrashEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashEvidenceTest);
  CPPUNIT_TEST(testJobUnderWhichNothingRanIsNotGivenUp);
  CPPUNIT_TEST(testTaskThatCrashesBeforeItsStartIsAnsweredIsGivenUp);
  CPPUNIT_TEST(testStartsLostInSharedCrashesGiveNoJobUp);
  CPPUNIT_TEST(testJobIsGivenUpOnlyOnceItsTaskHasRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A start that another incarnation refused counted as a crash of the worker
  // under its task, so that a job was given up without a run.
  void testJobUnderWhichNothingRanIsNotGivenUp() {
    std::string broken;
    for (const RackCase& one : kRackCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const CellModel cell = PlayRacks(one, seed);
        const std::string givenUp = FirstGivenUp(cell);
        if (!givenUp.empty()) {
          broken += Describe(one, seed) + ": " + givenUp + " is given up\n";
        }
        if (!one.changesLeader && one.restarts == 1 &&
            one.connection == StaleConnection::Closed &&
            CountSuspected(cell) > 0) {
          broken += Describe(one, seed) + ": suspects a refused start\n";
        }
        // The rack was idle when it crashed.
        if (one.restarts == 1 && CountProven(cell) > 0) {
          broken += Describe(one, seed) + ": suspects a task that never ran\n";
        }
        const std::string idle = FirstIdle(cell, one.shape);
        if (!idle.empty()) {
          broken += Describe(one, seed) + ": " + idle + " doesn't run\n";
        }
        if (!cell.violations.empty()) {
          broken += Describe(one, seed) + ": " + cell.violations[0] + "\n";
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), broken);
  }

  void testTaskThatCrashesBeforeItsStartIsAnsweredIsGivenUp() {
    std::string broken;
    for (const DeadlyCase& one : kDeadlyCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CellModel cell = PlayDeadly(one, seed);
        for (std::uint32_t number = 0; number < one.jobs; ++number) {
          const std::string id = DeadlyName(number);
          const std::uint32_t starts = cell.startsOf[id + ".0.0.0"];
          const Job* const job = FindJob(cell.state, id);
          if (job->phase != JobPhase::Failed || starts > kMaxStarts) {
            broken += Describe(one, seed) + ": " + std::to_string(starts) +
                      " starts, phase " +
                      std::to_string(static_cast<int>(job->phase)) + "\n";
          }
        }
        if (!FirstGivenUp(cell).empty()) {
          broken += Describe(one, seed) + ": " + FirstGivenUp(cell) +
                    " is given up\n";
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), broken);
  }

  // A start that was lost with its whole rack, a moment after its worker had
  // answered, proved that its task had taken the worker down, so that a job was
  // given up of which nothing had run (review/6).
  void testStartsLostInSharedCrashesGiveNoJobUp() {
    std::string broken;
    for (const SharedCrashCase& one : kSharedCrashCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const SharedCrashResult result = PlaySharedCrashes(one, seed);
        const std::string text =
            Describe(one, seed) + ": " + std::to_string(result.crashes) +
            " crashes, waited " + std::to_string(ToMillis(result.wait)) + " ms";
        if (result.isGivenUp) {
          broken += text + ", given up\n";
        } else if (result.crashes < kSharedCrashes) {
          broken += text + ", too few crashes\n";
        } else if (kLongestWait + Millis(one.downMs) < result.wait) {
          broken += text + "\n";
        }
        broken +=
            result.violation.empty() ? "" : text + result.violation + "\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), broken);
  }

  // Crashes under a task counted alike, whatever was known about its run, and
  // what was known was lost with a snapshot.
  void testJobIsGivenUpOnlyOnceItsTaskHasRun() {
    for (const CountCase& one : kCountCases) {
      for (const bool keepsId : {false, true}) {
        const State state = PlayCrashes(one, keepsId);
        const Job& job = *FindJob(state, "job");
        CPPUNIT_ASSERT_MESSAGE(one.name, one.phase == job.phase);
        const TaskState* const task = FindTask(state, {1, 0, 0, 0});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            one.name, one.phase == JobPhase::Active ? one.counted : 0,
            task ? task->crashes.size() : 0);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

}  // namespace bramleypath::workflow
