#include "bramleypath/relay/Relay.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include <asio/steady_timer.hpp>

#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::relay {

namespace {

// A request is tried this long: a failover of the leader takes a little less.
constexpr Duration kPatience = Millis(2000);
// An attempt without an answer is repeated elsewhere.
constexpr Duration kAttemptTimeout = Millis(600);
constexpr Duration kConnectTimeout = Millis(400);
constexpr Duration kRetryDelay = Millis(60);
// Left of the caller's deadline for the answer's way back.
constexpr Duration kAnswerReserve = Millis(150);
constexpr Duration kLookInterval = Millis(1000);
constexpr Duration kSearchInterval = Millis(250);
constexpr Duration kLookTimeout = Millis(700);
constexpr Duration kLeaderLife = Millis(3000);
constexpr std::uint32_t kTooManyRequests = 429;
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr std::uint32_t kRetryAfterSeconds = 1;

Duration CallerPatience(const net::HttpRequest& aRequest,
                        const std::string& aHeader) {
  const std::string* const value = net::FindHeader(aRequest.headers, aHeader);
  if (!value) {
    return kPatience;
  }
  const long millis = std::strtol(value->c_str(), nullptr, 10);
  if (millis <= 0) {
    return kPatience;
  }
  const Duration patience = Millis(millis) + Duration{-kAnswerReserve.micros};
  return std::min(kPatience, std::max(patience, kAnswerReserve));
}

}  // namespace

struct Relay::Call {
  net::HttpRequest request;
  net::HttpResponder responder;
  TimePoint startedAt;
  TimePoint deadline;
  // An attempt ended without an answer, so that it may have been carried out.
  bool maybeDone = false;
  std::uint32_t attempts = 0;
};

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
  }
  this->leader = aLeader;
}

void Relay::LoseLeader(const HostId& aHost) {
  if (this->leader == aHost) {
    eventlog::Write("leader_lost", {{"leader", aHost.value}});
    this->leader = HostId();
  }
}

bool Relay::HasLeaderContact(TimePoint aNow) const {
  return this->everHeard && aNow - this->heardLeaderAt < kLeaderLife;
}

void Relay::Handle(net::HttpRequest aRequest, net::HttpResponder aResponder) {
  ++this->counters.requests;
  const Duration patience =
      CallerPatience(aRequest, this->settings.deadlineHeader);
  const TimePoint now = net::Now();
  auto call = std::make_shared<Call>(
      Call{std::move(aRequest), std::move(aResponder), now, now + patience});
  if (!this->HasLeaderContact(now) && this->everHeard) {
    // The control plane has been out of reach for seconds already.
    this->GiveUp(call);
    return;
  }
  this->Try(call);
}

void Relay::Try(const std::shared_ptr<Call>& aCall) {
  const TimePoint now = net::Now();
  if (now >= aCall->deadline) {
    this->GiveUp(aCall);
    return;
  }
  const HostId host = this->NextHost();
  if (host.empty()) {
    this->TryLater(aCall);
    return;
  }
  ++aCall->attempts;
  net::ClientRequest request;
  request.method = aCall->request.method;
  request.address = this->AddressOf(host);
  request.path = aCall->request.path;
  request.body = aCall->request.body;
  const std::string* const name =
      net::FindHeader(aCall->request.headers, "Host");
  request.headers.push_back({kHostHeader, name ? *name : std::string()});
  request.connectBy = std::min(now + kConnectTimeout, aCall->deadline);
  request.deadline = std::min(now + kAttemptTimeout, aCall->deadline);
  this->client.Send(std::move(request), [this, living = this->alive, aCall,
                                         host](net::ClientResult aResult) {
    if (*living) {
      this->OnResult(aCall, host, std::move(aResult));
    }
  });
}

void Relay::TryLater(const std::shared_ptr<Call>& aCall) {
  ++this->counters.retries;
  auto wait = std::make_shared<asio::steady_timer>(this->context);
  wait->expires_after(std::chrono::microseconds(kRetryDelay.micros));
  wait->async_wait(
      [this, living = this->alive, aCall, wait](const asio::error_code&) {
        if (*living) {
          this->Try(aCall);
        }
      });
}

void Relay::OnResult(const std::shared_ptr<Call>& aCall, const HostId& aHost,
                     net::ClientResult aResult) {
  if (aResult.delivery != net::Delivery::Answered) {
    aCall->maybeDone =
        aCall->maybeDone || aResult.delivery == net::Delivery::Unknown;
    this->LoseLeader(aHost);
    this->TryLater(aCall);
    return;
  }
  const std::string* const other =
      net::FindHeader(aResult.response.headers, kNotLeaderHeader);
  if (aResult.response.status == kNotLeaderStatus && other) {
    const bool named = !other->empty() && HostId(*other) != aHost;
    if (named) {
      this->LearnLeader(HostId(*other));
      this->Try(aCall);
    } else {
      this->LoseLeader(aHost);
      this->TryLater(aCall);
    }
    return;
  }
  this->LearnLeader(aHost);
  this->heardLeaderAt = net::Now();
  this->everHeard = true;
  if (aResult.response.status == kGatewayTimeout) {
    aCall->maybeDone = true;
    this->TryLater(aCall);
    return;
  }
  const bool refused = aResult.response.status == kUnavailable ||
                       aResult.response.status == kTooManyRequests;
  if (refused && aCall->maybeDone) {
    // An earlier attempt may still arrive and be carried out.
    this->GiveUp(aCall);
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
  this->Answer(aCall, std::move(response));
}

void Relay::GiveUp(const std::shared_ptr<Call>& aCall) {
  net::HttpResponse response;
  if (aCall->maybeDone) {
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
                  {{"path", aCall->request.path},
                   {"status", std::to_string(response.status)},
                   {"attempts", std::to_string(aCall->attempts)}});
  this->Answer(aCall, std::move(response));
}

void Relay::Answer(const std::shared_ptr<Call>& aCall,
                   net::HttpResponse aResponse) {
  this->counters.answerLatency.Record(net::Now() - aCall->startedAt);
  aCall->responder.Send(std::move(aResponse));
}

void Relay::Tick(TimePoint aNow) {
  if (!this->looking && aNow >= this->lookAt) {
    this->Look(aNow);
  }
}

void Relay::Look(TimePoint aNow) {
  // A request that was answered lately says as much.
  if (!this->leader.empty() && this->everHeard &&
      aNow - this->heardLeaderAt < kLookInterval) {
    this->lookAt = this->heardLeaderAt + kLookInterval;
    return;
  }
  const HostId host = this->NextHost();
  if (host.empty()) {
    this->lookAt = aNow + kSearchInterval;
    return;
  }
  this->looking = true;
  net::ClientRequest request;
  request.method = "GET";
  request.address = this->AddressOf(host);
  request.path = controller::kGroupPath;
  request.deadline = aNow + kLookTimeout;
  this->client.Send(std::move(request), [this, living = this->alive, host](
                                            const net::ClientResult& aResult) {
    if (!*living) {
      return;
    }
    this->looking = false;
    const TimePoint now = net::Now();
    this->lookAt = now + kSearchInterval;
    const auto view = aResult.delivery == net::Delivery::Answered
                          ? controller::DecodeView(aResult.response.body)
                          : std::nullopt;
    if (!view) {
      this->LoseLeader(host);
      return;
    }
    this->hosts = view->hosts;
    this->SetSeeds(this->settings.seeds);
    if (view->leader == host) {
      this->LearnLeader(host);
      this->heardLeaderAt = now;
      this->everHeard = true;
      this->lookAt = now + kLookInterval;
    } else if (!view->leader.empty()) {
      this->LearnLeader(view->leader);
      this->lookAt = now;
    } else {
      this->LoseLeader(host);
    }
  });
}

}  // namespace bramleypath::relay
