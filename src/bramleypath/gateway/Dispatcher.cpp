#include "bramleypath/gateway/Dispatcher.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <xxhash.h>

#include "bramleypath/eventlog/EventLog.h"

namespace bramleypath::gateway {

namespace {

using workflow::RenewLeaseAnswer;
using workflow::RequestAnswer;
using workflow::RequestOutcome;
using workflow::WorkerSpec;

// With fewer workers the leader has the processor time to send all requests.
constexpr std::size_t kMinWorkers = 128;
constexpr Duration kCheckInterval = Millis(50);
// A leader that was not scheduled for this long reads the waiting answers
// before it ends the requests that are overdue.
constexpr Duration kLateCheck = Millis(300);
constexpr Duration kProbeInterval = Millis(200);
// Long against the interval of probes, because a busy host answers late.
constexpr Duration kWellTime = Millis(1200);
constexpr Duration kOutTime = Seconds(3);
// The leader checked its lease before the call; a request that leaves later may
// come from a former leader.
constexpr Duration kSendWithin = Millis(400);
// A gateway waits 1.2 s for the worker, see WorkerApi.cpp. The rest is for the
// two links.
constexpr Duration kAnswerWithin = kSendWithin + Millis(1200) + Millis(400);

std::uint64_t Score(std::uint64_t aSeed, const WorkerId& aWorker) {
  return XXH3_64bits_withSeed(aWorker.value.data(), aWorker.value.size(),
                              aSeed);
}

RenewLeaseAnswer MakeAnswer(RequestOutcome aOutcome, bool aDelayedByLeader,
                            const char* aReason) {
  RenewLeaseAnswer answer;
  answer.result.outcome = aOutcome;
  answer.result.delayedByLeader = aDelayedByLeader;
  answer.result.reason = aReason;
  return answer;
}

}  // namespace

Dispatcher::Dispatcher(Environment aEnvironment, std::uint64_t aSession,
                       std::function<std::size_t()> aWorkerCount,
                       workflow::WorkerDriver aDirect)
    : environment(std::move(aEnvironment)),
      session(aSession),
      workerCount(std::move(aWorkerCount)),
      direct(std::move(aDirect)) {}

Dispatcher::~Dispatcher() { *this->alive = false; }

void Dispatcher::End(const Callback& aCallback, RenewLeaseAnswer aAnswer) {
  if (const auto* const onRenewed =
          std::get_if<std::function<void(RenewLeaseAnswer)>>(&aCallback)) {
    (*onRenewed)(std::move(aAnswer));
  } else {
    std::get<std::function<void(RequestAnswer)>>(aCallback)(
        std::move(aAnswer.result));
  }
}

workflow::WorkerDriver Dispatcher::MakeDriver() {
  using OnAnswer = std::function<void(RequestAnswer)>;
  using OnRenewed = std::function<void(RenewLeaseAnswer)>;
  workflow::WorkerDriver driver;
  driver.start = [this](const WorkerSpec& aWorker,
                        const workflow::StartRequest& aRequest,
                        OnAnswer aCallback) {
    if (!this->Enqueue(aWorker, aRequest, kAnswerWithin, aCallback)) {
      this->direct.start(aWorker, aRequest, std::move(aCallback));
    }
  };
  driver.stop = [this](const WorkerSpec& aWorker,
                       const workflow::StopRequest& aRequest,
                       OnAnswer aCallback) {
    if (!this->Enqueue(aWorker, aRequest, kAnswerWithin, aCallback)) {
      this->direct.stop(aWorker, aRequest, std::move(aCallback));
    }
  };
  driver.pace = [this](const WorkerSpec& aWorker,
                       const workflow::PaceRequest& aRequest,
                       OnAnswer aCallback) {
    if (!this->Enqueue(aWorker, aRequest, kAnswerWithin, aCallback)) {
      this->direct.pace(aWorker, aRequest, std::move(aCallback));
    }
  };
  driver.renewLease = [this](const WorkerSpec& aWorker,
                             const workflow::RenewLeaseRequest& aRequest,
                             OnRenewed aCallback) {
    const Duration wait = kAnswerWithin + Millis(aRequest.waitMs);
    if (!this->Enqueue(aWorker, aRequest, wait, aCallback)) {
      this->direct.renewLease(aWorker, aRequest, std::move(aCallback));
    }
  };
  driver.requestTickets = this->direct.requestTickets;
  return driver;
}

bool Dispatcher::IsUsable(const HostId& aHost, const GatewayState& aGateway,
                          TimePoint aNow) const {
  return aNow < aGateway.wellUntil && aNow >= aGateway.outUntil &&
         this->environment.isConnected(aHost);
}

std::map<HostId, Dispatcher::GatewayState>::iterator Dispatcher::FindGateway(
    const WorkerId& aWorker, TimePoint aNow) {
  auto best = this->gateways.end();
  std::uint64_t bestScore = 0;
  for (auto at = this->gateways.begin(); at != this->gateways.end(); ++at) {
    const GatewayState& gateway = at->second;
    if (!gateway.inUse || aNow >= gateway.wellUntil) {
      continue;
    }
    const std::uint64_t score = Score(gateway.seed, aWorker);
    if (best == this->gateways.end() || score > bestScore) {
      best = at;
      bestScore = score;
    }
  }
  return best;
}

std::optional<HostId> Dispatcher::GatewayOf(const WorkerId& aWorker) {
  const auto gateway = this->FindGateway(aWorker, this->environment.now());
  return gateway == this->gateways.end() ? std::nullopt
                                         : std::optional(gateway->first);
}

bool Dispatcher::Enqueue(const WorkerSpec& aWorker, RequestBody aBody,
                         Duration aAnswerWait, Callback aCallback) {
  const TimePoint now = this->environment.now();
  const auto gateway = this->FindGateway(aWorker.id, now);
  if (gateway == this->gateways.end()) {
    ++this->counters.direct;
    return false;
  }
  QueuedRequest queued;
  queued.request.id = this->nextId++;
  queued.request.worker = aWorker.id;
  queued.request.address = aWorker.address;
  queued.request.body = std::move(aBody);
  queued.sendBy = now + kSendWithin;
  queued.answerBy = now + aAnswerWait;
  queued.callback = std::move(aCallback);
  gateway->second.queue.push_back(std::move(queued));
  this->RequestFlush();
  return true;
}

void Dispatcher::RequestFlush() {
  if (std::exchange(this->flushRequested, true)) {
    return;
  }
  this->environment.post([this, isAlive = this->alive] {
    if (*isAlive) {
      this->Flush();
    }
  });
}

void Dispatcher::Flush() {
  this->flushRequested = false;
  for (auto& [host, gateway] : this->gateways) {
    this->SendBatch(host, gateway);
  }
}

void Dispatcher::SendBatch(const HostId& aHost, GatewayState& aGateway) {
  std::vector<QueuedRequest> queue = std::exchange(aGateway.queue, {});
  if (queue.empty()) {
    return;
  }
  const bool isConnected = this->environment.isConnected(aHost);
  const TimePoint now = this->environment.now();
  Requests message;
  message.session = this->session;
  message.stamp = aGateway.stamp;
  message.stampAgeMs =
      static_cast<std::uint32_t>(ToMillis(now - aGateway.stampReceivedAt));
  std::size_t size = 0;
  const auto send = [&] {
    if (!message.requests.empty()) {
      this->environment.send(aHost, kRequestsKind, EncodeRequests(message));
      message.requests.clear();
      size = 0;
    }
  };
  for (QueuedRequest& queued : queue) {
    if (now >= queued.sendBy) {
      End(queued.callback,
          MakeAnswer(RequestOutcome::NotSent, true, "the leader was late"));
      continue;
    }
    const std::size_t requestSize = MaxEncodedBytes(queued.request);
    if (!isConnected || requestSize > kFullMessageBytes) {
      this->SendDirectly(std::move(queued));
      continue;
    }
    ++this->counters.throughGateway;
    queued.request.sendWithinMs =
        static_cast<std::uint32_t>(ToMillis(queued.sendBy - now));
    this->open.emplace(
        queued.request.id,
        OpenRequest{aHost, queued.answerBy, std::move(queued.callback)});
    message.requests.push_back(std::move(queued.request));
    size += requestSize;
    if (size >= kFullMessageBytes) {
      send();
    }
  }
  send();
}

void Dispatcher::SendDirectly(QueuedRequest aQueued) {
  ++this->counters.direct;
  WorkerSpec worker;
  worker.id = aQueued.request.worker;
  worker.address = aQueued.request.address;
  using OnAnswer = std::function<void(RequestAnswer)>;
  using OnRenewed = std::function<void(RenewLeaseAnswer)>;
  struct Sender {
    const workflow::WorkerDriver& driver;
    const WorkerSpec& worker;
    Callback& callback;
    void operator()(const workflow::StartRequest& aStart) const {
      this->driver.start(this->worker, aStart,
                         std::move(std::get<OnAnswer>(this->callback)));
    }
    void operator()(const workflow::StopRequest& aStop) const {
      this->driver.stop(this->worker, aStop,
                        std::move(std::get<OnAnswer>(this->callback)));
    }
    void operator()(const workflow::PaceRequest& aPace) const {
      this->driver.pace(this->worker, aPace,
                        std::move(std::get<OnAnswer>(this->callback)));
    }
    void operator()(const workflow::RenewLeaseRequest& aRenewal) const {
      this->driver.renewLease(this->worker, aRenewal,
                              std::move(std::get<OnRenewed>(this->callback)));
    }
  };
  std::visit(Sender{this->direct, worker, aQueued.callback},
             aQueued.request.body);
}

void Dispatcher::UpdateUse(const HostId& aHost, GatewayState& aGateway,
                           TimePoint aNow, const char* aReason) {
  const bool isUsable = this->IsUsable(aHost, aGateway, aNow);
  if (std::exchange(aGateway.inUse, isUsable) == isUsable) {
    return;
  }
  if (isUsable) {
    eventlog::Write("gateway_in_use", {{"gateway", aHost.value}});
    return;
  }
  ++this->counters.gatewaysTakenOut;
  eventlog::Write("gateway_out_of_use",
                  {{"gateway", aHost.value}, {"reason", aReason}});
}

void Dispatcher::TakeOut(const HostId& aHost, TimePoint aNow,
                         const char* aReason) {
  const auto found = this->gateways.find(aHost);
  if (found != this->gateways.end()) {
    found->second.outUntil = aNow + kOutTime;
    this->UpdateUse(aHost, found->second, aNow, aReason);
  }
}

void Dispatcher::OnStamp(const HostId& aHost, const Stamp& aStamp) {
  const auto found = this->gateways.find(aHost);
  if (!this->isSpread || found == this->gateways.end()) {
    return;
  }
  const TimePoint now = this->environment.now();
  GatewayState& gateway = found->second;
  gateway.stamp = aStamp;
  gateway.stampReceivedAt = now;
  gateway.wellUntil = now + kWellTime;
  gateway.probeAt = now + kProbeInterval;
  this->UpdateUse(aHost, gateway, now, "");
}

void Dispatcher::OnReady(const HostId& aFrom,
                         gsl::span<const std::uint8_t> aPayload) {
  if (const auto ready = DecodeReady(aPayload)) {
    this->OnStamp(aFrom, ready->stamp);
  }
}

void Dispatcher::OnAnswers(const HostId& aFrom,
                           gsl::span<const std::uint8_t> aPayload) {
  auto answers = DecodeAnswers(aPayload);
  if (!answers) {
    eventlog::Write("gateway_message_malformed", {{"from", aFrom.value}});
    return;
  }
  if (answers->session != this->session) {
    return;
  }
  this->OnStamp(aFrom, answers->stamp);
  for (Answer& answer : answers->answers) {
    const auto found = this->open.find(answer.id);
    if (found == this->open.end() || found->second.gateway != aFrom) {
      continue;
    }
    const OpenRequest request = std::move(found->second);
    this->open.erase(found);
    if (answer.rejected) {
      this->TakeOut(aFrom, this->environment.now(), "it rejected a request");
    }
    End(request.callback, std::move(answer.answer));
  }
}

void Dispatcher::UpdatePeers() {
  std::set<HostId> peers;
  for (HostId& host : this->environment.peers()) {
    peers.insert(std::move(host));
  }
  for (auto at = this->gateways.begin(); at != this->gateways.end();) {
    const bool isGone = peers.count(at->first) == 0 && at->second.queue.empty();
    at = isGone ? this->gateways.erase(at) : std::next(at);
  }
  for (const HostId& host : peers) {
    GatewayState& gateway = this->gateways[host];
    gateway.seed = XXH3_64bits(host.value.data(), host.value.size());
  }
}

void Dispatcher::Probe(TimePoint aNow) {
  for (auto& [host, gateway] : this->gateways) {
    if (aNow >= gateway.probeAt && this->environment.isConnected(host)) {
      gateway.probeAt = aNow + kProbeInterval;
      this->environment.send(host, kProbeKind, {});
    }
  }
}

void Dispatcher::Tick(bool aIsLeading) {
  const TimePoint now = this->environment.now();
  if (now < this->checkAt) {
    return;
  }
  const bool isLate = kLateCheck < now - this->checkAt;
  this->checkAt = now + kCheckInterval;
  if (isLate) {
    return;
  }
  this->isSpread = aIsLeading && this->workerCount() >= kMinWorkers;
  if (this->isSpread) {
    this->UpdatePeers();
    this->Probe(now);
  }
  for (auto& [host, gateway] : this->gateways) {
    if (!this->isSpread) {
      gateway.wellUntil = now;
    }
    this->UpdateUse(host, gateway, now, "no contact");
  }
  this->EndOverdue(now);
}

void Dispatcher::EndOverdue(TimePoint aNow) {
  std::vector<Callback> overdue;
  std::set<HostId> silent;
  for (auto at = this->open.begin(); at != this->open.end();) {
    if (aNow < at->second.answerBy) {
      ++at;
      continue;
    }
    overdue.push_back(std::move(at->second.callback));
    silent.insert(at->second.gateway);
    at = this->open.erase(at);
  }
  this->counters.unanswered += overdue.size();
  for (const HostId& host : silent) {
    this->TakeOut(host, aNow, "a request was not answered");
  }
  for (const Callback& callback : overdue) {
    End(callback, MakeAnswer(RequestOutcome::NoAnswer, false,
                             "no answer from the gateway"));
  }
}

std::size_t Dispatcher::GatewaysInUse() const {
  return static_cast<std::size_t>(
      std::count_if(this->gateways.begin(), this->gateways.end(),
                    [](const auto& aOne) { return aOne.second.inUse; }));
}

}  // namespace bramleypath::gateway
