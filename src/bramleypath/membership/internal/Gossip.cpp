#include "bramleypath/membership/internal/Gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "bramleypath/membership/internal/Peers.h"
#include "bramleypath/membership/internal/Records.h"

namespace bramleypath::membership::detail {

namespace {

constexpr std::size_t kBuckets = 32;
// Peers forget a departure at slightly different times. For this long before it
// is forgotten, a departure is neither sent nor included in digests, so that a
// peer that has forgotten it does not request it again.
constexpr Duration kDepartureMargin = Seconds(30);

std::size_t BucketOf(const std::string& aId) {
  return XXH64(aId.data(), aId.size(), 0) % kBuckets;
}

std::uint64_t HashOf(const std::string& aId, Incarnation aIncarnation,
                     bool aDeparted) {
  const std::uint64_t seed = aIncarnation * 2 + (aDeparted ? 1 : 0);
  return XXH64(aId.data(), aId.size(), seed);
}

Duration AgeOf(const Members& aMembers, TimePoint aExpiresAt, TimePoint aNow) {
  return aNow - (aExpiresAt - aMembers.settings.expiry);
}

Duration DepartureAge(const Members& aMembers, TimePoint aForgetAt,
                      TimePoint aNow) {
  return aNow - (aForgetAt - aMembers.settings.departureMemory);
}

void SendTo(Members& aMembers, const HostId& aHost,
            decltype(GossipMessage::body) aBody, TimePoint aNow,
            Actions& aActions) {
  GossipMessage message;
  message.from = aMembers.self.host;
  message.to = aHost;
  message.session = aMembers.session;
  message.sequence = aMembers.nextSequence++;
  message.sinceStart = aNow - aMembers.startedAt;
  message.stopping = aMembers.stopping;
  message.body = std::move(aBody);
  aActions.push_back(SendGossip{std::move(message)});
}

// Moves up to aRemaining items to the end of aTo and subtracts their number
// from aRemaining.
template <typename Item>
void MoveUpTo(std::vector<Item>& aFrom, std::vector<Item>& aTo,
              std::size_t& aRemaining) {
  const std::size_t count = std::min(aRemaining, aFrom.size());
  const auto first = aFrom.end() - static_cast<std::ptrdiff_t>(count);
  aTo.insert(aTo.end(), std::make_move_iterator(first),
             std::make_move_iterator(aFrom.end()));
  aFrom.erase(first, aFrom.end());
  aRemaining -= count;
}

bool HasRecords(const Delta& aDelta) {
  return !aDelta.targets.empty() || !aDelta.targetRefreshes.empty() ||
         !aDelta.departures.empty();
}

// Splits a delta into messages of up to aMaxRecords records. The last message
// holds all loads, since a target missing from the loads counts as having none.
std::vector<Delta> Split(Delta aDelta, std::size_t aMaxRecords) {
  std::vector<Delta> parts;
  while (HasRecords(aDelta)) {
    Delta part;
    std::size_t remaining = aMaxRecords;
    MoveUpTo(aDelta.departures, part.departures, remaining);
    MoveUpTo(aDelta.targets, part.targets, remaining);
    MoveUpTo(aDelta.targetRefreshes, part.targetRefreshes, remaining);
    parts.push_back(std::move(part));
  }
  if (parts.empty()) {
    parts.emplace_back();
  }
  parts.back().hasLoads = aDelta.hasLoads;
  parts.back().loads = std::move(aDelta.loads);
  return parts;
}

void AddTarget(const Members& aMembers, const TargetEntry& aEntry,
               TimePoint aNow, Delta& aDelta) {
  if (IsDeparted(aMembers, aEntry)) {
    if (aEntry.forgetAt > aNow + kDepartureMargin) {
      aDelta.departures.push_back(
          Departure{aEntry.record.target.value, aEntry.record.incarnation,
                    DepartureAge(aMembers, aEntry.forgetAt, aNow)});
    }
    return;
  }
  aDelta.targets.push_back(GossipedTarget{
      aEntry.number, AgeOf(aMembers, aEntry.expiresAt, aNow), aEntry.record});
}

void CollectTargets(Members& aMembers, TimePoint aNow, Delta& aDelta) {
  for (auto& [id, entry] : aMembers.targets) {
    if (IsDeparted(aMembers, entry)) {
      continue;
    }
    if (entry.changed && entry.announcedDirectly) {
      AddTarget(aMembers, entry, aNow, aDelta);
    } else if (entry.changed) {
      // The record was received from a peer. It is sent with the age of an
      // expired record, so that the receivers only learn its number, which the
      // loads refer to. A younger age would revive the target on hosts where it
      // has just expired.
      aDelta.targets.push_back(
          GossipedTarget{entry.number, aMembers.settings.expiry, entry.record});
    } else if (entry.announcedDirectly) {
      aDelta.targetRefreshes.push_back(
          Refresh{entry.number, AgeOf(aMembers, entry.expiresAt, aNow),
                  entry.record.outstanding});
    }
    entry.changed = false;
    entry.announcedDirectly = false;
  }
}

void CollectLoads(const Members& aMembers, Delta& aDelta) {
  aDelta.hasLoads = true;
  for (const TargetLoad& load : aMembers.ownLoads) {
    const auto found = aMembers.targets.find(load.target);
    if (found != aMembers.targets.end() && load.outstanding > 0) {
      aDelta.loads.push_back(
          NumberedLoad{found->second.number, load.outstanding});
    }
  }
}

// Adds the loads if they are due. The interval grows with their number.
void CollectDueLoads(Members& aMembers, TimePoint aNow, Delta& aDelta) {
  if (aNow < aMembers.loadsAt) {
    return;
  }
  CollectLoads(aMembers, aDelta);
  const auto rounds = static_cast<std::int64_t>(
      1 + aDelta.loads.size() / aMembers.settings.loadsPerRound);
  aMembers.loadsAt = aNow + aMembers.settings.gossipInterval * rounds;
}

Digest MakeDigest(const Members& aMembers, TimePoint aNow) {
  Digest digest;
  digest.buckets.assign(kBuckets, 0);
  for (const auto& [id, entry] : aMembers.targets) {
    const bool departed = IsDeparted(aMembers, entry);
    if (!departed || entry.forgetAt > aNow + kDepartureMargin) {
      digest.buckets[BucketOf(id.value)] ^=
          HashOf(id.value, entry.record.incarnation, departed);
    }
  }
  return digest;
}

void SendToLocalPeers(Members& aMembers, const Delta& aDelta, TimePoint aNow,
                      Actions& aActions) {
  const auto parts = Split(aDelta, aMembers.settings.maxRecordsPerMessage);
  for (const auto& [host, peer] : aMembers.peers) {
    if (!IsLocal(aMembers, peer)) {
      continue;
    }
    for (const Delta& part : parts) {
      SendTo(aMembers, host, part, aNow, aActions);
    }
  }
}

// Sender and send time of the message that is being handled.
struct Context {
  PeerEntry& peer;
  TimePoint sentAt;     // on this host's clock, derived from the relative delay
  bool newest = false;  // no later message of the session has arrived
};

template <typename Map, typename Id>
void RecordNumber(Members& aMembers, Map& aNumbers, std::uint32_t aNumber,
                  const Id& aId) {
  // A session never reuses a number, so the map also keeps the numbers of
  // records that are gone. When it has grown too large it is cleared; the
  // numbers are learned again by a request for all records.
  if (aNumbers.size() > 2 * aMembers.settings.maxTargets) {
    aNumbers.clear();
  }
  aNumbers[aNumber] = aId;
}

void HandleRefreshes(Members& aMembers, Context& aContext, const Delta& aDelta,
                     TimePoint aNow, Actions& aActions) {
  for (const Refresh& item : aDelta.targetRefreshes) {
    const auto id = aContext.peer.targetNumbers.find(item.number);
    const auto known = id == aContext.peer.targetNumbers.end()
                           ? aMembers.targets.end()
                           : aMembers.targets.find(id->second);
    if (known == aMembers.targets.end()) {
      ++aMembers.counters.unknownNumbers;
      aContext.peer.recordsMissing = true;
      continue;
    }
    TargetRecord record = known->second.record;
    record.outstanding = item.outstanding;
    ApplyTarget(aMembers, record, aContext.sentAt - item.age,
                RecordSource::Gossip, aNow, aActions);
  }
}

void HandleDepartures(Members& aMembers, const Context& aContext,
                      const Delta& aDelta, TimePoint aNow, Actions& aActions) {
  for (const Departure& item : aDelta.departures) {
    const TimePoint leftAt = aContext.sentAt - item.age;
    ApplyTargetDeparture(aMembers, TargetId(item.id), item.incarnation, false,
                         leftAt, aNow, aActions);
  }
}

void HandleLoads(Context& aContext, const Delta& aDelta, Actions& aActions) {
  PeerLoads loads;
  loads.host = aContext.peer.info.host;
  aContext.peer.loads.clear();
  for (const NumberedLoad& item : aDelta.loads) {
    const auto id = aContext.peer.targetNumbers.find(item.number);
    if (id == aContext.peer.targetNumbers.end()) {
      aContext.peer.recordsMissing = true;
      continue;
    }
    aContext.peer.loads[id->second] = item.outstanding;
    loads.loads.push_back(TargetLoad{id->second, item.outstanding});
  }
  aActions.push_back(std::move(loads));
}

void Handle(Members& aMembers, Context& aContext, const Delta& aDelta,
            TimePoint aNow, Actions& aActions) {
  HandleDepartures(aMembers, aContext, aDelta, aNow, aActions);
  for (const GossipedTarget& item : aDelta.targets) {
    RecordNumber(aMembers, aContext.peer.targetNumbers, item.number,
                 item.record.target);
    ApplyTarget(aMembers, item.record, aContext.sentAt - item.age,
                RecordSource::Gossip, aNow, aActions);
  }
  HandleRefreshes(aMembers, aContext, aDelta, aNow, aActions);
  if (aContext.newest && aDelta.hasLoads) {
    HandleLoads(aContext, aDelta, aActions);
  }
}

void Handle(Members& aMembers, Context& aContext, const Digest& aDigest,
            TimePoint aNow, Actions& aActions) {
  const Digest own = MakeDigest(aMembers, aNow);
  if (aDigest.buckets.size() != own.buckets.size()) {
    return;
  }
  BucketRequest request;
  for (std::uint32_t bucket = 0; bucket < own.buckets.size(); ++bucket) {
    if (own.buckets[bucket] != aDigest.buckets[bucket]) {
      request.buckets.push_back(bucket);
    }
  }
  if (!request.buckets.empty()) {
    SendTo(aMembers, aContext.peer.info.host, std::move(request), aNow,
           aActions);
  }
}

void Handle(Members& aMembers, Context& aContext, const BucketRequest& aRequest,
            TimePoint aNow, Actions& aActions) {
  std::vector<bool> wanted(kBuckets, false);
  for (const std::uint32_t bucket : aRequest.buckets) {
    if (bucket < kBuckets) {
      wanted[bucket] = true;
    }
  }
  Delta delta;
  for (const auto& [id, entry] : aMembers.targets) {
    if (wanted[BucketOf(id.value)]) {
      AddTarget(aMembers, entry, aNow, delta);
    }
  }
  CollectLoads(aMembers, delta);
  for (Delta& part :
       Split(std::move(delta), aMembers.settings.maxRecordsPerMessage)) {
    SendTo(aMembers, aContext.peer.info.host, std::move(part), aNow, aActions);
  }
}

void Handle(Members& aMembers, Context& aContext,
            const DataCentreSummary& aSummary, TimePoint, Actions& aActions) {
  // Summaries are accepted only for the data centre of the sender.
  if (!aContext.newest ||
      aSummary.dataCentre != aContext.peer.info.dataCentre ||
      IsLocal(aMembers, aContext.peer)) {
    return;
  }
  DataCentreSummary& stored = aMembers.summaries[aSummary.dataCentre];
  stored = aSummary;
  stored.hosts = AcceptingHosts(aMembers, aSummary.dataCentre);
  aActions.push_back(SummaryChanged{stored});
}

}  // namespace

void SendGossipRound(Members& aMembers, TimePoint aNow, Actions& aActions) {
  Delta delta;
  CollectTargets(aMembers, aNow, delta);
  CollectDueLoads(aMembers, aNow, delta);
  SendToLocalPeers(aMembers, delta, aNow, aActions);
}

void BroadcastDeparture(Members& aMembers, const Departure& aDeparture,
                        TimePoint aNow, Actions& aActions) {
  Delta delta;
  delta.departures.push_back(aDeparture);
  SendToLocalPeers(aMembers, delta, aNow, aActions);
}

void SendDigests(Members& aMembers, TimePoint aNow, Actions& aActions) {
  const Digest digest = MakeDigest(aMembers, aNow);
  for (const auto& [host, peer] : aMembers.peers) {
    if (IsLocal(aMembers, peer) && peer.live) {
      SendTo(aMembers, host, digest, aNow, aActions);
    }
  }
}

void SendSummaries(Members& aMembers, TimePoint aNow, Actions& aActions) {
  const DataCentreSummary summary = Summarise(aMembers);
  for (const auto& [host, peer] : aMembers.peers) {
    if (!IsLocal(aMembers, peer)) {
      SendTo(aMembers, host, summary, aNow, aActions);
    }
  }
}

void SendRecordRequests(Members& aMembers, TimePoint aNow, Actions& aActions) {
  for (auto& [host, peer] : aMembers.peers) {
    if (!peer.recordsMissing || !peer.live || !IsLocal(aMembers, peer) ||
        peer.requestAt > aNow) {
      continue;
    }
    peer.recordsMissing = false;
    peer.requestAt = aNow + aMembers.settings.digestInterval;
    BucketRequest request;
    for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
      request.buckets.push_back(bucket);
    }
    SendTo(aMembers, host, std::move(request), aNow, aActions);
  }
}

void OnGossip(Members& aMembers, const GossipMessage& aMessage, TimePoint aNow,
              Actions& aActions) {
  ++aMembers.counters.gossipReceived;
  const auto found = aMembers.peers.find(aMessage.from);
  if (found == aMembers.peers.end() || aMessage.to != aMembers.self.host) {
    ++aMembers.counters.gossipDropped;
    return;
  }
  PeerEntry& peer = found->second;
  const auto delay = RecordMessage(aMembers, peer, aMessage, aNow);
  if (!delay) {
    ++aMembers.counters.gossipDropped;
    return;
  }
  Context context{peer, aNow - *delay, aMessage.sequence > peer.lastSequence};
  peer.lastSequence = std::max(peer.lastSequence, aMessage.sequence);
  UpdateLiveHosts(aMembers, aNow, aActions);
  // Records, loads and digests are exchanged only within a data centre.
  if (!IsLocal(aMembers, peer) &&
      !std::holds_alternative<DataCentreSummary>(aMessage.body)) {
    ++aMembers.counters.gossipDropped;
    return;
  }
  std::visit(
      [&](const auto& aBody) {
        Handle(aMembers, context, aBody, aNow, aActions);
      },
      aMessage.body);
}

}  // namespace bramleypath::membership::detail
