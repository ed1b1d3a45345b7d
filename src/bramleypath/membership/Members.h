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
  // Four announcements can be lost before a target expires.
  Duration expiry = Seconds(2);
  Duration gossipInterval = Millis(100);
  Duration digestInterval = Seconds(1);
  Duration summaryInterval = Millis(500);
  // A peer of the same data centre is live until this long after its last
  // message; gossip is sent each gossipInterval even when it is empty.
  Duration localHostExpiry = Seconds(1);
  Duration remoteHostExpiry = Seconds(3);
  // A departure is remembered for longer than any direct announcement can be
  // under way; late gossip is recognised by its age.
  Duration departureMemory = Seconds(600);
  std::size_t maxTargets = 4096;
  std::size_t maxDepartures = 8192;
  // Loads per gossip round on average. A host with more outstanding targets
  // sends its loads less often, which bounds the bytes per second.
  std::size_t loadsPerRound = 48;
  // Records in one gossip message, so that it stays below kMaxGossipBytes.
  std::size_t maxRecordsPerMessage = 512;
  std::size_t maxAddressBytes = 256;
  std::size_t maxIdBytes = 256;
};

struct TargetEntry {
  TargetRecord record;
  StateIndex state = 0;
  TimePoint expiresAt;
  // When a departure may be forgotten.
  TimePoint forgetAt;
  std::uint32_t number = 0;
  // Heard directly since the last gossip round; changed: the peers need the
  // whole record.
  bool heard = false;
  bool changed = false;
};

// What is known of another entry host.
struct PeerEntry {
  HostInfo info;
  Session session = 0;
  std::uint64_t lastSequence = 0;
  TimePoint liveUntil;
  bool live = false;
  bool stopping = false;
  // Least (arrival - sinceStart) in the present and the previous window; the
  // windows follow a clock that runs at another rate.
  std::int64_t leastOffsetMicros = 0;
  std::int64_t previousLeastOffsetMicros = 0;
  TimePoint windowEndsAt;
  // The peer's record numbers of this session.
  std::unordered_map<std::uint32_t, TargetId> targetNumbers;
  std::unordered_map<TargetId, std::uint32_t> loads;
  // A record number was unknown; all records are asked for at requestAt.
  bool recordsMissing = false;
  TimePoint requestAt;
};

// Counts for status and tests.
struct Counters {
  std::uint64_t gossipReceived = 0;
  std::uint64_t gossipDropped = 0;   // old session, duplicate, unknown host
  std::uint64_t recordsTooLate = 0;  // older than the expiry on arrival
  std::uint64_t recordsIgnored = 0;  // departed or an older incarnation
  std::uint64_t recordsRefused = 0;  // a table or field limit
  std::uint64_t unknownNumbers = 0;  // repaired by the next digest
};

struct Members {
  Settings settings;
  HostInfo self;
  Session session = 0;
  TimePoint startedAt;
  std::uint64_t nextSequence = 1;
  std::uint32_t nextNumber = 1;
  bool stopping = false;

  TargetChart chart;
  std::unordered_map<TargetId, TargetEntry> targets;
  std::size_t departures = 0;
  std::map<HostId, PeerEntry> peers;
  std::vector<TargetLoad> ownLoads;
  std::vector<HostId> localHosts;
  std::map<DataCentreId, DataCentreSummary> summaries;

  TimePoint gossipAt;
  TimePoint loadsAt;
  TimePoint digestAt;
  TimePoint summaryAt;
  Counters counters;
};

// aHosts are all configured entry hosts; aSession must differ between starts.
Members MakeMembers(const HostInfo& aSelf, const std::vector<HostInfo>& aHosts,
                    const Settings& aSettings, Session aSession,
                    TimePoint aNow);

// Handles one event. Call it with Tick at least each gossipInterval.
Actions Step(Members& aMembers, const Event& aEvent, TimePoint aNow);

// The target while it may get new work.
const TargetRecord* FindServing(const Members& aMembers,
                                const TargetId& aTarget);

bool IsHostLive(const Members& aMembers, const HostId& aHost);

// Free slots and outstanding calls per service of this data centre.
DataCentreSummary Summarise(const Members& aMembers);

}  // namespace bramleypath::membership
