#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/config/State.h"

namespace bramleypath::config {

// Index in the log of the configuration group.
using LogIndex = std::uint64_t;

// How a host keeps its copy of the configuration up to date. Voters feed it
// from their log; all other hosts get pushes and repair gaps by digests.

struct DistributionSettings {
  // How often a digest goes to each peer. A missed push is in force on the
  // host within this time plus two message delays.
  Duration digestEvery = Millis(2000);
  // How often a host that is not ready asks all peers for their index.
  Duration queryEvery = Millis(200);
  // A host that got no quorum-confirmed index by then counts as cut off.
  Duration cutOffAfter = Millis(3000);
  // A peer that answered no query for this long counts as unreachable.
  Duration reachableFor = Millis(1000);
  // At most one state is fetched per this time, so that the digests of several
  // peers don't each bring a whole state.
  Duration fetchEvery = Millis(500);
  // A report older than this is shown as stale.
  Duration reportStaleAfter = Millis(6000);
};

// A peer as the settings and the configuration name it.
struct Peer {
  HostId host;
  DataCentreId dataCentre;
};

// What one host has in force. Sent in digests.
struct AppliedReport {
  HostId host;
  DataCentreId dataCentre;
  // Larger after each restart of the host.
  std::uint64_t incarnation = 0;
  LogIndex index = 0;
  Version version = 0;
  PresetId preset;
  bool ready = false;
};

// Messages between entry hosts.

struct Push {
  static constexpr const char* kKind = "push";
  LogIndex previousIndex = 0;
  LogIndex index = 0;
  Bytes command;
};
struct Digest {
  static constexpr const char* kKind = "digest";
  AppliedReport report;
};
// Asks for the state when the receiver's index is above this one.
struct Fetch {
  static constexpr const char* kKind = "fetch";
  LogIndex index = 0;
};
struct StateTransfer {
  static constexpr const char* kKind = "state";
  LogIndex index = 0;
  Bytes snapshot;
};
struct IndexQuery {
  static constexpr const char* kKind = "index_query";
  // The incarnation of the asking host, so that answers to queries from before
  // its restart are told apart.
  std::uint64_t nonce = 0;
};
struct IndexAnswer {
  static constexpr const char* kKind = "index_answer";
  std::uint64_t nonce = 0;
  LogIndex index = 0;
  // Set by the leader of the configuration group while it holds its lease.
  bool quorumConfirmed = false;
};

using DistributionMessage =
    std::variant<Push, Digest, Fetch, StateTransfer, IndexQuery, IndexAnswer>;

Bytes EncodeMessage(const DistributionMessage& aMessage);
std::optional<DistributionMessage> DecodeMessage(const Bytes& aBytes);

// Events.

struct DistributionTick {};
// This host's own replica applied a committed command.
struct LocallyApplied {
  LogIndex index = 0;
  Command command;
  // This replica leads the group, so it pushes the command to the peers.
  bool leading = false;
};
// This host's own replica installed a snapshot or restored one from disk.
struct LocallyRestored {
  LogIndex index = 0;
  Bytes snapshot;
};
struct MessageArrived {
  HostId from;
  DistributionMessage message;
  // Whether this host's replica held the leader lease when the message arrived
  // and had handed over (LocallyApplied) everything it had committed.
  bool leaseHeld = false;
};
// The peers changed (settings at start, then the configuration).
struct PeersChanged {
  std::vector<Peer> peers;
};

using DistributionEvent =
    std::variant<DistributionTick, LocallyApplied, LocallyRestored,
                 MessageArrived, PeersChanged>;

// Actions.

struct SendTo {
  HostId to;
  DistributionMessage message;
};
// The configuration in force on this host changed.
struct InForce {
  LogIndex index = 0;
  Version version = 0;
};
enum class ReadyReason { QuorumConfirmed, HighestOfDataCentre };
struct BecameReady {
  LogIndex index = 0;
  ReadyReason reason = ReadyReason::QuorumConfirmed;
};
// The outcome of a command applied by LocallyApplied, for its proposer. Absent
// for an index that this host had applied already; the resend of the operator
// then gets the recorded outcome.
struct Applied {
  LogIndex index = 0;
  Outcome outcome;
};
// Malformed or impossible input was dropped.
struct DistributionFault {
  HostId from;
  std::string detail;
};

using DistributionAction =
    std::variant<SendTo, InForce, BecameReady, Applied, DistributionFault>;
using DistributionActions = std::vector<DistributionAction>;

struct PeerIndex {
  LogIndex index = 0;
  TimePoint at;
};

struct ReceivedReport {
  AppliedReport report;
  TimePoint at;
};

// One host's copy of the configuration and what it knows of the others'.
struct Distribution {
  DistributionSettings settings;
  AppliedReport self;  // host, data centre, incarnation and what is in force
  ConfigState state;
  LogIndex appliedIndex = 0;
  std::vector<Peer> peers;

  bool ready = false;
  TimePoint startedAt;
  TimePoint queryAt;
  TimePoint digestAt;
  TimePoint fetchAt;
  // The highest index confirmed by a quorum since the start.
  std::optional<LogIndex> confirmedIndex;
  // The latest answers to the queries since the start.
  std::map<HostId, PeerIndex> answers;
  // Bounded by the number of peers.
  std::map<HostId, ReceivedReport> reports;
  // Set while a change of the key owners waits for its time; see DueKeyMove.
  std::optional<TimePoint> keyMoveAt;
  std::uint64_t keyMoveGeneration = 0;
};

Distribution MakeDistribution(const HostId& aSelf,
                              const DataCentreId& aDataCentre,
                              std::uint64_t aIncarnation,
                              const DistributionSettings& aSettings,
                              std::vector<Peer> aPeers, TimePoint aNow);

DistributionActions Step(Distribution& aDistribution,
                         const DistributionEvent& aEvent, TimePoint aNow);

// One row of what is in force where.
struct HostInForce {
  HostId host;
  DataCentreId dataCentre;
  bool known = false;  // a report arrived
  bool stale = false;  // and is older than reportStaleAfter
  bool ready = false;
  Version version = 0;
  PresetId preset;
};

// This host and its peers, sorted by data centre and host.
std::vector<HostInForce> ListInForce(const Distribution& aDistribution,
                                     TimePoint aNow);

// Called on the leader of the configuration group at each tick: the command
// that ends a pending change of the key owners, once all hosts of each data
// centre that loses keys (unless declared lost) reported the pending version
// and the stated wait has passed since. A new leader starts the wait anew.
// Call ForgetKeyMove when leadership is lost.
std::optional<Command> DueKeyMove(Distribution& aDistribution, TimePoint aNow);
void ForgetKeyMove(Distribution& aDistribution);

}  // namespace bramleypath::config
