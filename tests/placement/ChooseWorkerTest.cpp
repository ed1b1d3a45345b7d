#include "bramleypath/placement/ChooseWorker.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace bramleypath::placement {

namespace {

constexpr ClassIndex kService = 0;
constexpr ClassIndex kQuiet = 1;
constexpr ClassIndex kNoisy = 2;
constexpr std::size_t kClasses = 3;

WorkerView MakeWorker(std::int64_t aAvailableMilli, double aLoad) {
  WorkerView worker;
  worker.capacity = Resources{32000, 125000, 1};
  worker.available = Resources{aAvailableMilli, 60000, 1};
  worker.services = {ServiceView{kService, aLoad}};
  return worker;
}

// The noisy class adds 0.25 to the log slowdown of the service, the quiet one
// nothing.
Interference KnownPairs() {
  Interference table = MakeInterference(kClasses, {});
  for (std::size_t victim = 0; victim < kClasses; ++victim) {
    for (std::size_t aggressor = 0; aggressor < kClasses; ++aggressor) {
      for (std::size_t band = 0; band < kLoadBands; ++band) {
        PairEstimate& pair =
            table.pairs[(victim * kClasses + aggressor) * kLoadBands + band];
        pair.mean = victim == kService && aggressor == kNoisy ? 0.25 : 0;
        pair.variance = 0;
      }
    }
  }
  return table;
}

TaskRequest MakeTask(ClassIndex aClass) {
  TaskRequest task;
  task.demand = Resources{2000, 1000, 0};
  task.classIndex = aClass;
  return task;
}

}  // namespace

class ChooseWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChooseWorkerTest);
  CPPUNIT_TEST(testReportsWhyNoWorkerIsChosen);
  CPPUNIT_TEST(testAvoidsInterferenceWithService);
  CPPUNIT_TEST(testWaitingWidensSlowdownLimit);
  CPPUNIT_TEST(testSpreadsOverRacks);
  CPPUNIT_TEST(testNeverExceedsFreeResources);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting a lack of free resources for a job that no worker
  // can ever hold, and against the reverse.
  void testReportsWhyNoWorkerIsChosen() {
    struct Row {
      const char* label;
      Resources demand;
      std::int64_t available;
      bool excluded;
      bool stopped;
      NoWorkerReason expected;
    };
    const Row rows[] = {
        {"larger than any worker",
         {64000, 1, 0},
         32000,
         false,
         false,
         NoWorkerReason::NoSuchWorker},
        {"more accelerators than any",
         {1, 1, 2},
         32000,
         false,
         false,
         NoWorkerReason::NoSuchWorker},
        {"not enough free resources",
         {8000, 1, 0},
         4000,
         false,
         false,
         NoWorkerReason::InsufficientResources},
        {"excluded", {1000, 1, 0}, 4000, true, false, NoWorkerReason::Excluded},
        {"admission stopped",
         {1000, 1, 0},
         4000,
         false,
         true,
         NoWorkerReason::WouldDegradeService},
    };
    const Interference table = KnownPairs();
    for (const Row& row : rows) {
      std::vector<WorkerView> workers{MakeWorker(row.available, 0.3)};
      workers[0].excluded = row.excluded;
      workers[0].admissionStopped = row.stopped;
      TaskRequest task = MakeTask(kQuiet);
      task.demand = row.demand;
      NoWorkerReason reason = NoWorkerReason::InsufficientResources;
      CPPUNIT_ASSERT_MESSAGE(
          row.label, !ChooseWorker(workers, table, task, Weights{}, reason));
      CPPUNIT_ASSERT_MESSAGE(row.label, reason == row.expected);
    }
  }

  // Guards against a choice by free resources alone: the fuller worker runs a
  // service that the noisy class slows.
  void testAvoidsInterferenceWithService() {
    std::vector<WorkerView> workers{MakeWorker(4000, 0.4),
                                    MakeWorker(20000, 0.4)};
    workers[1].services.clear();
    NoWorkerReason reason = NoWorkerReason::InsufficientResources;
    const auto noisy = ChooseWorker(workers, KnownPairs(), MakeTask(kNoisy),
                                    Weights{}, reason);
    CPPUNIT_ASSERT(noisy && noisy->worker == 1);
    const auto quiet = ChooseWorker(workers, KnownPairs(), MakeTask(kQuiet),
                                    Weights{}, reason);
    CPPUNIT_ASSERT(quiet.has_value());
  }

  // Guards against starvation of a task that would slow the service of every
  // worker beyond its limit.
  void testWaitingWidensSlowdownLimit() {
    struct Row {
      double waited;
      bool urgent;
      bool placed;
    };
    const Row rows[] = {
        {0, false, false}, {0, true, true}, {6000, false, true}};
    const std::vector<WorkerView> workers{MakeWorker(4000, 0.9)};
    for (const Row& row : rows) {
      TaskRequest task = MakeTask(kNoisy);
      task.waitedSeconds = row.waited;
      task.urgent = row.urgent;
      NoWorkerReason reason = NoWorkerReason::InsufficientResources;
      const auto choice =
          ChooseWorker(workers, KnownPairs(), task, Weights{}, reason);
      CPPUNIT_ASSERT_EQUAL(row.placed, choice.has_value());
      CPPUNIT_ASSERT(row.placed ||
                     reason == NoWorkerReason::WouldDegradeService);
    }
  }

  void testSpreadsOverRacks() {
    std::vector<WorkerView> workers{MakeWorker(8000, 0.3),
                                    MakeWorker(20000, 0.3)};
    workers[1].rack = 1;
    TaskRequest task = MakeTask(kQuiet);
    task.spreadRacks = true;
    task.usedRacks = {0};
    NoWorkerReason reason = NoWorkerReason::InsufficientResources;
    auto choice = ChooseWorker(workers, KnownPairs(), task, Weights{}, reason);
    CPPUNIT_ASSERT(choice && choice->worker == 1);
    workers[1].excluded = true;
    choice = ChooseWorker(workers, KnownPairs(), task, Weights{}, reason);
    CPPUNIT_ASSERT_MESSAGE("a used rack is better than waiting",
                           choice && choice->worker == 0);
  }

  // Guards against overcommitment for any mix of worker states, demand, urgency
  // and waiting time.
  void testNeverExceedsFreeResources() {
    const bool held = rc::check(
        "the chosen worker has room, and none is chosen only without reason",
        [] {
          std::vector<WorkerView> workers;
          const auto count = *rc::gen::inRange(0, 12);
          for (int i = 0; i < count; ++i) {
            WorkerView worker = MakeWorker(*rc::gen::inRange(0, 32000), 0.5);
            worker.excluded = *rc::gen::arbitrary<bool>();
            worker.admissionStopped = *rc::gen::arbitrary<bool>();
            worker.available.accelerators = *rc::gen::inRange(0, 2);
            workers.push_back(worker);
          }
          TaskRequest task = MakeTask(
              static_cast<ClassIndex>(*rc::gen::inRange<int>(0, kClasses + 2)));
          task.demand.processorsMilli = *rc::gen::inRange(0, 40000);
          task.demand.accelerators = *rc::gen::inRange(0, 2);
          task.urgent = *rc::gen::arbitrary<bool>();
          task.isService = *rc::gen::arbitrary<bool>();
          task.waitedSeconds = *rc::gen::inRange(0, 100000);
          NoWorkerReason reason = NoWorkerReason::InsufficientResources;
          const auto choice =
              ChooseWorker(workers, KnownPairs(), task, Weights{}, reason);
          if (choice) {
            const WorkerView& worker = workers.at(choice->worker);
            RC_ASSERT(Fits(task.demand, worker.available));
            RC_ASSERT(!worker.excluded);
          } else {
            RC_ASSERT(*Describe(reason) != '\0');
          }
        });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseWorkerTest);

}  // namespace bramleypath::placement
