#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "tests/cell/CellModel.h"

// Tests of faults that are listed in KNOWN-RED.txt.
namespace bramleypath::cell {

namespace {

constexpr std::int64_t kSecond = 1000 * 1000;
constexpr std::int64_t kStep = kSecond / 20;
constexpr std::uint64_t kModelSeeds = 5;
// Longer than a test; the model's processes end by themselves after a minute.
constexpr std::int64_t kRunTime = 3600 * kSecond;
// A task that doesn't run again within this time is given up.
constexpr std::int64_t kMaxWait = 120 * kSecond;
// How much longer than without a change of leader a task may wait.
constexpr std::int64_t kMaxExtraWait = 2 * kSecond;
// Selects a job of one task that is smaller than a worker.
constexpr std::uint32_t kSmallJob = 10;
const TaskId kTask{JobId("j0"), 0};

// Changes of leader, with times from the beginning of the wait.
struct LeaderChanges {
  const char* name;
  std::int64_t first;
  std::int64_t interval;
  int count;
};

constexpr int kUntilTheEnd = 1000;
const LeaderChanges kNoChange{"none", 0, 0, 0};
const LeaderChanges kChanges[] = {
    {"one after 8 s", 8 * kSecond, kSecond, 1},
    {"three from 2 s, 4 s apart", 2 * kSecond, 4 * kSecond, 3},
    {"every 5 s", 5 * kSecond, 5 * kSecond, kUntilTheEnd},
    {"every 3 s", 3 * kSecond, 3 * kSecond, kUntilTheEnd},
};

std::optional<AttemptId> RunningAttempt(const CellModel& aModel) {
  const auto found = aModel.oracle.running.find(kTask);
  return found == aModel.oracle.running.end()
             ? std::nullopt
             : std::optional<AttemptId>(found->second);
}

// Keeps the attempt from ending by itself; returns its host.
std::uint32_t KeepRunning(CellModel& aModel, const AttemptId& aAttempt) {
  std::uint32_t index = 0;
  for (Host& host : aModel.hosts) {
    const auto process = host.processes.find(aAttempt);
    if (process != host.processes.end()) {
      process->second.endsAt = aModel.now + kRunTime;
      return index;
    }
    ++index;
  }
  CPPUNIT_FAIL("the attempt runs on no host");
  return index;
}

void ChangeLeader(CellModel& aModel) {
  aModel.Inject(Fault{FaultKind::ChangeLeader,
                      static_cast<std::uint32_t>(aModel.leader + 1)});
}

// The time until an attempt of the task after aLast runs; kMaxWait when none
// does.
std::int64_t WaitForNextAttempt(CellModel& aModel, AttemptNumber aLast,
                                const LeaderChanges& aChanges) {
  const std::int64_t from = aModel.now;
  std::int64_t nextChangeAt = from + aChanges.first;
  int changes = 0;
  std::optional<AttemptId> running = RunningAttempt(aModel);
  while ((!running || running->number <= aLast) &&
         aModel.now - from < kMaxWait) {
    if (changes < aChanges.count && aModel.now >= nextChangeAt) {
      ChangeLeader(aModel);
      ++changes;
      nextChangeAt += aChanges.interval;
    }
    aModel.Run(kStep);
    running = RunningAttempt(aModel);
  }
  CPPUNIT_ASSERT(aModel.oracle.violations.empty());
  return aModel.now - from;
}

// The wait of a task whose worker is lost. The lost worker keeps running the
// task until its lease ends, so that the model reports a start that is too
// early.
std::int64_t WaitAfterLoss(std::uint64_t aSeed, const LeaderChanges& aChanges) {
  CellModel model(aSeed);
  model.networkBad = false;
  model.Run(5 * kSecond);
  model.Inject(Fault{FaultKind::SubmitJob, kSmallJob});
  while (!RunningAttempt(model) && model.now < 10 * kSecond) {
    model.Run(kStep);
  }
  const std::optional<AttemptId> lost = RunningAttempt(model);
  CPPUNIT_ASSERT(lost);
  const std::uint32_t host = KeepRunning(model, *lost);
  model.Run(5 * kSecond);
  model.Inject(Fault{FaultKind::CutOffWorker, host});
  return WaitForNextAttempt(model, lost->number, aChanges);
}

// The wait of a task that has failed on the only worker so often that its job
// is backed off for several seconds.
std::int64_t WaitAfterFailures(std::uint64_t aSeed,
                               const LeaderChanges& aChanges) {
  constexpr std::uint32_t kFailures = 4;
  CellModel model(aSeed);
  model.networkBad = false;
  model.Run(5 * kSecond);
  for (std::uint32_t host = 1; host < model.hosts.size(); ++host) {
    model.Inject(Fault{FaultKind::CrashWorker, host});
  }
  model.Run(10 * kSecond);
  model.Inject(Fault{FaultKind::SubmitFailingJob, kSmallJob});
  const auto task = [&model] { return FindTask(model.committedState, kTask); };
  while (task()->failures < kFailures && model.now < 600 * kSecond) {
    model.Run(kStep);
  }
  CPPUNIT_ASSERT_EQUAL(kFailures, task()->failures);
  return WaitForNextAttempt(model, task()->attempts, aChanges);
}

std::string InMillis(std::int64_t aMicros) {
  return std::to_string(aMicros / 1000) + " ms";
}

// Runs the scenario with each seed and each row of kChanges, and compares its
// wait with that of one and the same leader.
void CheckWaits(std::int64_t (*aWait)(std::uint64_t, const LeaderChanges&)) {
  std::string failures;
  for (std::uint64_t seed = 1; seed <= kModelSeeds; ++seed) {
    const std::int64_t wait = aWait(seed, kNoChange);
    CPPUNIT_ASSERT(wait < kMaxWait);
    for (const LeaderChanges& changes : kChanges) {
      const std::int64_t longer = aWait(seed, changes);
      if (longer > wait + kMaxExtraWait) {
        failures += "\nseed " + std::to_string(seed) + ", leader changes " +
                    changes.name + ": waited " + InMillis(longer) +
                    ", without a change " + InMillis(wait);
      }
    }
  }
  CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
}

}  // namespace

class KnownRedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRedTest);
  CPPUNIT_TEST(testTaskOfALostWorkerRunsDespiteChangesOfLeader);
  CPPUNIT_TEST(testBackOffOfAJobEndsDespiteChangesOfLeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each leader counts the leases of all workers from the moment it gained
  // leadership, so that the task of a lost worker never runs again while the
  // leader changes every few seconds.
  void testTaskOfALostWorkerRunsDespiteChangesOfLeader() {
    CheckWaits(WaitAfterLoss);
  }

  // Each leader begins the back-off of a job anew from the replicated number of
  // failures, so that the job's tasks are never tried again while the leader
  // changes more often than the back-off ends.
  void testBackOffOfAJobEndsDespiteChangesOfLeader() {
    CheckWaits(WaitAfterFailures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRedTest);

}  // namespace bramleypath::cell
