#include "bramleypath/daemon/CallService.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>

#include <asio/post.hpp>

#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/journal/Codec.h"
#include "bramleypath/journal/Owner.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/wire/JournalMessages.h"

namespace bramleypath::daemon {

namespace {

constexpr const char* kCallPath = "/v1/call/";
// How long after its call's deadline an answer is still awaited: it no longer
// reaches the caller, but the router learns from it that the target's slot is
// free again.
constexpr Duration kLateAnswerTimeout = Seconds(10);
// The owner of a key keeps a dispatched request for 120 s. The grant expires
// well before that, so that clocks that run at different rates still agree that
// it has.
constexpr Duration kGrantLifetime = Seconds(100);
// Timeout of one request to the owner of a key. A reservation is requested
// again until the call's deadline.
constexpr Duration kOwnerAttemptTimeout = Millis(1000);
// How long the owner may delay its answer to a reservation while an earlier
// request with the same key is running.
constexpr Duration kOwnerWaitTimeout = Millis(700);
constexpr Duration kOwnerRetryDelay = Millis(50);
// How long an answer or a release is sent again until the owner acknowledges
// it.
constexpr Duration kOwnerAcknowledgementTimeout = Seconds(10);
// Time before a call's deadline that is kept for its refusal to reach the
// caller.
constexpr Duration kRefusalMargin = Millis(20);

Duration ShorterOf(Duration aLeft, Duration aRight) {
  return aLeft < aRight ? aLeft : aRight;
}

const char* NameOf(routing::Outcome aOutcome) {
  switch (aOutcome) {
    case routing::Outcome::Completed:
      return wire::kCompleted;
    case routing::Outcome::NotRun:
      return wire::kNotRun;
    case routing::Outcome::OutcomeUnknown:
      return wire::kOutcomeUnknown;
  }
  return "";
}

net::HttpResponse ResponseOf(const journal::StoredAnswer& aAnswer) {
  net::HttpResponse response;
  response.status = aAnswer.status;
  response.contentType = aAnswer.contentType;
  response.body.assign(aAnswer.body.begin(), aAnswer.body.end());
  return response;
}

}  // namespace

CallService::CallService(asio::io_context& aContext, HostId aSelf,
                         DataCentreId aDataCentre, std::uint64_t aSession,
                         Groups& aGroups, PeerRpc& aRpc,
                         net::HttpClient& aClient, metrics::Registry& aMetrics)
    : context(aContext),
      self(std::move(aSelf)),
      dataCentre(std::move(aDataCentre)),
      session(aSession),
      groups(aGroups),
      rpc(aRpc),
      client(aClient),
      metrics(aMetrics),
      router(routing::MakeRouter(this->self, this->dataCentre,
                                 routing::Settings(), aSession)),
      timer(aContext) {
  // The session differs between starts, so that no nonce of an earlier process
  // of this host is used again.
  this->router.nextNonce = aSession;
}

void CallService::HandleCall(net::HttpRequest aRequest, bool aForwarded,
                             TimePoint aForwardedDeadline,
                             PeerRpc::Respond aRespond) {
  wire::WireReason reason;
  const auto headers = wire::ParseCallHeaders(aRequest.headers, reason);
  if (!headers) {
    aRespond(net::ErrorResponse(400, reason.field, reason.detail));
    return;
  }
  const std::string prefix = kCallPath;
  const ServiceId service(aRequest.path.size() > prefix.size()
                              ? aRequest.path.substr(prefix.size())
                              : std::string());
  if (service.empty() || service.value.size() > wire::kMaxNameBytes ||
      service.value.find('/') != std::string::npos) {
    aRespond(net::ErrorResponse(400, "service",
                                "the path must be /v1/call/{service}"));
    return;
  }
  const TimePoint now = net::Now();
  const routing::CallId id = ++this->lastCall;
  Call call;
  call.headers = *headers;
  call.service = service;
  call.acceptedAt = now;
  call.deadline = aForwarded ? aForwardedDeadline : now + headers->deadline;
  const std::string* const original =
      net::FindHeader(aRequest.headers, kForwardedHeader);
  call.requestId =
      aForwarded && original
          ? RequestId(*original)
          : RequestId(this->self.value + "-" + std::to_string(this->session) +
                      "-" + std::to_string(id));
  routing::CallAccepted accepted;
  accepted.call = id;
  accepted.requestId = call.requestId;
  accepted.clientAccount = headers->clientAccount;
  accepted.callClass = headers->callClass;
  accepted.service = service;
  accepted.deadline = call.deadline;
  const auto& classes = this->configuration().classes;
  const auto known = classes.find(headers->callClass);
  accepted.idempotent = headers->idempotent.value_or(
      known != classes.end() && known->second.idempotentDefault);
  accepted.keyed = !headers->key.empty() && !aForwarded;
  accepted.forwarded = aForwarded;
  if (accepted.keyed) {
    call.fingerprint =
        journal::FingerprintOf(service, headers->callClass, aRequest.body);
  }
  call.request = std::move(aRequest);
  call.respond = std::move(aRespond);
  this->calls.emplace(id, std::move(call));
  this->Step(accepted);
}

void CallService::OnRouterEvent(const routing::Event& aEvent) {
  this->Step(aEvent);
}

void CallService::OnConfiguration(const config::Configuration& aConfiguration) {
  const auto preset = aConfiguration.presets.find(aConfiguration.presetInForce);
  routing::PoliciesChanged changed;
  for (const auto& [name, clientAccount] : aConfiguration.clientAccounts) {
    routing::ClientAccountPolicy policy;
    policy.clientAccount = name;
    policy.weight = clientAccount.weight;
    if (preset != aConfiguration.presets.end()) {
      policy.maxQueued = preset->second.admission.queuedCallsPerClientAccount;
    }
    changed.policies.push_back(std::move(policy));
  }
  this->Step(changed);
}

void CallService::Step(const routing::Event& aEvent) {
  this->Handle(routing::Step(this->router, aEvent, net::Now()));
  this->ArmTimer();
}

void CallService::ArmTimer() {
  // While calls wait, the router requires a step at least every 50 ms.
  constexpr Duration kWaitingInterval = Millis(20);
  TimePoint wake = routing::NextWake(this->router);
  const TimePoint now = net::Now();
  if (!this->calls.empty()) {
    wake = std::min(wake, now + kWaitingInterval);
  }
  if (wake == this->timerAt || wake == kNever) {
    return;
  }
  this->timerAt = wake;
  this->timer.expires_after(std::chrono::microseconds(
      std::max<std::int64_t>(0, (wake - now).micros)));
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->timerAt = kNever;
      this->Step(routing::Tick());
    }
  });
}

void CallService::Handle(const routing::Actions& aActions) {
  for (const routing::Action& action : aActions) {
    if (const auto* const send = std::get_if<routing::SendRequest>(&action)) {
      this->Send(*send);
    } else if (const auto* const forward =
                   std::get_if<routing::ForwardCall>(&action)) {
      this->Forward(*forward);
    } else if (const auto* const finish =
                   std::get_if<routing::FinishCall>(&action)) {
      this->Finish(*finish);
    } else if (const auto* const grant =
                   std::get_if<routing::RequestGrant>(&action)) {
      this->RequestGrant(*grant);
    } else if (const auto* const release =
                   std::get_if<routing::ReleaseGrant>(&action)) {
      const auto found = this->grants.find(release->nonce);
      if (found != this->grants.end()) {
        const Grant held = found->second;
        this->grants.erase(found);
        this->SendToOwnerUntilAcknowledged(
            {journal::Release{held.key, {this->self, held.nonce}}}, held.key,
            net::Now() + kOwnerAcknowledgementTimeout);
      }
    } else if (const auto* const report =
                   std::get_if<routing::ReportAnswer>(&action)) {
      this->ReportAnswer(*report);
    } else if (const auto* const drained =
                   std::get_if<routing::Drained>(&action)) {
      this->onDrained(drained->interrupted);
    } else if (const auto* const ejected =
                   std::get_if<routing::TargetEjected>(&action)) {
      LogEvent(LogLevel::Warn, "routing", "target_ejected",
               {{"target", ejected->target.value}});
    } else if (const auto* const readmitted =
                   std::get_if<routing::TargetReadmitted>(&action)) {
      LogEvent(LogLevel::Info, "routing", "target_readmitted",
               {{"target", readmitted->target.value}});
    }
  }
}

void CallService::Send(const routing::SendRequest& aSend) {
  const auto found = this->calls.find(aSend.call);
  if (found == this->calls.end()) {
    return;
  }
  const Call& call = found->second;
  net::ClientRequest request;
  request.address = aSend.address;
  request.path = "/v1/run";
  const std::string* const type =
      net::FindHeader(call.request.headers, "Content-Type");
  request.contentType = type ? *type : "application/octet-stream";
  request.headers = {
      {wire::kRequestIdHeader, call.requestId.value},
      {wire::kClientAccountHeader, call.headers.clientAccount.value},
      {wire::kClassHeader, call.headers.callClass.value}};
  request.body = call.request.body;
  request.connectBy = aSend.connectBy;
  request.deadline = aSend.deadline + kLateAnswerTimeout;
  const routing::Generation generation = aSend.generation;
  this->client.Send(std::move(request),
                    [this, generation](net::ClientResult aResult) {
                      this->OnAnswer(generation, std::move(aResult), false);
                    });
}

void CallService::Forward(const routing::ForwardCall& aForward) {
  const auto found = this->calls.find(aForward.call);
  if (found == this->calls.end()) {
    return;
  }
  const Call& call = found->second;
  net::HttpRequest request = call.request;
  request.headers.push_back({kForwardedHeader, call.requestId.value});
  const routing::Generation generation = aForward.generation;
  const bool sent = this->rpc.Send(
      this->self, aForward.host, std::move(request),
      net::Now() + aForward.remaining + kLateAnswerTimeout,
      [this, generation](std::optional<net::HttpResponse> aResponse) {
        net::ClientResult result;
        if (aResponse) {
          result.delivery = net::Delivery::Answered;
          result.response = std::move(*aResponse);
        } else {
          result.delivery = net::Delivery::Unknown;
        }
        this->OnAnswer(generation, std::move(result), true);
      });
  if (!sent) {
    asio::post(this->context, [this, generation] {
      this->Step(routing::NothingSent{generation});
    });
  }
}

void CallService::OnAnswer(routing::Generation aGeneration,
                           net::ClientResult aResult, bool aFromHost) {
  if (aResult.delivery == net::Delivery::NothingSent) {
    this->Step(routing::NothingSent{aGeneration});
    return;
  }
  if (aResult.delivery == net::Delivery::Unknown && !aResult.truncated) {
    this->Step(routing::ConnectionLost{aGeneration});
    return;
  }
  const net::HttpResponse& response = aResult.response;
  const std::string* const echoed =
      net::FindHeader(response.headers, wire::kRequestIdHeader);
  const std::string* const outcome =
      net::FindHeader(response.headers, wire::kOutcomeHeader);
  routing::AnswerReceived answer;
  answer.generation = aGeneration;
  answer.requestId = RequestId(echoed ? *echoed : std::string());
  answer.complete = aResult.delivery == net::Delivery::Answered;
  answer.status = response.status;
  const bool refusalStatus = response.status == 503 || response.status == 429;
  answer.refused = refusalStatus && outcome && *outcome == wire::kNotRun;
  answer.unknown = aFromHost && outcome && *outcome == wire::kOutcomeUnknown;
  this->answers[aGeneration] = std::move(aResult.response);
  this->Step(answer);
  this->answers.erase(aGeneration);
}

void CallService::Finish(const routing::FinishCall& aFinish) {
  const auto found = this->calls.find(aFinish.call);
  if (found == this->calls.end()) {
    return;
  }
  Call call = std::move(found->second);
  this->calls.erase(found);
  const char* const outcome = NameOf(aFinish.outcome);
  this->metrics.RecordCall(call.headers.clientAccount, call.headers.callClass,
                           outcome, net::Now() - call.acceptedAt);
  if (aFinish.outcome != routing::Outcome::Completed) {
    const std::uint32_t status =
        aFinish.outcome == routing::Outcome::OutcomeUnknown ? 504
        : routing::IsLimit(aFinish.reason)                  ? 429
                                                            : 503;
    const char* const reason = routing::ToText(aFinish.reason);
    LogEvent(LogLevel::Debug, "routing", "call_ended",
             {{"request", call.requestId.value},
              {"outcome", outcome},
              {"reason", reason}});
    call.respond(
        wire::RefusalResponse(status, outcome, reason, call.requestId));
    return;
  }
  net::HttpResponse response;
  if (aFinish.reason == routing::Reason::StoredAnswer && call.stored) {
    response = ResponseOf(*call.stored);
  } else {
    const auto answer = this->answers.find(aFinish.generation);
    if (answer == this->answers.end()) {
      call.respond(wire::RefusalResponse(504, wire::kOutcomeUnknown,
                                         "no_answer", call.requestId));
      return;
    }
    // The answer is copied, since ReportAnswer may also send it to the owner of
    // the key.
    response.status = answer->second.status;
    response.contentType = answer->second.contentType;
    response.body = answer->second.body;
  }
  response.headers = {{wire::kOutcomeHeader, outcome},
                      {wire::kRequestIdHeader, call.requestId.value}};
  call.respond(std::move(response));
}

void CallService::RequestGrant(const routing::RequestGrant& aRequest) {
  const auto found = this->calls.find(aRequest.call);
  if (found == this->calls.end()) {
    return;
  }
  const Call& call = found->second;
  Grant grant;
  grant.key = {call.headers.clientAccount, call.headers.key};
  grant.fingerprint = call.fingerprint;
  grant.nonce = aRequest.nonce;
  grant.call = aRequest.call;
  grant.deadline = aRequest.deadline;
  this->grants[aRequest.nonce] = grant;
  this->Reserve(grant);
}

void CallService::Reserve(const Grant& aGrant) {
  if (this->grants.count(aGrant.nonce) == 0) {
    return;  // the call has ended
  }
  const TimePoint now = net::Now();
  const Duration left = aGrant.deadline - now;
  if (left.micros <= kRefusalMargin.micros) {
    this->RefuseGrant(aGrant, aGrant.ownerReportedRunning
                                  ? routing::GrantRefusal::OutcomeUnknown
                                  : routing::GrantRefusal::OwnerUnreachable);
    return;
  }
  journal::Reserve reserve;
  reserve.key = aGrant.key;
  reserve.fingerprint = aGrant.fingerprint;
  reserve.holder = {this->self, aGrant.nonce};
  // The dispatch is recorded with the grant, which saves one commit per call.
  reserve.dispatch = true;
  const Duration wait =
      ShorterOf(kOwnerWaitTimeout, Micros(left.micros - kRefusalMargin.micros));
  const TimePoint until = now + ShorterOf(kOwnerAttemptTimeout, left);
  const bool sent = this->SendToOwner(
      {reserve}, aGrant.key, wait, until,
      [this, aGrant](std::optional<net::HttpResponse> aAnswer) {
        this->OnReserveAnswer(aGrant, std::move(aAnswer));
      });
  if (!sent) {
    this->After(kOwnerRetryDelay, [this, aGrant] { this->Reserve(aGrant); });
  }
}

void CallService::OnReserveAnswer(Grant aGrant,
                                  std::optional<net::HttpResponse> aAnswer) {
  const auto held = this->grants.find(aGrant.nonce);
  if (held == this->grants.end()) {
    return;
  }
  const auto answer = aAnswer && aAnswer->status == 200
                          ? wire::DecodeJournalAnswer(aAnswer->body)
                          : std::nullopt;
  const auto outcome =
      answer ? journal::DecodeOutcome(answer->outcome) : std::nullopt;
  const auto code = outcome ? static_cast<journal::ReplyCode>(answer->code)
                            : journal::ReplyCode::NotLeader;
  if (code == journal::ReplyCode::NotOwner ||
      code == journal::ReplyCode::Moving || code == journal::ReplyCode::Busy) {
    this->RefuseGrant(aGrant, routing::GrantRefusal::OwnerUnreachable);
    return;
  }
  if (code == journal::ReplyCode::WaitEnded) {
    aGrant.ownerReportedRunning = true;
    this->Reserve(aGrant);
    return;
  }
  if (code == journal::ReplyCode::NotLeader) {
    this->After(kOwnerRetryDelay, [this, aGrant] { this->Reserve(aGrant); });
    return;
  }
  switch (outcome->result) {
    case journal::Result::Granted: {
      const TimePoint now = net::Now();
      this->Step(routing::GrantReceived{aGrant.call, aGrant.nonce,
                                        now + kGrantLifetime});
      return;
    }
    case journal::Result::Answered: {
      const auto call = this->calls.find(aGrant.call);
      if (call == this->calls.end() || !outcome->answer ||
          outcome->answer->omitted) {
        this->RefuseGrant(aGrant, routing::GrantRefusal::OutcomeUnknown);
        return;
      }
      call->second.stored = outcome->answer;
      this->RefuseGrant(aGrant, routing::GrantRefusal::StoredAnswer);
      return;
    }
    case journal::Result::KeyReused:
      this->RefuseGrant(aGrant, routing::GrantRefusal::KeyReused);
      return;
    case journal::Result::Running:
      aGrant.ownerReportedRunning = true;
      this->After(kOwnerRetryDelay, [this, aGrant] { this->Reserve(aGrant); });
      return;
    case journal::Result::Unknown:
      this->RefuseGrant(aGrant, routing::GrantRefusal::OutcomeUnknown);
      return;
    default:
      this->RefuseGrant(aGrant, routing::GrantRefusal::OwnerUnreachable);
      return;
  }
}

void CallService::RefuseGrant(const Grant& aGrant,
                              routing::GrantRefusal aRefusal) {
  this->grants.erase(aGrant.nonce);
  if (aRefusal == routing::GrantRefusal::OwnerUnreachable) {
    // The owner may have made the reservation although its answer was lost.
    this->SendToOwnerUntilAcknowledged(
        {journal::Release{aGrant.key, {this->self, aGrant.nonce}}}, aGrant.key,
        net::Now() + kOwnerAcknowledgementTimeout);
  }
  this->Step(routing::GrantRefused{aGrant.call, aGrant.nonce, aRefusal});
}

bool CallService::SendToOwner(const journal::Command& aCommand,
                              const journal::RequestKey& aKey, Duration aWait,
                              TimePoint aDeadline,
                              PeerRpc::Callback aCallback) {
  const auto owner = journal::OwnerOf(aKey.clientAccount, aKey.key,
                                      this->configuration().keyOwners);
  if (!owner) {
    return false;
  }
  const auto leader = this->groups.LeaderOf(CellGroup(owner->dataCentre));
  if (!leader) {
    return false;
  }
  wire::JournalRequest journalRequest;
  journalRequest.waitMs = ToMillis(aWait);
  journalRequest.generation = owner->generation;
  journalRequest.command = journal::EncodeCommand(aCommand);
  net::HttpRequest request;
  request.method = "POST";
  request.path = kJournalPath;
  request.body = wire::EncodeText(journalRequest);
  return this->rpc.Send(this->self, *leader, std::move(request), aDeadline,
                        std::move(aCallback));
}

void CallService::SendToOwnerUntilAcknowledged(const journal::Command& aCommand,
                                               const journal::RequestKey& aKey,
                                               TimePoint aDeadline) {
  const TimePoint now = net::Now();
  if (now >= aDeadline) {
    LogEvent(LogLevel::Warn, "journal", "owner_not_told",
             {{"member", aKey.clientAccount.value}, {"key", aKey.key}});
    return;
  }
  ++this->unacknowledgedOwnerCommands;
  const auto retry = [this, aCommand, aKey, aDeadline] {
    this->After(kOwnerRetryDelay, [this, aCommand, aKey, aDeadline] {
      --this->unacknowledgedOwnerCommands;
      this->SendToOwnerUntilAcknowledged(aCommand, aKey, aDeadline);
    });
  };
  const bool sent = this->SendToOwner(
      aCommand, aKey, Millis(0), now + kOwnerAttemptTimeout,
      [this, retry](std::optional<net::HttpResponse> aAnswer) {
        const auto answer = aAnswer && aAnswer->status == 200
                                ? wire::DecodeJournalAnswer(aAnswer->body)
                                : std::nullopt;
        if (!answer || static_cast<journal::ReplyCode>(answer->code) ==
                           journal::ReplyCode::NotLeader) {
          retry();
        } else {
          --this->unacknowledgedOwnerCommands;
        }
      });
  if (!sent) {
    retry();
  }
}

void CallService::ReportAnswer(const routing::ReportAnswer& aReport) {
  const auto found = this->grants.find(aReport.nonce);
  if (found == this->grants.end()) {
    return;
  }
  const Grant held = found->second;
  this->grants.erase(found);
  const journal::Holder holder{this->self, held.nonce};
  const TimePoint until = net::Now() + kOwnerAcknowledgementTimeout;
  if (aReport.outcome == routing::Outcome::NotRun) {
    this->SendToOwnerUntilAcknowledged({journal::Release{held.key, holder}},
                                       held.key, until);
    return;
  }
  const auto answer = this->answers.find(aReport.generation);
  if (aReport.outcome != routing::Outcome::Completed ||
      answer == this->answers.end()) {
    // Nothing is reported. The owner keeps the request as dispatched until it
    // expires, and then records its outcome as unknown.
    return;
  }
  journal::StoredAnswer stored;
  stored.status = answer->second.status;
  stored.contentType = answer->second.contentType;
  // The owner does not store a larger body, so it is not sent either.
  stored.omitted = answer->second.body.size() > journal::Limits().answerBytes;
  if (!stored.omitted) {
    stored.body.assign(answer->second.body.begin(), answer->second.body.end());
  }
  this->SendToOwnerUntilAcknowledged(
      {journal::Answer{held.key, holder, std::move(stored)}}, held.key, until);
}

void CallService::After(Duration aDelay, std::function<void()> aAction) {
  auto delay = std::make_shared<asio::steady_timer>(this->context);
  delay->expires_after(std::chrono::microseconds(aDelay.micros));
  delay->async_wait(
      [delay, action = std::move(aAction)](const asio::error_code& aError) {
        if (!aError) {
          action();
        }
      });
}

}  // namespace bramleypath::daemon
