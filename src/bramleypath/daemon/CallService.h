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

// The calls of callers on this host: carries out what the router decides.
class CallService {
 public:
  // aSession differs between starts; it makes request ids and nonces unique.
  CallService(asio::io_context& aContext, HostId aSelf,
              DataCentreId aDataCentre, std::uint64_t aSession, Groups& aGroups,
              PeerRpc& aRpc, net::HttpClient& aClient,
              metrics::Registry& aMetrics);

  // The configuration in force.
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
  // Answers and releases that a key's owner has not acknowledged yet.
  std::size_t OpenTells() const { return this->openTells; }

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
  // A keyed request as its owner knows it, kept until its end is reported.
  struct Grant {
    journal::RequestKey key;
    journal::Fingerprint fingerprint;
    journal::Nonce nonce = 0;
    routing::CallId call = 0;
    TimePoint deadline;
    bool lastSawRunning = false;
  };

  void Step(const routing::Event& aEvent);
  void Handle(const routing::Actions& aActions);
  void Send(const routing::SendRequest& aSend);
  void Forward(const routing::ForwardCall& aForward);
  void OnAnswer(routing::Generation aGeneration, net::ClientResult aResult,
                bool aFromHost);
  void Finish(const routing::FinishCall& aFinish);
  void AskForGrant(const routing::RequestGrant& aRequest);
  void Reserve(const Grant& aGrant);
  void OnReserveAnswer(Grant aGrant, std::optional<net::HttpResponse> aAnswer);
  void RefuseGrant(const Grant& aGrant, routing::GrantRefusal aRefusal);
  // Sends a command about a key to its owner until it is acknowledged or the
  // deadline passes.
  void TellOwner(const journal::Command& aCommand,
                 const journal::RequestKey& aKey, TimePoint aDeadline);
  void ReportAnswer(const routing::ReportAnswer& aReport);
  bool AskOwner(const journal::Command& aCommand,
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
  // Answers while the router handles them.
  std::unordered_map<routing::Generation, net::HttpResponse> answers;
  std::unordered_map<routing::Nonce, Grant> grants;
  std::size_t openTells = 0;
};

}  // namespace bramleypath::daemon
