#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "tests/routing/World.h"

namespace bramleypath::routing {

namespace {

enum class OpKind {
  Accept,
  Advance,
  SendBytes,
  Run,
  Refuse,
  Answer,
  Truncate,
  Mismatch,
  DeliverLate,
  Lose,
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

// Calls and the steps of attempts come up more often than faults.
rc::Gen<Op> GenOp() {
  const auto kind = rc::gen::weightedOneOf<OpKind>({
      {6, rc::gen::just(OpKind::Accept)},
      {3, rc::gen::just(OpKind::Advance)},
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

// An attempt that is not over, recent ones more likely.
Generation PickAttempt(const World& aWorld, std::uint32_t aPick) {
  const std::size_t range = std::min<std::size_t>(aWorld.attempts.size(), 6);
  return aWorld.attempts.rbegin()->first - aPick % range;
}

Nonce PickGrant(const World& aWorld, std::uint32_t aPick) {
  const std::size_t range = std::min<std::size_t>(aWorld.grants.size(), 4);
  return std::prev(aWorld.grants.end(),
                   static_cast<std::ptrdiff_t>(aPick % range) + 1)
      ->first;
}

void AcceptOne(World& aWorld, std::uint32_t aVariant) {
  CallAccepted call =
      MakeCall(aWorld, Millis(aVariant % 2 == 0 ? 20 + aVariant * 10 : 2000));
  call.idempotent = aVariant % 4 < 2;
  call.keyed = aVariant % 8 < 3;
  call.forwarded = aVariant % 16 == 5;
  call.clientAccount = ClientAccountId(aVariant % 3 == 0 ? "m" : "n");
  call.callClass = ClassId(aVariant % 5 == 0 ? "long" : "check");
  Accept(aWorld, call);
}

AnswerReceived MakeAnswer(const World& aWorld, Generation aGeneration) {
  AnswerReceived answer;
  answer.generation = aGeneration;
  answer.requestId =
      aWorld.calls.at(aWorld.attempts.at(aGeneration).call).request.requestId;
  return answer;
}

// Delivers the answer now, or leaves a copy under way, or both.
void DeliverOrDelay(World& aWorld, const AnswerReceived& aAnswer,
                    std::uint32_t aVariant) {
  if (aVariant % 3 != 0) {
    aWorld.wire.push_back(aAnswer);
  }
  if (aVariant % 3 != 1) {
    Deliver(aWorld, aAnswer);
  }
}

void Answer(World& aWorld, OpKind aKind, Generation aGeneration,
            std::uint32_t aVariant) {
  AttemptFacts& attempt = aWorld.attempts.at(aGeneration);
  if (!attempt.bytesSent) {
    return;
  }
  AnswerReceived answer = MakeAnswer(aWorld, aGeneration);
  if (aKind == OpKind::Refuse) {
    if (attempt.ran) {
      return;
    }
    attempt.refused = true;
    answer.refused = true;
    answer.complete = aVariant % 5 != 0;
  } else {
    Run(aWorld, aGeneration);
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
  DeliverOrDelay(aWorld, answer, aVariant);
}

void ReplyGrant(World& aWorld, OpKind aKind, const Op& aOp) {
  const Nonce nonce = PickGrant(aWorld, aOp.pick);
  GrantFacts& grant = aWorld.grants.at(nonce);
  if (aKind == OpKind::TimeOutGrant) {
    Apply(aWorld, GrantTimeout{grant.call, nonce});
    return;
  }
  if (grant.replied) {
    // Second copies of a grant that may be in use.
    if (grant.granted && aKind == OpKind::RepeatGrant) {
      Apply(aWorld, GrantReceived{grant.call, nonce, grant.validUntil});
    }
    return;
  }
  if (aKind == OpKind::HoldGrant) {
    Apply(aWorld, GrantWaiting{grant.call, nonce});
    return;
  }
  grant.replied = true;
  if (aKind == OpKind::RefuseGrant) {
    Apply(aWorld, GrantRefused{grant.call, nonce,
                               static_cast<GrantRefusal>(aOp.variant % 4)});
    return;
  }
  grant.granted = true;
  grant.validUntil = aWorld.now + Millis(aOp.variant % 4 == 0 ? 15 : 1000);
  Apply(aWorld, GrantReceived{grant.call, nonce, grant.validUntil});
}

void ChangeTarget(World& aWorld, const Op& aOp) {
  const std::string name = "t" + std::to_string(aOp.pick % 4);
  const TargetId id(name);
  const auto known = aWorld.serving.find(id);
  if (aOp.kind == OpKind::Announce) {
    AddTarget(aWorld, name, kSlots, aWorld.now.micros);
    return;
  }
  if (known == aWorld.serving.end()) {
    return;
  }
  const auto incarnation = known->second;
  aWorld.serving.erase(known);
  if (aOp.kind == OpKind::Leave) {
    Apply(aWorld, TargetLeaving{id, incarnation});
  } else {
    Apply(aWorld, TargetGone{id, incarnation});
  }
}

void Interpret(World& aWorld, const Op& aOp) {
  const bool noAttempts = aWorld.attempts.empty();
  switch (aOp.kind) {
    case OpKind::Accept:
      AcceptOne(aWorld, aOp.variant);
      return;
    case OpKind::Advance:
      Advance(aWorld, Millis(aOp.variant % 8 == 0 ? 700 : aOp.variant));
      return;
    case OpKind::Grant:
    case OpKind::RefuseGrant:
    case OpKind::TimeOutGrant:
    case OpKind::HoldGrant:
    case OpKind::RepeatGrant:
      if (!aWorld.grants.empty()) {
        ReplyGrant(aWorld, aOp.kind, aOp);
      }
      return;
    case OpKind::Leave:
    case OpKind::Expire:
    case OpKind::Announce:
      ChangeTarget(aWorld, aOp);
      return;
    case OpKind::CallerGone:
      Apply(aWorld, CallerGone{aOp.pick % (aWorld.calls.size() + 1)});
      return;
    case OpKind::Stop:
      // Rare, since it ends what can be seen.
      if (aOp.variant % 8 == 0) {
        Stop(aWorld, Millis(50), Millis(1000));
      }
      return;
    case OpKind::DeliverLate:
      if (!aWorld.wire.empty()) {
        Deliver(aWorld,
                AnswerReceived(aWorld.wire[aOp.pick % aWorld.wire.size()]));
      }
      return;
    default:
      break;
  }
  if (noAttempts) {
    return;
  }
  const Generation generation = PickAttempt(aWorld, aOp.pick);
  if (aOp.kind == OpKind::SendBytes) {
    SendBytes(aWorld, generation);
  } else if (aOp.kind == OpKind::Run) {
    Run(aWorld, generation);
  } else if (aOp.kind == OpKind::Lose) {
    Lose(aWorld, generation);
  } else {
    Answer(aWorld, aOp.kind, generation, aOp.variant);
  }
}

// No count may drift, whatever happened.
void CheckCounts(const World& aWorld) {
  const Router& router = aWorld.router;
  const Counters& counters = router.counters;
  Require(static_cast<double>(counters.retries) <=
              router.settings.retryBudgetInitial +
                  router.settings.retryBudgetRatio *
                      static_cast<double>(aWorld.completed) +
                  1e-6,
          "more retries than the budget allows");
  std::size_t open = 0;
  for (const auto& [id, call] : aWorld.calls) {
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
    Require(listed == (target.freePlace != kNoIndex), "free list is wrong");
    Require(!listed || target.outstanding < std::max(1U, target.share),
            "more calls than the share");
  }
}

// Lets everything end: every call gets an outcome and every grant is settled
// once.
void CheckEnd(World& aWorld) {
  for (int round = 0; round < 40; ++round) {
    Advance(aWorld, Millis(500));
  }
  for (const auto& [id, call] : aWorld.calls) {
    Require(call.finished, "a call never ended");
  }
  for (const auto& [nonce, grant] : aWorld.grants) {
    Require(!grant.granted || grant.released || grant.reported,
            "a grant was never settled");
  }
  const Router& router = aWorld.router;
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
  CheckCounts(aWorld);
}

}  // namespace

class RouterPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterPropertyTest);
  CPPUNIT_TEST(testTruthUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards P4 to P8 against late, repeated, truncated and mismatched answers,
  // lost connections, late grants and targets that leave at any moment.
  void testTruthUnderFaults() {
    const bool passed = rc::check("outcomes are true under faults", [] {
      const auto ops = *rc::gen::container<std::vector<Op>>(GenOp());
      Settings settings;
      settings.retryBudgetInitial = 20;
      World world = MakeWorld(settings, *rc::gen::inRange<std::uint64_t>(1, 9));
      for (const char* name : {"t0", "t1", "t2"}) {
        AddTarget(world, name, kSlots);
      }
      for (const Op& op : ops) {
        Interpret(world, op);
        CheckCounts(world);
      }
      CheckEnd(world);
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterPropertyTest);

}  // namespace bramleypath::routing
