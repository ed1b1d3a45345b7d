#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/config/Types.h"
#include "bramleypath/daemon/Groups.h"
#include "bramleypath/daemon/PeerRpc.h"
#include "bramleypath/journal/Coordinator.h"
#include "bramleypath/journal/Types.h"
#include "bramleypath/metrics/Registry.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/net/HttpListener.h"
#include "bramleypath/routing/Router.h"
#include "bramleypath/wire/CallHeaders.h"

namespace bramleypath::daemon {

constexpr const char* kJournalPath = "/journal";
constexpr const char* kForwardedHeader = "Bramleypath-Forwarded";

// Handles the calls that callers send to this host: steps the router and
// carries out its actions.
class CallService {
 public:
  // aSession differs between starts; it makes request ids and nonces unique.
  CallService(asio::io_context& aContext, HostId aSelf,
              DataCentreId aDataCentre, std::uint64_t aSession, Groups& aGroups,
              PeerRpc& aRpc, net::HttpClient& aClient,
              metrics::Registry& aMetrics);

  // Returns the configuration in force.
  std::function<const config::Configuration&()> configuration;
  // Called once when a planned stop has drained the calls.
  std::function<void(std::uint32_t aInterrupted)> onDrained;

  // POST /v1/call/{service} from a caller, or from another host with the
  // forwarding header.
  void HandleCall(net::HttpRequest aRequest, bool aForwarded,
                  TimePoint aForwardedDeadline, PeerRpc::Respond aRespond);
  void OnRouterEvent(const routing::Event& aEvent);
  void OnConfiguration(const config::Configuration& aConfiguration);

  const routing::Router& State() const { return this->router; }
  std::size_t OpenCalls() const { return this->calls.size(); }
  // The number of answers and releases that the owners of their keys have not
  // acknowledged yet.
  std::size_t UnacknowledgedOwnerCommands() const {
    return this->unacknowledgedOwnerCommands;
  }

 private:
  struct Call {
    net::HttpRequest request;
    wire::CallHeaders headers;
    ServiceId service;
    RequestId requestId;
    journal::Fingerprint fingerprint;
    TimePoint acceptedAt;
    TimePoint deadline;
    PeerRpc::Respond respond;
    std::optional<journal::StoredAnswer> stored;
  };
  // The reservation of a call's idempotency key, from the request for it until
  // the end of the call is reported to the key's owner.
  struct Grant {
    journal::RequestKey key;
    journal::Fingerprint fingerprint;
    journal::Nonce nonce = 0;
    routing::CallId call = 0;
    TimePoint deadline;
    bool ownerReportedRunning = false;
  };

  void Step(const routing::Event& aEvent);
  void Handle(const routing::Actions& aActions);
  void Send(const routing::SendRequest& aSend);
  void Forward(const routing::ForwardCall& aForward);
  void OnAnswer(routing::Generation aGeneration, net::ClientResult aResult,
                bool aFromHost);
  void Finish(const routing::FinishCall& aFinish);
  void RequestGrant(const routing::RequestGrant& aRequest);
  void Reserve(const Grant& aGrant);
  void OnReserveAnswer(Grant aGrant, std::optional<net::HttpResponse> aAnswer);
  void RefuseGrant(const Grant& aGrant, routing::GrantRefusal aRefusal);
  // Sends a command to the owner of a key again and again until it is
  // acknowledged or the deadline passes.
  void SendToOwnerUntilAcknowledged(const journal::Command& aCommand,
                                    const journal::RequestKey& aKey,
                                    TimePoint aDeadline);
  void ReportAnswer(const routing::ReportAnswer& aReport);
  // Sends a command to the owner of a key once. False when no owner or no
  // leader of its cell is known, or there is no connection to the leader; then
  // aCallback is not called.
  bool SendToOwner(const journal::Command& aCommand,
                   const journal::RequestKey& aKey, Duration aWait,
                   TimePoint aDeadline, PeerRpc::Callback aCallback);
  void After(Duration aDelay, std::function<void()> aAction);
  void ArmTimer();

  asio::io_context& context;
  HostId self;
  DataCentreId dataCentre;
  std::uint64_t session;
  Groups& groups;
  PeerRpc& rpc;
  net::HttpClient& client;
  metrics::Registry& metrics;
  routing::Router router;
  asio::steady_timer timer;
  TimePoint timerAt = kNever;
  routing::CallId lastCall = 0;
  std::unordered_map<routing::CallId, Call> calls;
  // The answers that the router is handling, from which Finish and ReportAnswer
  // take the response.
  std::unordered_map<routing::Generation, net::HttpResponse> answers;
  std::unordered_map<routing::Nonce, Grant> grants;
  std::size_t unacknowledgedOwnerCommands = 0;
};

}  // namespace bramleypath::daemon
