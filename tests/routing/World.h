#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing {

inline void Require(bool aCondition, const char* aRule) {
  if (!aCondition) {
    throw std::logic_error(aRule);
  }
}

// What really happened to one attempt, at the adapter and the target.
struct AttemptFacts {
  CallId call = 0;
  TargetId target;
  TimePoint connectBy;
  bool bytesSent = false;
  bool ran = false;
  bool refused = false;
  bool connectionOver = false;   // nothing more can be sent on it
  bool answerDelivered = false;  // complete and with the right request id
};

// What really happened to one call.
struct CallFacts {
  CallAccepted request;
  std::vector<Generation> attempts;
  std::uint32_t runs = 0;
  bool finished = false;
  Outcome told = Outcome::NotRun;
};

struct GrantFacts {
  CallId call = 0;
  TimePoint validUntil;
  bool granted = false;
  bool replied = false;
  bool released = false;
  bool reported = false;
};

// The oracle: follows the router's actions, keeps what bytes left to which
// target, what ran and what each caller was told, and checks each action.
struct World {
  Router router;
  TimePoint now{1000000};
  std::map<CallId, CallFacts> calls;
  std::map<Generation, AttemptFacts> attempts;
  std::map<Nonce, GrantFacts> grants;
  std::map<TargetId, membership::Incarnation> serving;
  std::vector<AnswerReceived> wire;  // answers under way, possibly for ever
  std::uint64_t completed = 0;
  bool drained = false;
  std::uint32_t interrupted = 0;
  // From then on a planned stop may interrupt calls.
  TimePoint interruptFrom = kNever;
};

inline bool MayHaveRun(const AttemptFacts& aAttempt) {
  return !aAttempt.refused && (aAttempt.bytesSent || !aAttempt.connectionOver);
}

inline void Check(World& aWorld, const SendRequest& aAction) {
  CallFacts& call = aWorld.calls.at(aAction.call);
  Require(!call.finished, "P4: sent after the caller was answered");
  Require(aWorld.serving.count(aAction.target) > 0,
          "rule 8: new work for a target that is not serving");
  Require(aAction.connectBy <= call.request.deadline,
          "bytes could leave after the deadline");
  if (call.request.keyed && !call.request.forwarded) {
    bool held = false;
    for (const auto& [nonce, grant] : aWorld.grants) {
      held = held ||
             (grant.call == aAction.call && grant.granted && !grant.released &&
              !grant.reported && aWorld.now < grant.validUntil &&
              aAction.connectBy <= grant.validUntil);
    }
    Require(held, "rule 6: sent without a grant");
  }
  for (const Generation earlier : call.attempts) {
    Require(!MayHaveRun(aWorld.attempts.at(earlier)) ||
                (call.request.idempotent && !call.request.keyed),
            "P6: sent again after it may have run");
  }
  call.attempts.push_back(aAction.generation);
  AttemptFacts facts;
  facts.call = aAction.call;
  facts.target = aAction.target;
  facts.connectBy = aAction.connectBy;
  aWorld.attempts[aAction.generation] = facts;
}

inline void Check(World& aWorld, const FinishCall& aAction) {
  CallFacts& call = aWorld.calls.at(aAction.call);
  Require(!call.finished, "P4: two answers to one call");
  call.finished = true;
  call.told = aAction.outcome;
  bool mayHaveRun = false;
  for (const Generation generation : call.attempts) {
    mayHaveRun = mayHaveRun || MayHaveRun(aWorld.attempts.at(generation));
  }
  if (aAction.outcome == Outcome::NotRun) {
    Require(!mayHaveRun && call.runs == 0, "P5: not_run, but it may have run");
  }
  if (aAction.reason == Reason::Answered) {
    const AttemptFacts& attempt = aWorld.attempts.at(aAction.generation);
    Require(attempt.call == aAction.call && attempt.answerDelivered,
            "P4: completed without the whole answer to this call");
    ++aWorld.completed;
  }
}

inline void Check(World& aWorld, const RequestGrant& aAction) {
  Require(aWorld.grants.count(aAction.nonce) == 0, "a nonce was used twice");
  aWorld.grants[aAction.nonce].call = aAction.call;
}

inline void Check(World& aWorld, const ReleaseGrant& aAction) {
  GrantFacts& grant = aWorld.grants.at(aAction.nonce);
  Require(grant.granted && !grant.released && !grant.reported,
          "a grant was settled twice or never held");
  grant.released = true;
  for (const Generation generation : aWorld.calls.at(grant.call).attempts) {
    Require(!MayHaveRun(aWorld.attempts.at(generation)),
            "rule 6: a used grant was released");
  }
}

inline void Check(World& aWorld, const ReportAnswer& aAction) {
  GrantFacts& grant = aWorld.grants.at(aAction.nonce);
  Require(grant.granted && !grant.released && !grant.reported,
          "a grant was settled twice or never held");
  grant.reported = true;
  if (aAction.outcome == Outcome::Completed) {
    Require(aWorld.attempts.at(aAction.generation).answerDelivered,
            "an answer was reported that never came");
  }
}

inline void Check(World& aWorld, const Drained& aAction) {
  Require(!aWorld.drained, "drained twice");
  aWorld.drained = true;
  aWorld.interrupted = aAction.interrupted;
  Require(aAction.interrupted == 0 || aWorld.now >= aWorld.interruptFrom,
          "P8: a planned stop interrupted calls before its deadline");
  for (const auto& [id, call] : aWorld.calls) {
    Require(call.finished, "P8: drained with an open call");
  }
}

template <typename Action>
void Check(World&, const Action&) {}

inline void Apply(World& aWorld, const Event& aEvent) {
  for (const Action& action : Step(aWorld.router, aEvent, aWorld.now)) {
    std::visit([&](const auto& aAction) { Check(aWorld, aAction); }, action);
  }
}

// A second request ends the stop at once.
inline void Stop(World& aWorld, Duration aClose, Duration aDrain) {
  const bool second = aWorld.router.stopping;
  aWorld.interruptFrom = second ? aWorld.now : aWorld.now + aDrain;
  Apply(aWorld, StopRequested{aWorld.now + aClose, aWorld.now + aDrain});
}

inline World MakeWorld(const Settings& aSettings, std::uint64_t aSeed) {
  World world;
  world.router = MakeRouter(HostId("e1"), DataCentreId("d1"), aSettings, aSeed);
  return world;
}

inline void AddTarget(World& aWorld, const std::string& aName,
                      std::uint32_t aSlots,
                      membership::Incarnation aIncarnation = 1) {
  membership::TargetRecord record;
  record.target = TargetId(aName);
  record.incarnation = aIncarnation;
  record.service = ServiceId("ledger");
  record.clientAccount = ClientAccountId("assay");
  record.address = "127.0.0.1:1";
  record.slots = aSlots;
  record.connections = 60;
  aWorld.serving[record.target] = aIncarnation;
  Apply(aWorld, TargetUp{record});
}

inline CallAccepted MakeCall(World& aWorld, Duration aTime) {
  CallAccepted call;
  call.call = aWorld.calls.size() + 1;
  call.requestId = RequestId("r" + std::to_string(call.call));
  call.clientAccount = ClientAccountId("m");
  call.callClass = ClassId("check");
  call.service = ServiceId("ledger");
  call.deadline = aWorld.now + aTime;
  return call;
}

inline void Accept(World& aWorld, const CallAccepted& aCall) {
  aWorld.calls[aCall.call].request = aCall;
  Apply(aWorld, aCall);
}

inline void Advance(World& aWorld, Duration aTime) {
  aWorld.now = aWorld.now + aTime;
  Apply(aWorld, Tick{});
}

// The request's bytes leave, if the adapter is still in time.
inline void SendBytes(World& aWorld, Generation aGeneration) {
  AttemptFacts& attempt = aWorld.attempts.at(aGeneration);
  if (attempt.connectionOver || attempt.bytesSent) {
    return;
  }
  if (attempt.connectBy <= aWorld.now) {
    attempt.connectionOver = true;
    Apply(aWorld, NothingSent{aGeneration});
    return;
  }
  attempt.bytesSent = true;
}

inline void Run(World& aWorld, Generation aGeneration) {
  AttemptFacts& attempt = aWorld.attempts.at(aGeneration);
  if (!attempt.bytesSent || attempt.ran || attempt.refused) {
    return;
  }
  attempt.ran = true;
  CallFacts& call = aWorld.calls.at(attempt.call);
  ++call.runs;
  Require(!call.finished || call.told != Outcome::NotRun,
          "P5: ran after not_run");
  Require(call.runs == 1 || call.request.idempotent,
          "P6: a non-idempotent call ran twice");
}

inline void Deliver(World& aWorld, const AnswerReceived& aAnswer) {
  AttemptFacts& attempt = aWorld.attempts.at(aAnswer.generation);
  const CallFacts& call = aWorld.calls.at(attempt.call);
  if (aAnswer.complete && !aAnswer.refused &&
      aAnswer.requestId == call.request.requestId) {
    attempt.answerDelivered = true;
  }
  Apply(aWorld, aAnswer);
}

inline void Lose(World& aWorld, Generation aGeneration) {
  AttemptFacts& attempt = aWorld.attempts.at(aGeneration);
  attempt.connectionOver = true;
  if (attempt.bytesSent) {
    Apply(aWorld, ConnectionLost{aGeneration});
  } else {
    Apply(aWorld, NothingSent{aGeneration});
  }
}

}  // namespace bramleypath::routing
