#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/codec/Fields.h"
#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

const DataCentreId kDrained("b");
constexpr const char* kLabel = "only-b";
constexpr std::uint32_t kRunMs = 700;

std::string NameOf(int aNumber) { return "dc" + std::to_string(aNumber); }

ApplyResult Order(State& aState, const std::string& aDataCentre,
                  bool aDrained) {
  return Apply(aState, SetDrain{DataCentreId(aDataCentre), aDrained});
}

// The state after its snapshot was restored.
State Restored(const State& aState) {
  State restored;
  std::string reason;
  CPPUNIT_ASSERT_MESSAGE(reason,
                         DecodeState(EncodeState(aState), restored, reason));
  return restored;
}

// The state that the log leads to.
State Replayed(const std::vector<Command>& aLog) {
  State state;
  for (const Command& command : aLog) {
    std::string reason;
    Apply(state, *Decode(Encode(command), reason));
  }
  return state;
}

// Two workers in each of the data centres a and b; those in b have kLabel.
CellModel MakeCell(std::uint64_t aSeed) {
  CellModel cell(aSeed);
  for (const char* const id : {"a0", "a1", "b0", "b1"}) {
    cell.AddWorker(id);
    WorkerModel& worker = cell.workers.at(id);
    worker.runMs = kRunMs;
    worker.endlessJob = "lasting";
    worker.spec.dataCentre = DataCentreId(std::string(1, id[0]));
    if (id[0] == 'b') {
      worker.spec.labels.push_back(kLabel);
    }
  }
  cell.Run(Seconds(3));
  return cell;
}

enum class Kind { Short, Ticketed, LongRunning, Gang, Failing, Labelled };

struct DrainCase {
  const char* name = "";
  Kind kind = Kind::Short;
  // The leader can send no start until the drain, so that those placed before
  // are queued.
  bool queuesStarts = false;
  bool changesLeader = false;
};

// Each row guards against a start in the drained data centre after the commit.
constexpr DrainCase kCases[] = {
    {"short tasks"},
    {"queued starts", Kind::Short, true},
    {"queued starts, new leader", Kind::Short, true, true},
    {"failures", Kind::Failing},
    {"tickets", Kind::Ticketed},
    {"queued starts with tickets", Kind::Ticketed, true},
    {"long-running", Kind::LongRunning},
    {"queued starts of long-running tasks", Kind::LongRunning, true},
    {"long-running, new leader", Kind::LongRunning, true, true},
    {"gangs", Kind::Gang},
    {"queued starts of gangs", Kind::Gang, true},
    {"gangs, new leader", Kind::Gang, true, true},
    {"new leader", Kind::Short, false, true},
};
constexpr std::uint64_t kSeeds = 6;

JobSpec JobOf(Kind aKind, int aNumber) {
  JobSpec spec = MakeJob(
      aKind == Kind::LongRunning ? "lasting" : "job" + std::to_string(aNumber));
  spec.stages = {MakeStage(6, 1000, kRunMs)};
  spec.stages[0].longRunning = aKind == Kind::LongRunning;
  spec.stages[0].gang = aKind == Kind::Gang;
  spec.stages[0].requiredLabel = aKind == Kind::Labelled ? kLabel : "";
  return spec;
}

std::set<std::string> RunningIn(const CellModel& aCell,
                                const DataCentreId& aDataCentre) {
  std::set<std::string> running;
  for (const auto& [id, worker] : aCell.workers) {
    if (worker.spec.dataCentre == aDataCentre) {
      for (const auto& [task, run] : worker.running) {
        running.insert(task + "." + std::to_string(run.attempt));
      }
    }
  }
  return running;
}

void SetDrained(CellModel& aCell, bool aDrained) {
  Apply(aCell.state, SetDrain{kDrained, aDrained});
  OnDrainSet(*aCell.scheduler);
}

// Runs the cell for aLength. Returns the attempts that started in the drained
// data centre meanwhile.
std::string RunAndWatch(CellModel& aCell, Duration aLength) {
  std::string started;
  std::set<std::string> before = RunningIn(aCell, kDrained);
  const TimePoint end = aCell.now + aLength;
  while (aCell.now < end) {
    aCell.Run(Millis(5));
    const std::set<std::string> running = RunningIn(aCell, kDrained);
    for (const std::string& attempt : running) {
      started += before.insert(attempt).second ? attempt + " " : "";
    }
  }
  return started;
}

bool HasRecord(const CellModel& aCell, const std::string& aEvent,
               const std::string& aText) {
  return std::any_of(aCell.decisions.begin(), aCell.decisions.end(),
                     [&](const DecisionRecord& aDecision) {
                       return aDecision.event == aEvent &&
                              aDecision.detail.find(aText) != std::string::npos;
                     });
}

void EnableTickets(CellModel& aCell) {
  Layout layout = MakeLayout(2);
  layout.queues[0].needsTicket = true;
  Apply(aCell.state, SetLayout{layout});
}

std::string Check(const DrainCase& aCase, std::uint64_t aSeed) {
  const std::string prefix =
      std::string(aCase.name) + ", seed " + std::to_string(aSeed) + ": ";
  CellModel cell = MakeCell(aSeed);
  if (aCase.kind == Kind::Ticketed) {
    EnableTickets(cell);
  }
  for (auto& [id, worker] : cell.workers) {
    worker.failureShare = aCase.kind == Kind::Failing ? 0.3 : 0;
  }
  cell.faults.startTooLate = aCase.queuesStarts ? 1 : 0;
  const int jobs = aCase.kind == Kind::LongRunning ? 1 : 4;
  for (int job = 0; job < jobs; ++job) {
    cell.Submit(JobOf(aCase.kind, job));
  }
  cell.Run(Millis(static_cast<std::int64_t>(300 + 40 * aSeed)));
  const std::set<std::string> kept = RunningIn(cell, kDrained);
  SetDrained(cell, true);
  // A start that is on its way arrives within a network delay of 1 ms.
  cell.Run(Millis(5));
  cell.faults.startTooLate = 0;
  if (aCase.changesLeader) {
    cell.ChangeLeader();
  }
  const std::string started = RunAndWatch(cell, Seconds(12));
  if (!started.empty()) {
    return prefix + started + "started in the drained data centre\n";
  }
  if (!cell.violations.empty()) {
    return prefix + cell.violations.front() + "\n";
  }
  if (aCase.queuesStarts && !aCase.changesLeader &&
      cell.scheduler->startsKeptOffDrained == 0) {
    return prefix + "no queued start was kept off\n";
  }
  for (const auto& [number, job] : cell.state.jobs) {
    const bool isLasting = aCase.kind == Kind::LongRunning;
    if (isLasting ? job.placed != 6
                  : job.phase == JobPhase::Active || job.placed > 0) {
      return prefix + job.id.value + " does not run elsewhere\n";
    }
  }
  const std::set<std::string> left = RunningIn(cell, kDrained);
  if (aCase.kind == Kind::LongRunning && left != kept) {
    return prefix + "a running task was stopped\n";
  }
  return "";
}

}  // namespace

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(testOrdersAreKept);
  CPPUNIT_TEST(testDrainsAreBounded);
  CPPUNIT_TEST(testStateWithoutDrainsKeepsItsFormat);
  CPPUNIT_TEST(testEndedDrainIsRemembered);
  CPPUNIT_TEST(testNothingStartsAfterTheCommit);
  CPPUNIT_TEST(testJobThatCanRunOnlyThereWaits);
  CPPUNIT_TEST(testCapacityLeavesOutDrainedWorkers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an order that is lost or undone by copies, snapshots and
  // restarts.
  void testOrdersAreKept() {
    const bool isKept =
        rc::check("the drained data centres are those of a plain map", [] {
          std::map<std::string, bool> model;
          std::vector<Command> log;
          State state;
          const int steps = *rc::gen::inRange(1, 60);
          for (int step = 0; step < steps; ++step) {
            const std::string name = NameOf(*rc::gen::inRange(0, 6));
            const bool drained = *rc::gen::arbitrary<bool>();
            const int copies = *rc::gen::inRange(1, 4);
            for (int copy = 0; copy < copies; ++copy) {
              const bool isNew = model[name] != drained;
              model[name] = drained;
              log.emplace_back(SetDrain{DataCentreId(name), drained});
              RC_ASSERT(Order(state, name, drained) ==
                        (isNew ? ApplyResult::Ok : ApplyResult::Repeated));
            }
            switch (*rc::gen::inRange(0, 4)) {
              case 0:
                state = Restored(state);
                break;
              case 1:
                state = Replayed(log);
                break;
              default:
                break;
            }
            for (const auto& [known, isDrained] : model) {
              RC_ASSERT(IsDrained(state.drains, DataCentreId(known)) ==
                        isDrained);
            }
          }
          RC_ASSERT(EncodeState(state) == EncodeState(Replayed(log)));
        });
    CPPUNIT_ASSERT(isKept);
  }

  // Guards against a snapshot that grows without bound, and against an accepted
  // order that is refused when it comes again.
  void testDrainsAreBounded() {
    State state;
    const int limit = static_cast<int>(kMaxDrainedDataCentres);
    for (int number = 0; number < limit; ++number) {
      CPPUNIT_ASSERT(Order(state, NameOf(number), true) == ApplyResult::Ok);
    }
    CPPUNIT_ASSERT(Order(state, NameOf(limit), true) == ApplyResult::Full);
    CPPUNIT_ASSERT(Order(state, NameOf(0), true) == ApplyResult::Repeated);
    CPPUNIT_ASSERT(Order(state, NameOf(0), false) == ApplyResult::Ok);
    CPPUNIT_ASSERT(Order(state, NameOf(limit), true) == ApplyResult::Ok);
  }

  // Guards against a snapshot that replicas of earlier versions can't read
  // although there is no drain.
  void testStateWithoutDrainsKeepsItsFormat() {
    State state;
    Apply(state, SetLayout{MakeLayout(1)});
    const std::vector<std::uint8_t> before = EncodeState(state);
    CPPUNIT_ASSERT(!codec::ParseCbor(before).contains("drained"));
    Order(state, "b", true);
    CPPUNIT_ASSERT(codec::ParseCbor(EncodeState(state)).contains("drained"));
    Order(state, "b", false);
    CPPUNIT_ASSERT(EncodeState(state) == before);
    // The commands before it keep their numbers in the log.
    constexpr std::size_t kNumber = 12;
    CPPUNIT_ASSERT_EQUAL(kNumber, Command(SetDrain()).index());
  }

  // Guards against an accepted end that is refused when it comes again, since
  // the data centre has no worker any more.
  void testEndedDrainIsRemembered() {
    Drains drains;
    CPPUNIT_ASSERT(!IsNamed(drains, kDrained));
    Set(drains, kDrained, true);
    CPPUNIT_ASSERT(IsNamed(drains, kDrained));
    Set(drains, kDrained, false);
    CPPUNIT_ASSERT(IsNamed(drains, kDrained) && !IsDrained(drains, kDrained));
    for (std::size_t number = 0; number < 2 * kMaxDrainedDataCentres;
         ++number) {
      const DataCentreId other(NameOf(static_cast<int>(number)));
      Set(drains, other, true);
      Set(drains, other, false);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxDrainedDataCentres, drains.recentlyEnded.size());
  }

  void testNothingStartsAfterTheCommit() {
    std::string failures;
    for (const DrainCase& one : kCases) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        failures += Check(one, seed);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against a task that is lost or not explained while its only workers
  // are drained, and against one that waits on after the end.
  void testJobThatCanRunOnlyThereWaits() {
    for (const Kind kind : {Kind::Labelled, Kind::LongRunning}) {
      CellModel cell = MakeCell(1);
      SetDrained(cell, true);
      JobSpec spec = JobOf(kind, 0);
      spec.stages[0].requiredLabel = kLabel;
      cell.Submit(spec);
      CPPUNIT_ASSERT_EQUAL(std::string(), RunAndWatch(cell, Seconds(10)));
      const std::string event = kind == Kind::LongRunning
                                    ? "long_running_waits"
                                    : "tasks_wait_for_drain";
      CPPUNIT_ASSERT(HasRecord(cell, event, "drained_data_centres=b"));
      SetDrained(cell, false);
      cell.Run(Seconds(3));
      const Job& job = *FindJob(cell.state, spec.id.value);
      CPPUNIT_ASSERT(kind == Kind::LongRunning
                         ? job.placed == 6
                         : job.phase == JobPhase::Completed);
      CPPUNIT_ASSERT(cell.violations.empty());
    }
  }

  // Guards against jobs that are accepted for processors that are not used.
  void testCapacityLeavesOutDrainedWorkers() {
    CellModel cell = MakeCell(1);
    const auto view = [&] {
      cell.Run(Millis(600));
      return ViewForAdmission(*cell.scheduler, MakeJob("job"),
                              cell.state.layout.queues[0], cell.now);
    };
    const AdmissionView full = view();
    SetDrained(cell, true);
    const AdmissionView drained = view();
    CPPUNIT_ASSERT_EQUAL(full.capacityMilli / 2, drained.capacityMilli);
    CPPUNIT_ASSERT_EQUAL(full.workersMilli / 2, drained.workersMilli);
    SetDrained(cell, false);
    CPPUNIT_ASSERT_EQUAL(full.capacityMilli, view().capacityMilli);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace bramleypath::workflow
