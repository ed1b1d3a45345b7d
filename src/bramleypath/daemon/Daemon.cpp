#include "bramleypath/daemon/Daemon.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/daemon/CallService.h"
#include "bramleypath/daemon/CellMachine.h"
#include "bramleypath/daemon/CellService.h"
#include "bramleypath/daemon/ConfigService.h"
#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/daemon/Groups.h"
#include "bramleypath/daemon/Layout.h"
#include "bramleypath/daemon/TargetMembershipService.h"
#include "bramleypath/daemon/OperatorService.h"
#include "bramleypath/daemon/PeerRpc.h"
#include "bramleypath/metrics/Registry.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/net/HttpListener.h"
#include "bramleypath/net/PeerLinks.h"
#include "bramleypath/wire/WorkerMessages.h"

namespace bramleypath::daemon {

namespace {

constexpr std::chrono::milliseconds kRpcTickInterval{20};
constexpr std::chrono::milliseconds kServiceTickInterval{100};
constexpr std::chrono::milliseconds kStopPollInterval{20};
// Time for other replicas to take over leaderships and for the last writes
// during a stop.
constexpr Duration kGroupStopTimeout = Seconds(2);
// Time for responses that are being written during a stop, and for answers that
// the owners of keys have not acknowledged yet.
constexpr Duration kLastResponsesTimeout = Seconds(2);
// Timeout of a request that is forwarded to the cell leader. A worker sends an
// announcement again that the leader has not handled by then.
constexpr Duration kWorkerForwardTimeout = Seconds(1);
// A few connections to each worker suffice, since batches of commands are small
// and answered at once.
constexpr std::size_t kMaxConnectionsPerWorker = 4;

// Larger at each start of this process, also after a restart within the same
// second, since it counts microseconds.
std::uint64_t SessionNumber() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

net::HttpLimits LimitsOf(const settings::Listener& aListener) {
  net::HttpLimits limits;
  limits.maxConnections = aListener.maxConnections;
  limits.maxBodyBytes = aListener.maxBodyBytes;
  limits.idleTimeout = aListener.idleTimeout;
  return limits;
}

net::PeerLimits PeerLimitsOf(const settings::Listener& aListener) {
  net::PeerLimits limits;
  limits.maxMessageBytes = aListener.maxBodyBytes;
  limits.maxIncomingConnections = aListener.maxConnections;
  return limits;
}

net::HttpClientLimits WorkerClientLimits() {
  net::HttpClientLimits limits;
  limits.maxConnectionsPerHost = kMaxConnectionsPerWorker;
  limits.maxAnswerBytes = 1024 * 1024;
  return limits;
}

consensus::Settings TimingsOf(const settings::Settings& aSettings) {
  consensus::Settings timings;
  timings.heartbeat = aSettings.timings.heartbeat;
  timings.electionMin = aSettings.timings.electionMin;
  timings.electionMax = aSettings.timings.electionMax;
  timings.leaderLease = aSettings.timings.leaderLease;
  return timings;
}

config::DistributionSettings DistributionOf(
    const settings::Settings& aSettings) {
  config::DistributionSettings distribution;
  distribution.digestEvery = aSettings.timings.digestEvery;
  return distribution;
}

net::HttpResponse HealthResponse(bool aGood, const char* aText) {
  net::HttpResponse response;
  response.status = aGood ? 200 : 503;
  response.contentType = "text/plain";
  response.body = aText;
  return response;
}

// Wraps the responder of a listener in a function.
PeerRpc::Respond ToRespond(const net::HttpResponder& aResponder) {
  return [aResponder](net::HttpResponse aResponse) {
    aResponder.Send(std::move(aResponse));
  };
}

}  // namespace

struct Daemon::Impl {
  Impl(const settings::Settings& aSettings, bool aBootstrap)
      : settings(aSettings),
        bootstrap(aBootstrap),
        session(SessionNumber()),
        initialHosts(HostsOf(aSettings)),
        signals(this->context),
        rpcTimer(this->context),
        serviceTimer(this->context),
        stopTimer(this->context),
        targetClient(this->context, net::HttpClientLimits()),
        workerClient(this->context, WorkerClientLimits()),
        links(this->context, aSettings.host, aSettings.listeners.peers.address,
              PeerLimitsOf(aSettings.listeners.peers),
              [this](const net::PeerFrame& aFrame) { this->OnFrame(aFrame); }),
        rpc(this->links, this->session,
            [this](ReceivedRequest aRequest, PeerRpc::Respond aRespond) {
              this->OnPeerRequest(std::move(aRequest), std::move(aRespond));
            }),
        groups(this->context, aSettings.host, this->links, this->session,
               TimingsOf(aSettings)),
        config(aSettings.host, aSettings.dataCentre, this->session,
               this->initialHosts, DistributionOf(aSettings), this->groups,
               this->links, this->rpc),
        cell(this->context, aSettings.host, aSettings.dataCentre,
             this->session ^ std::hash<HostId>()(aSettings.host), this->groups,
             this->rpc, this->workerClient, this->metrics),
        targetMembership(aSettings.host, aSettings.dataCentre,
                         this->initialHosts, this->session, this->links),
        calls(this->context, aSettings.host, aSettings.dataCentre,
              this->session, this->groups, this->rpc, this->targetClient,
              this->metrics),
        operators(OperatorDependencies{aSettings.host, aSettings.dataCentre,
                                       this->groups, this->config, &this->cell,
                                       this->targetMembership, this->calls,
                                       this->links, this->metrics}),
        callerListener(this->context, aSettings.listeners.callers.address,
                       LimitsOf(aSettings.listeners.callers),
                       [this](net::HttpRequest aRequest,
                              const net::HttpResponder& aResponder) {
                         this->OnCaller(std::move(aRequest), aResponder);
                       }),
        targetListener(this->context, aSettings.listeners.targets.address,
                       LimitsOf(aSettings.listeners.targets),
                       [this](const net::HttpRequest& aRequest,
                              const net::HttpResponder& aResponder) {
                         this->OnTarget(aRequest, aResponder);
                       }),
        operatorListener(this->context, aSettings.listeners.operators.address,
                         LimitsOf(aSettings.listeners.operators),
                         [this](const net::HttpRequest& aRequest,
                                const net::HttpResponder& aResponder) {
                           this->operators.Handle(aRequest,
                                                  ToRespond(aResponder));
                         }) {
    this->SetCallbacks();
  }

  settings::Settings settings;
  bool bootstrap;
  std::uint64_t session;
  EntryHosts initialHosts;
  asio::io_context context;
  asio::signal_set signals;
  asio::steady_timer rpcTimer;
  asio::steady_timer serviceTimer;
  asio::steady_timer stopTimer;
  metrics::Registry metrics;
  net::HttpClient targetClient;
  net::HttpClient workerClient;
  net::PeerLinks links;
  PeerRpc rpc;
  // State machines of the groups that this host is a witness of. They stand
  // before groups, since they must outlive its replicas.
  std::map<std::string, std::unique_ptr<CellMachine>> witnessMachines;
  Groups groups;
  ConfigService config;
  CellService cell;
  TargetMembershipService targetMembership;
  CallService calls;
  OperatorService operators;
  net::HttpListener callerListener;
  net::HttpListener targetListener;
  net::HttpListener operatorListener;
  bool stopping = false;
  std::uint32_t interrupted = 0;
  ExitStatus exitStatus = ExitStatus::Stopped;

  void SetCallbacks() {
    this->targetMembership.onRouterEvent =
        [this](const routing::Event& aEvent) {
          this->calls.OnRouterEvent(aEvent);
        };
    this->targetMembership.ownLoads = [this] {
      return routing::OwnLoads(this->calls.State());
    };
    this->calls.configuration = [this]() -> const config::Configuration& {
      return this->config.Current();
    };
    this->calls.onDrained = [this](std::uint32_t aInterrupted) {
      this->interrupted = aInterrupted;
      this->FinishStop(net::Now() + kLastResponsesTimeout);
    };
    this->config.onInForce = [this] { this->OnConfiguration(); };
    this->operators.onStop = [this] { this->RequestStop("operator"); };
    this->groups.onUnknownGroup = [this](const std::string& aGroup) {
      std::string reason;
      if (!this->StartGroup(aGroup, reason)) {
        LogEvent(LogLevel::Error, "groups", "replica_not_started",
                 {{"group", aGroup}, {"reason", reason}});
      }
    };
    this->groups.onFailed = [this](const std::string&) {
      this->exitStatus = ExitStatus::Failed;
      this->context.stop();
    };
  }

  bool Start(std::string& aReason) {
    this->SetPeers();
    this->SetGroupHosts();
    if (this->settings.hasDisk &&
        !this->groups.OpenFolder(this->settings.dataFolder,
                                 this->bootstrap
                                     ? storage::CreationMode::Bootstrap
                                     : storage::CreationMode::Join,
                                 aReason)) {
      return false;
    }
    net::NetReason reason;
    if (!this->links.Open(reason) || !this->callerListener.Open(reason) ||
        !this->targetListener.Open(reason) ||
        !this->operatorListener.Open(reason)) {
      aReason = "can't listen: " + reason.detail;
      return false;
    }
    if (this->settings.hasDisk && !this->StartGroups(aReason)) {
      return false;
    }
    this->OnConfiguration();
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->WaitForSignal();
    this->ScheduleRpcTick();
    this->ScheduleServiceTick();
    for (const std::string& warning :
         LayoutWarnings(this->config.CurrentHosts())) {
      LogEvent(LogLevel::Warn, "daemon", "layout", {{"warning", warning}});
    }
    LogEvent(LogLevel::Info, "daemon", "started",
             {{"host", this->settings.host.value},
              {"data_centre", this->settings.dataCentre.value},
              {"callers", this->callerListener.BoundAddress()},
              {"session", std::to_string(this->session)}});
    return true;
  }

  // Starts a replica of each group whose initial voters include this host.
  bool StartGroups(std::string& aReason) {
    std::vector<std::string> names{kConfigGroup};
    for (const settings::CellSettings& group : this->settings.cells) {
      names.push_back(CellGroup(group.dataCentre));
    }
    for (const std::string& name : names) {
      const std::vector<HostId> voters = InitialVoters(this->settings, name);
      if (std::find(voters.begin(), voters.end(), this->settings.host) !=
              voters.end() &&
          !this->StartGroup(name, aReason)) {
        return false;
      }
    }
    return true;
  }

  bool StartGroup(const std::string& aGroup, std::string& aReason) {
    if (this->groups.Find(aGroup)) {
      return true;
    }
    const std::vector<HostId> first = InitialVoters(this->settings, aGroup);
    if (aGroup == kConfigGroup) {
      GroupHooks hooks;
      hooks.leadershipLost = [this](consensus::Term) {
        this->config.OnLeadershipLost();
      };
      return this->groups.Start(aGroup, this->config, first, hooks, aReason);
    }
    if (aGroup == this->cell.GroupName()) {
      return this->groups.Start(aGroup, this->cell.Machine(), first,
                                this->cell.Hooks(), aReason);
    }
    if (DataCentreOfGroup(aGroup).empty()) {
      aReason = "the group is not known";
      return false;
    }
    auto& machine = this->witnessMachines[aGroup];
    machine = std::make_unique<CellMachine>(this->session, journal::Periods());
    return this->groups.Start(aGroup, *machine, first, GroupHooks(), aReason);
  }

  void OnFrame(const net::PeerFrame& aFrame) {
    if (this->groups.OnFrame(aFrame) || this->rpc.OnFrame(aFrame)) {
      return;
    }
    if (aFrame.kind == kConfigKind) {
      this->config.OnFrame(aFrame);
    } else if (aFrame.kind == kGossipKind) {
      this->targetMembership.OnFrame(aFrame);
    } else {
      LogEvent(LogLevel::Warn, "peers", "unknown_kind",
               {{"from", aFrame.from.value}, {"kind", aFrame.kind}});
    }
  }

  void OnPeerRequest(ReceivedRequest aRequest, PeerRpc::Respond aRespond) {
    const std::string& path = aRequest.request.path;
    const auto startsWith = [&path](const std::string& aPrefix) {
      return path.compare(0, aPrefix.size(), aPrefix) == 0;
    };
    constexpr bool kForwarded = true;
    if (startsWith("/v1/call/")) {
      this->calls.HandleCall(std::move(aRequest.request), kForwarded,
                             aRequest.deadline, std::move(aRespond));
    } else if (startsWith("/v1/workers/")) {
      this->cell.HandleWorker(aRequest.request, kForwarded, aRequest.deadline,
                              std::move(aRespond));
    } else if (path == kHeartbeatsPath) {
      this->cell.HandleHeartbeats(aRequest.request, aRespond);
    } else if (path == kJournalPath) {
      this->cell.HandleJournal(aRequest.from, aRequest.request,
                               std::move(aRespond));
    } else if (path == "/v1/ops/config") {
      this->config.HandleChange(aRequest.request.body, kForwarded,
                                aRequest.deadline, std::move(aRespond));
    } else if (startsWith("/v1/ops/jobs") || startsWith("/v1/ops/explain/")) {
      this->cell.HandleJobs(aRequest.request, kForwarded, aRequest.deadline,
                            std::move(aRespond));
    } else {
      aRespond(OperatorError(404, "not_found", "", "no such request"));
    }
  }

  void OnCaller(net::HttpRequest aRequest,
                const net::HttpResponder& aResponder) {
    if (aRequest.path == "/health/live") {
      aResponder.Send(HealthResponse(true, "live"));
    } else if (aRequest.path == "/health/ready") {
      const bool ready = this->IsReady();
      aResponder.Send(HealthResponse(ready, ready ? "ready" : "not ready"));
    } else if (aRequest.method != "POST") {
      aResponder.Send(net::ErrorResponse(405, "", "calls are sent by POST"));
    } else {
      this->calls.HandleCall(std::move(aRequest), false, TimePoint(),
                             ToRespond(aResponder));
    }
  }

  bool IsReady() const {
    const auto& hosts = this->config.Current().hosts;
    const auto own = hosts.find(this->settings.host);
    const bool draining = own != hosts.end() && own->second.draining;
    return this->config.IsReady() && !this->stopping && !draining;
  }

  void OnTarget(const net::HttpRequest& aRequest,
                const net::HttpResponder& aResponder) {
    if (aRequest.path == "/v1/targets/announce" ||
        aRequest.path == "/v1/targets/leave") {
      aResponder.Send(this->targetMembership.HandleTarget(aRequest));
      return;
    }
    if (aRequest.path == "/v1/workers/announce") {
      wire::WireReason reason;
      const auto announce = wire::ParseWorkerAnnounce(aRequest.body, reason);
      if (!announce) {
        aResponder.Send(net::ErrorResponse(400, reason.field, reason.detail));
        return;
      }
      this->cell.HandleAnnounce(*announce, aRequest,
                                net::Now() + kWorkerForwardTimeout,
                                ToRespond(aResponder));
      return;
    }
    if (aRequest.path != "/v1/workers/report") {
      aResponder.Send(net::ErrorResponse(404, "", "no such endpoint"));
      return;
    }
    this->cell.HandleWorker(aRequest, false, net::Now() + kWorkerForwardTimeout,
                            ToRespond(aResponder));
  }

  void OnConfiguration() {
    const config::Configuration& current = this->config.Current();
    this->SetPeers();
    this->SetGroupHosts();
    this->targetMembership.OnConfiguration(current,
                                           this->config.CurrentHosts());
    this->calls.OnConfiguration(current);
    this->cell.OnConfiguration(current);
  }

  // An address in the settings overrides the one in the configuration, so that
  // a host can use other addresses for its peers than the other hosts do.
  void SetPeers() {
    std::map<HostId, std::string> addresses;
    for (const auto& [name, host] : this->config.CurrentHosts()) {
      const auto first = this->initialHosts.find(name);
      addresses[name] = first != this->initialHosts.end()
                            ? first->second.addresses.peers
                            : host.addresses.peers;
    }
    this->links.SetPeers(addresses);
  }

  void SetGroupHosts() {
    const EntryHosts hosts = this->config.CurrentHosts();
    this->groups.SetHosts(hosts, [this, hosts](const std::string& aGroup) {
      return DesiredVoters(this->settings, hosts, aGroup);
    });
  }

  void ScheduleRpcTick() {
    this->rpcTimer.expires_after(kRpcTickInterval);
    this->rpcTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->rpc.Tick(net::Now());
        this->ScheduleRpcTick();
      }
    });
  }

  void ScheduleServiceTick() {
    this->serviceTimer.expires_after(kServiceTickInterval);
    this->serviceTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        const TimePoint now = net::Now();
        this->targetMembership.Tick(now);
        this->groups.Tick(now);
        this->config.Tick(now);
        this->cell.Tick(now);
        this->ScheduleServiceTick();
      }
    });
  }

  void WaitForSignal() {
    this->signals.async_wait([this](const asio::error_code& aError, int) {
      if (!aError) {
        this->RequestStop("signal");
        this->WaitForSignal();
      }
    });
  }

  // The first request starts the planned stop; a second one interrupts the open
  // calls and so ends the stop early.
  void RequestStop(const char* aBy) {
    const TimePoint now = net::Now();
    routing::StopRequested request;
    request.closeAt = now + this->settings.timings.loadBalancerDelay;
    request.drainDeadline =
        request.closeAt + this->settings.timings.drainDeadline;
    LogEvent(LogLevel::Info, "daemon",
             this->stopping ? "stop_ends_early" : "stop_begins",
             {{"by", aBy}, {"calls", std::to_string(this->calls.OpenCalls())}});
    if (!this->stopping) {
      this->stopping = true;
      this->targetMembership.AnnounceStop();
      this->callerListener.CloseConnectionsAfterResponse();
      this->CloseListenerAt(request.closeAt);
    }
    this->calls.OnRouterEvent(request);
  }

  void CloseListenerAt(TimePoint aTime) {
    this->stopTimer.expires_after(
        std::chrono::microseconds((aTime - net::Now()).micros));
    this->stopTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        this->callerListener.StopAccepting();
      }
    });
  }

  // Waits until the last responses are written and the owners of keys have
  // acknowledged all answers, or until aDeadline. Then transfers the
  // leaderships and ends the event loop.
  void FinishStop(TimePoint aDeadline) {
    const bool busy = this->callerListener.OpenRequests() > 0 ||
                      this->calls.UnacknowledgedOwnerCommands() > 0;
    if (busy && net::Now() < aDeadline) {
      this->stopTimer.expires_after(kStopPollInterval);
      this->stopTimer.async_wait(
          [this, aDeadline](const asio::error_code& aError) {
            if (!aError) {
              this->FinishStop(aDeadline);
            }
          });
      return;
    }
    this->callerListener.StopAccepting();
    this->groups.Stop(kGroupStopTimeout, [this] {
      LogEvent(LogLevel::Info, "daemon", "stopped",
               {{"interrupted", std::to_string(this->interrupted)}});
      this->exitStatus = this->interrupted == 0 ? ExitStatus::Stopped
                                                : ExitStatus::Interrupted;
      this->context.stop();
    });
  }
};

Daemon::Daemon(const settings::Settings& aSettings, bool aBootstrap)
    : impl(std::make_unique<Impl>(aSettings, aBootstrap)) {}

Daemon::~Daemon() = default;

bool Daemon::Start(std::string& aReason) { return this->impl->Start(aReason); }

ExitStatus Daemon::Run() {
  this->impl->context.run();
  return this->impl->exitStatus;
}

}  // namespace bramleypath::daemon
