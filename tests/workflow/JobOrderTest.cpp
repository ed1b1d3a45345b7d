#include "bramleypath/workflow/JobOrder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace bramleypath::workflow {

namespace {

struct OrderCase {
  const char* name;
  WaitingJob first;
  WaitingJob second;
};

const OrderCase kOrders[] = {
    {"lasting before all", {true, 0, 0, 0}, {false, 0, 1000, 900}},
    {"less slack first", {false, 500, 1000, 400}, {false, 0, 1000, 400}},
    {"late yields to one that can be in time",
     {false, 0, 1000, 400},
     {false, 900, 1000, 400}},
    {"late but useful before useless",
     {false, 900, 1000, 400},
     {false, 5000, 1000, 400}},
    {"higher priority first",
     {false, 0, 1000, 100, 0},
     {false, 500, 1000, 400, 2}},
    {"lower priority that has waited for two objectives before a new job",
     {false, 2100, 1000, 400, 2},
     {false, 0, 9000, 8000, 1}},
    {"useless of a higher priority last",
     {false, 0, 1000, 900, 9},
     {false, 5000, 1000, 400, 0}},
    {"less work first",
     {false, 0, 1000, 400, 2, 0.5},
     {false, 0, 1000, 400, 2, 1}},
    {"urgent large job before a small one",
     {false, 500, 1000, 400, 2, 2},
     {false, 0, 1000, 400, 2, 0.5}},
};

struct ClassCase {
  const char* name;
  ClassOrder order;
  double work;
  double ratio;
};

const ClassCase kClasses[] = {
    {"nothing known", {0, 0, 0, 0}, 500, 1},
    {"all in time", {10, 0, 0, 1000}, 500, 1},
    {"one delayed by something else", {100, 1, 1, 10000}, 500, 1},
    {"short", {10, 1, 0, 1000}, 150, 1.5},
    {"held before any is late", {10, 0, 1, 1000}, 150, 1.5},
    {"very large", {10, 1, 0, 1000}, 5000, 2},
    {"nearly done", {10, 1, 0, 1000}, 1, 0.5},
};

struct LevelCase {
  std::int32_t priority;
  std::uint32_t level;
};

const LevelCase kLevels[] = {
    {std::numeric_limits<std::int32_t>::min(), 0},
    {-1, 0},
    {0, 0},
    {2, 2},
    {9, 9},
    {10, 9},
    {std::numeric_limits<std::int32_t>::max(), 9},
};

struct Arrival {
  double atMs;
  double workMs;
};

WaitingJob AnyJob() {
  WaitingJob job;
  job.ageMs = *rc::gen::inRange(0, 100000);
  job.objectiveMs = *rc::gen::inRange(1, 30000);
  job.remainingMs = *rc::gen::inRange(0, 30000);
  job.level = *rc::gen::inRange(0U, kLastLevel + 1);
  return job;
}

// Jobs of two sizes that arrive at one server faster than it serves them.
std::vector<Arrival> Overload() {
  constexpr int kJobs = 60;
  std::vector<Arrival> arrivals;
  arrivals.reserve(kJobs);
  for (int job = 0; job < kJobs; ++job) {
    arrivals.push_back({job * 50.0, job % 3 == 0 ? 150.0 : 50.0});
  }
  return arrivals;
}

int CountInTime(const std::function<double(const WaitingJob&)>& aRank) {
  const std::vector<Arrival> arrivals = Overload();
  std::vector<bool> served(arrivals.size(), false);
  double nowMs = 0;
  int inTime = 0;
  for (std::size_t turn = 0; turn < arrivals.size(); ++turn) {
    std::size_t best = arrivals.size();
    double bestRank = 0;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
      if (served[index] || arrivals[index].atMs > nowMs) {
        continue;
      }
      WaitingJob job;
      job.ageMs = nowMs - arrivals[index].atMs;
      job.objectiveMs = 2 * arrivals[index].workMs + 300;
      job.remainingMs = arrivals[index].workMs;
      const double rank = aRank(job);
      if (best == arrivals.size() || rank < bestRank) {
        best = index;
        bestRank = rank;
      }
    }
    if (best == arrivals.size()) {
      nowMs += 10;
      --turn;
      continue;
    }
    served[best] = true;
    nowMs += arrivals[best].workMs;
    inTime += nowMs - arrivals[best].atMs <= 2 * arrivals[best].workMs + 300;
  }
  return inTime;
}

}  // namespace

class JobOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobOrderTest);
  CPPUNIT_TEST(testOrders);
  CPPUNIT_TEST(testWorkRatios);
  CPPUNIT_TEST(testLevels);
  CPPUNIT_TEST(testPriorityOrdersJobsWithTheSameTimes);
  CPPUNIT_TEST(testNoJobStarves);
  CPPUNIT_TEST(testOverloadServesMoreInTimeThanArrivalOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testOrders() {
    for (const OrderCase& one : kOrders) {
      CPPUNIT_ASSERT_MESSAGE(one.name,
                             StartRank(one.first) < StartRank(one.second));
    }
  }

  void testWorkRatios() {
    for (const ClassCase& one : kClasses) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.ratio,
                                   WorkRatio(one.order, one.work));
    }
  }

  // An odd priority in the configuration must not end up before or behind all
  // groups of the order.
  void testLevels() {
    for (const LevelCase& one : kLevels) {
      CPPUNIT_ASSERT_EQUAL(one.level, LevelOf(one.priority));
    }
  }

  void testPriorityOrdersJobsWithTheSameTimes() {
    CPPUNIT_ASSERT(rc::check("a higher priority never ranks behind", [] {
      WaitingJob first = AnyJob();
      WaitingJob second = first;
      second.level = *rc::gen::inRange(first.level, kLastLevel + 1);
      RC_ASSERT(StartRank(first) <= StartRank(second));
    }));
  }

  // Without ageing, jobs of a higher priority that keep arriving would keep a
  // job of a lower one from starting for ever.
  void testNoJobStarves() {
    CPPUNIT_ASSERT(rc::check("a job of any level reaches the first", [] {
      WaitingJob job = AnyJob();
      job.ageMs = job.objectiveMs * job.level;
      RC_ASSERT(AgedLevel(job) == 0);
    }));
  }

  // In order of arrival, one late job makes all jobs behind it late.
  void testOverloadServesMoreInTimeThanArrivalOrder() {
    const int inArrivalOrder =
        CountInTime([](const WaitingJob& aJob) { return -aJob.ageMs; });
    const int byRank = CountInTime(StartRank);
    CPPUNIT_ASSERT(byRank > 2 * inArrivalOrder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobOrderTest);

}  // namespace bramleypath::workflow
