#include "bramleypath/workflow/JobOrder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
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
};

struct Arrival {
  double atMs;
  double workMs;
};

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
  CPPUNIT_TEST(testOverloadServesMoreInTimeThanArrivalOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testOrders() {
    for (const OrderCase& one : kOrders) {
      CPPUNIT_ASSERT_MESSAGE(one.name,
                             StartRank(one.first) < StartRank(one.second));
    }
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
