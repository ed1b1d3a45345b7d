#include "bramleypath/relay/Relay.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <random>
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
// Pause between two rounds of a search.
constexpr Duration kSearchInterval = Millis(250);
// A leader that answers later is asked again together with the other hosts.
constexpr Duration kConfirmTimeout = Millis(300);
constexpr Duration kRoundTimeout = Millis(500);
constexpr Duration kWaitCheckInterval = Millis(50);
constexpr Duration kLeaderContactLifetime = Millis(3000);
// A longer gap between ticks, which are due every 100 ms, shows that this
// process was paused.
constexpr Duration kMaxTickGap = Millis(500);
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
// Callers that were refused come back spread over this many seconds.
constexpr std::uint64_t kRetryAfterSpread = 2;

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

// A host of an earlier version says it in the view only, and maybe without a
// lease.
bool SaysThatItLeads(const HostId& aHost, const controller::GroupView& aView,
                     const net::HttpResponse& aAnswer) {
  const auto term = FindTerm(aAnswer.headers, kTermHeader);
  return term ? *term > 0 : aView.leader == aHost;
}

std::int64_t ToSteadyMs(TimePoint aTime) {
  return ToMillis(Duration{aTime.micros});
}

}  // namespace

Relay::Relay(asio::io_context& aContext, RelaySettings aSettings,
             net::HttpClient& aClient)
    : context(aContext),
      settings(std::move(aSettings)),
      client(aClient),
      waitTimer(aContext) {
  this->hosts = this->settings.seeds;
  this->random.state = std::random_device()();
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

void Relay::LearnLeader(const HostId& aLeader) {
  if (this->leader != aLeader) {
    eventlog::Write("leader_learned", {{"leader", aLeader.value}});
    this->leaderTerm = std::nullopt;
    this->contact.isConfirmed = false;
  }
  this->leader = aLeader;
}

void Relay::LearnFromLeader(const HostId& aHost,
                            const net::HttpResponse& aAnswer,
                            TimePoint aSentAt) {
  const TimePoint now = net::Now();
  this->LearnLeader(aHost);
  this->contact = LeaderContact{true, now};
  this->leaderContactAt = now;
  this->hadLeaderContact = true;
  this->search = LeaderSearch();
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
    this->contact.isConfirmed = false;
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
  if (this->HasLostLeader(now) || this->IsRefusedAtOnce(*pending, now)) {
    // A retry is unlikely to succeed, and the caller can try another front at
    // once.
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
  if (MaySendAtOnce(this->contact, now)) {
    this->Transmit(aPending, now);
    return;
  }
  ++this->counters.waitedForLeader;
  this->waiting.push_back(aPending);
  this->Search(now);
  this->ArmWaitTimer();
}

bool Relay::IsRefusedAtOnce(const PendingRequest& aPending, TimePoint aNow) {
  if (aPending.mayHaveRunSince && ChangesSomething(aPending.request)) {
    return false;
  }
  switch (JudgeSearch(this->search, aNow)) {
    case SearchVerdict::Wait:
      return false;
    case SearchVerdict::MajoritySilent:
      ++this->counters.refusedMajoritySilent;
      return true;
    case SearchVerdict::NoLeader:
      break;
  }
  ++this->counters.refusedNoLeader;
  return true;
}

void Relay::ArmWaitTimer() {
  if (this->waiting.empty() || std::exchange(this->isWaitTimerArmed, true)) {
    return;
  }
  this->waitTimer.expires_after(
      std::chrono::microseconds(kWaitCheckInterval.micros));
  this->waitTimer.async_wait(
      [this, isAlive = this->alive](const asio::error_code&) {
        if (*isAlive) {
          this->isWaitTimerArmed = false;
          this->SweepWaiting();
        }
      });
}

void Relay::SweepWaiting() {
  const TimePoint now = net::Now();
  this->NoticePause(now);
  if (MaySendAtOnce(this->contact, now)) {
    this->SendWaiting();
    return;
  }
  for (const auto& pending : std::exchange(this->waiting, {})) {
    if (now >= pending->deadline || this->IsRefusedAtOnce(*pending, now)) {
      this->Fail(pending);
    } else {
      this->waiting.push_back(pending);
    }
  }
  if (!this->waiting.empty()) {
    this->Search(now);
  }
  this->ArmWaitTimer();
}

void Relay::SendWaiting() {
  for (const auto& pending : std::exchange(this->waiting, {})) {
    this->SendAttempt(pending);
  }
}

void Relay::Transmit(const std::shared_ptr<PendingRequest>& aPending,
                     TimePoint aNow) {
  const HostId host = this->leader;
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
         std::to_string(ToMillis(aNow - *aPending->mayHaveRunSince))});
  }
  request.connectBy = std::min(aNow + kConnectTimeout, aPending->deadline);
  request.deadline = std::min(aNow + kAttemptTimeout, aPending->deadline);
  const SentAttempt attempt =
      this->LimitAttempt(aPending->request, host, aNow, request);
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
  ++this->counters.refusalReasons[proof.reason];
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
    const std::string* const named =
        net::FindHeader(aResult.response.headers, kNotLeaderHeader);
    this->OnNotHandled(aPending, host, named ? *named : std::string());
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
    const std::uint64_t seconds =
        1 + NextBelow(this->random, kRetryAfterSpread);
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  eventlog::Write("request_given_up",
                  {{"path", aPending->request.path},
                   {"status", std::to_string(response.status)},
                   {"attempts", std::to_string(aPending->attempts)},
                   {"unanswered", std::to_string(aPending->unanswered.size())},
                   {"rounds", std::to_string(this->search.rounds)},
                   {"asked", std::to_string(this->search.asked)},
                   {"silent", std::to_string(this->search.silent)}});
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
    // What was not answered during the pause says nothing about the hosts.
    this->search = LeaderSearch();
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
  const bool isConfirmed = this->contact.isConfirmed &&
                           aNow < this->contact.at + kLeaderCheckInterval;
  if (!isConfirmed) {
    this->Search(aNow);
  }
}

void Relay::Search(TimePoint aNow) {
  const bool isTooEarly = this->leader.empty() && aNow < this->nextRoundAt;
  if (this->unansweredInRound > 0 || isTooEarly) {
    return;
  }
  this->isAskingAll = this->leader.empty();
  const std::vector<HostId> asked =
      this->isAskingAll ? this->hosts : std::vector<HostId>{this->leader};
  if (this->isAskingAll && this->search.startedAt == kNever) {
    this->search.startedAt = aNow;
  }
  ++this->round;
  this->unansweredInRound = static_cast<std::uint32_t>(asked.size());
  this->askedInRound = this->unansweredInRound;
  this->silentInRound = 0;
  for (const HostId& host : asked) {
    this->Ask(host, aNow, this->isAskingAll ? kRoundTimeout : kConfirmTimeout);
  }
}

void Relay::Ask(const HostId& aHost, TimePoint aNow, Duration aTimeout) {
  net::ClientRequest request;
  request.method = "GET";
  request.address = this->AddressOf(aHost);
  request.path = controller::kGroupPath;
  request.connectBy = aNow + aTimeout;
  request.deadline = aNow + aTimeout;
  this->client.Send(std::move(request),
                    [this, isAlive = this->alive, aHost, aNow,
                     asked = this->round](const net::ClientResult& aResult) {
                      if (*isAlive && asked == this->round) {
                        this->OnAsked(aHost, aNow, aResult);
                      }
                    });
}

void Relay::OnAsked(const HostId& aHost, TimePoint aSentAt,
                    const net::ClientResult& aResult) {
  const TimePoint now = net::Now();
  --this->unansweredInRound;
  const auto view = aResult.delivery == net::Delivery::Answered
                        ? controller::DecodeView(aResult.response.body)
                        : std::nullopt;
  if (!view) {
    ++this->silentInRound;
  } else {
    this->hosts = view->hosts;
    this->SetSeeds(this->settings.seeds);
  }
  if (view && SaysThatItLeads(aHost, *view, aResult.response)) {
    // The answers of the other hosts don't matter any more.
    this->unansweredInRound = 0;
    ++this->round;
    this->LearnFromLeader(aHost, aResult.response, aSentAt);
    this->SendWaiting();
    return;
  }
  if (this->unansweredInRound == 0) {
    this->EndRound(now);
  }
}

void Relay::EndRound(TimePoint aNow) {
  if (!this->isAskingAll) {
    this->ForgetLeader(this->leader);
    this->Search(aNow);
    return;
  }
  ++this->search.rounds;
  this->search.asked = this->askedInRound;
  this->search.silent = this->silentInRound;
  this->search.roundAt = aNow;
  this->nextRoundAt = aNow + kSearchInterval;
}

}  // namespace bramleypath::relay
