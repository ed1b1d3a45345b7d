#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bramleypath/membership/TargetChart.h"
#include "bramleypath/membership/Types.h"

namespace bramleypath::membership {

struct Settings {
  // Time from the last announcement to expiry. Announcements are 500 ms apart,
  // so that four of them can be lost.
  Duration expiry = Seconds(2);
  Duration gossipInterval = Millis(100);
  Duration digestInterval = Seconds(1);
  Duration summaryInterval = Millis(500);
  // A peer of the same data centre counts as live for this long after its last
  // message; gossip is sent every gossipInterval even if it is empty.
  Duration localHostExpiry = Seconds(1);
  Duration remoteHostExpiry = Seconds(3);
  // A departure is remembered for longer than a direct announcement can be in
  // transit, so that a late announcement does not revive the target. Late
  // gossip needs no such memory: it is recognised by its age.
  Duration departureMemory = Seconds(600);
  std::size_t maxTargets = 4096;
  std::size_t maxDepartures = 8192;
  // Average number of loads per gossip round. A host with calls at more targets
  // than this sends its loads less often, which bounds the bytes per second.
  std::size_t loadsPerRound = 48;
  // Limit of records in one message, which keeps it below kMaxGossipBytes.
  std::size_t maxRecordsPerMessage = 512;
  std::size_t maxAddressBytes = 256;
  std::size_t maxIdBytes = 256;
};

struct TargetEntry {
  TargetRecord record;
  StateIndex state = 0;
  TimePoint expiresAt;
  // Time at which the departure may be forgotten.
  TimePoint forgetAt;
  // Number of the record in this host's gossip messages.
  std::uint32_t number = 0;
  // An announcement was received directly since the last gossip round.
  bool announcedDirectly = false;
  // The next gossip round must send the whole record to the peers.
  bool changed = false;
};

// State of another entry host, from its messages.
struct PeerEntry {
  HostInfo info;
  Session session = 0;
  std::uint64_t lastSequence = 0;
  TimePoint liveUntil;
  bool live = false;
  bool stopping = false;
  // Minimum of (arrival - sinceStart) in the current and the previous window. A
  // minimum over all time would become wrong, since the peer's clock runs at a
  // slightly different rate.
  std::int64_t minOffsetMicros = 0;
  std::int64_t previousMinOffsetMicros = 0;
  TimePoint windowEndsAt;
  // The record numbers that the peer has assigned in its current session.
  std::unordered_map<std::uint32_t, TargetId> targetNumbers;
  std::unordered_map<TargetId, std::uint32_t> loads;
  // The peer used an unknown record number; all its records are requested from
  // requestAt on.
  bool recordsMissing = false;
  TimePoint requestAt;
};

// Event counts for the status page and tests.
struct Counters {
  std::uint64_t gossipReceived = 0;
  // From an unknown host or old session, or records of another data centre.
  std::uint64_t gossipDropped = 0;
  std::uint64_t recordsTooLate = 0;  // had expired on arrival
  std::uint64_t recordsIgnored = 0;  // target departed or incarnation outdated
  std::uint64_t recordsRefused = 0;  // a table or field limit was exceeded
  std::uint64_t unknownNumbers = 0;  // the records are requested again
};

struct Members {
  Settings settings;
  HostInfo self;
  Session session = 0;
  TimePoint startedAt;
  std::uint64_t nextSequence = 1;
  std::uint32_t nextRecordNumber = 1;
  bool stopping = false;

  TargetChart chart;
  std::unordered_map<TargetId, TargetEntry> targets;
  std::size_t departures = 0;
  std::map<HostId, PeerEntry> peers;
  std::vector<TargetLoad> ownLoads;
  std::vector<HostId> localHosts;
  std::map<DataCentreId, DataCentreSummary> summaries;

  TimePoint lastTickAt;
  // Nothing expires before this time; set after a pause of this process, whose
  // messages may wait unread.
  TimePoint expireFrom;
  TimePoint gossipAt;
  TimePoint loadsAt;
  TimePoint digestAt;
  TimePoint summaryAt;
  Counters counters;
};

// aHosts lists all configured entry hosts. aSession must differ between starts.
Members MakeMembers(const HostInfo& aSelf, const std::vector<HostInfo>& aHosts,
                    const Settings& aSettings, Session aSession,
                    TimePoint aNow);

// Handles one event. Pass a Tick at least every gossipInterval.
Actions Step(Members& aMembers, const Event& aEvent, TimePoint aNow);

// The record of a target that accepts new calls; null if it is unknown or not
// serving.
const TargetRecord* FindServing(const Members& aMembers,
                                const TargetId& aTarget);

bool IsHostLive(const Members& aMembers, const HostId& aHost);

// Computes the free slots and outstanding calls of each service of this data
// centre.
DataCentreSummary Summarise(const Members& aMembers);

}  // namespace bramleypath::membership
