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

// Changes of leader, with times from the loss of the worker.
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

// The time from the loss of the worker of a task until the task runs on another
// one; kMaxWait when it doesn't. The lost worker keeps running the task until
// its lease ends, so that the model reports a start that is too early.
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

  const std::int64_t lostAt = model.now;
  std::int64_t nextChangeAt = lostAt + aChanges.first;
  int changes = 0;
  std::optional<AttemptId> running = lost;
  while ((!running || *running == *lost) && model.now - lostAt < kMaxWait) {
    if (changes < aChanges.count && model.now >= nextChangeAt) {
      ChangeLeader(model);
      ++changes;
      nextChangeAt += aChanges.interval;
    }
    model.Run(kStep);
    running = RunningAttempt(model);
  }
  CPPUNIT_ASSERT(model.oracle.violations.empty());
  return model.now - lostAt;
}

std::string InMillis(std::int64_t aMicros) {
  return std::to_string(aMicros / 1000) + " ms";
}

}  // namespace

class KnownRedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRedTest);
  CPPUNIT_TEST(testTaskOfALostWorkerRunsDespiteChangesOfLeader);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each leader counts the leases of all workers from the moment it gained
  // leadership, so that the task of a lost worker never runs again while the
  // leader changes every few seconds.
  void testTaskOfALostWorkerRunsDespiteChangesOfLeader() {
    std::string failures;
    for (std::uint64_t seed = 1; seed <= kModelSeeds; ++seed) {
      const std::int64_t wait = WaitAfterLoss(seed, kNoChange);
      CPPUNIT_ASSERT(wait < kMaxWait);
      for (const LeaderChanges& changes : kChanges) {
        const std::int64_t longer = WaitAfterLoss(seed, changes);
        if (longer > wait + kMaxExtraWait) {
          failures += "\nseed " + std::to_string(seed) + ", leader changes " +
                      changes.name + ": waited " + InMillis(longer) +
                      ", without a change " + InMillis(wait);
        }
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRedTest);

}  // namespace bramleypath::cell
