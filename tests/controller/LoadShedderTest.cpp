#include "bramleypath/controller/LoadShedder.h"

#include <algorithm>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace bramleypath::controller {

namespace {

constexpr Duration kSampleInterval = Millis(100);
constexpr int kSamplesPerSecond = 10;
constexpr int kSamplesPerSummary = 2 * kSamplesPerSecond;
constexpr std::uint32_t kTasksOfAJob = 20;

// A leader that works off jobs at a limited rate, as the shedder sees it: its
// loop is delayed by the work that waits.
struct LoadedLeader {
  LoadShedder shedder;
  Random random{7};
  TimePoint now{Seconds(100).micros};
  double jobsPerSecond = 0;  // that it has the time for
  double waitingJobs = 0;
  double maxWaitingJobs = 0;
  int accepted = 0;

  double DelayMs() const {
    constexpr double kIdleDelayMs = 3;
    constexpr double kMsPerSecond = 1000;
    // Part of the waiting work that is ready in one turn of the loop.
    constexpr double kReadyShare = 0.2;
    return kIdleDelayMs +
           kReadyShare * this->waitingJobs / this->jobsPerSecond * kMsPerSecond;
  }

  void Run(int aSeconds, double aArrivalsPerSecond) {
    double arrived = 0;
    for (int sample = 0; sample < aSeconds * kSamplesPerSecond; ++sample) {
      this->now = this->now + kSampleInterval;
      arrived += aArrivalsPerSecond / kSamplesPerSecond;
      for (; arrived >= 1; arrived -= 1) {
        if (IsAdmitted(this->shedder, this->random)) {
          ++this->accepted;
          this->waitingJobs += 1;
          this->shedder.waitingTasks += kTasksOfAJob;
        }
      }
      this->waitingJobs = std::max(
          0.0, this->waitingJobs - this->jobsPerSecond / kSamplesPerSecond);
      this->maxWaitingJobs = std::max(this->maxWaitingJobs, this->waitingJobs);
      if (sample % kSamplesPerSummary == 0) {
        this->shedder.waitingTasks =
            kTasksOfAJob * static_cast<std::uint32_t>(this->waitingJobs);
      }
      OnLoopDelay(this->shedder,
                  Micros(static_cast<std::int64_t>(this->DelayMs() * 1000)),
                  this->now);
    }
  }
};

}  // namespace

class LoadShedderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadShedderTest);
  CPPUNIT_TEST(testLoadBelowTheLimitIsAccepted);
  CPPUNIT_TEST(testLoadAboveTheLimitIsRefused);
  CPPUNIT_TEST(testLoadThatFallsIsAcceptedAgain);
  CPPUNIT_TEST(testDelayWithoutWaitingTasksRefusesNothing);
  CPPUNIT_TEST(testSinglePauseRefusesNothing);
  CPPUNIT_TEST(testRetryTimesGrowWithTheLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testLoadBelowTheLimitIsAccepted() {
    for (const double share : {0.1, 0.5, 0.9}) {
      LoadedLeader leader;
      leader.jobsPerSecond = 20;
      leader.Run(60, share * leader.jobsPerSecond);
      CPPUNIT_ASSERT_EQUAL(0.0, leader.shedder.refusedShare);
    }
  }

  // Guards against a backlog of accepted jobs that grows while the leader
  // hasn't the time to start them.
  void testLoadAboveTheLimitIsRefused() {
    for (const double share : {1.5, 3.0, 10.0}) {
      const std::string context = std::to_string(share);
      LoadedLeader leader;
      leader.jobsPerSecond = 20;
      leader.Run(20, share * leader.jobsPerSecond);
      leader.accepted = 0;
      leader.maxWaitingJobs = 0;
      constexpr int kSeconds = 60;
      leader.Run(kSeconds, share * leader.jobsPerSecond);
      const double rate = static_cast<double>(leader.accepted) / kSeconds;
      // The leader is neither idle nor behind by seconds.
      CPPUNIT_ASSERT_MESSAGE(context, rate > 0.6 * leader.jobsPerSecond);
      CPPUNIT_ASSERT_MESSAGE(context, rate < 1.1 * leader.jobsPerSecond);
      CPPUNIT_ASSERT_MESSAGE(
          context + ": " + std::to_string(leader.maxWaitingJobs),
          leader.maxWaitingJobs < 3 * leader.jobsPerSecond);
    }
  }

  void testLoadThatFallsIsAcceptedAgain() {
    LoadedLeader leader;
    leader.jobsPerSecond = 20;
    leader.Run(20, 100);
    CPPUNIT_ASSERT(leader.shedder.refusedShare > 0);
    leader.Run(15, 2);
    CPPUNIT_ASSERT_EQUAL(0.0, leader.shedder.refusedShare);
  }

  // Guards against a leader that refuses all jobs although none waits, since
  // its loop is delayed by other work.
  void testDelayWithoutWaitingTasksRefusesNothing() {
    LoadShedder shedder;
    shedder.refusedShare = 1;
    Random random{1};
    TimePoint now{Seconds(1).micros};
    for (int sample = 0; sample < 10 * kSamplesPerSecond; ++sample) {
      now = now + kSampleInterval;
      OnLoopDelay(shedder, Millis(90), now);
    }
    CPPUNIT_ASSERT_EQUAL(0.0, shedder.refusedShare);
    CPPUNIT_ASSERT(IsAdmitted(shedder, random));
  }

  // A snapshot or a slow cycle takes one turn of the loop.
  void testSinglePauseRefusesNothing() {
    LoadShedder shedder;
    Random random{1};
    TimePoint now{Seconds(1).micros};
    for (int sample = 0; sample < 100; ++sample) {
      now = now + kSampleInterval;
      OnLoopDelay(shedder, sample % 50 == 10 ? Millis(350) : Millis(5), now);
      CPPUNIT_ASSERT(IsAdmitted(shedder, random));
    }
  }

  void testRetryTimesGrowWithTheLoad() {
    Random random{1};
    LoadShedder shedder;
    shedder.refusedShare = 0.1;
    std::uint32_t longestLow = 0;
    std::uint32_t longestHigh = 0;
    for (int call = 0; call < 100; ++call) {
      longestLow = std::max(longestLow, RetryAfterSeconds(shedder, random));
    }
    shedder.refusedShare = 1;
    for (int call = 0; call < 100; ++call) {
      const std::uint32_t seconds = RetryAfterSeconds(shedder, random);
      CPPUNIT_ASSERT(seconds >= 1);
      longestHigh = std::max(longestHigh, seconds);
    }
    CPPUNIT_ASSERT(longestHigh > longestLow);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadShedderTest);

}  // namespace bramleypath::controller
