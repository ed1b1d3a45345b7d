#include "bramleypath/workflow/ChooseHost.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace bramleypath::workflow {

namespace {

HostView MakeHost() {
  HostView host;
  host.capacity = Resources{8000, 8000, 0};
  host.available = host.capacity;
  return host;
}

struct HostCase {
  const char* name;
  void (*makeWorse)(HostView&);
};

// Each row makes the first of two equal hosts worse than the second.
const HostCase kWorse[] = {
    {"excluded", [](HostView& aHost) { aHost.excluded = true; }},
    {"too few processors",
     [](HostView& aHost) { aHost.available.processorsMilli = 100; }},
    {"too little memory",
     [](HostView& aHost) { aHost.available.memoryMb = 10; }},
    {"away from the data", [](HostView& aHost) { aHost.isDataRack = false; }},
    {"away from the stage", [](HostView& aHost) { aHost.isStageRack = false; }},
    {"slow", [](HostView& aHost) { aHost.speed = 0.5; }},
    {"failed lately", [](HostView& aHost) { aHost.recentFailures = 2; }},
    {"interference", [](HostView& aHost) { aHost.interference = 0.5; }},
    {"fuller", [](HostView& aHost) { aHost.available.processorsMilli = 2000; }},
};

TaskView MakeTask() {
  TaskView task;
  task.demand = Resources{1000, 1000, 0};
  task.farFactor = 1.5;
  return task;
}

}  // namespace

class ChooseHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChooseHostTest);
  CPPUNIT_TEST(testWorseHostIsAvoided);
  CPPUNIT_TEST(testWorseHostIsChosenWhenTheOtherIsFull);
  CPPUNIT_TEST(testNoHost);
  CPPUNIT_TEST(testFillerNeedsNoProcessors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testWorseHostIsAvoided() {
    for (const HostCase& one : kWorse) {
      std::vector<HostView> hosts = {MakeHost(), MakeHost()};
      one.makeWorse(hosts[0]);
      const auto chosen = ChooseHost(hosts, MakeTask());
      CPPUNIT_ASSERT_MESSAGE(one.name, chosen && *chosen == 1);
    }
  }

  void testWorseHostIsChosenWhenTheOtherIsFull() {
    std::vector<HostView> hosts = {MakeHost(), MakeHost()};
    hosts[0].speed = 0.2;
    hosts[0].isDataRack = false;
    hosts[1].available = Resources();
    const auto chosen = ChooseHost(hosts, MakeTask());
    CPPUNIT_ASSERT(chosen && *chosen == 0);
  }

  void testNoHost() { CPPUNIT_ASSERT(!ChooseHost({}, MakeTask())); }

  void testFillerNeedsNoProcessors() {
    std::vector<HostView> hosts = {MakeHost()};
    hosts[0].available.processorsMilli = 0;
    TaskView task = MakeTask();
    CPPUNIT_ASSERT(!ChooseHost(hosts, task));
    task.filler = true;
    CPPUNIT_ASSERT(ChooseHost(hosts, task));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseHostTest);

}  // namespace bramleypath::workflow
