#include "bramleypath/workflow/LeaseEnds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/workflow/Scheduler.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr TimePoint kBegin{1000 * 1000};
constexpr WorkerNumber kWorker = 1;

// What a replica sees, in this order.
struct Step {
  enum class Kind { TermBegan, Permit, Limit, Restored } kind;
  std::int64_t atMs;
  std::uint32_t remainingMs = 0;
};

struct EndCase {
  const char* name;
  std::vector<Step> steps;
  std::optional<std::int64_t> endMs;
};

const std::vector<EndCase> kCases = {
    {"nothing is known at first", {}, std::nullopt},
    {"a permit ends after its time", {{Step::Kind::Permit, 100, 11000}}, 11100},
    {"a later permit puts the end off",
     {{Step::Kind::Permit, 100, 11000}, {Step::Kind::Permit, 900, 11000}},
     11900},
    {"a limit brings the end forward",
     {{Step::Kind::Permit, 100, 11000}, {Step::Kind::Limit, 2000, 7000}},
     9000},
    {"a limit that is applied late doesn't put the end off",
     {{Step::Kind::Limit, 2000, 7000}, {Step::Kind::Limit, 4000, 7000}},
     9000},
    {"a permit after a limit counts",
     {{Step::Kind::Limit, 2000, 7000}, {Step::Kind::Permit, 3000, 11000}},
     14000},
    {"a limit alone is enough after a restart",
     {{Step::Kind::Permit, 100, 11000},
      {Step::Kind::Restored, 500},
      {Step::Kind::Limit, 2000, 7000}},
     9000},
    {"a snapshot says nothing about leases",
     {{Step::Kind::Permit, 100, 11000}, {Step::Kind::Restored, 500}},
     std::nullopt},
    {"a change of leader doesn't put the end off",
     {{Step::Kind::Permit, 100, 11000}, {Step::Kind::TermBegan, 5000}},
     11100},
    {"a leader without permits may have granted any lease",
     {{Step::Kind::Permit, 100, 11000},
      {Step::Kind::TermBegan, 5000},
      {Step::Kind::TermBegan, 9000}},
     std::nullopt},
    {"a leader that has announced permits keeps to them",
     {{Step::Kind::Permit, 100, 11000},
      {Step::Kind::TermBegan, 5000},
      {Step::Kind::Limit, 5100, 5000},
      {Step::Kind::TermBegan, 9000}},
     10100},
};

void Take(LeaseEnds& aEnds, const State& aState, const Step& aStep) {
  const TimePoint now = kBegin + Millis(aStep.atMs);
  switch (aStep.kind) {
    case Step::Kind::TermBegan:
      OnTermBegan(aEnds);
      break;
    case Step::Kind::Permit:
      OnApplied(aEnds, aState, PermitLeases{{kWorker}, aStep.remainingMs}, now);
      break;
    case Step::Kind::Limit:
      OnApplied(aEnds, aState, LimitLeases{{{kWorker, aStep.remainingMs}}},
                now);
      break;
    case Step::Kind::Restored:
      OnRestored(aEnds);
      break;
  }
}

}  // namespace

// Each test guards against a task that starts again while an earlier leader's
// lease still runs, or that waits for one that has expired.
class LeaseEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseEndsTest);
  CPPUNIT_TEST(testEnds);
  CPPUNIT_TEST(testRequestForAnEarlierIncarnationCounts);
  CPPUNIT_TEST(testEndOfAnEarlierIncarnationIsForgotten);
  CPPUNIT_TEST(testNewLeaderCountsRequestsForAnEarlierIncarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testEnds() {
    State state;
    Apply(state, RegisterWorker{MakeWorker("w")});
    for (const EndCase& one : kCases) {
      LeaseEnds ends;
      for (const Step& step : one.steps) {
        Take(ends, state, step);
      }
      const auto end = FindLeaseEnd(ends, kWorker);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.endMs.has_value(),
                                   end.has_value());
      if (end) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, *one.endMs,
                                     ToMillis(*end - kBegin));
      }
    }
  }

  // A start for an earlier incarnation may reach the one that took its id, so
  // that its lease begins seconds later.
  void testRequestForAnEarlierIncarnationCounts() {
    State state = MakePlacedState();
    LeaseEnds ends;
    RestartWorker(state, ends, kBegin);
    const TimePoint expected = kBegin + ends.longestLease + kMaxRequestDelay;
    const auto end = FindLeaseEnd(ends, state.lastWorker);
    CPPUNIT_ASSERT(end.has_value());
    CPPUNIT_ASSERT(expected == *end);
    // A permit doesn't bring the end forward.
    OnApplied(ends, state, PermitLeases{{state.lastWorker}, 11000}, kBegin);
    CPPUNIT_ASSERT(expected == *FindLeaseEnd(ends, state.lastWorker));
  }

  void testEndOfAnEarlierIncarnationIsForgotten() {
    State state = MakePlacedState();
    LeaseEnds ends;
    OnApplied(ends, state, PermitLeases{{kWorker}, 11000}, kBegin);
    RestartWorker(state, ends, kBegin);
    CPPUNIT_ASSERT(!FindLeaseEnd(ends, kWorker));
  }

  // Also where the replica restored a snapshot and knows nothing else.
  void testNewLeaderCountsRequestsForAnEarlierIncarnation() {
    State state = MakePlacedState();
    LeaseEnds ends;
    RestartWorker(state, ends, kBegin);
    const SchedulerSettings settings;
    const Scheduler scheduler =
        MakeScheduler(settings, 1, state, LeaseEnds(), 1, kBegin);
    const TimePoint earliest =
        kBegin + LongestLease(settings) + kMaxRequestDelay;
    CPPUNIT_ASSERT(earliest <=
                   scheduler.sessions.at(state.lastWorker).earlierLeaseEndsAt);
  }

 private:
  // A worker runs one task.
  static State MakePlacedState() {
    State state;
    Apply(state, SetLayout{MakeLayout(1)});
    Apply(state, RegisterWorker{MakeWorker("w")});
    JobSpec job = MakeJob("job");
    job.stages = {MakeStage(1, 1000, 0)};
    Apply(state, AcceptJob{job, 0});
    Apply(state, PlaceTasks{{{TaskKey{1, 0, 0, 0}, 1, kWorker}}});
    return state;
  }

  static void RestartWorker(State& aState, LeaseEnds& aEnds, TimePoint aNow) {
    WorkerSpec restarted = MakeWorker("w");
    ++restarted.startedUnixMs;
    const RegisterWorker command{restarted};
    Apply(aState, command);
    OnApplied(aEnds, aState, command, aNow);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseEndsTest);

}  // namespace bramleypath::workflow
