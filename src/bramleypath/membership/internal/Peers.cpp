#include "bramleypath/membership/internal/Peers.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bramleypath::membership::detail {

namespace {

// Clock rates differ by far less than 1%. Over two windows, the error of the
// relative delay therefore stays well below the expiry of 2 s.
constexpr Duration kOffsetWindow = Seconds(30);

void BeginSession(PeerEntry& aPeer, Session aSession, std::int64_t aOffset,
                  TimePoint aNow) {
  aPeer.session = aSession;
  aPeer.lastSequence = 0;
  aPeer.targetNumbers.clear();
  aPeer.loads.clear();
  aPeer.recordsMissing = true;
  aPeer.minOffsetMicros = aOffset;
  aPeer.previousMinOffsetMicros = aOffset;
  aPeer.windowEndsAt = aNow + kOffsetWindow;
}

std::vector<HostId> FindLocalHosts(const Members& aMembers) {
  std::vector<HostId> hosts =
      AcceptingHosts(aMembers, aMembers.self.dataCentre);
  if (!aMembers.stopping) {
    hosts.push_back(aMembers.self.host);
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

void ReportSummary(Members& aMembers, const DataCentreId& aDataCentre,
                   Actions& aActions) {
  const auto found = aMembers.summaries.find(aDataCentre);
  if (found == aMembers.summaries.end()) {
    return;
  }
  found->second.hosts = AcceptingHosts(aMembers, aDataCentre);
  aActions.push_back(SummaryChanged{found->second});
}

}  // namespace

bool IsLocal(const Members& aMembers, const PeerEntry& aPeer) {
  return aPeer.info.dataCentre == aMembers.self.dataCentre;
}

std::vector<HostId> AcceptingHosts(const Members& aMembers,
                                   const DataCentreId& aDataCentre) {
  std::vector<HostId> hosts;
  for (const auto& [host, peer] : aMembers.peers) {
    if (peer.live && !peer.stopping && peer.info.dataCentre == aDataCentre) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void ConfigureHosts(Members& aMembers, const std::vector<HostInfo>& aHosts,
                    TimePoint aNow) {
  std::map<HostId, PeerEntry> peers;
  for (const HostInfo& info : aHosts) {
    if (info.host == aMembers.self.host) {
      continue;
    }
    const auto known = aMembers.peers.find(info.host);
    PeerEntry entry;
    entry.liveUntil = aNow;
    if (known != aMembers.peers.end()) {
      entry = std::move(known->second);
    }
    entry.info = info;
    peers[info.host] = std::move(entry);
  }
  aMembers.peers = std::move(peers);
}

std::optional<Duration> RecordMessage(Members& aMembers, PeerEntry& aPeer,
                                      const GossipMessage& aMessage,
                                      TimePoint aNow) {
  const std::int64_t offset = aNow.micros - aMessage.sinceStart.micros;
  if (aMessage.session < aPeer.session && aPeer.live) {
    return std::nullopt;
  }
  if (aMessage.session != aPeer.session) {
    BeginSession(aPeer, aMessage.session, offset, aNow);
  }
  if (aNow >= aPeer.windowEndsAt) {
    aPeer.previousMinOffsetMicros = aPeer.minOffsetMicros;
    aPeer.minOffsetMicros = offset;
    aPeer.windowEndsAt = aNow + kOffsetWindow;
  }
  aPeer.minOffsetMicros = std::min(aPeer.minOffsetMicros, offset);
  const std::int64_t minOffset =
      std::min(aPeer.minOffsetMicros, aPeer.previousMinOffsetMicros);
  const Duration delay = Micros(offset - minOffset);
  const Duration expiry = IsLocal(aMembers, aPeer)
                              ? aMembers.settings.localHostExpiry
                              : aMembers.settings.remoteHostExpiry;
  aPeer.liveUntil = std::max(aPeer.liveUntil, (aNow - delay) + expiry);
  if (aMessage.sequence > aPeer.lastSequence) {
    aPeer.stopping = aMessage.stopping;
  }
  return delay;
}

void UpdateLiveHosts(Members& aMembers, TimePoint aNow, Actions& aActions) {
  std::set<DataCentreId> changed;
  for (auto& [host, peer] : aMembers.peers) {
    const bool live = peer.liveUntil > aNow;
    if (live == peer.live) {
      continue;
    }
    peer.live = live;
    changed.insert(peer.info.dataCentre);
    if (!live && !peer.loads.empty()) {
      peer.loads.clear();
      aActions.push_back(PeerLoads{host, {}});
    }
  }
  for (const DataCentreId& dataCentre : changed) {
    ReportSummary(aMembers, dataCentre, aActions);
  }
  std::vector<HostId> hosts = FindLocalHosts(aMembers);
  if (hosts != aMembers.localHosts) {
    aMembers.localHosts = hosts;
    aActions.push_back(LocalHostsChanged{std::move(hosts)});
  }
}

}  // namespace bramleypath::membership::detail
