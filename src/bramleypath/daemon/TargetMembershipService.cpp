#include "bramleypath/daemon/TargetMembershipService.h"

#include <utility>
#include <variant>

#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/membership/Codec.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/wire/TargetMessages.h"

namespace bramleypath::daemon {

namespace {

std::vector<membership::HostInfo> InfoOf(const EntryHosts& aHosts) {
  std::vector<membership::HostInfo> list;
  for (const auto& [name, host] : aHosts) {
    list.push_back({name, host.dataCentre});
  }
  return list;
}

}  // namespace

TargetMembershipService::TargetMembershipService(HostId aSelf,
                                                 DataCentreId aDataCentre,
                                                 const EntryHosts& aHosts,
                                                 membership::Session aSession,
                                                 net::PeerLinks& aLinks)
    : links(aLinks),
      members(membership::MakeMembers(
          membership::HostInfo{std::move(aSelf), std::move(aDataCentre)},
          InfoOf(aHosts), membership::Settings(), aSession, net::Now())) {}

net::HttpResponse TargetMembershipService::HandleTarget(
    const net::HttpRequest& aRequest) {
  wire::WireReason reason;
  if (aRequest.path == "/v1/targets/announce") {
    const auto record = wire::ParseTargetAnnounce(aRequest.body, reason);
    if (!record) {
      return net::ErrorResponse(400, reason.field, reason.detail);
    }
    this->Step(membership::TargetAnnounced{*record});
  } else {
    const auto left = wire::ParseTargetLeave(aRequest.body, reason);
    if (!left) {
      return net::ErrorResponse(400, reason.field, reason.detail);
    }
    this->Step(*left);
  }
  net::HttpResponse response;
  response.body = "{}";
  return response;
}

void TargetMembershipService::OnFrame(const net::PeerFrame& aFrame) {
  membership::CodecReason reason;
  auto message = membership::DecodeGossip(aFrame.payload, reason);
  if (!message || message->from != aFrame.from) {
    LogEvent(LogLevel::Warn, "membership", "malformed_gossip",
             {{"from", aFrame.from.value}, {"reason", reason.detail}});
    return;
  }
  this->Step(membership::GossipReceived{std::move(*message)});
}

void TargetMembershipService::OnConfiguration(
    const config::Configuration& aConfiguration, const EntryHosts& aHosts) {
  this->Step(membership::HostsConfigured{InfoOf(aHosts)});
  const std::set<TargetId> before = std::move(this->drainedTargets);
  this->drainedTargets = aConfiguration.drainedTargets;
  for (const TargetId& target : this->drainedTargets) {
    if (before.count(target) == 0) {
      this->Step(membership::TargetDrained{target});
    }
  }
}

void TargetMembershipService::AnnounceStop() {
  this->Step(membership::StopAnnounced());
}

void TargetMembershipService::Tick(TimePoint /*aNow*/) {
  this->Step(membership::LocalLoads{this->ownLoads()});
  this->Step(membership::Tick());
}

void TargetMembershipService::Step(const membership::Event& aEvent) {
  this->Handle(membership::Step(this->members, aEvent, net::Now()));
}

void TargetMembershipService::Handle(const membership::Actions& aActions) {
  for (const membership::Action& action : aActions) {
    if (const auto* const send = std::get_if<membership::SendGossip>(&action)) {
      net::PeerFrame frame;
      frame.to = send->message.to;
      frame.kind = kGossipKind;
      frame.payload = membership::EncodeGossip(send->message);
      this->links.Send(std::move(frame), net::FramePriority::Gossip);
    } else if (const auto* const up =
                   std::get_if<membership::TargetUp>(&action)) {
      // A drain also applies to later incarnations of the target, until the
      // operator ends it.
      if (this->drainedTargets.count(up->record.target) != 0) {
        this->Step(membership::TargetDrained{up->record.target});
        continue;
      }
      LogEvent(LogLevel::Debug, "membership", "target_up",
               {{"target", up->record.target.value},
                {"service", up->record.service.value},
                {"address", up->record.address}});
      this->onRouterEvent(routing::TargetUp{up->record});
    } else if (const auto* const leaving =
                   std::get_if<membership::TargetLeaving>(&action)) {
      LogEvent(LogLevel::Info, "membership", "target_leaving",
               {{"target", leaving->target.value}});
      this->onRouterEvent(
          routing::TargetLeaving{leaving->target, leaving->incarnation});
    } else if (const auto* const gone =
                   std::get_if<membership::TargetGone>(&action)) {
      LogEvent(LogLevel::Info, "membership", "target_gone",
               {{"target", gone->target.value}});
      this->onRouterEvent(routing::TargetGone{gone->target, gone->incarnation});
    } else if (const auto* const hosts =
                   std::get_if<membership::LocalHostsChanged>(&action)) {
      this->onRouterEvent(routing::LocalHostsChanged{hosts->hosts});
    } else if (const auto* const loads =
                   std::get_if<membership::PeerLoads>(&action)) {
      this->onRouterEvent(routing::PeerLoads{loads->host, loads->loads});
    } else if (const auto* const summary =
                   std::get_if<membership::SummaryChanged>(&action)) {
      this->onRouterEvent(routing::SummaryChanged{summary->summary});
    }
  }
}

}  // namespace bramleypath::daemon
