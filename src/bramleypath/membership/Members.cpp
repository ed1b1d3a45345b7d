#include "bramleypath/membership/Members.h"

#include <algorithm>
#include <utility>

#include "bramleypath/membership/internal/Gossip.h"
#include "bramleypath/membership/internal/Peers.h"
#include "bramleypath/membership/internal/Records.h"

namespace bramleypath::membership {

namespace {

// A longer gap between ticks, which are due every gossipInterval, shows that
// this process was paused.
constexpr Duration kMaxTickGap = Millis(500);
// Time after a pause in which the messages that waited in the sockets are read.
constexpr Duration kReadTime = Millis(200);

void Handle(Members& aMembers, const TargetAnnounced& aEvent, TimePoint aNow,
            Actions& aActions) {
  detail::ApplyTarget(aMembers, aEvent.record, aNow,
                      detail::RecordSource::Direct, aNow, aActions);
}

void Handle(Members& aMembers, const TargetLeft& aEvent, TimePoint aNow,
            Actions& aActions) {
  if (detail::ApplyTargetDeparture(aMembers, aEvent.target, aEvent.incarnation,
                                   false, aNow, aNow, aActions)) {
    detail::BroadcastDeparture(
        aMembers,
        Departure{aEvent.target.value, aEvent.incarnation, Duration{}}, aNow,
        aActions);
  }
}

void Handle(Members& aMembers, const TargetDrained& aEvent, TimePoint aNow,
            Actions& aActions) {
  const auto found = aMembers.targets.find(aEvent.target);
  if (found == aMembers.targets.end() ||
      detail::IsDeparted(aMembers, found->second)) {
    return;
  }
  const Incarnation incarnation = found->second.record.incarnation;
  if (detail::ApplyTargetDeparture(aMembers, aEvent.target, incarnation, true,
                                   aNow, aNow, aActions)) {
    detail::BroadcastDeparture(
        aMembers, Departure{aEvent.target.value, incarnation, Duration{}}, aNow,
        aActions);
  }
}

void Handle(Members& aMembers, const GossipReceived& aEvent, TimePoint aNow,
            Actions& aActions) {
  detail::OnGossip(aMembers, aEvent.message, aNow, aActions);
}

void Handle(Members& aMembers, const LocalLoads& aEvent, TimePoint, Actions&) {
  aMembers.ownLoads = aEvent.loads;
}

void Handle(Members& aMembers, const HostsConfigured& aEvent, TimePoint aNow,
            Actions& aActions) {
  detail::ConfigureHosts(aMembers, aEvent.hosts, aNow);
  detail::UpdateLiveHosts(aMembers, aNow, aActions);
}

void Handle(Members& aMembers, const StopAnnounced&, TimePoint aNow,
            Actions& aActions) {
  aMembers.stopping = true;
  detail::UpdateLiveHosts(aMembers, aNow, aActions);
  detail::SendGossipRound(aMembers, aNow, aActions);
  detail::SendSummaries(aMembers, aNow, aActions);
}

void NoticePause(Members& aMembers, TimePoint aNow) {
  if (aNow >= aMembers.lastTickAt + kMaxTickGap) {
    aMembers.expireFrom = aNow + kReadTime;
  }
  aMembers.lastTickAt = aNow;
}

void Handle(Members& aMembers, const Tick&, TimePoint aNow, Actions& aActions) {
  NoticePause(aMembers, aNow);
  if (aNow >= aMembers.expireFrom) {
    detail::ExpireRecords(aMembers, aNow, aActions);
    detail::UpdateLiveHosts(aMembers, aNow, aActions);
  }
  const Settings& settings = aMembers.settings;
  if (aNow >= aMembers.gossipAt) {
    aMembers.gossipAt = aNow + settings.gossipInterval;
    detail::SendGossipRound(aMembers, aNow, aActions);
    detail::SendRecordRequests(aMembers, aNow, aActions);
  }
  if (aNow >= aMembers.digestAt) {
    aMembers.digestAt = aNow + settings.digestInterval;
    detail::SendDigests(aMembers, aNow, aActions);
  }
  if (aNow >= aMembers.summaryAt) {
    aMembers.summaryAt = aNow + settings.summaryInterval;
    detail::SendSummaries(aMembers, aNow, aActions);
  }
}

}  // namespace

Members MakeMembers(const HostInfo& aSelf, const std::vector<HostInfo>& aHosts,
                    const Settings& aSettings, Session aSession,
                    TimePoint aNow) {
  Members members;
  members.settings = aSettings;
  members.self = aSelf;
  members.session = aSession;
  members.startedAt = aNow;
  members.lastTickAt = aNow;
  members.chart = LoadTargetChart();
  members.gossipAt = aNow;
  members.digestAt = aNow + aSettings.digestInterval;
  members.summaryAt = aNow;
  detail::ConfigureHosts(members, aHosts, aNow);
  return members;
}

Actions Step(Members& aMembers, const Event& aEvent, TimePoint aNow) {
  Actions actions;
  std::visit([&](const auto& aBody) { Handle(aMembers, aBody, aNow, actions); },
             aEvent);
  return actions;
}

const TargetRecord* FindServing(const Members& aMembers,
                                const TargetId& aTarget) {
  const auto found = aMembers.targets.find(aTarget);
  if (found == aMembers.targets.end() ||
      found->second.state != aMembers.chart.serving) {
    return nullptr;
  }
  return &found->second.record;
}

bool IsHostLive(const Members& aMembers, const HostId& aHost) {
  const auto found = aMembers.peers.find(aHost);
  return aHost == aMembers.self.host ||
         (found != aMembers.peers.end() && found->second.live);
}

DataCentreSummary Summarise(const Members& aMembers) {
  std::unordered_map<TargetId, std::uint32_t> loads;
  for (const TargetLoad& load : aMembers.ownLoads) {
    loads[load.target] += load.outstanding;
  }
  for (const auto& [host, peer] : aMembers.peers) {
    for (const auto& [target, outstanding] : peer.loads) {
      loads[target] += outstanding;
    }
  }
  std::map<ServiceId, ServiceSummary> services;
  for (const auto& [id, entry] : aMembers.targets) {
    if (entry.state != aMembers.chart.serving) {
      continue;
    }
    ServiceSummary& service = services[entry.record.service];
    const auto load = loads.find(id);
    const std::uint32_t used = load == loads.end() ? 0 : load->second;
    service.outstanding += used;
    service.freeSlots +=
        entry.record.slots - std::min(entry.record.slots, used);
  }
  DataCentreSummary summary;
  summary.dataCentre = aMembers.self.dataCentre;
  summary.hosts = aMembers.localHosts;
  for (auto& [id, service] : services) {
    service.service = id;
    summary.services.push_back(service);
  }
  return summary;
}

}  // namespace bramleypath::membership
