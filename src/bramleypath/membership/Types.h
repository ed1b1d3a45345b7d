#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::membership {

using Bytes = std::vector<std::uint8_t>;
// Grows with each restart of a target.
using Incarnation = std::uint64_t;
// Grows with each start of an entry host's process; the start's wall-clock time
// serves. A smaller one is accepted only from a host that is not live.
using Session = std::uint64_t;

// What a target says about itself, as in POST /v1/targets/announce.
struct TargetRecord {
  TargetId target;
  Incarnation incarnation = 0;
  ServiceId service;
  ClientAccountId clientAccount;
  std::string address;  // "ip:port"
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t outstanding = 0;
};

// An entry host, as configured.
struct HostInfo {
  HostId host;
  DataCentreId dataCentre;
};

// Outstanding calls of one entry host at one target.
struct TargetLoad {
  TargetId target;
  std::uint32_t outstanding = 0;
};

struct ServiceSummary {
  ServiceId service;
  std::uint32_t freeSlots = 0;
  std::uint32_t outstanding = 0;
};

// What one data centre tells the others.
struct DataCentreSummary {
  DataCentreId dataCentre;
  // Live entry hosts there that accept forwarded calls.
  std::vector<HostId> hosts;
  std::vector<ServiceSummary> services;
};

// Gossip. Each message carries the sender's session, a sequence number and the
// time since the session began, from which the receiver finds how late the
// message is compared with the quickest one of the sender.

// Names a record by the number that the sender's session gave it. The full
// record was sent before under the same number.
struct Refresh {
  std::uint32_t number = 0;
  Duration age;  // since the announcement was received
  std::uint32_t outstanding = 0;
};

struct SharedTarget {
  std::uint32_t number = 0;
  Duration age;
  TargetRecord record;
};

// A target that left or is drained; later announcements of the same
// or an older incarnation are ignored.
struct Departure {
  std::string id;
  Incarnation incarnation = 0;
  Duration age;  // since it left
};

struct NumberedLoad {
  std::uint32_t number = 0;
  std::uint32_t outstanding = 0;
};

// Sent to the live peers of the data centre each gossip interval, and at once
// when something left.
struct Delta {
  std::vector<SharedTarget> targets;
  std::vector<Refresh> targetRefreshes;
  std::vector<Departure> departures;
  // Set when loads holds all of the sender's outstanding calls: a target that
  // is missing has none.
  bool hasLoads = false;
  std::vector<NumberedLoad> loads;
};

// One hash per bucket of records. The receiver asks for the buckets that
// differ.
struct Digest {
  std::vector<std::uint64_t> buckets;
};

struct BucketRequest {
  std::vector<std::uint32_t> buckets;
};

struct GossipMessage {
  HostId from;
  HostId to;
  Session session = 0;
  std::uint64_t sequence = 0;
  Duration sinceStart;
  // The sender accepts no more calls and takes no share of the slots.
  bool stopping = false;
  std::variant<Delta, Digest, BucketRequest, DataCentreSummary> body;
};

// Events for Step.

struct TargetAnnounced {
  TargetRecord record;
};
struct TargetLeft {
  TargetId target;
  Incarnation incarnation = 0;
};
// An operator's order; holds for the present incarnation.
struct TargetDrained {
  TargetId target;
};
struct GossipReceived {
  GossipMessage message;
};
// The outstanding calls of this host's router, before each gossip round.
struct LocalLoads {
  std::vector<TargetLoad> loads;
};
struct HostsConfigured {
  std::vector<HostInfo> hosts;
};
struct StopAnnounced {};
struct Tick {};

using Event =
    std::variant<TargetAnnounced, TargetLeft, TargetDrained, GossipReceived,
                 LocalLoads, HostsConfigured, StopAnnounced, Tick>;

// Actions from Step.

struct SendGossip {
  GossipMessage message;
};
// A target is new, changed, or has a new incarnation.
struct TargetUp {
  TargetRecord record;
};
struct TargetLeaving {
  TargetId target;
  Incarnation incarnation = 0;
};
struct TargetGone {
  TargetId target;
  Incarnation incarnation = 0;
};
// The live entry hosts of this data centre that accept calls, sorted, this host
// included unless it is stopping.
struct LocalHostsChanged {
  std::vector<HostId> hosts;
};
// A peer's outstanding calls; a target that is missing has none.
struct PeerLoads {
  HostId host;
  std::vector<TargetLoad> loads;
};
// No host left in the list means that the data centre is out of reach.
struct SummaryChanged {
  DataCentreSummary summary;
};

using Action = std::variant<SendGossip, TargetUp, TargetLeaving, TargetGone,
                            LocalHostsChanged, PeerLoads, SummaryChanged>;
using Actions = std::vector<Action>;

}  // namespace bramleypath::membership
