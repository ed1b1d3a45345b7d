#include "bramleypath/routing/internal/Calls.h"

#include <algorithm>
#include <utility>

#include "bramleypath/routing/internal/Choice.h"
#include "bramleypath/routing/internal/Ejection.h"
#include "bramleypath/routing/internal/Latency.h"
#include "bramleypath/routing/internal/Queues.h"
#include "bramleypath/routing/internal/Shares.h"
#include "bramleypath/routing/internal/Targets.h"
#include "bramleypath/routing/internal/Timers.h"

namespace bramleypath::routing::detail {

namespace {

// An attempt that is still open at the deadline counts as a failure of its
// target if it took longer than this many times the class's 95% quantile.
constexpr double kHangFactor = 2.0;

// A timer that fires later than this shows that this process was paused or
// overloaded. Answers may then wait unread in its sockets, so that a missing
// answer says nothing about the target.
constexpr Duration kMaxLateness = Millis(100);

void RecordRefusal(Router& aRouter, Refusal aRefusal) {
  aRouter.refusals.push_back(std::move(aRefusal));
  if (aRouter.refusals.size() > aRouter.settings.keptRefusals) {
    aRouter.refusals.pop_front();
  }
}

Refusal DescribeRequest(const CallAccepted& aRequest, Reason aReason,
                        TimePoint aNow) {
  Refusal refusal;
  refusal.at = aNow;
  refusal.call = aRequest.call;
  refusal.requestId = aRequest.requestId;
  refusal.clientAccount = aRequest.clientAccount;
  refusal.callClass = aRequest.callClass;
  refusal.service = aRequest.service;
  refusal.reason = aReason;
  return refusal;
}

void DescribeService(const Router& aRouter, const ServiceState& aService,
                     Refusal& aRefusal) {
  aRefusal.serving = aService.serving;
  aRefusal.ejected = aService.ejected;
  aRefusal.leaving = static_cast<std::uint32_t>(std::count_if(
      aService.targets.begin(), aService.targets.end(),
      [&](TargetIndex aIndex) {
        return aRouter.targets[aIndex].state == aRouter.chart.leaving;
      }));
  aRefusal.totalShare = aService.totalShare;
  aRefusal.inFlight = aService.inFlight;
  aRefusal.queued = static_cast<std::uint32_t>(aService.queued);
}

void CountEnd(Router& aRouter, Outcome aOutcome, Reason aReason) {
  Counters& counters = aRouter.counters;
  ++counters.reasons[static_cast<std::size_t>(aReason)];
  switch (aOutcome) {
    case Outcome::Completed:
      ++counters.completed;
      break;
    case Outcome::NotRun:
      ++counters.notRun;
      break;
    case Outcome::OutcomeUnknown:
      ++counters.outcomeUnknown;
      break;
  }
}

// Refuses a request for which no Call was created.
void RefuseAtOnce(Router& aRouter, const CallAccepted& aRequest, Reason aReason,
                  TimePoint aNow, Actions& aActions) {
  CountEnd(aRouter, Outcome::NotRun, aReason);
  RecordRefusal(aRouter, DescribeRequest(aRequest, aReason, aNow));
  aActions.push_back(FinishCall{aRequest.call, Outcome::NotRun, aReason, 0});
}

// Releases the grant of a call that ends, or reports the outcome to the key's
// owner. While an abandoned attempt is still open, its end does this later.
void SettleGrant(const Router& aRouter, const Call& aCall, Outcome aOutcome,
                 Actions& aActions) {
  if (!aCall.granted || aCall.nonce == 0) {
    return;
  }
  const CallId id = aCall.request.call;
  if (aOutcome == Outcome::NotRun) {
    aActions.push_back(ReleaseGrant{id, aCall.nonce});
    return;
  }
  if (aOutcome == Outcome::OutcomeUnknown &&
      aRouter.attempts.count(aCall.generation) > 0) {
    return;
  }
  aActions.push_back(ReportAnswer{id, aCall.nonce, aOutcome, aCall.generation});
}

// Ends a call that is not in a queue.
void Finish(Router& aRouter, CallId aId, Outcome aOutcome, Reason aReason,
            TimePoint aNow, Actions& aActions) {
  const auto found = aRouter.calls.find(aId);
  Call& call = found->second;
  CountEnd(aRouter, aOutcome, aReason);
  if (aOutcome != Outcome::Completed) {
    Refusal refusal = DescribeRequest(call.request, aReason, aNow);
    refusal.attempts = call.attempts;
    DescribeService(aRouter, aRouter.services[call.service], refusal);
    RecordRefusal(aRouter, std::move(refusal));
  }
  const Generation generation =
      aReason == Reason::Answered ? call.generation : 0;
  aActions.push_back(FinishCall{aId, aOutcome, aReason, generation});
  SettleGrant(aRouter, call, aOutcome, aActions);
  ClearCallTimer(aRouter, aId, call);
  aRouter.calls.erase(found);
}

// Ends a call without an open attempt and removes it from its queue.
void EndWaiting(Router& aRouter, CallId aId, Reason aReason, TimePoint aNow,
                Actions& aActions) {
  Call& call = aRouter.calls.at(aId);
  if (call.stage == CallStage::Queued) {
    DecrementQueueCounts(aRouter, call);
  }
  const Outcome outcome =
      call.mayHaveRun ? Outcome::OutcomeUnknown : Outcome::NotRun;
  Finish(aRouter, aId, outcome, aReason, aNow, aActions);
}

// Ends a call with an open attempt; the attempt becomes abandoned.
void EndDispatched(Router& aRouter, CallId aId, Reason aReason, TimePoint aNow,
                   Actions& aActions) {
  const Call& call = aRouter.calls.at(aId);
  Attempt& attempt = aRouter.attempts.at(call.generation);
  attempt.abandoned = true;
  attempt.abandonAt = aNow + aRouter.settings.abandonTimeout;
  aRouter.timers.insert(
      Timer{attempt.abandonAt, TimerKind::Attempt, call.generation});
  aActions.push_back(AbandonAttempt{call.generation, attempt.abandonAt});
  Finish(aRouter, aId, Outcome::OutcomeUnknown, aReason, aNow, aActions);
}

// Ends a call at any stage.
void EndEarly(Router& aRouter, CallId aId, Reason aReason, TimePoint aNow,
              Actions& aActions) {
  if (aRouter.calls.at(aId).stage == CallStage::Dispatched) {
    EndDispatched(aRouter, aId, aReason, aNow, aActions);
  } else {
    EndWaiting(aRouter, aId, aReason, aNow, aActions);
  }
}

bool HoldsGrant(const Call& aCall, TimePoint aNow) {
  const bool needed = aCall.request.keyed && !aCall.request.forwarded;
  return !needed || (aCall.granted && aNow < aCall.grantValidUntil);
}

// No byte may be sent after the deadline or after the grant has expired.
TimePoint SendBefore(const Call& aCall) {
  return std::min(aCall.request.deadline, aCall.grantValidUntil);
}

Attempt& BeginAttempt(Router& aRouter, CallId aId, Call& aCall,
                      TimePoint aNow) {
  aCall.stage = CallStage::Dispatched;
  aCall.generation = aRouter.nextGeneration++;
  ++aCall.attempts;
  ++aRouter.counters.attempts;
  ++aRouter.clientAccountInFlight[aCall.request.clientAccount];
  SetCallTimer(aRouter, aId, aCall);
  Attempt& attempt = aRouter.attempts[aCall.generation];
  attempt.call = aId;
  attempt.requestId = aCall.request.requestId;
  attempt.service = aCall.service;
  attempt.callClass = aCall.callClass;
  attempt.clientAccount = aCall.request.clientAccount;
  attempt.sentAt = aNow;
  attempt.nonce = aCall.nonce;
  return attempt;
}

void SendToTarget(Router& aRouter, CallId aId, TargetIndex aIndex, bool aProbe,
                  TimePoint aNow, Actions& aActions) {
  Call& call = aRouter.calls.at(aId);
  Attempt& attempt = BeginAttempt(aRouter, aId, call, aNow);
  TargetState& target = aRouter.targets[aIndex];
  ServiceState& service = aRouter.services[call.service];
  attempt.target = aIndex;
  attempt.incarnation = target.record.incarnation;
  attempt.probe = aProbe;
  attempt.connectBy =
      std::min(aNow + aRouter.settings.connectTimeout, SendBefore(call));
  call.lastTarget = aIndex;
  ++target.outstanding;
  ++service.inFlight;
  ++service.classes[call.callClass].inFlight;
  UpdateFreeList(aRouter, aIndex, aNow);
  SendRequest send;
  send.call = aId;
  send.generation = call.generation;
  send.target = target.record.target;
  send.address = target.record.address;
  send.connectBy = attempt.connectBy;
  send.deadline = call.request.deadline;
  aActions.push_back(std::move(send));
}

void SendToRemote(Router& aRouter, CallId aId, const RemoteChoice& aRemote,
                  TimePoint aNow, Actions& aActions) {
  Call& call = aRouter.calls.at(aId);
  Attempt& attempt = BeginAttempt(aRouter, aId, call, aNow);
  attempt.dataCentre = aRemote.dataCentre;
  ++aRouter.counters.forwarded;
  ++aRouter.remotes[aRemote.dataCentre]
        .forwardedSinceSummary[aRouter.services[call.service].id];
  ForwardCall forward;
  forward.call = aId;
  forward.generation = call.generation;
  forward.dataCentre = aRemote.dataCentre;
  forward.host = aRemote.host;
  forward.remaining = SendBefore(call) - aNow;
  aActions.push_back(std::move(forward));
}

// The reason why a call at the front of its queue can no longer be sent, if
// any.
std::optional<Reason> CheckSend(const Router& aRouter, const Call& aCall,
                                TimePoint aNow) {
  if (!HoldsGrant(aCall, aNow)) {
    return Reason::GrantExpired;
  }
  if (SendBefore(aCall) - aNow < MinRemainingTime(aRouter, aCall)) {
    return aCall.attempts > 0 ? aCall.lastReason : Reason::DeadlineTooShort;
  }
  return std::nullopt;
}

// Dequeues the next call that can be sent and ends the calls ahead of it that
// no longer can.
std::optional<CallId> DequeueNext(Router& aRouter, ServiceIndex aService,
                                  Destination aDestination, TimePoint aNow,
                                  Actions& aActions) {
  while (true) {
    const auto next = SelectNext(aRouter, aService, aDestination, aNow);
    if (!next) {
      return std::nullopt;
    }
    const auto rejection =
        CheckSend(aRouter, aRouter.calls.at(next->call), aNow);
    if (!rejection) {
      Dequeue(aRouter, aService, *next);
      return next->call;
    }
    EndWaiting(aRouter, next->call, *rejection, aNow, aActions);
  }
}

void SendLocally(Router& aRouter, ServiceIndex aService, TimePoint aNow,
                 Actions& aActions) {
  while (aRouter.services[aService].queued > 0) {
    const ServiceState& service = aRouter.services[aService];
    if (service.freeTargets.empty() && service.probeTargets.empty()) {
      return;
    }
    // Without a free target, the next call leaves the queue only if it can
    // probe an ejected target.
    if (service.freeTargets.empty()) {
      const auto next = SelectNext(aRouter, aService, Destination::Local, aNow);
      if (!next) {
        return;
      }
      const Call& call = aRouter.calls.at(next->call);
      const auto probe = CheckSend(aRouter, call, aNow)
                             ? std::nullopt
                             : ClaimProbeTarget(aRouter, aService, call);
      if (!probe) {
        return;
      }
      Dequeue(aRouter, aService, *next);
      SendToTarget(aRouter, next->call, *probe, true, aNow, aActions);
      continue;
    }
    const auto id =
        DequeueNext(aRouter, aService, Destination::Local, aNow, aActions);
    if (!id) {
      return;
    }
    const Call& call = aRouter.calls.at(*id);
    const auto probe = ClaimProbeTarget(aRouter, aService, call);
    const auto target =
        probe ? probe : ChooseTarget(aRouter, aService, call.lastTarget, aNow);
    SendToTarget(aRouter, *id, *target, probe.has_value(), aNow, aActions);
  }
}

void SendRemotely(Router& aRouter, ServiceIndex aService, TimePoint aNow,
                  Actions& aActions) {
  if (aRouter.remotes.empty()) {
    return;
  }
  while (aRouter.services[aService].queued > 0) {
    const auto remote = ChooseRemote(aRouter, aRouter.services[aService]);
    if (!remote) {
      return;
    }
    const auto id =
        DequeueNext(aRouter, aService, Destination::Remote, aNow, aActions);
    if (!id) {
      return;
    }
    SendToRemote(aRouter, *id, *remote, aNow, aActions);
  }
}

// Refuses the waiting calls of a service without serving and ejected targets,
// since no slot can become free. Calls that can be forwarded keep waiting.
void RefuseWithoutTargets(Router& aRouter, ServiceIndex aService,
                          TimePoint aNow, Actions& aActions) {
  const ServiceState& service = aRouter.services[aService];
  if (service.queued == 0 || service.serving + service.ejected > 0) {
    return;
  }
  const bool remote = HasRemote(aRouter, service.id);
  std::vector<CallId> waiting;
  for (const ClientAccountQueue& clientAccount : service.clientAccounts) {
    for (const Flow& flow : clientAccount.flows) {
      waiting.insert(waiting.end(), flow.calls.begin(), flow.calls.end());
    }
  }
  for (const CallId id : waiting) {
    const auto found = aRouter.calls.find(id);
    if (found != aRouter.calls.end() &&
        found->second.stage == CallStage::Queued &&
        (!remote || found->second.request.forwarded)) {
      EndWaiting(aRouter, id, Reason::NoTarget, aNow, aActions);
    }
  }
}

void Enqueue(Router& aRouter, CallId aId, QueuePosition aPosition,
             TimePoint aNow, Actions& aActions) {
  Call& call = aRouter.calls.at(aId);
  if (!PushToFlow(aRouter, aId, call, aPosition)) {
    EndWaiting(aRouter, aId, Reason::TooManyCalls, aNow, aActions);
    return;
  }
  call.stage = CallStage::Queued;
  SetCallTimer(aRouter, aId, call);
  DispatchQueued(aRouter, call.service, aNow, aActions);
}

void SendGrantRequest(Router& aRouter, CallId aId, Call& aCall, TimePoint aNow,
                      Actions& aActions) {
  static_cast<void>(aNow);
  aCall.nonce = aRouter.nextNonce++;
  aRouter.pendingGrants[aCall.nonce] = aId;
  if (aRouter.pendingGrants.size() > aRouter.settings.maxPendingGrants) {
    aRouter.pendingGrants.erase(aRouter.pendingGrants.begin());
  }
  SetCallTimer(aRouter, aId, aCall);
  aActions.push_back(RequestGrant{aId, aCall.nonce, aCall.request.deadline});
}

// How an attempt ended: the call's outcome and what it tells about the target.
struct AttemptEnd {
  Outcome outcome = Outcome::OutcomeUnknown;
  Reason reason = Reason::ConnectionLost;
  Health health = Health::Failed;
};

// Removes the attempt and frees its slot.
Attempt RemoveAttempt(Router& aRouter, Generation aGeneration, TimePoint aNow) {
  const auto found = aRouter.attempts.find(aGeneration);
  Attempt attempt = std::move(found->second);
  aRouter.attempts.erase(found);
  const auto inFlight =
      aRouter.clientAccountInFlight.find(attempt.clientAccount);
  if (--inFlight->second == 0) {
    aRouter.clientAccountInFlight.erase(inFlight);
  }
  if (attempt.abandoned) {
    aRouter.timers.erase(
        Timer{attempt.abandonAt, TimerKind::Attempt, aGeneration});
  }
  if (attempt.target == kNoIndex) {
    return attempt;
  }
  ServiceState& service = aRouter.services[attempt.service];
  --service.inFlight;
  --service.classes[attempt.callClass].inFlight;
  --aRouter.targets[attempt.target].outstanding;
  if (aRouter.targets[attempt.target].service != kNoIndex) {
    UpdateFreeList(aRouter, attempt.target, aNow);
  }
  return attempt;
}

bool IsSameIncarnation(const Router& aRouter, const Attempt& aAttempt) {
  const TargetState& target = aRouter.targets[aAttempt.target];
  return target.service == aAttempt.service &&
         target.record.incarnation == aAttempt.incarnation;
}

void RecordAttemptEnd(Router& aRouter, const Attempt& aAttempt,
                      const AttemptEnd& aEnd, TimePoint aNow,
                      Actions& aActions) {
  if (aAttempt.target == kNoIndex) {
    if (aEnd.outcome != Outcome::Completed) {
      // A count above any allowance stops forwarding to this data centre until
      // its next summary resets it.
      const ServiceId& id = aRouter.services[aAttempt.service].id;
      aRouter.remotes[aAttempt.dataCentre].forwardedSinceSummary[id] =
          kNoIndex / 2;
    }
    return;
  }
  if (IsSameIncarnation(aRouter, aAttempt)) {
    const Duration latency = aNow - aAttempt.sentAt;
    RecordHealth(
        aRouter, aAttempt.target, aAttempt.callClass,
        HealthSample{aEnd.health, latency, aEnd.outcome == Outcome::NotRun},
        aNow, aActions);
    if (aEnd.health == Health::Good) {
      RecordLatency(aRouter, aAttempt.target, aAttempt.callClass, latency,
                    aNow);
    }
    UpdateFreeList(aRouter, aAttempt.target, aNow);
  }
  RecycleTarget(aRouter, aAttempt.target);
}

// Settles the grant of an abandoned attempt, whose call has already ended.
void SettleAbandonedGrant(const Attempt& aAttempt, Generation aGeneration,
                          const AttemptEnd& aEnd, Actions& aActions) {
  if (aAttempt.nonce == 0) {
    return;
  }
  if (aEnd.outcome == Outcome::NotRun) {
    aActions.push_back(ReleaseGrant{aAttempt.call, aAttempt.nonce});
    return;
  }
  aActions.push_back(
      ReportAnswer{aAttempt.call, aAttempt.nonce, aEnd.outcome, aGeneration});
}

bool IsRetryable(const Call& aCall, Outcome aOutcome) {
  return aOutcome == Outcome::NotRun ||
         (aOutcome == Outcome::OutcomeUnknown && aCall.request.idempotent &&
          !aCall.request.keyed);
}

// Queues the call again if its outcome, deadline and the retry budget allow it;
// false if the call must end.
bool Retry(Router& aRouter, CallId aId, const AttemptEnd& aEnd, TimePoint aNow,
           Actions& aActions) {
  Call& call = aRouter.calls.at(aId);
  if (!IsRetryable(call, aEnd.outcome) ||
      call.request.deadline - aNow < MinRemainingTime(aRouter, call)) {
    return false;
  }
  if (aRouter.retryTokens < 1) {
    call.lastReason = Reason::RetryBudget;
    return false;
  }
  aRouter.retryTokens -= 1;
  ++aRouter.counters.retries;
  Enqueue(aRouter, aId, QueuePosition::Front, aNow, aActions);
  return true;
}

void EndAttempt(Router& aRouter, Generation aGeneration, const AttemptEnd& aEnd,
                TimePoint aNow, Actions& aActions) {
  const Attempt attempt = RemoveAttempt(aRouter, aGeneration, aNow);
  RecordAttemptEnd(aRouter, attempt, aEnd, aNow, aActions);
  if (attempt.abandoned) {
    SettleAbandonedGrant(attempt, aGeneration, aEnd, aActions);
    DispatchQueued(aRouter, attempt.service, aNow, aActions);
    return;
  }
  Call& call = aRouter.calls.at(attempt.call);
  call.lastReason = aEnd.reason;
  if (aEnd.outcome == Outcome::Completed) {
    aRouter.retryTokens =
        std::min(aRouter.settings.retryBudgetMax,
                 aRouter.retryTokens + aRouter.settings.retryBudgetRatio);
    Finish(aRouter, attempt.call, aEnd.outcome, aEnd.reason, aNow, aActions);
  } else {
    call.mayHaveRun =
        call.mayHaveRun || aEnd.outcome == Outcome::OutcomeUnknown;
    if (!Retry(aRouter, attempt.call, aEnd, aNow, aActions)) {
      const Outcome outcome =
          call.mayHaveRun ? Outcome::OutcomeUnknown : Outcome::NotRun;
      Finish(aRouter, attempt.call, outcome, call.lastReason, aNow, aActions);
    }
  }
  DispatchQueued(aRouter, attempt.service, aNow, aActions);
}

// Derives the end of an attempt from the answer to its request.
AttemptEnd Classify(const AnswerReceived& aAnswer,
                    const RequestId& aRequestId) {
  constexpr std::uint32_t kFirstServerError = 500;
  if (aAnswer.requestId != aRequestId) {
    return {Outcome::OutcomeUnknown, Reason::MismatchedAnswer, Health::Failed};
  }
  if (!aAnswer.complete) {
    return {Outcome::OutcomeUnknown, Reason::TruncatedAnswer, Health::Failed};
  }
  if (aAnswer.refused) {
    return {Outcome::NotRun, Reason::TargetRefused, Health::Failed};
  }
  if (aAnswer.unknown) {
    return {Outcome::OutcomeUnknown, Reason::ConnectionLost, Health::Failed};
  }
  const bool error = aAnswer.status >= kFirstServerError;
  return {Outcome::Completed, Reason::Answered,
          error ? Health::Failed : Health::Good};
}

// What a connection that was not made tells about the target.
Health HealthWithoutConnection(const Router& aRouter, const Attempt& aAttempt,
                               TimePoint aNow) {
  if (aNow > aAttempt.connectBy + kMaxLateness) {
    return Health::Unknown;
  }
  // A call with little time left may not have left the target enough of it.
  const Duration allowed = aAttempt.connectBy - aAttempt.sentAt;
  const bool timedOut = aNow >= aAttempt.connectBy;
  return timedOut && allowed < aRouter.settings.connectTimeout
             ? Health::Failed
             : Health::Unreachable;
}

// The reason for a call that reached its deadline while it waited in the queue.
Reason WaitingReason(const Router& aRouter, const Call& aCall) {
  const ServiceState& service = aRouter.services[aCall.service];
  if (aCall.attempts > 0) {
    return aCall.lastReason;
  }
  if (service.serving + service.ejected == 0) {
    return Reason::NoTarget;
  }
  return IsAtLimit(aRouter, aCall.request.clientAccount)
             ? Reason::ClientAccountLimit
             : Reason::NoCapacity;
}

void RecordHang(Router& aRouter, const Call& aCall, TimePoint aNow,
                Actions& aActions) {
  const Attempt& attempt = aRouter.attempts.at(aCall.generation);
  if (attempt.target == kNoIndex || !IsSameIncarnation(aRouter, attempt) ||
      aNow > aCall.request.deadline + kMaxLateness) {
    return;
  }
  const double slow =
      aRouter.services[aCall.service].classes[aCall.callClass].p95Micros;
  const Duration held = aNow - attempt.sentAt;
  if (slow > 0 && static_cast<double>(held.micros) > slow * kHangFactor) {
    RecordHealth(aRouter, attempt.target, aCall.callClass,
                 HealthSample{Health::Failed, held, false}, aNow, aActions);
  }
}

void OnCallTimer(Router& aRouter, CallId aId, TimePoint aNow,
                 Actions& aActions) {
  const auto found = aRouter.calls.find(aId);
  if (found == aRouter.calls.end()) {
    return;
  }
  const Call& call = found->second;
  switch (call.stage) {
    case CallStage::AwaitingGrant:
      EndWaiting(aRouter, aId,
                 call.mayHaveRun ? Reason::KeyOutcomeUnknown
                                 : Reason::OwnerUnreachable,
                 aNow, aActions);
      break;
    case CallStage::Queued:
      EndWaiting(aRouter, aId,
                 HoldsGrant(call, aNow) ? WaitingReason(aRouter, call)
                                        : Reason::GrantExpired,
                 aNow, aActions);
      break;
    case CallStage::Dispatched:
      RecordHang(aRouter, call, aNow, aActions);
      EndDispatched(aRouter, aId, Reason::DeadlinePassed, aNow, aActions);
      break;
  }
}

void OnTimer(Router& aRouter, const Timer& aTimer, TimePoint aNow,
             Actions& aActions) {
  switch (aTimer.kind) {
    case TimerKind::Call:
      OnCallTimer(aRouter, aTimer.id, aNow, aActions);
      break;
    case TimerKind::Attempt:
      if (aRouter.attempts.count(aTimer.id) > 0) {
        EndAttempt(aRouter, aTimer.id, AttemptEnd{}, aNow, aActions);
      }
      break;
    case TimerKind::Target: {
      const auto index = static_cast<TargetIndex>(aTimer.id);
      OnTargetTimer(aRouter, index, aNow);
      const ServiceIndex service = aRouter.targets[index].service;
      if (service != kNoIndex) {
        DispatchQueued(aRouter, service, aNow, aActions);
      }
      break;
    }
  }
}

void InterruptCalls(Router& aRouter, TimePoint aNow, Actions& aActions) {
  std::vector<CallId> open;
  for (const auto& [id, call] : aRouter.calls) {
    open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (const CallId id : open) {
    const bool sent = aRouter.calls.at(id).stage == CallStage::Dispatched;
    EndEarly(aRouter, id, sent ? Reason::StopDeadline : Reason::Stopping, aNow,
             aActions);
  }
  aRouter.drained = true;
  aActions.push_back(Drained{static_cast<std::uint32_t>(open.size())});
}

void ContinueStop(Router& aRouter, TimePoint aNow, Actions& aActions) {
  if (!aRouter.stopping || aRouter.drained || aNow < aRouter.closeAt) {
    return;
  }
  if (aRouter.calls.empty() || aNow >= aRouter.drainDeadline) {
    InterruptCalls(aRouter, aNow, aActions);
  }
}

std::optional<Reason> CheckAccept(const Router& aRouter,
                                  const CallAccepted& aEvent, TimePoint aNow) {
  if (aRouter.stopping && (aRouter.drained || aNow >= aRouter.closeAt)) {
    return Reason::Stopping;
  }
  if (aEvent.deadline <= aNow) {
    return Reason::DeadlineTooShort;
  }
  if (aRouter.calls.size() >= aRouter.settings.maxCalls) {
    return Reason::TooManyCalls;
  }
  if (aRouter.serviceIndex.count(aEvent.service) == 0 &&
      !HasRemote(aRouter, aEvent.service)) {
    return Reason::NoTarget;
  }
  return std::nullopt;
}

}  // namespace

void OnCallAccepted(Router& aRouter, const CallAccepted& aEvent, TimePoint aNow,
                    Actions& aActions) {
  if (aRouter.calls.count(aEvent.call) > 0) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  ++aRouter.counters.accepted;
  auto rejection = CheckAccept(aRouter, aEvent, aNow);
  const auto service =
      rejection ? std::nullopt : EnsureService(aRouter, aEvent.service);
  if (!service) {
    RefuseAtOnce(aRouter, aEvent, rejection.value_or(Reason::TooManyCalls),
                 aNow, aActions);
    return;
  }
  Call call;
  call.request = aEvent;
  call.service = *service;
  call.acceptedAt = aNow;
  call.stage = CallStage::AwaitingGrant;
  ServiceState& state = aRouter.services[*service];
  call.callClass = EnsureClass(aRouter, state, aEvent.callClass);
  RecordArrival(aRouter, state.classes[call.callClass], aNow);
  rejection = CheckAdmission(aRouter, call, aNow);
  Call& stored = aRouter.calls[aEvent.call] = std::move(call);
  if (rejection) {
    EndWaiting(aRouter, aEvent.call, *rejection, aNow, aActions);
  } else if (aEvent.keyed && !aEvent.forwarded) {
    SendGrantRequest(aRouter, aEvent.call, stored, aNow, aActions);
  } else {
    Enqueue(aRouter, aEvent.call, QueuePosition::Back, aNow, aActions);
  }
}

void OnCallerGone(Router& aRouter, const CallerGone& aEvent, TimePoint aNow,
                  Actions& aActions) {
  if (aRouter.calls.count(aEvent.call) == 0) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  EndEarly(aRouter, aEvent.call, Reason::CallerGone, aNow, aActions);
}

void OnNothingSent(Router& aRouter, const NothingSent& aEvent, TimePoint aNow,
                   Actions& aActions) {
  const auto found = aRouter.attempts.find(aEvent.generation);
  if (found == aRouter.attempts.end()) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  EndAttempt(aRouter, aEvent.generation,
             {Outcome::NotRun, Reason::ConnectFailed,
              HealthWithoutConnection(aRouter, found->second, aNow)},
             aNow, aActions);
}

void OnConnectionLost(Router& aRouter, const ConnectionLost& aEvent,
                      TimePoint aNow, Actions& aActions) {
  if (aRouter.attempts.count(aEvent.generation) == 0) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  EndAttempt(aRouter, aEvent.generation, AttemptEnd{}, aNow, aActions);
}

void OnAnswer(Router& aRouter, const AnswerReceived& aEvent, TimePoint aNow,
              Actions& aActions) {
  const auto found = aRouter.attempts.find(aEvent.generation);
  if (found == aRouter.attempts.end()) {
    ++aRouter.counters.lateAnswers;
    return;
  }
  const AttemptEnd end = Classify(aEvent, found->second.requestId);
  aRouter.counters.lateAnswers += found->second.abandoned ? 1 : 0;
  aRouter.counters.mismatchedAnswers +=
      end.reason == Reason::MismatchedAnswer ? 1 : 0;
  EndAttempt(aRouter, aEvent.generation, end, aNow, aActions);
}

void OnGrant(Router& aRouter, const GrantReceived& aEvent, TimePoint aNow,
             Actions& aActions) {
  // A duplicate must have no effect, since the grant may already be in use.
  if (aRouter.pendingGrants.erase(aEvent.nonce) == 0) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  const auto found = aRouter.calls.find(aEvent.call);
  if (found == aRouter.calls.end() || found->second.nonce != aEvent.nonce) {
    ++aRouter.counters.lateGrants;
    aActions.push_back(ReleaseGrant{aEvent.call, aEvent.nonce});
    return;
  }
  Call& call = found->second;
  call.granted = true;
  call.mayHaveRun = false;
  call.grantValidUntil = aEvent.validUntil;
  Enqueue(aRouter, aEvent.call, QueuePosition::Back, aNow, aActions);
}

void OnGrantRefused(Router& aRouter, const GrantRefused& aEvent, TimePoint aNow,
                    Actions& aActions) {
  aRouter.pendingGrants.erase(aEvent.nonce);
  const auto found = aRouter.calls.find(aEvent.call);
  if (found == aRouter.calls.end() || found->second.nonce != aEvent.nonce ||
      found->second.stage != CallStage::AwaitingGrant) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  switch (aEvent.refusal) {
    case GrantRefusal::StoredAnswer:
      Finish(aRouter, aEvent.call, Outcome::Completed, Reason::StoredAnswer,
             aNow, aActions);
      break;
    case GrantRefusal::OutcomeUnknown:
      Finish(aRouter, aEvent.call, Outcome::OutcomeUnknown,
             Reason::KeyOutcomeUnknown, aNow, aActions);
      break;
    case GrantRefusal::KeyReused:
      Finish(aRouter, aEvent.call, Outcome::NotRun, Reason::KeyReused, aNow,
             aActions);
      break;
    case GrantRefusal::OwnerUnreachable:
      EndWaiting(aRouter, aEvent.call, Reason::OwnerUnreachable, aNow,
                 aActions);
      break;
  }
}

void OnGrantWaiting(Router& aRouter, const GrantWaiting& aEvent) {
  const auto found = aRouter.calls.find(aEvent.call);
  if (found != aRouter.calls.end() && found->second.nonce == aEvent.nonce &&
      found->second.stage == CallStage::AwaitingGrant) {
    found->second.mayHaveRun = true;
  }
}

void OnGrantTimeout(Router& aRouter, const GrantTimeout& aEvent, TimePoint aNow,
                    Actions& aActions) {
  const auto found = aRouter.calls.find(aEvent.call);
  if (found == aRouter.calls.end() || found->second.nonce != aEvent.nonce ||
      found->second.stage != CallStage::AwaitingGrant) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  EndWaiting(aRouter, aEvent.call,
             found->second.mayHaveRun ? Reason::KeyOutcomeUnknown
                                      : Reason::OwnerUnreachable,
             aNow, aActions);
}

void OnStop(Router& aRouter, const StopRequested& aEvent, TimePoint aNow,
            Actions& aActions) {
  if (aRouter.stopping) {
    if (!aRouter.drained) {
      InterruptCalls(aRouter, aNow, aActions);
    }
    return;
  }
  aRouter.stopping = true;
  aRouter.closeAt = aEvent.closeAt;
  aRouter.drainDeadline = aEvent.drainDeadline;
}

void RunDueTimers(Router& aRouter, TimePoint aNow, Actions& aActions) {
  while (!aRouter.timers.empty() && aRouter.timers.begin()->at <= aNow) {
    const Timer timer = *aRouter.timers.begin();
    aRouter.timers.erase(aRouter.timers.begin());
    OnTimer(aRouter, timer, aNow, aActions);
  }
  ContinueStop(aRouter, aNow, aActions);
}

void DispatchQueued(Router& aRouter, ServiceIndex aService, TimePoint aNow,
                    Actions& aActions) {
  if (aRouter.services[aService].queued == 0) {
    return;
  }
  SendLocally(aRouter, aService, aNow, aActions);
  SendRemotely(aRouter, aService, aNow, aActions);
  RefuseWithoutTargets(aRouter, aService, aNow, aActions);
}

void DispatchAllQueued(Router& aRouter, TimePoint aNow, Actions& aActions) {
  for (ServiceIndex service = 0; service < aRouter.services.size(); ++service) {
    DispatchQueued(aRouter, service, aNow, aActions);
  }
}

}  // namespace bramleypath::routing::detail
