#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

#include "tests/routing/RouterModel.h"

namespace bramleypath::routing {

namespace {

enum class OpKind {
  Accept,
  AdvanceTime,
  SendBytes,
  Run,
  Refuse,
  Answer,
  Truncate,
  Mismatch,
  DeliverLate,
  LoseConnection,
  Grant,
  RefuseGrant,
  TimeOutGrant,
  HoldGrant,
  RepeatGrant,
  Leave,
  Expire,
  Announce,
  CallerGone,
  Stop,
  Count
};

struct Op {
  OpKind kind = OpKind::Accept;
  std::uint32_t pick = 0;
  std::uint32_t variant = 0;
};

std::ostream& operator<<(std::ostream& aOut, const Op& aOp) {
  return aOut << "{" << static_cast<int>(aOp.kind) << "," << aOp.pick << ","
              << aOp.variant << "}";
}

// Generates new calls and the steps of attempts more often than faults.
rc::Gen<Op> GenOp() {
  const auto kind = rc::gen::weightedOneOf<OpKind>({
      {6, rc::gen::just(OpKind::Accept)},
      {3, rc::gen::just(OpKind::AdvanceTime)},
      {6, rc::gen::just(OpKind::SendBytes)},
      {4, rc::gen::just(OpKind::Run)},
      {4, rc::gen::just(OpKind::Answer)},
      {2, rc::gen::just(OpKind::Refuse)},
      {3, rc::gen::just(OpKind::Grant)},
      {9, rc::gen::map(rc::gen::inRange(0, static_cast<int>(OpKind::Count)),
                       [](int aKind) { return static_cast<OpKind>(aKind); })},
  });
  return rc::gen::build<Op>(
      rc::gen::set(&Op::kind, kind),
      rc::gen::set(&Op::pick, rc::gen::inRange<std::uint32_t>(0, 1000)),
      rc::gen::set(&Op::variant, rc::gen::inRange<std::uint32_t>(0, 64)));
}

constexpr std::uint32_t kSlots = 2;

// One of the six most recent attempts.
Generation PickAttempt(const RouterModel& aModel, std::uint32_t aPick) {
  const std::size_t range = std::min<std::size_t>(aModel.attempts.size(), 6);
  return aModel.attempts.rbegin()->first - aPick % range;
}

Nonce PickGrant(const RouterModel& aModel, std::uint32_t aPick) {
  const std::size_t range = std::min<std::size_t>(aModel.grants.size(), 4);
  return std::prev(aModel.grants.end(),
                   static_cast<std::ptrdiff_t>(aPick % range) + 1)
      ->first;
}

void AcceptOne(RouterModel& aModel, std::uint32_t aVariant) {
  CallAccepted call =
      MakeCall(aModel, Millis(aVariant % 2 == 0 ? 20 + aVariant * 10 : 2000));
  call.idempotent = aVariant % 4 < 2;
  call.keyed = aVariant % 8 < 3;
  call.forwarded = aVariant % 16 == 5;
  call.clientAccount = ClientAccountId(aVariant % 3 == 0 ? "m" : "n");
  call.callClass = ClassId(aVariant % 5 == 0 ? "long" : "check");
  Accept(aModel, call);
}

AnswerReceived MakeAnswer(const RouterModel& aModel, Generation aGeneration) {
  AnswerReceived answer;
  answer.generation = aGeneration;
  answer.requestId =
      aModel.calls.at(aModel.attempts.at(aGeneration).call).request.requestId;
  return answer;
}

// Delivers the answer now, leaves a copy in transit for a later DeliverLate, or
// does both.
void DeliverOrDelayAnswer(RouterModel& aModel, const AnswerReceived& aAnswer,
                          std::uint32_t aVariant) {
  if (aVariant % 3 != 0) {
    aModel.answersInTransit.push_back(aAnswer);
  }
  if (aVariant % 3 != 1) {
    DeliverAnswer(aModel, aAnswer);
  }
}

void Answer(RouterModel& aModel, OpKind aKind, Generation aGeneration,
            std::uint32_t aVariant) {
  AttemptFacts& attempt = aModel.attempts.at(aGeneration);
  if (!attempt.bytesSent) {
    return;
  }
  AnswerReceived answer = MakeAnswer(aModel, aGeneration);
  if (aKind == OpKind::Refuse) {
    if (attempt.ran) {
      return;
    }
    attempt.refused = true;
    answer.refused = true;
    answer.complete = aVariant % 5 != 0;
  } else {
    Run(aModel, aGeneration);
    if (!attempt.ran) {
      return;
    }
    answer.complete = aKind != OpKind::Truncate;
    answer.status = aVariant % 7 == 0 ? 500 : 200;
    if (aKind == OpKind::Mismatch) {
      answer.requestId = RequestId("other");
    }
  }
  attempt.connectionOver = true;
  DeliverOrDelayAnswer(aModel, answer, aVariant);
}

void ReplyGrant(RouterModel& aModel, OpKind aKind, const Op& aOp) {
  const Nonce nonce = PickGrant(aModel, aOp.pick);
  GrantFacts& grant = aModel.grants.at(nonce);
  if (aKind == OpKind::TimeOutGrant) {
    Apply(aModel, GrantTimeout{grant.call, nonce});
    return;
  }
  if (grant.replied) {
    // Repeats a grant that may already be in use.
    if (grant.granted && aKind == OpKind::RepeatGrant) {
      Apply(aModel, GrantReceived{grant.call, nonce, grant.validUntil});
    }
    return;
  }
  if (aKind == OpKind::HoldGrant) {
    Apply(aModel, GrantWaiting{grant.call, nonce});
    return;
  }
  grant.replied = true;
  if (aKind == OpKind::RefuseGrant) {
    Apply(aModel, GrantRefused{grant.call, nonce,
                               static_cast<GrantRefusal>(aOp.variant % 4)});
    return;
  }
  grant.granted = true;
  grant.validUntil = aModel.now + Millis(aOp.variant % 4 == 0 ? 15 : 1000);
  Apply(aModel, GrantReceived{grant.call, nonce, grant.validUntil});
}

void ChangeTarget(RouterModel& aModel, const Op& aOp) {
  const std::string name = "t" + std::to_string(aOp.pick % 4);
  const TargetId id(name);
  const auto serving = aModel.serving.find(id);
  if (aOp.kind == OpKind::Announce) {
    AddTarget(aModel, name, kSlots, aModel.now.micros);
    return;
  }
  if (serving == aModel.serving.end()) {
    return;
  }
  const auto incarnation = serving->second;
  aModel.serving.erase(serving);
  if (aOp.kind == OpKind::Leave) {
    Apply(aModel, TargetLeaving{id, incarnation});
  } else {
    Apply(aModel, TargetGone{id, incarnation});
  }
}

void Interpret(RouterModel& aModel, const Op& aOp) {
  const bool noAttempts = aModel.attempts.empty();
  switch (aOp.kind) {
    case OpKind::Accept:
      AcceptOne(aModel, aOp.variant);
      return;
    case OpKind::AdvanceTime:
      AdvanceTime(aModel, Millis(aOp.variant % 8 == 0 ? 700 : aOp.variant));
      return;
    case OpKind::Grant:
    case OpKind::RefuseGrant:
    case OpKind::TimeOutGrant:
    case OpKind::HoldGrant:
    case OpKind::RepeatGrant:
      if (!aModel.grants.empty()) {
        ReplyGrant(aModel, aOp.kind, aOp);
      }
      return;
    case OpKind::Leave:
    case OpKind::Expire:
    case OpKind::Announce:
      ChangeTarget(aModel, aOp);
      return;
    case OpKind::CallerGone:
      Apply(aModel, CallerGone{aOp.pick % (aModel.calls.size() + 1)});
      return;
    case OpKind::Stop:
      // Stops only in one of eight cases, since no call is accepted after it.
      if (aOp.variant % 8 == 0) {
        Stop(aModel, Millis(50), Millis(1000));
      }
      return;
    case OpKind::DeliverLate:
      if (!aModel.answersInTransit.empty()) {
        DeliverAnswer(
            aModel,
            AnswerReceived(
                aModel.answersInTransit[aOp.pick %
                                        aModel.answersInTransit.size()]));
      }
      return;
    default:
      break;
  }
  if (noAttempts) {
    return;
  }
  const Generation generation = PickAttempt(aModel, aOp.pick);
  if (aOp.kind == OpKind::SendBytes) {
    SendBytes(aModel, generation);
  } else if (aOp.kind == OpKind::Run) {
    Run(aModel, generation);
  } else if (aOp.kind == OpKind::LoseConnection) {
    LoseConnection(aModel, generation);
  } else {
    Answer(aModel, aOp.kind, generation, aOp.variant);
  }
}

// The sum that admission uses instead of a walk over all client accounts.
void CheckWaitingWeights(const RouterModel& aModel) {
  constexpr double kRounding = 1e-6;
  for (const ServiceState& service : aModel.router.services) {
    double sum = 0;
    for (const ClientAccountQueue& clientAccount : service.clientAccounts) {
      const auto policy =
          aModel.router.policies.find(clientAccount.clientAccount);
      const double weight =
          policy == aModel.router.policies.end() ? 1.0 : policy->second.weight;
      sum += clientAccount.queued > 0 ? weight : 0;
    }
    Require(std::abs(service.waitingWeight - sum) < kRounding,
            "the sum of waiting weights drifted");
  }
}

// Checks the invariants of the counts that must hold after every operation.
void CheckCounts(const RouterModel& aModel) {
  const Router& router = aModel.router;
  const Counters& counters = router.counters;
  Require(static_cast<double>(counters.retries) <=
              router.settings.retryBudgetInitial +
                  router.settings.retryBudgetRatio *
                      static_cast<double>(aModel.completed) +
                  1e-6,
          "more retries than the budget allows");
  std::size_t open = 0;
  for (const auto& [id, call] : aModel.calls) {
    open += call.finished ? 0 : 1;
  }
  Require(open == router.calls.size(), "a call was lost");
  for (const TargetState& target : router.targets) {
    if (!target.used || target.service == kNoIndex) {
      continue;
    }
    const ServiceState& service = router.services[target.service];
    const auto& list = service.freeTargets;
    const auto index =
        static_cast<TargetIndex>(&target - router.targets.data());
    const bool listed =
        std::find(list.begin(), list.end(), index) != list.end();
    Require(listed == (target.freeListIndex != kNoIndex), "free list is wrong");
    Require(!listed || target.outstanding < std::max(1U, target.share),
            "more calls than the share");
  }
  CheckWaitingWeights(aModel);
}

// Advances past all deadlines and checks that every call has an outcome, every
// grant is settled and no count is left over.
void CheckEnd(RouterModel& aModel) {
  for (int round = 0; round < 40; ++round) {
    AdvanceTime(aModel, Millis(500));
  }
  for (const auto& [id, call] : aModel.calls) {
    Require(call.finished, "a call never ended");
  }
  for (const auto& [nonce, grant] : aModel.grants) {
    Require(!grant.granted || grant.released || grant.reported,
            "a grant was never settled");
  }
  const Router& router = aModel.router;
  Require(router.attempts.empty() && router.clientAccountInFlight.empty(),
          "an attempt was never ended");
  for (const ServiceState& service : router.services) {
    Require(service.queued == 0 && service.inFlight == 0,
            "a service's counts drifted");
    Require(service.freeTargets.size() <= service.serving,
            "more free targets than serving ones");
  }
  const Counters& counters = router.counters;
  Require(counters.completed + counters.notRun + counters.outcomeUnknown ==
              counters.accepted,
          "the outcomes don't add up");
  CheckCounts(aModel);
}

}  // namespace

class RouterPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterPropertyTest);
  CPPUNIT_TEST(testOutcomesUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards properties P4 to P8 against late, repeated, truncated and mismatched
  // answers, lost connections, late grants and targets that leave at any time.
  void testOutcomesUnderFaults() {
    const bool passed = rc::check("outcomes are true under faults", [] {
      const auto ops = *rc::gen::container<std::vector<Op>>(GenOp());
      Settings settings;
      settings.retryBudgetInitial = 20;
      RouterModel model =
          MakeModel(settings, *rc::gen::inRange<std::uint64_t>(1, 9));
      for (const char* name : {"t0", "t1", "t2"}) {
        AddTarget(model, name, kSlots);
      }
      for (const Op& op : ops) {
        Interpret(model, op);
        CheckCounts(model);
      }
      CheckEnd(model);
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterPropertyTest);

}  // namespace bramleypath::routing
