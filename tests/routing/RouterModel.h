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

// True state of one attempt at the adapter and the target, which the router
// learns only through events.
struct AttemptFacts {
  CallId call = 0;
  TargetId target;
  TimePoint connectBy;
  bool bytesSent = false;
  bool ran = false;
  bool refused = false;
  bool connectionOver = false;  // no further bytes can be sent
  // A complete answer with the right request id was delivered.
  bool answerDelivered = false;
};

// True state of one call.
struct CallFacts {
  CallAccepted request;
  std::vector<Generation> attempts;
  std::uint32_t runs = 0;
  bool finished = false;
  Outcome reportedOutcome = Outcome::NotRun;
};

struct GrantFacts {
  CallId call = 0;
  TimePoint validUntil;
  bool granted = false;
  bool replied = false;
  bool released = false;
  bool reported = false;
};

// Reference model: carries out the router's actions, records which bytes were
// sent to which target, which calls ran and what each caller was told, and
// checks each action against these records.
struct RouterModel {
  Router router;
  TimePoint now{1000000};
  std::map<CallId, CallFacts> calls;
  std::map<Generation, AttemptFacts> attempts;
  std::map<Nonce, GrantFacts> grants;
  std::map<TargetId, membership::Incarnation> serving;
  // Answers that are delivered later or never.
  std::vector<AnswerReceived> answersInTransit;
  std::uint64_t completed = 0;
  bool drained = false;
  std::uint32_t interrupted = 0;
  // Earliest time at which a planned stop may interrupt calls.
  TimePoint interruptAllowedAt = kNever;
};

inline bool MayHaveRun(const AttemptFacts& aAttempt) {
  return !aAttempt.refused && (aAttempt.bytesSent || !aAttempt.connectionOver);
}

inline void Check(RouterModel& aModel, const SendRequest& aAction) {
  CallFacts& call = aModel.calls.at(aAction.call);
  Require(!call.finished, "P4: sent after the caller was answered");
  Require(aModel.serving.count(aAction.target) > 0,
          "rule 8: new work for a target that is not serving");
  Require(aAction.connectBy <= call.request.deadline,
          "bytes could leave after the deadline");
  if (call.request.keyed && !call.request.forwarded) {
    bool held = false;
    for (const auto& [nonce, grant] : aModel.grants) {
      held = held ||
             (grant.call == aAction.call && grant.granted && !grant.released &&
              !grant.reported && aModel.now < grant.validUntil &&
              aAction.connectBy <= grant.validUntil);
    }
    Require(held, "rule 6: sent without a grant");
  }
  for (const Generation earlier : call.attempts) {
    Require(!MayHaveRun(aModel.attempts.at(earlier)) ||
                (call.request.idempotent && !call.request.keyed),
            "P6: sent again after it may have run");
  }
  call.attempts.push_back(aAction.generation);
  AttemptFacts facts;
  facts.call = aAction.call;
  facts.target = aAction.target;
  facts.connectBy = aAction.connectBy;
  aModel.attempts[aAction.generation] = facts;
}

inline void Check(RouterModel& aModel, const FinishCall& aAction) {
  CallFacts& call = aModel.calls.at(aAction.call);
  Require(!call.finished, "P4: two answers to one call");
  call.finished = true;
  call.reportedOutcome = aAction.outcome;
  bool mayHaveRun = false;
  for (const Generation generation : call.attempts) {
    mayHaveRun = mayHaveRun || MayHaveRun(aModel.attempts.at(generation));
  }
  if (aAction.outcome == Outcome::NotRun) {
    Require(!mayHaveRun && call.runs == 0, "P5: not_run, but it may have run");
  }
  if (aAction.reason == Reason::Answered) {
    const AttemptFacts& attempt = aModel.attempts.at(aAction.generation);
    Require(attempt.call == aAction.call && attempt.answerDelivered,
            "P4: completed without the whole answer to this call");
    ++aModel.completed;
  }
}

inline void Check(RouterModel& aModel, const RequestGrant& aAction) {
  Require(aModel.grants.count(aAction.nonce) == 0, "a nonce was used twice");
  aModel.grants[aAction.nonce].call = aAction.call;
}

inline void Check(RouterModel& aModel, const ReleaseGrant& aAction) {
  GrantFacts& grant = aModel.grants.at(aAction.nonce);
  Require(grant.granted && !grant.released && !grant.reported,
          "a grant was settled twice or never held");
  grant.released = true;
  for (const Generation generation : aModel.calls.at(grant.call).attempts) {
    Require(!MayHaveRun(aModel.attempts.at(generation)),
            "rule 6: a used grant was released");
  }
}

inline void Check(RouterModel& aModel, const ReportAnswer& aAction) {
  GrantFacts& grant = aModel.grants.at(aAction.nonce);
  Require(grant.granted && !grant.released && !grant.reported,
          "a grant was settled twice or never held");
  grant.reported = true;
  if (aAction.outcome == Outcome::Completed) {
    Require(aModel.attempts.at(aAction.generation).answerDelivered,
            "an answer was reported that never came");
  }
}

inline void Check(RouterModel& aModel, const Drained& aAction) {
  Require(!aModel.drained, "drained twice");
  aModel.drained = true;
  aModel.interrupted = aAction.interrupted;
  Require(aAction.interrupted == 0 || aModel.now >= aModel.interruptAllowedAt,
          "P8: a planned stop interrupted calls before its deadline");
  for (const auto& [id, call] : aModel.calls) {
    Require(call.finished, "P8: drained with an open call");
  }
}

template <typename Action>
void Check(RouterModel&, const Action&) {}

inline void Apply(RouterModel& aModel, const Event& aEvent) {
  for (const Action& action : Step(aModel.router, aEvent, aModel.now)) {
    std::visit([&](const auto& aAction) { Check(aModel, aAction); }, action);
  }
}

// Requests a planned stop. A second request interrupts all open calls at once.
inline void Stop(RouterModel& aModel, Duration aClose, Duration aDrain) {
  const bool second = aModel.router.stopping;
  aModel.interruptAllowedAt = second ? aModel.now : aModel.now + aDrain;
  Apply(aModel, StopRequested{aModel.now + aClose, aModel.now + aDrain});
}

inline RouterModel MakeModel(const Settings& aSettings, std::uint64_t aSeed) {
  RouterModel model;
  model.router = MakeRouter(HostId("e1"), DataCentreId("d1"), aSettings, aSeed);
  return model;
}

inline void AddTarget(RouterModel& aModel, const std::string& aName,
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
  aModel.serving[record.target] = aIncarnation;
  Apply(aModel, TargetUp{record});
}

inline CallAccepted MakeCall(RouterModel& aModel, Duration aTime) {
  CallAccepted call;
  call.call = aModel.calls.size() + 1;
  call.requestId = RequestId("r" + std::to_string(call.call));
  call.clientAccount = ClientAccountId("m");
  call.callClass = ClassId("check");
  call.service = ServiceId("ledger");
  call.deadline = aModel.now + aTime;
  return call;
}

inline void Accept(RouterModel& aModel, const CallAccepted& aCall) {
  aModel.calls[aCall.call].request = aCall;
  Apply(aModel, aCall);
}

inline void AdvanceTime(RouterModel& aModel, Duration aTime) {
  aModel.now = aModel.now + aTime;
  Apply(aModel, Tick{});
}

// Sends the request's bytes, or reports NothingSent if connectBy has passed.
inline void SendBytes(RouterModel& aModel, Generation aGeneration) {
  AttemptFacts& attempt = aModel.attempts.at(aGeneration);
  if (attempt.connectionOver || attempt.bytesSent) {
    return;
  }
  if (attempt.connectBy <= aModel.now) {
    attempt.connectionOver = true;
    Apply(aModel, NothingSent{aGeneration});
    return;
  }
  attempt.bytesSent = true;
}

inline void Run(RouterModel& aModel, Generation aGeneration) {
  AttemptFacts& attempt = aModel.attempts.at(aGeneration);
  if (!attempt.bytesSent || attempt.ran || attempt.refused) {
    return;
  }
  attempt.ran = true;
  CallFacts& call = aModel.calls.at(attempt.call);
  ++call.runs;
  Require(!call.finished || call.reportedOutcome != Outcome::NotRun,
          "P5: ran after not_run");
  Require(call.runs == 1 || call.request.idempotent,
          "P6: a non-idempotent call ran twice");
}

inline void DeliverAnswer(RouterModel& aModel, const AnswerReceived& aAnswer) {
  AttemptFacts& attempt = aModel.attempts.at(aAnswer.generation);
  const CallFacts& call = aModel.calls.at(attempt.call);
  if (aAnswer.complete && !aAnswer.refused &&
      aAnswer.requestId == call.request.requestId) {
    attempt.answerDelivered = true;
  }
  Apply(aModel, aAnswer);
}

inline void LoseConnection(RouterModel& aModel, Generation aGeneration) {
  AttemptFacts& attempt = aModel.attempts.at(aGeneration);
  attempt.connectionOver = true;
  if (attempt.bytesSent) {
    Apply(aModel, ConnectionLost{aGeneration});
  } else {
    Apply(aModel, NothingSent{aGeneration});
  }
}

}  // namespace bramleypath::routing
