#include "bramleypath/relay/Relay.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

#include <asio/steady_timer.hpp>

#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::relay {

namespace {

// A request is retried for at most this long, which is a little more than a
// failover to another leader takes.
constexpr Duration kMaxRequestTime = Millis(2000);
// An attempt that has no answer after this time is repeated at another host.
constexpr Duration kAttemptTimeout = Millis(600);
constexpr Duration kConnectTimeout = Millis(400);
constexpr Duration kRetryDelay = Millis(60);
// Part of the caller's deadline that is left for sending the answer back.
constexpr Duration kAnswerReserve = Millis(150);
// Interval at which the leader is queried if no request was answered meanwhile.
constexpr Duration kLeaderCheckInterval = Millis(1000);
// Interval of the queries while the leader is unknown.
constexpr Duration kSearchInterval = Millis(250);
constexpr Duration kLeaderQueryTimeout = Millis(700);
constexpr Duration kLeaderContactLifetime = Millis(3000);
// A longer gap between ticks, which are due every 100 ms, shows that this
// process was paused.
constexpr Duration kMaxTickGap = Millis(500);
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr std::uint32_t kRetryAfterSeconds = 1;

Duration RequestTimeout(const net::HttpRequest& aRequest,
                        const std::string& aHeader) {
  const std::string* const value = net::FindHeader(aRequest.headers, aHeader);
  if (!value) {
    return kMaxRequestTime;
  }
  const long millis = std::strtol(value->c_str(), nullptr, 10);
  if (millis <= 0) {
    return kMaxRequestTime;
  }
  const Duration timeout = Millis(millis) + Duration{-kAnswerReserve.micros};
  return std::min(kMaxRequestTime, std::max(timeout, kAnswerReserve));
}

}  // namespace

struct Relay::PendingRequest {
  net::HttpRequest request;
  net::HttpResponder responder;
  TimePoint startedAt;
  TimePoint deadline;
  // When the first attempt that may have been carried out was sent: it ended
  // without a definite answer.
  std::optional<TimePoint> mayHaveRunSince = std::nullopt;
  std::vector<UnansweredAttempt> unanswered = {};
  std::uint32_t attempts = 0;
};

namespace {

// Reads change nothing, so that an answer to the last attempt is the answer.
bool ChangesSomething(const net::HttpRequest& aRequest) {
  return aRequest.method != "GET";
}

bool IsSubmission(const net::HttpRequest& aRequest) {
  return aRequest.method == "POST";
}

std::int64_t ToSteadyMs(TimePoint aTime) {
  return ToMillis(Duration{aTime.micros});
}

}  // namespace

Relay::Relay(asio::io_context& aContext, RelaySettings aSettings,
             net::HttpClient& aClient)
    : context(aContext), settings(std::move(aSettings)), client(aClient) {
  this->hosts = this->settings.seeds;
}

Relay::~Relay() { *this->alive = false; }

std::string Relay::AddressOf(const HostId& aHost) const {
  return aHost.value + ":" + std::to_string(this->settings.controlPort);
}

void Relay::SetSeeds(std::vector<HostId> aSeeds) {
  this->settings.seeds = std::move(aSeeds);
  for (const HostId& seed : this->settings.seeds) {
    if (std::find(this->hosts.begin(), this->hosts.end(), seed) ==
        this->hosts.end()) {
      this->hosts.push_back(seed);
    }
  }
}

HostId Relay::NextHost() {
  if (!this->leader.empty()) {
    return this->leader;
  }
  if (this->hosts.empty()) {
    return HostId();
  }
  return this->hosts[this->nextHost++ % this->hosts.size()];
}

void Relay::LearnLeader(const HostId& aLeader) {
  if (this->leader != aLeader) {
    eventlog::Write("leader_learned", {{"leader", aLeader.value}});
    this->leaderTerm = std::nullopt;
  }
  this->leader = aLeader;
}

void Relay::LearnFromLeader(const HostId& aHost,
                            const net::HttpResponse& aAnswer,
                            TimePoint aSentAt) {
  const TimePoint now = net::Now();
  this->LearnLeader(aHost);
  this->leaderContactAt = now;
  this->hadLeaderContact = true;
  const auto term = FindTerm(aAnswer.headers, kTermHeader);
  this->leaderTerm = term && *term > 0 ? term : std::nullopt;
  const auto unixMs = FindMillis(aAnswer.headers, kGroupTimeHeader);
  if (unixMs) {
    this->groupTimeOffsetMs = TimeOffsetMs(
        this->groupTimeOffsetMs, *unixMs, ToSteadyMs(aSentAt), ToSteadyMs(now));
  }
}

void Relay::ForgetLeader(const HostId& aHost) {
  if (this->leader == aHost) {
    eventlog::Write("leader_lost", {{"leader", aHost.value}});
    this->leader = HostId();
    this->leaderTerm = std::nullopt;
  }
}

bool Relay::HasLeaderContact(TimePoint aNow) const {
  return this->hadLeaderContact &&
         aNow - this->leaderContactAt < kLeaderContactLifetime;
}

void Relay::Handle(net::HttpRequest aRequest, net::HttpResponder aResponder) {
  ++this->counters.requests;
  const Duration timeout =
      RequestTimeout(aRequest, this->settings.deadlineHeader);
  const TimePoint now = net::Now();
  auto pending = std::make_shared<PendingRequest>(PendingRequest{
      std::move(aRequest), std::move(aResponder), now, now + timeout});
  if (this->HasLostLeader(now)) {
    // The leader has been unreachable for seconds, so a retry is unlikely to
    // succeed and the caller can try another front at once.
    this->Fail(pending);
    return;
  }
  this->SendAttempt(pending);
}

void Relay::SendAttempt(const std::shared_ptr<PendingRequest>& aPending) {
  const TimePoint now = net::Now();
  if (now >= aPending->deadline) {
    this->Fail(aPending);
    return;
  }
  const HostId host = this->NextHost();
  if (host.empty()) {
    this->RetryLater(aPending);
    return;
  }
  ++aPending->attempts;
  net::ClientRequest request;
  request.method = aPending->request.method;
  request.address = this->AddressOf(host);
  request.path = aPending->request.path;
  request.body = aPending->request.body;
  const std::string* const name =
      net::FindHeader(aPending->request.headers, "Host");
  request.headers.push_back({kHostHeader, name ? *name : std::string()});
  if (aPending->mayHaveRunSince) {
    request.headers.push_back(
        {kRepeatHeader,
         std::to_string(ToMillis(now - *aPending->mayHaveRunSince))});
  }
  request.connectBy = std::min(now + kConnectTimeout, aPending->deadline);
  request.deadline = std::min(now + kAttemptTimeout, aPending->deadline);
  const SentAttempt attempt =
      this->LimitAttempt(aPending->request, host, now, request);
  this->client.Send(std::move(request), [this, isAlive = this->alive, aPending,
                                         attempt](net::ClientResult aResult) {
    if (*isAlive) {
      this->OnResult(aPending, attempt, std::move(aResult));
    }
  });
}

Relay::SentAttempt Relay::LimitAttempt(const net::HttpRequest& aRequest,
                                       const HostId& aHost, TimePoint aNow,
                                       net::ClientRequest& aAttempt) const {
  SentAttempt sent{aHost, aNow, UnansweredAttempt()};
  if (!IsSubmission(aRequest) || !this->groupTimeOffsetMs) {
    return sent;
  }
  sent.limits.expiresUnixMs =
      ToSteadyMs(aAttempt.deadline) + *this->groupTimeOffsetMs;
  aAttempt.headers.push_back(
      {kExpiresHeader, std::to_string(sent.limits.expiresUnixMs)});
  if (aHost == this->leader && this->leaderTerm) {
    sent.limits.term = this->leaderTerm;
    aAttempt.headers.push_back(
        {kTermHeader, std::to_string(*this->leaderTerm)});
  }
  return sent;
}

void Relay::RetryLater(const std::shared_ptr<PendingRequest>& aPending) {
  ++this->counters.retries;
  auto timer = std::make_shared<asio::steady_timer>(this->context);
  timer->expires_after(std::chrono::microseconds(kRetryDelay.micros));
  timer->async_wait(
      [this, isAlive = this->alive, aPending, timer](const asio::error_code&) {
        if (*isAlive) {
          this->SendAttempt(aPending);
        }
      });
}

void Relay::OnNotHandled(const std::shared_ptr<PendingRequest>& aPending,
                         const HostId& aHost, const std::string& aNamedLeader) {
  const bool namesOtherHost =
      !aNamedLeader.empty() && HostId(aNamedLeader) != aHost;
  if (namesOtherHost) {
    this->LearnLeader(HostId(aNamedLeader));
    this->SendAttempt(aPending);
  } else {
    this->ForgetLeader(aHost);
    this->RetryLater(aPending);
  }
}

void Relay::NoteUnanswered(const std::shared_ptr<PendingRequest>& aPending,
                           const SentAttempt& aAttempt) {
  aPending->mayHaveRunSince =
      aPending->mayHaveRunSince.value_or(aAttempt.sentAt);
  aPending->unanswered.push_back(aAttempt.limits);
}

bool Relay::MayPassOn(const std::shared_ptr<PendingRequest>& aPending,
                      const net::HttpResponse& aRefusal) {
  if (aPending->unanswered.empty() || !ChangesSomething(aPending->request)) {
    return true;
  }
  const RefusalProof proof =
      ProveRefusal(aPending->unanswered, StatementOf(aRefusal));
  const auto log = [&](const char* aEvent) {
    eventlog::Write(
        aEvent, {{"path", aPending->request.path},
                 {"status", std::to_string(aRefusal.status)},
                 {"reason", std::string(proof.reason)},
                 {"unanswered", std::to_string(aPending->unanswered.size())}});
  };
  switch (proof.verdict) {
    case RefusalVerdict::Proven:
      ++this->counters.refusalsProven;
      log("refusal_proven");
      return true;
    case RefusalVerdict::NotYet:
      ++this->counters.refusalsAskedAgain;
      this->RetryLater(aPending);
      return false;
    case RefusalVerdict::Unprovable:
      break;
  }
  // An earlier attempt may still arrive and be carried out.
  ++this->counters.refusalsWithheld;
  log("refusal_withheld");
  this->Fail(aPending);
  return false;
}

void Relay::OnResult(const std::shared_ptr<PendingRequest>& aPending,
                     const SentAttempt& aAttempt, net::ClientResult aResult) {
  const HostId& host = aAttempt.host;
  if (aResult.delivery != net::Delivery::Answered) {
    if (aResult.delivery == net::Delivery::Unknown) {
      this->NoteUnanswered(aPending, aAttempt);
    }
    this->ForgetLeader(host);
    this->RetryLater(aPending);
    return;
  }
  const AttemptMeaning meaning = MeaningOf(aResult.response);
  if (meaning == AttemptMeaning::NotHandled) {
    this->OnNotHandled(
        aPending, host,
        *net::FindHeader(aResult.response.headers, kNotLeaderHeader));
    return;
  }
  this->LearnFromLeader(host, aResult.response, aAttempt.sentAt);
  if (meaning == AttemptMeaning::Expired) {
    // If there is time left, the clock or the term that was known before was
    // wrong, as after a pause of this process.
    this->RetryLater(aPending);
    return;
  }
  if (meaning == AttemptMeaning::OutcomeUnknown) {
    this->NoteUnanswered(aPending, aAttempt);
    this->RetryLater(aPending);
    return;
  }
  if (meaning == AttemptMeaning::AttemptRefused &&
      !this->MayPassOn(aPending, aResult.response)) {
    return;
  }
  ++this->counters.answered;
  net::HttpResponse response;
  response.status = aResult.response.status;
  response.contentType = aResult.response.contentType;
  response.body = std::move(aResult.response.body);
  const std::string* const retryAfter =
      net::FindHeader(aResult.response.headers, "Retry-After");
  if (retryAfter) {
    response.headers.push_back({"Retry-After", *retryAfter});
  }
  this->Answer(aPending, std::move(response));
}

void Relay::Fail(const std::shared_ptr<PendingRequest>& aPending) {
  net::HttpResponse response;
  if (aPending->mayHaveRunSince && ChangesSomething(aPending->request)) {
    ++this->counters.outcomeUnknown;
    response = net::ErrorResponse(kGatewayTimeout, "",
                                  "the request may have been carried out");
  } else {
    ++this->counters.unavailable;
    response = net::ErrorResponse(kUnavailable, "",
                                  "no leader is in reach; nothing was done");
    response.headers.push_back(
        {"Retry-After", std::to_string(kRetryAfterSeconds)});
  }
  eventlog::Write("request_given_up",
                  {{"path", aPending->request.path},
                   {"status", std::to_string(response.status)},
                   {"attempts", std::to_string(aPending->attempts)}});
  this->Answer(aPending, std::move(response));
}

void Relay::Answer(const std::shared_ptr<PendingRequest>& aPending,
                   net::HttpResponse aResponse) {
  this->counters.answerLatency.Record(net::Now() - aPending->startedAt);
  aPending->responder.Send(std::move(aResponse));
}

void Relay::NoticePause(TimePoint aNow) {
  if (aNow >= this->lastRunAt + kMaxTickGap) {
    this->resumedAt = aNow;
  }
  this->lastRunAt = aNow;
}

bool Relay::HasLostLeader(TimePoint aNow) {
  this->NoticePause(aNow);
  return this->hadLeaderContact && !this->HasLeaderContact(aNow) &&
         aNow >= this->resumedAt + kLeaderContactLifetime;
}

void Relay::Tick(TimePoint aNow) {
  this->NoticePause(aNow);
  if (!this->queryPending && aNow >= this->nextQueryAt) {
    this->QueryLeader(aNow);
  }
}

void Relay::QueryLeader(TimePoint aNow) {
  // A recent answer to a relayed request already shows that the leader is known
  // and reachable.
  if (!this->leader.empty() && this->hadLeaderContact &&
      aNow - this->leaderContactAt < kLeaderCheckInterval) {
    this->nextQueryAt = this->leaderContactAt + kLeaderCheckInterval;
    return;
  }
  const HostId host = this->NextHost();
  if (host.empty()) {
    this->nextQueryAt = aNow + kSearchInterval;
    return;
  }
  this->queryPending = true;
  net::ClientRequest request;
  request.method = "GET";
  request.address = this->AddressOf(host);
  request.path = controller::kGroupPath;
  request.deadline = aNow + kLeaderQueryTimeout;
  this->client.Send(
      std::move(request), [this, isAlive = this->alive, host,
                           aNow](const net::ClientResult& aResult) {
        if (!*isAlive) {
          return;
        }
        this->queryPending = false;
        const TimePoint now = net::Now();
        this->nextQueryAt = now + kSearchInterval;
        const auto view = aResult.delivery == net::Delivery::Answered
                              ? controller::DecodeView(aResult.response.body)
                              : std::nullopt;
        if (!view) {
          this->ForgetLeader(host);
          return;
        }
        this->hosts = view->hosts;
        this->SetSeeds(this->settings.seeds);
        if (view->leader == host) {
          this->LearnFromLeader(host, aResult.response, aNow);
          this->nextQueryAt = now + kLeaderCheckInterval;
        } else if (!view->leader.empty()) {
          this->LearnLeader(view->leader);
          this->nextQueryAt = now;
        } else {
          this->ForgetLeader(host);
        }
      });
}

}  // namespace bramleypath::relay
