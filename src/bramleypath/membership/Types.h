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
// Increases with each restart of a target.
using Incarnation = std::uint64_t;
// Increases with each start of an entry host's process, whose wall-clock start
// time is used. A smaller session is accepted only from a host that is not
// live.
using Session = std::uint64_t;

// Announcement of a target, as sent to POST /v1/targets/announce.
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

// A configured entry host.
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

// Summary of one data centre, sent to the entry hosts of the others.
struct DataCentreSummary {
  DataCentreId dataCentre;
  // Live entry hosts there that accept forwarded calls.
  std::vector<HostId> hosts;
  std::vector<ServiceSummary> services;
};

// Gossip messages. Each one carries the sender's session, a sequence number and
// the time since the session began. From that time the receiver derives the
// delay of the message relative to the sender's fastest one.

// Renews a record that was sent in full before under the same number. Numbers
// are assigned by the sender and are valid for its session.
struct Refresh {
  std::uint32_t number = 0;
  Duration age;  // since the announcement was received
  std::uint32_t outstanding = 0;
};

struct GossipedTarget {
  std::uint32_t number = 0;
  Duration age;
  TargetRecord record;
};

// A target that left or was drained. Later announcements of the same or an
// older incarnation are ignored.
struct Departure {
  std::string id;
  Incarnation incarnation = 0;
  Duration age;  // since it left
};

struct NumberedLoad {
  std::uint32_t number = 0;
  std::uint32_t outstanding = 0;
};

// Changes since the last gossip round, sent to the peers of the data centre
// every gossip interval, and at once when a target leaves.
struct Delta {
  std::vector<GossipedTarget> targets;
  std::vector<Refresh> targetRefreshes;
  std::vector<Departure> departures;
  // True if loads holds all of the sender's outstanding calls; a target missing
  // from it then has none.
  bool hasLoads = false;
  std::vector<NumberedLoad> loads;
};

// One hash per bucket of records. The receiver requests the records of the
// buckets whose hashes differ from its own.
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
  // The sender accepts no more calls and has no share of the slots.
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
// An operator drained the target. This holds for its current incarnation.
struct TargetDrained {
  TargetId target;
};
struct GossipReceived {
  GossipMessage message;
};
// The outstanding calls of this host's router, passed before each gossip round.
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
// A target is new, has a changed record or a new incarnation.
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
// The live entry hosts of this data centre that accept calls, sorted. This host
// is included unless it is stopping.
struct LocalHostsChanged {
  std::vector<HostId> hosts;
};
// All outstanding calls of a peer; a target missing from the list has none.
struct PeerLoads {
  HostId host;
  std::vector<TargetLoad> loads;
};
// An empty host list means that the data centre is unreachable.
struct SummaryChanged {
  DataCentreSummary summary;
};

using Action = std::variant<SendGossip, TargetUp, TargetLeaving, TargetGone,
                            LocalHostsChanged, PeerLoads, SummaryChanged>;
using Actions = std::vector<Action>;

}  // namespace bramleypath::membership
