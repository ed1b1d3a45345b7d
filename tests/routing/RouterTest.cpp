#include "bramleypath/routing/Router.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/routing/RouterModel.h"

namespace bramleypath::routing {

namespace {

constexpr Duration kLong = Seconds(5);

Generation LastAttempt(const RouterModel& aModel) {
  return aModel.attempts.rbegin()->first;
}

AnswerReceived AnswerTo(const RouterModel& aModel, Generation aGeneration) {
  AnswerReceived answer;
  answer.generation = aGeneration;
  answer.requestId =
      aModel.calls.at(aModel.attempts.at(aGeneration).call).request.requestId;
  return answer;
}

void Complete(RouterModel& aModel, Generation aGeneration) {
  SendBytes(aModel, aGeneration);
  Run(aModel, aGeneration);
  DeliverAnswer(aModel, AnswerTo(aModel, aGeneration));
}

// Runs one call that completes after aTime.
void CompleteCall(RouterModel& aModel, const char* aClass, Duration aTime) {
  CallAccepted call = MakeCall(aModel, kLong);
  call.callClass = ClassId(aClass);
  Accept(aModel, call);
  const Generation generation = LastAttempt(aModel);
  SendBytes(aModel, generation);
  aModel.now = aModel.now + aTime;
  Complete(aModel, generation);
}

std::size_t OpenAttempts(const RouterModel& aModel) {
  return aModel.router.attempts.size();
}

std::uint64_t CountOf(const RouterModel& aModel, Reason aReason) {
  return aModel.router.counters.reasons[static_cast<std::size_t>(aReason)];
}

membership::DataCentreSummary MakeSummary(std::uint32_t aFree) {
  return {DataCentreId("d2"),
          {HostId("f1"), HostId("f2")},
          {{ServiceId("ledger"), aFree, 0}}};
}

std::size_t AcceptAndCountForwards(RouterModel& aModel,
                                   const CallAccepted& aCall,
                                   Generation& aGeneration) {
  aModel.calls[aCall.call].request = aCall;
  std::size_t count = 0;
  for (const Action& action : Step(aModel.router, aCall, aModel.now)) {
    if (const auto* forward = std::get_if<ForwardCall>(&action)) {
      CPPUNIT_ASSERT(forward->remaining == aCall.deadline - aModel.now);
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
  CPPUNIT_TEST(testWaitingWeightsFollowThePolicies);
  CPPUNIT_TEST(testRefusesWhatCannotMeetItsDeadline);
  CPPUNIT_TEST(testEjectsAtMostTheSetShareAndReadmits);
  CPPUNIT_TEST(testLateDeadlineTimerIsNoFailureOfTheTarget);
  CPPUNIT_TEST(testConnectTimeoutOfTheCallerEjectsNoTarget);
  CPPUNIT_TEST(testPlannedStop);
  CPPUNIT_TEST(testExplainsRefusals);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards rules 5 and 7: the outcome that the caller gets for each way in
  // which an attempt can end.
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
      RouterModel model = MakeModel(settings, 1);
      AddTarget(model, "t", 2);
      Accept(model, MakeCall(model, kLong));
      const Generation generation = LastAttempt(model);
      AnswerReceived answer = AnswerTo(model, generation);
      if (row.end != End::CutBefore) {
        SendBytes(model, generation);
      }
      if (row.end == End::CutBefore || row.end == End::CutAfter) {
        LoseConnection(model, generation);
      } else {
        answer.complete = row.end != End::Truncated;
        answer.refused = row.end == End::Refused;
        model.attempts.at(generation).refused = answer.refused;
        if (row.end == End::Mismatched) {
          answer.requestId = RequestId("other");
        }
        DeliverAnswer(model, answer);
      }
      const CallFacts& call = model.calls.at(1);
      CPPUNIT_ASSERT_MESSAGE(row.label, call.finished);
      CPPUNIT_ASSERT_MESSAGE(row.label, call.reportedOutcome == row.outcome);
      CPPUNIT_ASSERT_MESSAGE(row.label, CountOf(model, row.reason) == 1);
      // A duplicate answer is dropped and counted.
      DeliverAnswer(model, answer);
      CPPUNIT_ASSERT_MESSAGE(row.label, model.router.counters.lateAnswers == 1);
    }
  }

  // Guards against entry hosts whose shares together exceed, or fall short of,
  // the 8 slots of a target.
  void testSharesAddUpToTheSlots() {
    for (std::uint32_t count = 1; count <= 9; ++count) {
      LocalHostsChanged hosts;
      for (std::uint32_t host = 0; host < count; ++host) {
        hosts.hosts.emplace_back("e" + std::to_string(host));
      }
      std::map<TargetId, std::uint32_t> sums;
      for (const HostId& self : hosts.hosts) {
        RouterModel model = MakeModel(Settings{}, 1);
        model.router.self = self;
        Apply(model, hosts);
        for (const char* name : {"c", "a", "d", "b"}) {
          AddTarget(model, name, 8);
        }
        for (const TargetState& target : model.router.targets) {
          sums[target.record.target] += target.share;
        }
      }
      for (const auto& [target, sum] : sums) {
        CPPUNIT_ASSERT_EQUAL(8U, sum);
      }
    }
  }

  // Guards rule 8, no new calls for a leaving target, and P8, calls that it is
  // running complete.
  void testLeavingTargetGetsNothingAndFinishesItsCalls() {
    RouterModel model = MakeModel(Settings{}, 1);
    AddTarget(model, "t", 1);
    Accept(model, MakeCall(model, kLong));
    Accept(model, MakeCall(model, kLong));
    const Generation first = LastAttempt(model);
    model.serving.clear();
    Apply(model, TargetLeaving{TargetId("t"), 1});
    CPPUNIT_ASSERT(model.calls.at(2).reportedOutcome == Outcome::NotRun);
    CPPUNIT_ASSERT(CountOf(model, Reason::NoTarget) == 1);
    Complete(model, first);
    CPPUNIT_ASSERT(model.calls.at(1).reportedOutcome == Outcome::Completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.attempts.size());
  }

  // Guards against unbounded retries when every target refuses.
  void testRetriesStayWithinTheBudget() {
    Settings settings;
    settings.retryBudgetInitial = 3;
    RouterModel model = MakeModel(settings, 1);
    for (const char* name : {"a", "b", "c", "d"}) {
      AddTarget(model, name, 8);
    }
    for (int count = 0; count < 50; ++count) {
      Accept(model, MakeCall(model, kLong));
      while (OpenAttempts(model) > 0) {
        const Generation generation = LastAttempt(model);
        SendBytes(model, generation);
        model.attempts.at(generation).refused = true;
        AnswerReceived answer = AnswerTo(model, generation);
        answer.refused = true;
        DeliverAnswer(model, answer);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{53}, model.attempts.size());
  }

  void testLateGrantIsReleased() {
    RouterModel model = MakeModel(Settings{}, 1);
    AddTarget(model, "t", 2);
    CallAccepted call = MakeCall(model, Millis(100));
    call.keyed = true;
    Accept(model, call);
    CPPUNIT_ASSERT(model.attempts.empty());
    const Nonce nonce = model.grants.begin()->first;
    AdvanceTime(model, Millis(100));
    CPPUNIT_ASSERT(model.calls.at(1).reportedOutcome == Outcome::NotRun);
    model.grants.at(nonce).granted = true;
    Apply(model, GrantReceived{1, nonce, model.now + kLong});
    CPPUNIT_ASSERT(model.grants.at(nonce).released);
    CPPUNIT_ASSERT(model.attempts.empty());
  }

  // Guards P5, no NotRun for a request that may have run, when a request is
  // sent again while the first one with the same key is still running.
  void testWaitingKeyIsNotReportedAsNotRun() {
    RouterModel model = MakeModel(Settings{}, 1);
    AddTarget(model, "t", 2);
    CallAccepted call = MakeCall(model, Millis(100));
    call.keyed = true;
    Accept(model, call);
    Apply(model, GrantWaiting{1, model.grants.begin()->first});
    AdvanceTime(model, Millis(100));
    CPPUNIT_ASSERT(model.calls.at(1).reportedOutcome ==
                   Outcome::OutcomeUnknown);
  }

  void testForwardsOnlyOnce() {
    RouterModel model = MakeModel(Settings{}, 1);
    Apply(model, SummaryChanged{MakeSummary(40)});
    Generation generation = 0;
    CallAccepted call = MakeCall(model, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         AcceptAndCountForwards(model, call, generation));
    CallAccepted forwardedCall = MakeCall(model, kLong);
    forwardedCall.forwarded = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, AcceptAndCountForwards(
                                             model, forwardedCall, generation));
    CPPUNIT_ASSERT(CountOf(model, Reason::NoTarget) == 1);
    // A free local slot is preferred to forwarding.
    AddTarget(model, "t", 1);
    CallAccepted local = MakeCall(model, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         AcceptAndCountForwards(model, local, generation));
    CallAccepted second = MakeCall(model, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         AcceptAndCountForwards(model, second, generation));
    // After a failed forward, the data centre gets no calls until its next
    // summary.
    Apply(model, ConnectionLost{generation});
    CallAccepted third = MakeCall(model, kLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         AcceptAndCountForwards(model, third, generation));
  }

  // Guards against long calls that take all slots and block short ones.
  void testReservesSlotsForShortCalls() {
    Settings settings;
    settings.limit = LimitPolicy::Share;
    RouterModel model = MakeModel(settings, 1);
    AddTarget(model, "a", 5);
    AddTarget(model, "b", 5);
    CompleteCall(model, "long", Seconds(1));
    for (int count = 0; count < 200; ++count) {
      CompleteCall(model, "short", Millis(20));
    }
    for (int count = 0; count < 20; ++count) {
      CallAccepted call = MakeCall(model, Seconds(60));
      call.callClass = ClassId("long");
      Accept(model, call);
    }
    CPPUNIT_ASSERT(OpenAttempts(model) < 10);
    CPPUNIT_ASSERT(OpenAttempts(model) >= 5);
    const std::size_t before = model.attempts.size();
    CallAccepted call = MakeCall(model, Millis(200));
    call.callClass = ClassId("short");
    Accept(model, call);
    CPPUNIT_ASSERT_EQUAL(before + 1, model.attempts.size());
  }

  // Guards small client accounts against a large one that floods the queue:
  // slots are shared by weight.
  void testFairBetweenClientAccounts() {
    Settings settings;
    settings.limit = LimitPolicy::Share;
    RouterModel model = MakeModel(settings, 1);
    AddTarget(model, "t", 1);
    ClientAccountPolicy heavy;
    heavy.clientAccount = ClientAccountId("heavy");
    heavy.weight = 3;
    heavy.maxQueued = 20;
    Apply(model, PoliciesChanged{{heavy}});
    CompleteCall(model, "check", Millis(10));
    for (int count = 0; count < 100; ++count) {
      CallAccepted call = MakeCall(model, Seconds(60));
      call.clientAccount = ClientAccountId(count < 80 ? "heavy" : "small");
      Accept(model, call);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, CountOf(model, Reason::QueueFull));
    std::map<std::string, int> served;
    for (int count = 0; count < 17; ++count) {
      const Generation generation = LastAttempt(model);
      const CallId id = model.attempts.at(generation).call;
      ++served[model.calls.at(id).request.clientAccount.value];
      Complete(model, generation);
    }
    CPPUNIT_ASSERT_EQUAL(4, served["small"]);
    CPPUNIT_ASSERT_EQUAL(13, served["heavy"]);
  }

  // Guards the sum that admission uses against weights that change while calls
  // wait.
  void testWaitingWeightsFollowThePolicies() {
    RouterModel model = MakeModel(Settings{}, 1);
    AddTarget(model, "t", 1);
    const ServiceState& service = model.router.services[0];
    Accept(model, MakeCall(model, kLong));
    for (const char* name : {"a", "a", "b"}) {
      CallAccepted call = MakeCall(model, kLong);
      call.clientAccount = ClientAccountId(name);
      Accept(model, call);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, service.waitingWeight, 1e-9);
    ClientAccountPolicy heavy;
    heavy.clientAccount = ClientAccountId("a");
    heavy.weight = 3;
    Apply(model, PoliciesChanged{{heavy}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, service.waitingWeight, 1e-9);
    for (const CallId id : {2U, 3U}) {
      Apply(model, CallerGone{id});
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, service.waitingWeight, 1e-9);
    AdvanceTime(model, kLong);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, service.waitingWeight, 1e-9);
  }

  void testRefusesWhatCannotMeetItsDeadline() {
    RouterModel model = MakeModel(Settings{}, 1);
    AddTarget(model, "t", 1);
    for (int count = 0; count < 20; ++count) {
      CompleteCall(model, "check", Millis(100));
    }
    Accept(model, MakeCall(model, Millis(10)));
    CPPUNIT_ASSERT(CountOf(model, Reason::DeadlineTooShort) == 1);
    for (int count = 0; count < 5; ++count) {
      Accept(model, MakeCall(model, Millis(350)));
    }
    CPPUNIT_ASSERT(CountOf(model, Reason::DeadlineTooShort) >= 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OpenAttempts(model));
  }

  // Guards against the ejection of all targets, and against an ejected target
  // that is never probed again.
  void testEjectsAtMostTheSetShareAndReadmits() {
    RouterModel model = MakeModel(Settings{}, 1);
    for (const char* name : {"a", "b", "c", "d", "e"}) {
      AddTarget(model, name, 8);
    }
    const auto call = [&](bool aGood) {
      CallAccepted accepted = MakeCall(model, kLong);
      accepted.idempotent = true;
      Accept(model, accepted);
      while (OpenAttempts(model) > 0) {
        const Generation generation = LastAttempt(model);
        if (aGood) {
          Complete(model, generation);
        } else {
          LoseConnection(model, generation);
        }
      }
    };
    for (int count = 0; count < 30; ++count) {
      call(false);
    }
    CPPUNIT_ASSERT_EQUAL(2U, model.router.services[0].ejected);
    CPPUNIT_ASSERT_EQUAL(3U, model.router.services[0].serving);
    AdvanceTime(model, Seconds(31));
    for (int count = 0; count < 10; ++count) {
      call(true);
    }
    CPPUNIT_ASSERT_EQUAL(0U, model.router.services[0].ejected);
    CPPUNIT_ASSERT(model.router.counters.readmissions == 2);
  }

  // Guards against the ejection of healthy targets by an entry host that was
  // paused: its deadline timers fire before it reads the answers that wait in
  // its sockets.
  void testLateDeadlineTimerIsNoFailureOfTheTarget() {
    struct Row {
      const char* label;
      Duration lateness;
      bool ejects;
    };
    const Row rows[] = {
        {"timer on time, the targets hang", Millis(0), true},
        {"paused beyond the deadline", Seconds(2), false},
    };
    constexpr Duration kServiceTime = Millis(10);
    constexpr Duration kDeadline = Millis(100);
    constexpr int kCalls = 40;
    for (const Row& row : rows) {
      RouterModel model = MakeModel(Settings{}, 1);
      for (const char* name : {"a", "b", "c", "d", "e"}) {
        AddTarget(model, name, 8);
      }
      for (int count = 0; count < kCalls; ++count) {
        CompleteCall(model, "check", kServiceTime);
      }
      AdvanceTime(model, Seconds(60));
      for (int count = 0; count < kCalls; ++count) {
        Accept(model, MakeCall(model, kDeadline));
        SendBytes(model, LastAttempt(model));
      }
      AdvanceTime(model, kDeadline + row.lateness);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.ejects,
                                   model.router.counters.ejections > 0);
    }
  }

  // Guards against the ejection of a target to which no connection was made
  // because the call had little time left, or because this entry host was
  // paused.
  void testConnectTimeoutOfTheCallerEjectsNoTarget() {
    struct Row {
      const char* label;
      Duration deadline;
      Duration reportedAfter;
      bool ejects;
    };
    const Settings settings;
    const Row rows[] = {
        {"refused at once", kLong, Millis(1), true},
        {"refused at once, little time left", Millis(20), Millis(1), true},
        {"no answer within the timeout", kLong, settings.connectTimeout, true},
        {"little time left", Millis(20), Millis(20), false},
        {"reported late", kLong, settings.connectTimeout + Seconds(2), false},
    };
    for (const Row& row : rows) {
      RouterModel model = MakeModel(settings, 1);
      for (const char* name : {"a", "b", "c"}) {
        AddTarget(model, name, 8);
      }
      Accept(model, MakeCall(model, row.deadline));
      const Generation generation = LastAttempt(model);
      model.now = model.now + row.reportedAfter;
      LoseConnection(model, generation);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.ejects,
                                   model.router.counters.ejections > 0);
    }
  }

  // Guards P8: calls accepted before the listener closes are served, none is
  // interrupted before the drain deadline, and a second stop request reports
  // how many calls it interrupted.
  void testPlannedStop() {
    for (const bool second : {false, true}) {
      RouterModel model = MakeModel(Settings{}, 1);
      AddTarget(model, "t", 1);
      Stop(model, Millis(100), Seconds(10));
      Accept(model, MakeCall(model, kLong));
      Accept(model, MakeCall(model, kLong));
      AdvanceTime(model, Millis(200));
      Accept(model, MakeCall(model, kLong));
      CPPUNIT_ASSERT(CountOf(model, Reason::Stopping) == 1);
      if (second) {
        Stop(model, Millis(100), Seconds(10));
        CPPUNIT_ASSERT_EQUAL(2U, model.interrupted);
        CPPUNIT_ASSERT(model.calls.at(1).reportedOutcome ==
                       Outcome::OutcomeUnknown);
        CPPUNIT_ASSERT(model.calls.at(2).reportedOutcome == Outcome::NotRun);
        continue;
      }
      Complete(model, LastAttempt(model));
      CPPUNIT_ASSERT(!model.drained);
      Complete(model, LastAttempt(model));
      CPPUNIT_ASSERT(model.drained);
      CPPUNIT_ASSERT_EQUAL(0U, model.interrupted);
    }
  }

  void testExplainsRefusals() {
    Settings settings;
    settings.keptRefusals = 2;
    RouterModel model = MakeModel(settings, 1);
    for (int count = 0; count < 3; ++count) {
      Accept(model, MakeCall(model, kLong));
    }
    CPPUNIT_ASSERT(!ExplainCall(model.router, RequestId("r1")));
    const auto refusal = ExplainCall(model.router, RequestId("r3"));
    CPPUNIT_ASSERT(refusal && refusal->reason == Reason::NoTarget);
    CPPUNIT_ASSERT(ToText(*refusal).find("no_target") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace bramleypath::routing
