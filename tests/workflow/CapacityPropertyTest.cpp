#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <string>

#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

struct CapacityCase {
  const char* name;
  double announcementLost = 0;
  double announcementLate = 0;
  double answerLost = 0;
  double sentTooLate = 0;
  bool changesLeader = false;
  bool partitionsWorkers = false;
  bool restartsWorkers = false;
};

// Each row guards against a start that brings a worker over a capacity that
// shrinks and grows while it runs, and against a task that is never started.
constexpr CapacityCase kCases[] = {
    {"capacities change"},
    {"announcements lost and late", 0.2, 0.2},
    {"answers lost", 0, 0, 0.2},
    {"leader late", 0, 0, 0, 0.3},
    {"leaders change", 0, 0.2, 0, 0, true},
    {"workers partitioned", 0, 0, 0, 0, false, true},
    {"workers restart as another kind", 0, 0, 0, 0, false, false, true},
    {"all at once", 0.1, 0.1, 0.1, 0.1, true, true, true},
};

constexpr std::uint64_t kSeeds = 12;
// Overrides the number of seeds, as in FaultPropertyTest.
constexpr const char* kSeedsVariable = "FAULT_SEEDS";
constexpr int kFaultSeconds = 30;
constexpr int kWorkers = 5;
constexpr Resources kFull{8000, 8000, 0};

Resources RandomCapacity(Random& aRandom) {
  constexpr std::uint64_t kSteps = 5;
  constexpr std::int64_t kStepMilli = 2000;
  Resources capacity = kFull;
  capacity.processorsMilli =
      static_cast<std::int64_t>(NextBelow(aRandom, kSteps)) * kStepMilli;
  return capacity;
}

void InjectFaults(CellModel& aCell, const CapacityCase& aCase) {
  const std::string worker =
      "w" + std::to_string(NextBelow(aCell.random, kWorkers));
  constexpr std::uint64_t kOneIn = 4;
  SetCapacity(aCell.workers.at(worker), RandomCapacity(aCell.random),
              aCell.now);
  if (aCase.changesLeader && NextBelow(aCell.random, kOneIn) == 0) {
    aCell.ChangeLeader();
  }
  if (aCase.partitionsWorkers) {
    aCell.SetPartitioned(worker, NextBelow(aCell.random, 2) == 0);
  }
  if (aCase.restartsWorkers && NextBelow(aCell.random, kOneIn) == 0) {
    aCell.RestartWorkerAs(worker, RandomCapacity(aCell.random));
  }
}

void SubmitJobs(CellModel& aCell, int aSecond) {
  const std::string number = std::to_string(aSecond);
  JobSpec spec = MakeJob("job" + number);
  spec.stages = {MakeStage(3, 2500, 1000), MakeStage(2, 1500, 1000)};
  spec.stages[1].after = {0};
  aCell.Submit(spec);
  JobSpec gang = MakeJob("gang" + number);
  gang.stages = {MakeStage(3, 2000, 1000)};
  gang.stages[0].gang = true;
  aCell.Submit(gang);
}

std::string UnfinishedJob(const CellModel& aCell) {
  for (const auto& [number, job] : aCell.state.jobs) {
    if (job.phase == JobPhase::Active || job.placed > 0) {
      return job.id.value + " is not done";
    }
  }
  return "";
}

std::string RunCase(const CapacityCase& aCase, std::uint64_t aSeed) {
  CellModel cell(aSeed);
  for (int worker = 0; worker < kWorkers; ++worker) {
    const std::string id = "w" + std::to_string(worker);
    cell.AddWorker(id);
    cell.workers.at(id).runMs =
        static_cast<std::uint32_t>(500 + NextBelow(cell.random, 2500));
    cell.workers.at(id).stopMs = 400;
  }
  cell.faults.announcementLost = aCase.announcementLost;
  cell.faults.announcementLate = aCase.announcementLate;
  cell.faults.answerLost = aCase.answerLost;
  cell.faults.sentTooLate = aCase.sentTooLate;
  for (int second = 0; second < kFaultSeconds; ++second) {
    SubmitJobs(cell, second);
    InjectFaults(cell, aCase);
    cell.Run(Seconds(1));
  }
  cell.faults = Faults();
  for (int worker = 0; worker < kWorkers; ++worker) {
    const std::string id = "w" + std::to_string(worker);
    cell.SetPartitioned(id, false);
    SetCapacity(cell.workers.at(id), kFull, cell.now);
  }
  cell.Run(Seconds(60));
  return cell.violations.empty() ? UnfinishedJob(cell)
                                 : cell.violations.front();
}

std::uint64_t CountSeeds() {
  const char* const text = std::getenv(kSeedsVariable);
  return text ? std::strtoull(text, nullptr, 10) : kSeeds;
}

}  // namespace

class CapacityPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityPropertyTest);
  CPPUNIT_TEST(testStartsFitIntoChangingCapacities);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testStartsFitIntoChangingCapacities() {
    for (const CapacityCase& one : kCases) {
      for (std::uint64_t seed = 1; seed <= CountSeeds(); ++seed) {
        const std::string wrong = RunCase(one, seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::string(one.name) + " seed " + std::to_string(seed),
            std::string(), wrong);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityPropertyTest);

}  // namespace bramleypath::workflow
