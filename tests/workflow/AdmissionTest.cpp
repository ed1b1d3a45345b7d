#include "bramleypath/workflow/Admission.h"
#include "bramleypath/workflow/JobOrder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace bramleypath::workflow {

namespace {

AdmissionView MakeView(double aBacklogSeconds) {
  AdmissionView view;
  view.capacityMilli = 100000;
  view.backlogWork = aBacklogSeconds * 1000 * view.capacityMilli;
  view.jobWork = 50 * view.capacityMilli;
  view.chainMs = 1000;
  view.objectiveMs = 2000;
  return view;
}

struct ChainCase {
  const char* name;
  double chainMs;
  double factor;
  double objectiveMs;
  double correctedMs;
};

const ChainCase kChains[] = {
    {"nothing learned", 1000, 1, 2000, 1000},
    {"slower than alone", 1000, 2, 2000, 2000},
    {"faster than estimated", 1000, 0.5, 2000, 500},
    {"leaves time to wait", 1000, 4, 1000, 2010},
    {"objective shorter than the chain", 1000, 4, 300, 1000},
};

// A job with an objective of 2,000 ms that takes 1,055 ms alone.
struct DecisionCase {
  const char* name;
  double backlogSeconds;
  bool isShort;
  std::uint32_t level;
  double workRatio;
  AdmissionReason reason;
};

const DecisionCase kDecisions[] = {
    {"nothing ahead", 0, false, 2, 1, AdmissionReason::InTime},
    {"in time while short", 0.5, true, 9, 2, AdmissionReason::InTime},
    {"late, not short", 3, false, 9, 2, AdmissionReason::Late},
    {"highest priority while short", 1.5, true, 0, 1, AdmissionReason::Late},
    {"lower priority while short", 1.5, true, 2, 1, AdmissionReason::Late},
    {"large job while short", 1.5, true, 0, 2, AdmissionReason::Late},
    {"useless", 20, false, 0, 1, AdmissionReason::Useless},
    {"useless while short", 20, true, 0, 1, AdmissionReason::Useless},
};

AdmissionView AnyView() {
  AdmissionView view = MakeView(*rc::gen::inRange(0, 3000) / 100.0);
  view.level = *rc::gen::inRange(0U, kLastLevel + 1);
  view.isShort = *rc::gen::arbitrary<bool>();
  view.workRatio = *rc::gen::inRange(50, 200) / 100.0;
  view.chainFactor = *rc::gen::inRange(50, 400) / 100.0;
  view.waitedMs = *rc::gen::inRange(0, 20000);
  view.objectiveMs = *rc::gen::inRange(1, 20000);
  return view;
}

bool IsAccepted(const AdmissionView& aView) {
  Random random{1};
  return DecideAdmission(aView, random).accepted;
}

// Result for jobs that arrive at twice the capacity for ten seconds and are
// served in order of arrival: how many end within three times their objective.
struct BurstResult {
  int accepted = 0;
  int useful = 0;
};

BurstResult ReplayBurst(bool aUsesAdmission) {
  constexpr int kJobs = 400;
  constexpr double kGapMs = 25;
  constexpr double kJobSeconds = 0.05;  // of the whole capacity
  constexpr double kUsableShare = 0.9;
  Random random{1};
  BurstResult result;
  double freeAtMs = 0;
  for (int job = 0; job < kJobs; ++job) {
    const double nowMs = job * kGapMs;
    const double queueMs = std::max(0.0, freeAtMs - nowMs);
    AdmissionView view = MakeView(queueMs * kUsableShare / 1000);
    if (aUsesAdmission && !DecideAdmission(view, random).accepted) {
      continue;
    }
    ++result.accepted;
    freeAtMs = std::max(freeAtMs, nowMs) + kJobSeconds * 1000;
    const double endMs = freeAtMs + view.chainMs - nowMs;
    result.useful += endMs <= 3 * view.objectiveMs ? 1 : 0;
  }
  return result;
}

}  // namespace

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(testEmptyCellAcceptsAll);
  CPPUNIT_TEST(testDecisions);
  CPPUNIT_TEST(testObjectiveShorterThanTheRunTime);
  CPPUNIT_TEST(testReturningCallerIsRefusedOnceUseless);
  CPPUNIT_TEST(testMoreBacklogNeverAcceptsMore);
  CPPUNIT_TEST(testHigherPriorityIsNeverRefusedBeforeALowerOne);
  CPPUNIT_TEST(testCorrectedChains);
  CPPUNIT_TEST(testCorrectionAloneRefusesNothing);
  CPPUNIT_TEST(testJobThatWouldEndTooLateIsRefused);
  CPPUNIT_TEST(testLongRunningJobIsAcceptedDespiteABacklog);
  CPPUNIT_TEST(testLongRunningJobOverTheLimitIsRefused);
  CPPUNIT_TEST(testLongRunningJobsLeaveProcessorsForShortOnes);
  CPPUNIT_TEST(testRetryTimesAreSpread);
  CPPUNIT_TEST(testAdmittedBurstEndsInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testEmptyCellAcceptsAll() {
    Random random{1};
    CPPUNIT_ASSERT(DecideAdmission(MakeView(0), random).accepted);
    // The capacity of the workers is not known yet.
    CPPUNIT_ASSERT(DecideAdmission(AdmissionView(), random).accepted);
  }

  void testDecisions() {
    Random random{1};
    for (const DecisionCase& one : kDecisions) {
      AdmissionView view = MakeView(one.backlogSeconds);
      view.isShort = one.isShort;
      view.level = one.level;
      view.workRatio = one.workRatio;
      const AdmissionDecision decision = DecideAdmission(view, random);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::string(ToText(one.reason)),
                                   std::string(ToText(decision.reason)));
    }
  }

  // An objective shorter than the run time must not bar a queue; what would end
  // after three objectives is refused all the same.
  void testObjectiveShorterThanTheRunTime() {
    AdmissionView view = MakeView(0.1);
    view.objectiveMs = 700;
    view.isShort = true;
    view.level = kLastLevel - 4;
    CPPUNIT_ASSERT(IsAccepted(view));
    view.backlogWork *= 20;
    CPPUNIT_ASSERT(!IsAccepted(view));
  }

  // A caller measures from its first attempt, so that a job that would end in
  // time from now may be useless to it.
  void testReturningCallerIsRefusedOnceUseless() {
    AdmissionView view = MakeView(0.5);
    view.waitedMs = 4000;
    CPPUNIT_ASSERT(IsAccepted(view));
    view.waitedMs = 5000;
    CPPUNIT_ASSERT(!IsAccepted(view));
    view.backlogWork = 0;
    CPPUNIT_ASSERT(IsAccepted(view));
  }

  void testMoreBacklogNeverAcceptsMore() {
    CPPUNIT_ASSERT(rc::check("monotone in the backlog", [] {
      AdmissionView less = AnyView();
      AdmissionView more = less;
      more.backlogWork += *rc::gen::inRange(0, 1000000000);
      RC_ASSERT(IsAccepted(less) || !IsAccepted(more));
    }));
  }

  void testHigherPriorityIsNeverRefusedBeforeALowerOne() {
    CPPUNIT_ASSERT(rc::check("monotone in the priority", [] {
      AdmissionView first = AnyView();
      AdmissionView second = first;
      second.level = *rc::gen::inRange(first.level, kLastLevel + 1);
      RC_ASSERT(IsAccepted(first) || !IsAccepted(second));
    }));
  }

  void testCorrectedChains() {
    for (const ChainCase& one : kChains) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
          one.name, one.correctedMs,
          CorrectedChainMs(one.chainMs, one.factor, one.objectiveMs), 1e-6);
    }
  }

  // A queue with a short objective must not lose its jobs to a learned factor
  // while nothing waits.
  void testCorrectionAloneRefusesNothing() {
    Random random{1};
    for (const double objectiveMs : {400.0, 1000.0, 5000.0}) {
      AdmissionView view = MakeView(0);
      view.objectiveMs = objectiveMs;
      view.chainFactor = 4;
      CPPUNIT_ASSERT(DecideAdmission(view, random).accepted);
    }
  }

  void testJobThatWouldEndTooLateIsRefused() {
    Random random{1};
    const AdmissionDecision decision = DecideAdmission(MakeView(20), random);
    CPPUNIT_ASSERT(!decision.accepted);
    CPPUNIT_ASSERT(decision.retryAfterSeconds >= 1);
    CPPUNIT_ASSERT(decision.expectedMs > 20000);
  }

  // A long-running job has no objective that a backlog could make it miss.
  void testLongRunningJobIsAcceptedDespiteABacklog() {
    Random random{1};
    AdmissionView view = MakeView(20);
    view.longRunning = true;
    view.jobLongRunningMilli = 40000;
    view.workersMilli = 100000;
    CPPUNIT_ASSERT(DecideAdmission(view, random).accepted);
  }

  void testLongRunningJobOverTheLimitIsRefused() {
    Random random{1};
    AdmissionView view = MakeView(0);
    view.longRunning = true;
    view.jobLongRunningMilli = 40000;
    view.longRunningMilli = 60000;
    view.workersMilli = 100000;
    const AdmissionDecision decision = DecideAdmission(view, random);
    CPPUNIT_ASSERT(!decision.accepted);
    CPPUNIT_ASSERT(decision.retryAfterSeconds >= 1);
    // The capacity of the workers is not known yet.
    view.workersMilli = 0;
    CPPUNIT_ASSERT(DecideAdmission(view, random).accepted);
  }

  // Long-running jobs arrive throughout a day, each with 40 of 2464 processors.
  // Without a limit they reserve all processors, and short jobs of 24
  // processors wait forever.
  void testLongRunningJobsLeaveProcessorsForShortOnes() {
    constexpr double kWorkersMilli = 2464000;
    constexpr double kLongRunningMilli = 40000;
    constexpr double kShortMilli = 24000;
    Random random{1};
    AdmissionView view;
    view.longRunning = true;
    view.jobLongRunningMilli = kLongRunningMilli;
    view.workersMilli = kWorkersMilli;
    int accepted = 0;
    for (int arrival = 0; arrival < 80; ++arrival) {
      if (DecideAdmission(view, random).accepted) {
        ++accepted;
        view.longRunningMilli += kLongRunningMilli;
      }
    }
    CPPUNIT_ASSERT(kWorkersMilli - view.longRunningMilli >= 8 * kShortMilli);
    CPPUNIT_ASSERT(accepted >= 50);
  }

  // Callers that retry at the same time would cause a second burst.
  void testRetryTimesAreSpread() {
    Random random{1};
    std::set<std::uint32_t> seconds;
    for (int caller = 0; caller < 50; ++caller) {
      seconds.insert(DecideAdmission(MakeView(10), random).retryAfterSeconds);
    }
    CPPUNIT_ASSERT(seconds.size() >= 3);
  }

  // Without admission control the queue grows until no job ends in time.
  void testAdmittedBurstEndsInTime() {
    const BurstResult withoutAdmission = ReplayBurst(false);
    const BurstResult withAdmission = ReplayBurst(true);
    CPPUNIT_ASSERT_EQUAL(withAdmission.accepted, withAdmission.useful);
    CPPUNIT_ASSERT(withoutAdmission.useful < withoutAdmission.accepted);
    CPPUNIT_ASSERT(withAdmission.useful >= withoutAdmission.useful);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace bramleypath::workflow
