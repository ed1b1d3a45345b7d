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

// Keeps a host's copy of the configuration up to date. Voters apply the
// commands of their own log. The other hosts receive each command as a push
// and, when a digest of a peer shows that they missed one, fetch the state.

struct DistributionSettings {
  // Interval between digests to each peer. A host that missed a push has the
  // change in force within this time plus two message delays.
  Duration digestEvery = Millis(2000);
  // Interval between index queries to all peers while the host is not ready.
  Duration queryEvery = Millis(200);
  // A host that received no quorum-confirmed index within this time after its
  // start assumes that it is cut off from the quorum.
  Duration cutOffAfter = Millis(3000);
  // A peer that answered no query for this long counts as unreachable.
  Duration reachableFor = Millis(1000);
  // Minimum interval between state fetches, so that the digests of several
  // peers don't each cause a transfer of the whole state.
  Duration fetchEvery = Millis(500);
  // A report older than this is shown as stale.
  Duration reportStaleAfter = Millis(6000);
};

// An entry host as listed in the settings or in the configuration.
struct Peer {
  HostId host;
  DataCentreId dataCentre;
};

// The configuration that is in force on one host, as reported in digests.
struct AppliedReport {
  HostId host;
  DataCentreId dataCentre;
  // Increases with each restart of the host.
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
// Requests the state if the receiver's applied index is above this one.
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
  // The incarnation of the querying host, which discards answers to queries
  // that it sent before a restart.
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

// Events that Step handles.

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
// The list of peers changed. It comes from the settings at start and from the
// configuration afterwards.
struct PeersChanged {
  std::vector<Peer> peers;
};

using DistributionEvent =
    std::variant<DistributionTick, LocallyApplied, LocallyRestored,
                 MessageArrived, PeersChanged>;

// Actions that Step returns for the caller to carry out.

struct SendTo {
  HostId to;
  DistributionMessage message;
};
// The configuration in force on this host changed.
struct InForce {
  LogIndex index = 0;
  Version version = 0;
};
// Why a host became ready: it applied an index that a quorum confirmed, or it
// is cut off from the quorum and no reachable peer has a higher index.
enum class ReadyReason { QuorumConfirmed, HighestOfDataCentre };
struct BecameReady {
  LogIndex index = 0;
  ReadyReason reason = ReadyReason::QuorumConfirmed;
};
// The outcome of a command applied by LocallyApplied, for its proposer. Not
// emitted for an index that this host had applied already; the operator's retry
// then gets the recorded outcome.
struct Applied {
  LogIndex index = 0;
  Outcome outcome;
};
// A message or snapshot was discarded because it is malformed or comes from a
// host that can't have sent it.
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

// One host's copy of the configuration and the latest reports of its peers.
struct Distribution {
  DistributionSettings settings;
  AppliedReport self;  // host, data centre, incarnation and what is in force
  ConfigState state;
  LogIndex appliedIndex = 0;
  std::vector<Peer> peers;

  bool ready = false;
  TimePoint startedAt;
  // Earliest times of the next index query, digest and state fetch.
  TimePoint queryAt;
  TimePoint digestAt;
  TimePoint fetchAt;
  // The highest quorum-confirmed index received since the start.
  std::optional<LogIndex> confirmedIndex;
  // The latest answer of each peer to the index queries since the start.
  std::map<HostId, PeerIndex> answers;
  // The latest report of each peer, so at most one entry per peer.
  std::map<HostId, ReceivedReport> reports;
  // The time at which the pending change of the key owners may take effect, set
  // once it is confirmed, and the generation of that change; see DueKeyMove.
  std::optional<TimePoint> keyMoveAt;
  std::uint64_t keyMoveGeneration = 0;
};

Distribution MakeDistribution(const HostId& aSelf,
                              const DataCentreId& aDataCentre,
                              std::uint64_t aIncarnation,
                              const DistributionSettings& aSettings,
                              std::vector<Peer> aPeers, TimePoint aNow);

// Updates the copy for an event at aNow and returns the actions that follow.
DistributionActions Step(Distribution& aDistribution,
                         const DistributionEvent& aEvent, TimePoint aNow);

// The configuration in force on one host, by its latest report.
struct HostInForce {
  HostId host;
  DataCentreId dataCentre;
  bool known = false;  // whether the host has sent a report
  bool stale = false;  // whether its report is older than reportStaleAfter
  bool ready = false;
  Version version = 0;
  PresetId preset;
};

// This host and its peers, sorted by data centre and host.
std::vector<HostInForce> ListInForce(const Distribution& aDistribution,
                                     TimePoint aNow);

// Called on the leader of the configuration group at each tick. Returns the
// command that completes a pending change of the key owners once all hosts of
// each data centre that loses keys (unless declared lost) have reported the
// pending version and KeyOwners::moveWaitMs has passed since then; nothing
// before. A new leader starts the wait anew: call ForgetKeyMove when leadership
// is lost.
std::optional<Command> DueKeyMove(Distribution& aDistribution, TimePoint aNow);
void ForgetKeyMove(Distribution& aDistribution);

}  // namespace bramleypath::config
