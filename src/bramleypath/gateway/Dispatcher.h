#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bramleypath/gateway/Environment.h"
#include "bramleypath/gateway/Messages.h"
#include "bramleypath/workflow/Driver.h"

namespace bramleypath::gateway {

struct DispatcherCounters {
  std::uint64_t direct = 0;
  std::uint64_t throughGateway = 0;
  // Requests without an answer from the gateway in time.
  std::uint64_t unanswered = 0;
  std::uint64_t gatewaysTakenOut = 0;
};

// Spreads the leader's requests to workers over the other hosts of the group.
// A worker's requests go through the gateway that a rendezvous hash of its id
// chooses among those in use, and directly while none is. While the leader
// knows few workers, all go directly, and no gateway is probed.
class Dispatcher {
 public:
  // aSession is random, aWorkerCount returns the number of workers that this
  // host knows, and aDirect sends requests from this host.
  Dispatcher(Environment aEnvironment, std::uint64_t aSession,
             std::function<std::size_t()> aWorkerCount,
             workflow::WorkerDriver aDirect);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // A driver whose functions may be called while the dispatcher exists.
  workflow::WorkerDriver MakeDriver();
  // Probes gateways and ends the requests whose answer is overdue. Call it at
  // least every 100 ms. Gateways are used while aIsLeading only.
  void Tick(bool aIsLeading);
  void OnReady(const HostId& aFrom, gsl::span<const std::uint8_t> aPayload);
  void OnAnswers(const HostId& aFrom, gsl::span<const std::uint8_t> aPayload);
  const DispatcherCounters& Counters() const { return this->counters; }
  std::size_t GatewaysInUse() const;
  // The gateway that the worker's requests go through; none: sent directly.
  std::optional<HostId> GatewayOf(const WorkerId& aWorker);

 private:
  using Callback =
      std::variant<std::function<void(workflow::RequestAnswer)>,
                   std::function<void(workflow::RenewLeaseAnswer)>>;

  struct QueuedRequest {
    Request request;
    TimePoint sendBy;
    TimePoint answerBy;
    Callback callback;
  };

  struct OpenRequest {
    HostId gateway;
    TimePoint answerBy;
    Callback callback;
  };

  struct GatewayState {
    Stamp stamp;
    TimePoint stampReceivedAt;
    // Not used after that unless another stamp arrives.
    TimePoint wellUntil;
    // Not used until then.
    TimePoint outUntil;
    TimePoint probeAt;
    bool inUse = false;
    std::uint64_t seed = 0;
    std::vector<QueuedRequest> queue;
  };

  static void End(const Callback& aCallback,
                  workflow::RenewLeaseAnswer aAnswer);
  bool IsUsable(const HostId& aHost, const GatewayState& aGateway,
                TimePoint aNow) const;
  // The gateway of a worker; nothing: send directly.
  std::map<HostId, GatewayState>::iterator FindGateway(const WorkerId& aWorker,
                                                       TimePoint aNow);
  void UpdateUse(const HostId& aHost, GatewayState& aGateway, TimePoint aNow,
                 const char* aReason);
  void TakeOut(const HostId& aHost, TimePoint aNow, const char* aReason);
  void OnStamp(const HostId& aHost, const Stamp& aStamp);
  bool Enqueue(const workflow::WorkerSpec& aWorker, RequestBody aBody,
               Duration aAnswerWait, Callback aCallback);
  void RequestFlush();
  void Flush();
  void SendBatch(const HostId& aHost, GatewayState& aGateway);
  void SendDirectly(QueuedRequest aQueued);
  void EndOverdue(TimePoint aNow);
  void UpdatePeers();
  void Probe(TimePoint aNow);

  Environment environment;
  std::uint64_t session;
  std::function<std::size_t()> workerCount;
  workflow::WorkerDriver direct;
  std::map<HostId, GatewayState> gateways;
  std::unordered_map<std::uint64_t, OpenRequest> open;
  std::uint64_t nextId = 1;
  TimePoint checkAt;
  // Leading, with enough workers.
  bool isSpread = false;
  bool flushRequested = false;
  DispatcherCounters counters;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::gateway
