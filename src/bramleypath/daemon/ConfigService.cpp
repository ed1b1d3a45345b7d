#include "bramleypath/daemon/ConfigService.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/config/Codec.h"
#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::daemon {

namespace {

constexpr Duration kProposeTimeout = Seconds(5);

std::vector<config::Peer> PeersOf(const HostId& aSelf,
                                  const EntryHosts& aHosts) {
  std::vector<config::Peer> peers;
  for (const auto& [name, host] : aHosts) {
    if (name != aSelf) {
      peers.push_back(config::Peer{name, host.dataCentre});
    }
  }
  return peers;
}

std::uint32_t StatusOf(const config::Outcome& aOutcome) {
  if (aOutcome.accepted) {
    return 200;
  }
  switch (aOutcome.code) {
    case config::RefusalCode::Conflict:
    case config::RefusalCode::RequestIdReused:
    case config::RefusalCode::KeyOwnersPending:
    case config::RefusalCode::InUse:
      return 409;
    default:
      return 422;
  }
}

net::HttpResponse ResponseOf(const config::Outcome& aOutcome) {
  net::HttpResponse response;
  response.status = StatusOf(aOutcome);
  response.body = config::OutcomeToJson(aOutcome);
  return response;
}

net::HttpResponse ResponseOf(const group::ProposeOutcome& aOutcome) {
  const std::string text(group::ToText(aOutcome.error));
  switch (aOutcome.error) {
    case group::ProposeError::StorageFull:
      return OperatorError(503, "disk_full", "", text);
    case group::ProposeError::Overloaded:
      return OperatorError(503, "overloaded", "", text);
    case group::ProposeError::TooLarge:
      return OperatorError(413, "too_large", "", text);
    case group::ProposeError::OutcomeUnknown:
    case group::ProposeError::TimedOut:
      return OperatorError(503, "timeout", "", text);
    default:
      return OperatorError(503, "no_leader", "", text);
  }
}

}  // namespace

net::HttpResponse OperatorError(std::uint32_t aStatus, const char* aError,
                                const std::string& aField,
                                const std::string& aDetail) {
  net::HttpResponse response;
  response.status = aStatus;
  response.body =
      nlohmann::json{{"error", aError}, {"field", aField}, {"detail", aDetail}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

ConfigService::ConfigService(HostId aSelf, const DataCentreId& aDataCentre,
                             std::uint64_t aIncarnation,
                             const EntryHosts& aInitialHosts,
                             const config::DistributionSettings& aSettings,
                             Groups& aGroups, net::PeerLinks& aLinks,
                             PeerRpc& aRpc)
    : self(std::move(aSelf)),
      initialHosts(aInitialHosts),
      groups(aGroups),
      links(aLinks),
      rpc(aRpc),
      distribution(config::MakeDistribution(
          this->self, aDataCentre, aIncarnation, aSettings,
          PeersOf(this->self, aInitialHosts), net::Now())) {}

EntryHosts ConfigService::CurrentHosts() const {
  const auto& configured = this->Current().hosts;
  return configured.empty() ? this->initialHosts : configured;
}

consensus::Bytes ConfigService::Apply(const group::CommittedCommand& aCommand) {
  const config::Bytes bytes(aCommand.payload.begin(), aCommand.payload.end());
  const auto command = config::DecodeCommand(bytes);
  if (!command) {
    LogEvent(LogLevel::Error, "config", "undecodable_command",
             {{"index", std::to_string(aCommand.index)}});
    return {};
  }
  const config::Outcome outcome = config::Apply(this->replicated, *command);
  config::LocallyApplied applied;
  applied.index = aCommand.index;
  applied.command = *command;
  applied.leading = this->groups.Leads(kConfigGroup);
  this->Handle(config::Step(this->distribution, applied, net::Now()));
  return config::EncodeOutcome(outcome);
}

consensus::Bytes ConfigService::TakeSnapshot() {
  return config::TakeSnapshot(this->replicated);
}

bool ConfigService::Restore(consensus::LogIndex aIndex,
                            gsl::span<const std::uint8_t> aState,
                            std::string& aReason) {
  const config::Bytes bytes(aState.begin(), aState.end());
  auto restored = config::RestoreSnapshot(bytes);
  if (!restored) {
    aReason = "the snapshot of the configuration is malformed";
    return false;
  }
  this->replicated = std::move(*restored);
  this->Handle(config::Step(
      this->distribution, config::LocallyRestored{aIndex, bytes}, net::Now()));
  return true;
}

void ConfigService::OnFrame(const net::PeerFrame& aFrame) {
  auto message = config::DecodeMessage(aFrame.payload);
  if (!message) {
    LogEvent(LogLevel::Warn, "config", "malformed_message",
             {{"from", aFrame.from.value}});
    return;
  }
  config::MessageArrived arrived;
  arrived.from = aFrame.from;
  arrived.message = std::move(*message);
  arrived.leaseHeld = this->HoldsConfirmedIndex();
  this->Handle(
      config::Step(this->distribution, std::move(arrived), net::Now()));
}

bool ConfigService::HoldsConfirmedIndex() const {
  const group::Replica* const replica = this->groups.Find(kConfigGroup);
  return replica && replica->HasLease() &&
         replica->AppliedIndex() >= replica->CommitIndex();
}

void ConfigService::Tick(TimePoint aNow) {
  // The leader confirms its own index; the other hosts request the confirmed
  // index from it.
  if (!this->distribution.ready && this->HoldsConfirmedIndex()) {
    this->distribution.confirmedIndex = this->distribution.appliedIndex;
  }
  this->Handle(
      config::Step(this->distribution, config::DistributionTick(), aNow));
  const group::Replica* const replica = this->groups.Find(kConfigGroup);
  if (replica && replica->HasLease()) {
    if (const auto move = config::DueKeyMove(this->distribution, aNow)) {
      this->Propose(*move, aNow + kProposeTimeout,
                    [](const net::HttpResponse&) {});
    }
  }
}

void ConfigService::OnLeadershipLost() {
  config::ForgetKeyMove(this->distribution);
}

void ConfigService::Handle(const config::DistributionActions& aActions) {
  bool changed = false;
  for (const config::DistributionAction& action : aActions) {
    if (const auto* const send = std::get_if<config::SendTo>(&action)) {
      net::PeerFrame frame;
      frame.to = send->to;
      frame.kind = kConfigKind;
      frame.payload = config::EncodeMessage(send->message);
      this->links.Send(std::move(frame), net::FramePriority::Normal);
    } else if (const auto* const force =
                   std::get_if<config::InForce>(&action)) {
      changed = true;
      LogEvent(LogLevel::Info, "config", "in_force",
               {{"version", std::to_string(force->version)},
                {"index", std::to_string(force->index)},
                {"preset", this->Current().presetInForce.value}});
    } else if (const auto* const ready =
                   std::get_if<config::BecameReady>(&action)) {
      LogEvent(
          LogLevel::Info, "config", "ready",
          {{"index", std::to_string(ready->index)},
           {"because", ready->reason == config::ReadyReason::QuorumConfirmed
                           ? "quorum_confirmed"
                           : "highest_of_data_centre"}});
    } else if (const auto* const fault =
                   std::get_if<config::DistributionFault>(&action)) {
      LogEvent(LogLevel::Warn, "config", "message_dropped",
               {{"from", fault->from.value}, {"reason", fault->detail}});
    }
  }
  if (!changed) {
    return;
  }
  this->Handle(config::Step(
      this->distribution,
      config::PeersChanged{PeersOf(this->self, this->CurrentHosts())},
      net::Now()));
  if (this->onInForce) {
    this->onInForce();
  }
}

void ConfigService::HandleChange(const std::string& aBody, bool aForwarded,
                                 TimePoint aDeadline,
                                 PeerRpc::Respond aRespond) {
  nlohmann::json body = codec::ParseJson(aBody);
  bool dryRun = false;
  if (body.is_object() && body.contains("dry_run")) {
    if (!body["dry_run"].is_boolean()) {
      aRespond(
          OperatorError(400, "malformed", "dry_run", "must be true or false"));
      return;
    }
    dryRun = body["dry_run"].get<bool>();
    body.erase("dry_run");
  }
  config::JsonReason reason;
  const auto command = config::CommandFromJson(
      body.is_discarded() ? aBody : body.dump(), reason);
  if (!command) {
    aRespond(OperatorError(400, "malformed", reason.field, reason.detail));
    return;
  }
  if (dryRun) {
    aRespond(ResponseOf(config::Check(this->distribution.state, *command)));
    return;
  }
  if (this->groups.Leads(kConfigGroup)) {
    this->Propose(*command, aDeadline, std::move(aRespond));
    return;
  }
  const auto leader = this->groups.LeaderOf(kConfigGroup);
  if (aForwarded || !leader || *leader == this->self) {
    aRespond(OperatorError(503, "no_leader", "",
                           "the configuration group has no leader that can "
                           "be reached"));
    return;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/ops/config";
  request.body = aBody;
  const bool sent = this->rpc.Send(
      this->self, *leader, std::move(request), aDeadline,
      [aRespond](std::optional<net::HttpResponse> aResponse) {
        aRespond(aResponse ? std::move(*aResponse)
                           : OperatorError(503, "timeout", "",
                                           "the leader did not answer"));
      });
  if (!sent) {
    aRespond(OperatorError(503, "no_leader", "",
                           "no connection to the leader " + leader->value));
  }
}

void ConfigService::Propose(const config::Command& aCommand,
                            TimePoint aDeadline, PeerRpc::Respond aRespond) {
  group::Replica* const replica = this->groups.Find(kConfigGroup);
  const Duration timeout =
      std::min(aDeadline - net::Now(), kProposeTimeout,
               [](Duration aLeft, Duration aRight) { return aLeft < aRight; });
  replica->Propose(
      config::EncodeCommand(aCommand), timeout,
      [respond = std::move(aRespond)](const group::ProposeOutcome& aOutcome) {
        if (!aOutcome.Ok()) {
          respond(ResponseOf(aOutcome));
          return;
        }
        const auto outcome = config::DecodeOutcome(aOutcome.result);
        respond(outcome ? ResponseOf(*outcome)
                        : OperatorError(503, "timeout", "",
                                        "the outcome can't be read"));
      });
}

}  // namespace bramleypath::daemon
