#include "bramleypath/routing/Router.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/routing/World.h"

namespace bramleypath::routing {

namespace {

constexpr Duration kLong = Seconds(5);

Generation LastAttempt(const World& aWorld) {
  return aWorld.attempts.rbegin()->first;
}

AnswerReceived AnswerTo(const World& aWorld, Generation aGeneration) {
  AnswerReceived answer;
  answer.generation = aGeneration;
  answer.requestId =
      aWorld.calls.at(aWorld.attempts.at(aGeneration).call).request.requestId;
  return answer;
}

void Complete(World& aWorld, Generation aGeneration) {
  SendBytes(aWorld, aGeneration);
  Run(aWorld, aGeneration);
  Deliver(aWorld, AnswerTo(aWorld, aGeneration));
}

// One whole call that takes the given time.
void CallOnce(World& aWorld, const char* aClass, Duration aTime) {
  CallAccepted call = MakeCall(aWorld, kLong);
  call.callClass = ClassId(aClass);
  Accept(aWorld, call);
  const Generation generation = LastAttempt(aWorld);
  SendBytes(aWorld, generation);
  aWorld.now = aWorld.now + aTime;
  Complete(aWorld, generation);
}

std::size_t OpenAttempts(const World& aWorld) {
  return aWorld.router.attempts.size();
}

std::uint64_t CountOf(const World& aWorld, Reason aReason) {
  return aWorld.router.counters.reasons[static_cast<std::size_t>(aReason)];
}

membership::DataCentreSummary MakeSummary(std::uint32_t aFree) {
  return {DataCentreId("d2"),
          {HostId("f1"), HostId("f2")},
          {{ServiceId("ledger"), aFree, 0}}};
}

std::size_t Forwarded(World& aWorld, const CallAccepted& aCall,
                      Generation& aGeneration) {
  aWorld.calls[aCall.call].request = aCall;
  std::size_t count = 0;
  for (const Action& action : Step(aWorld.router, aCall, aWorld.now)) {
    if (const auto* forward = std::get_if<ForwardCall>(&action)) {
      CPPUNIT_ASSERT(forward->remaining == aCall.deadline - aWorld.now);
      aGeneration = forward->generation;
      ++count;
    }
  }
  return count;
}

}  // namespace

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(testOutcomeOfOneAttempt);
  CPPUNIT_TEST(testSharesAddUpToTheSlots);
  CPPUNIT_TEST(testLeavingTargetGetsNothingAndFinishesItsCalls);
  CPPUNIT_TEST(testRetriesStayWithinTheBudget);
  CPPUNIT_TEST(testLateGrantIsReleased);
  CPPUNIT_TEST(testWaitingKeyIsNotReportedAsNotRun);
  CPPUNIT_TEST(testForwardsOnlyOnce);
  CPPUNIT_TEST(testReservesSlotsForShortCalls);
  CPPUNIT_TEST(testFairBetweenClientAccounts);
  CPPUNIT_TEST(testRefusesWhatCannotMeetItsDeadline);
  CPPUNIT_TEST(testEjectsAtMostTheSetShareAndReadmits);
  CPPUNIT_TEST(testPlannedStop);
  CPPUNIT_TEST(testExplainsRefusals);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards rules 5 and 7: which end of an attempt means what to the caller.
  void testOutcomeOfOneAttempt() {
    enum class End {
      Whole,
      Truncated,
      Mismatched,
      Refused,
      CutBefore,
      CutAfter
    };
    struct Row {
      const char* label;
      End end;
      Outcome outcome;
      Reason reason;
    };
    const Row rows[] = {
        {"whole answer", End::Whole, Outcome::Completed, Reason::Answered},
        {"truncated", End::Truncated, Outcome::OutcomeUnknown,
         Reason::TruncatedAnswer},
        {"another's answer", End::Mismatched, Outcome::OutcomeUnknown,
         Reason::MismatchedAnswer},
        {"refused", End::Refused, Outcome::NotRun, Reason::RetryBudget},
        {"no connection", End::CutBefore, Outcome::NotRun, Reason::RetryBudget},
        {"cut after the first byte", End::CutAfter, Outcome::OutcomeUnknown,
         Reason::ConnectionLost},
    };
    for (const Row& row : rows) {
      Settings settings;
      settings.retryBudgetInitial = 0;
      World world = MakeWorld(settings, 1);
      AddTarget(world, "t", 2);
      Accept(world, MakeCall(world, kLong));
      const Generation generation = LastAttempt(world);
      AnswerReceived answer = AnswerTo(world, generation);
      if (row.end != End::CutBefore) {
        SendBytes(world, generation);
      }
      if (row.end == End::CutBefore || row.end == End::CutAfter) {
        Lose(world, generation);
      } else {
        answer.complete = row.end != End::Truncated;
        answer.refused = row.end == End::Refused;
        world.attempts.at(generation).refused = answer.refused;
        if (row.end == End::Mismatched) {
          answer.requestId = RequestId("other");
        }
        Deliver(world, answer);
      }
      const CallFacts& call = world.calls.at(1);
      CPPUNIT_ASSERT_MESSAGE(row.label, call.finished);
      CPPUNIT_ASSERT_MESSAGE(row.label, call.told == row.outcome);
      CPPUNIT_ASSERT_MESSAGE(row.label, CountOf(world, row.reason) == 1);
      // A second copy is dropped and counted.
      Deliver(world, answer);
      CPPUNIT_ASSERT_MESSAGE(row.label, world.router.counters.lateAnswers == 1);
    }
  }

  // Guards the limit of 8 slots against the sum of what entry hosts open.
  void testSharesAddUpToTheSlots() {
    for (std::uint32_t count = 1; count <= 9; ++count) {
      LocalHostsChanged hosts;
      for (std::uint32_t host = 0; host < count; ++host) {
        hosts.hosts.emplace_back("e" + std::to_string(host));
      }
      std::map<TargetId, std::uint32_t> sums;
      for (const HostId& self : hosts.hosts) {
        World world = MakeWorld(Settings{}, 1);
        world.router.self = self;
        Apply(world, hosts);
        for (const char* name : {"c", "a", "d", "b"}) {
          AddTarget(world, name, 8);
        }
        for (const TargetState& target : world.router.targets) {
          sums[target.record.target] += target.share;
        }
      }
      for (const auto& [target, sum] : sums) {
        CPPUNIT_ASSERT_EQUAL(8U, sum);
      }
    }
  }

  // Guards rule 8 at dispatch and P8 for a target that is drained.
  void testLeavingTargetGetsNothingAndFinishesItsCalls() {
    World world = MakeWorld(Settings{}, 1);
    AddTarget(world, "t", 1);
    Accept(world, MakeCall(world, kLong));
    Accept(world, MakeCall(world, kLong));
    const Generation first = LastAttempt(world);
    world.serving.clear();
    Apply(world, TargetLeaving{TargetId("t"), 1});
    CPPUNIT_ASSERT(world.calls.at(2).told == Outcome::NotRun);
    CPPUNIT_ASSERT(CountOf(world, Reason::NoTarget) == 1);
    Complete(world, first);
    CPPUNIT_ASSERT(world.calls.at(1).told == Outcome::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.attempts.size());
  }

  // Guards against a storm of retries when every target refuses.
  void testRetriesStayWithinTheBudget() {
    Settings settings;
    settings.retryBudgetInitial = 3;
    World world = MakeWorld(settings, 1);
    for (const char* name : {"a", "b", "c", "d"}) {
      AddTarget(world, name, 8);
    }
    for (int count = 0; count < 50; ++count) {
      Accept(world, MakeCall(world, kLong));
      while (OpenAttempts(world) > 0) {
        const Generation generation = LastAttempt(world);
        SendBytes(world, generation);
        world.attempts.at(generation).refused = true;
        AnswerReceived answer = AnswerTo(world, generation);
        answer.refused = true;
        Deliver(world, answer);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{53}, world.attempts.size());
  }

  void testLateGrantIsReleased() {
    World world = MakeWorld(Settings{}, 1);
    AddTarget(world, "t", 2);
    CallAccepted call = MakeCall(world, Millis(100));
    call.keyed = true;
    Accept(world, call);
    CPPUNIT_ASSERT(world.attempts.empty());
    const Nonce nonce = world.grants.begin()->first;
    Advance(world, Millis(100));
    CPPUNIT_ASSERT(world.calls.at(1).told == Outcome::NotRun);
    world.grants.at(nonce).granted = true;
    Apply(world, GrantReceived{1, nonce, world.now + kLong});
    CPPUNIT_ASSERT(world.grants.at(nonce).released);
    CPPUNIT_ASSERT(world.attempts.empty());
  }

  // Guards P5 for a resent key whose first request is still running.
  void testWaitingKeyIsNotReportedAsNotRun() {
    World world = MakeWorld(Settings{}, 1);
    AddTarget(world, "t", 2);
    CallAccepted call = MakeCall(world, Millis(100));
    call.keyed = true;
    Accept(world, call);
    Apply(world, GrantWaiting{1, world.grants.begin()->first});
    Advance(world, Millis(100));
    CPPUNIT_ASSERT(world.calls.at(1).told == Outcome::OutcomeUnknown);
  }

  void testForwardsOnlyOnce() {
    World world = MakeWorld(Settings{}, 1);
    Apply(world, SummaryChanged{MakeSummary(40)});
    Generation generation = 0;
    CallAccepted call = MakeCall(world, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Forwarded(world, call, generation));
    CallAccepted hopped = MakeCall(world, kLong);
    hopped.forwarded = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Forwarded(world, hopped, generation));
    CPPUNIT_ASSERT(CountOf(world, Reason::NoTarget) == 1);
    // Local slots come first.
    AddTarget(world, "t", 1);
    CallAccepted local = MakeCall(world, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Forwarded(world, local, generation));
    CallAccepted second = MakeCall(world, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Forwarded(world, second, generation));
    // A data centre that failed is left alone until its next report.
    Apply(world, ConnectionLost{generation});
    CallAccepted third = MakeCall(world, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Forwarded(world, third, generation));
  }

  // Guards short checks against reconciliations that fill all slots.
  void testReservesSlotsForShortCalls() {
    Settings settings;
    settings.limit = LimitPolicy::Share;
    World world = MakeWorld(settings, 1);
    AddTarget(world, "a", 5);
    AddTarget(world, "b", 5);
    CallOnce(world, "long", Seconds(1));
    for (int count = 0; count < 200; ++count) {
      CallOnce(world, "short", Millis(20));
    }
    for (int count = 0; count < 20; ++count) {
      CallAccepted call = MakeCall(world, Seconds(60));
      call.callClass = ClassId("long");
      Accept(world, call);
    }
    CPPUNIT_ASSERT(OpenAttempts(world) < 10);
    CPPUNIT_ASSERT(OpenAttempts(world) >= 5);
    const std::size_t before = world.attempts.size();
    CallAccepted call = MakeCall(world, Millis(200));
    call.callClass = ClassId("short");
    Accept(world, call);
    CPPUNIT_ASSERT_EQUAL(before + 1, world.attempts.size());
  }

  // Guards small members against the flood of a large one.
  void testFairBetweenClientAccounts() {
    Settings settings;
    settings.limit = LimitPolicy::Share;
    World world = MakeWorld(settings, 1);
    AddTarget(world, "t", 1);
    ClientAccountPolicy heavy;
    heavy.clientAccount = ClientAccountId("heavy");
    heavy.weight = 3;
    heavy.maxQueued = 20;
    Apply(world, PoliciesChanged{{heavy}});
    CallOnce(world, "check", Millis(10));
    for (int count = 0; count < 100; ++count) {
      CallAccepted call = MakeCall(world, Seconds(60));
      call.clientAccount = ClientAccountId(count < 80 ? "heavy" : "small");
      Accept(world, call);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, CountOf(world, Reason::QueueFull));
    std::map<std::string, int> served;
    for (int count = 0; count < 17; ++count) {
      const Generation generation = LastAttempt(world);
      const CallId id = world.attempts.at(generation).call;
      ++served[world.calls.at(id).request.clientAccount.value];
      Complete(world, generation);
    }
    CPPUNIT_ASSERT_EQUAL(4, served["small"]);
    CPPUNIT_ASSERT_EQUAL(13, served["heavy"]);
  }

  void testRefusesWhatCannotMeetItsDeadline() {
    World world = MakeWorld(Settings{}, 1);
    AddTarget(world, "t", 1);
    for (int count = 0; count < 20; ++count) {
      CallOnce(world, "check", Millis(100));
    }
    Accept(world, MakeCall(world, Millis(10)));
    CPPUNIT_ASSERT(CountOf(world, Reason::DeadlineTooShort) == 1);
    for (int count = 0; count < 5; ++count) {
      Accept(world, MakeCall(world, Millis(350)));
    }
    CPPUNIT_ASSERT(CountOf(world, Reason::DeadlineTooShort) >= 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OpenAttempts(world));
  }

  // Guards against ejecting everything, and against a target that is never
  // tried again.
  void testEjectsAtMostTheSetShareAndReadmits() {
    World world = MakeWorld(Settings{}, 1);
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      AddTarget(world, name, 8);
    }
    const auto call = [&](bool aGood) {
      CallAccepted accepted = MakeCall(world, kLong);
      accepted.idempotent = true;
      Accept(world, accepted);
      while (OpenAttempts(world) > 0) {
        const Generation generation = LastAttempt(world);
        if (aGood) {
          Complete(world, generation);
        } else {
          Lose(world, generation);
        }
      }
    };
    for (int count = 0; count < 30; ++count) {
      call(false);
    }
    CPPUNIT_ASSERT_EQUAL(2U, world.router.services[0].ejected);
    CPPUNIT_ASSERT_EQUAL(3U, world.router.services[0].serving);
    Advance(world, Seconds(31));
    for (int count = 0; count < 10; ++count) {
      call(true);
    }
    CPPUNIT_ASSERT_EQUAL(0U, world.router.services[0].ejected);
    CPPUNIT_ASSERT(world.router.counters.readmissions == 2);
  }

  // Guards P8: calls until the listener closes are served, none is cut off
  // before the deadline, and a second signal says how many it cut off.
  void testPlannedStop() {
    for (const bool second : {false, true}) {
      World world = MakeWorld(Settings{}, 1);
      AddTarget(world, "t", 1);
      Stop(world, Millis(100), Seconds(10));
      Accept(world, MakeCall(world, kLong));
      Accept(world, MakeCall(world, kLong));
      Advance(world, Millis(200));
      Accept(world, MakeCall(world, kLong));
      CPPUNIT_ASSERT(CountOf(world, Reason::Stopping) == 1);
      if (second) {
        Stop(world, Millis(100), Seconds(10));
        CPPUNIT_ASSERT_EQUAL(2U, world.interrupted);
        CPPUNIT_ASSERT(world.calls.at(1).told == Outcome::OutcomeUnknown);
        CPPUNIT_ASSERT(world.calls.at(2).told == Outcome::NotRun);
        continue;
      }
      Complete(world, LastAttempt(world));
      CPPUNIT_ASSERT(!world.drained);
      Complete(world, LastAttempt(world));
      CPPUNIT_ASSERT(world.drained);
      CPPUNIT_ASSERT_EQUAL(0U, world.interrupted);
    }
  }

  void testExplainsRefusals() {
    Settings settings;
    settings.keptRefusals = 2;
    World world = MakeWorld(settings, 1);
    for (int count = 0; count < 3; ++count) {
      Accept(world, MakeCall(world, kLong));
    }
    CPPUNIT_ASSERT(!ExplainCall(world.router, RequestId("r1")));
    const auto refusal = ExplainCall(world.router, RequestId("r3"));
    CPPUNIT_ASSERT(refusal && refusal->reason == Reason::NoTarget);
    CPPUNIT_ASSERT(ToText(*refusal).find("no_target") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace bramleypath::routing
