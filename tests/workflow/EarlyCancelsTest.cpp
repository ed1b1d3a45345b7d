#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "bramleypath/codec/Fields.h"
#include "tests/workflow/CellModel.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr std::int64_t kNowMs = 1700000000000;
const std::int64_t kLifetimeMs = ToMillis(kEarlyCancelLifetime);

ApplyResult Cancel(State& aState, const std::string& aJob, std::int64_t aAtMs) {
  return Apply(aState, CancelJob{JobId(aJob), aAtMs});
}

ApplyResult Accept(State& aState, const std::string& aJob, std::int64_t aAtMs) {
  return Apply(aState, AcceptJob{MakeJob(aJob), aAtMs});
}

// The state after its snapshot was restored.
State Restored(const State& aState) {
  State restored;
  std::string reason;
  CPPUNIT_ASSERT_MESSAGE(reason,
                         DecodeState(EncodeState(aState), restored, reason));
  return restored;
}

}  // namespace

class EarlyCancelsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlyCancelsTest);
  CPPUNIT_TEST(testBothOrdersEndAlike);
  CPPUNIT_TEST(testCancelledSubmissionStartsNothing);
  CPPUNIT_TEST(testCancelsAreForgotten);
  CPPUNIT_TEST(testCancelsAreBounded);
  CPPUNIT_TEST(testReplicasForgetTheSameCancels);
  CPPUNIT_TEST(testCancelsOfKnownJobsKeepTheirFormat);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a submission that runs although its cancel was acknowledged,
  // since the cancel came first (UNASKED).
  void testBothOrdersEndAlike() {
    for (const bool isRestored : {false, true}) {
      State state;
      Apply(state, SetLayout{MakeLayout(1)});
      CPPUNIT_ASSERT(Cancel(state, "job", kNowMs) == ApplyResult::Unknown);
      // The cancel is of no submission that a caller could see.
      CPPUNIT_ASSERT(!FindJob(state, "job"));
      if (isRestored) {
        state = Restored(state);
      }
      CPPUNIT_ASSERT(Accept(state, "job", kNowMs + 1000) ==
                     ApplyResult::CancelledBefore);
      const Job* const job = FindJob(state, "job");
      CPPUNIT_ASSERT(job && job->phase == JobPhase::Cancelled && !job->started);
      // As after a submission and its cancel: it stays cancelled.
      CPPUNIT_ASSERT(Accept(state, "job", kNowMs + 2000) ==
                     ApplyResult::Repeated);
      CPPUNIT_ASSERT(Cancel(state, "job", kNowMs + 3000) ==
                     ApplyResult::Repeated);
      CPPUNIT_ASSERT(Accept(state, "other", kNowMs + 3000) == ApplyResult::Ok);
    }
  }

  // Guards against a job that a new leader starts although it was cancelled
  // before it arrived, also if it recurs.
  void testCancelledSubmissionStartsNothing() {
    CellModel cell(1);
    cell.AddWorker("w0");
    cell.Run(Seconds(1));
    cell.Cancel("early");
    cell.ChangeLeader();
    JobSpec recurring = MakeJob("early");
    recurring.repetitions = 3;
    recurring.firstRunUnixMs = cell.UnixMs();
    recurring.intervalMs = 100;
    cell.Submit(recurring);
    cell.Submit(MakeJob("job"));
    cell.Run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cell.starts);
    CPPUNIT_ASSERT(cell.violations.empty());
  }

  // Guards against an id that can't be used for ever since it was cancelled
  // once.
  void testCancelsAreForgotten() {
    State state;
    Cancel(state, "first", kNowMs);
    Cancel(state, "again", kNowMs);
    Cancel(state, "again", kNowMs + 1000);
    CPPUNIT_ASSERT(Accept(state, "first", kNowMs + kLifetimeMs + 1) ==
                   ApplyResult::Ok);
    CPPUNIT_ASSERT(Accept(state, "again", kNowMs + kLifetimeMs + 1) ==
                   ApplyResult::CancelledBefore);
    CPPUNIT_ASSERT(state.earlyCancels.entries.empty());
    CPPUNIT_ASSERT(state.earlyCancels.ordersById.empty());
    Cancel(state, "last", kNowMs);
    CPPUNIT_ASSERT(Accept(state, "last", kNowMs + kLifetimeMs) ==
                   ApplyResult::CancelledBefore);
  }

  // Guards against memory without a bound, and against a cancel that is
  // forgotten although it was acknowledged.
  void testCancelsAreBounded() {
    State state;
    for (std::size_t i = 0; i < kMaxEarlyCancels; ++i) {
      CPPUNIT_ASSERT(Cancel(state, "job" + std::to_string(i), kNowMs) ==
                     ApplyResult::Unknown);
    }
    CPPUNIT_ASSERT(Cancel(state, "more", kNowMs) == ApplyResult::Full);
    CPPUNIT_ASSERT(Cancel(state, "job0", kNowMs) == ApplyResult::Unknown);
    CPPUNIT_ASSERT_EQUAL(kMaxEarlyCancels, state.earlyCancels.entries.size());
    CPPUNIT_ASSERT(Accept(state, "job1", kNowMs) ==
                   ApplyResult::CancelledBefore);
    CPPUNIT_ASSERT(Cancel(state, "more", kNowMs) == ApplyResult::Unknown);
    CPPUNIT_ASSERT(Cancel(state, "later", kNowMs + kLifetimeMs + 1) ==
                   ApplyResult::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.earlyCancels.entries.size());
  }

  // Guards against replicas that differ after one of them restored a snapshot.
  void testReplicasForgetTheSameCancels() {
    Random random;
    random.state = 1;
    State one;
    State other;
    std::int64_t nowMs = kNowMs;
    for (int step = 0; step < 4000; ++step) {
      // The time of day may go back with a change of leader.
      nowMs += static_cast<std::int64_t>(NextBelow(random, 400)) - 20;
      const std::string id = "job" + std::to_string(NextBelow(random, 300));
      const bool isCancel = NextBelow(random, 3) > 0;
      const ApplyResult result =
          isCancel ? Cancel(one, id, nowMs) : Accept(one, id, nowMs);
      CPPUNIT_ASSERT(result == (isCancel ? Cancel(other, id, nowMs)
                                         : Accept(other, id, nowMs)));
      if (NextBelow(random, 50) == 0) {
        other = Restored(other);
      }
      if (NextBelow(random, 50) == 0) {
        one.jobs.clear();
        one.jobsById.clear();
        other.jobs.clear();
        other.jobsById.clear();
      }
    }
    CPPUNIT_ASSERT(EncodeState(one) == EncodeState(other));
  }

  // Guards against cancels that replicas of earlier versions can't read.
  void testCancelsOfKnownJobsKeepTheirFormat() {
    std::string reason;
    const auto plain = codec::ParseCbor(Encode(CancelJob{JobId("job"), 0}));
    CPPUNIT_ASSERT(plain[1] == codec::Json({{"id", "job"}}));
    const auto read = Decode(Encode(CancelJob{JobId("job"), kNowMs}), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, read);
    CPPUNIT_ASSERT_EQUAL(kNowMs, std::get<CancelJob>(*read).proposedUnixMs);
    // One of an earlier version isn't remembered.
    State state;
    CPPUNIT_ASSERT(Cancel(state, "job", 0) == ApplyResult::Unknown);
    CPPUNIT_ASSERT(Accept(state, "job", kNowMs) == ApplyResult::Ok);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyCancelsTest);

}  // namespace bramleypath::workflow
