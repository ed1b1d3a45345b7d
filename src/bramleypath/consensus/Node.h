#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus {

struct Settings {
  Duration heartbeat = Millis(100);
  // Each election timeout is drawn at random from [electionMin, electionMax).
  Duration electionMin = Millis(500);
  Duration electionMax = Millis(1000);
  // Must be shorter than electionMin by more than the drift between the clocks
  // of two hosts, so that a lease expires before any voter grants another
  // candidate its vote.
  Duration leaderLease = Millis(400);
  // Time until a snapshot chunk without acknowledgement is sent again. Lost
  // appends need no such timer: the follower refuses the next heartbeat, and
  // the leader then sends the missing entries.
  Duration chunkResendTimeout = Millis(300);
  // A leader that no quorum has acknowledged for this long steps down. If it
  // can send but not receive, its heartbeats would otherwise keep the others
  // from electing a new leader.
  Duration quorumTimeout = Millis(2000);
  // Larger appends and snapshots are split into several messages.
  std::size_t maxMessageBytes = 256 * 1024;
  // Number of entries kept in the log after a snapshot covers them, so that
  // followers that lag by fewer entries don't need the whole snapshot.
  std::size_t trailingEntries = 64;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };

// What the leader knows about the log of another replica.
struct Progress {
  // The next entry to send, and the last one known to be durable there.
  LogIndex next = 1;
  LogIndex match = 0;
  // Earliest time at which the current snapshot chunk is sent again.
  TimePoint resendAt;
  // When a refusal last lowered next. Refusals of messages sent earlier are
  // stale, since the entries that they ask for have been sent since.
  TimePoint nextLoweredAt;
  // Send time, by the leader's clock, of the newest message that the replica
  // has answered.
  std::optional<TimePoint> ackedSentAt;
  // The snapshot being sent, or null, and the number of bytes acknowledged. A
  // newer snapshot of the leader doesn't replace it, since a transfer that
  // restarts with each new snapshot may never end.
  std::shared_ptr<const Snapshot> sendingSnapshot;
  std::uint64_t snapshotOffset = 0;
};

// A snapshot of which only the first chunks have arrived.
struct PartialSnapshot {
  ReplicaId from;
  Term leaderTerm = 0;
  Snapshot snapshot;
  std::uint64_t totalBytes = 0;
};

// A message that is sent once the write with the ticket is durable.
struct DeferredMessage {
  SyncTicket ticket = 0;
  Message message;
};

// State of one replica of a Raft group.
struct Node {
  Settings settings;
  ReplicaId self;
  Random random;

  HardState hardState;
  Role role = Role::Follower;
  ReplicaId leader;  // empty when unknown

  // The entries after baseIndex. Those up to it are compacted: the snapshot
  // covers them.
  std::vector<LogEntry> log;
  LogIndex baseIndex = 0;
  Term baseTerm = 0;
  std::shared_ptr<const Snapshot> snapshot;
  LogIndex commitIndex = 0;
  LogIndex appliedIndex = 0;

  // The newest membership in the log. It takes effect as soon as it is
  // appended, before it is committed.
  Membership membership;
  LogIndex membershipIndex = 0;
  // The membership at baseIndex. It takes effect again when the log is
  // truncated before its first membership change.
  Membership baseMembership;

  TimePoint electionAt;
  TimePoint heartbeatAt;
  // Before this time the replica ignores vote requests, except those of a
  // leadership transfer. A start and each message from a leader set it to
  // electionMin from then.
  TimePoint noVoteBefore;
  std::set<ReplicaId> votes;
  bool electionByTransfer = false;

  std::map<ReplicaId, Progress> progress;
  TimePoint leaderSince;
  // Set while leadership is being handed over: the deadline of the transfer. As
  // long as it is set, the leader has no lease and refuses proposals.
  std::optional<TimePoint> transferDeadline;
  ReplicaId transferTo;
  bool transferSent = false;

  SyncTicket lastTicket = 0;
  SyncTicket syncedTicket = 0;
  std::vector<DeferredMessage> deferred;
  // Writes of entries that are not yet durable: the ticket and the last index
  // that is durable once the ticket is synced.
  std::vector<std::pair<SyncTicket, LogIndex>> unsyncedEntries;
  LogIndex durableIndex = 0;
  std::optional<PartialSnapshot> incomingSnapshot;
};

// Makes the state of a replica at its start. aInitial is the group's first
// membership. It is the same for all of its members; a replica that joins later
// is given an empty one.
Node MakeNode(const ReplicaId& aSelf, const Settings& aSettings,
              const Membership& aInitial, RestoredState aRestored,
              std::uint64_t aSeed, TimePoint aNow);

// The snapshot that the caller must restore into the state machine before it
// passes the first event to Step; null when there is none.
std::shared_ptr<const Snapshot> RestoredSnapshot(const Node& aNode);

// Handles one event and returns the actions that the caller must execute.
Actions Step(Node& aNode, const Event& aEvent, TimePoint aNow);

// True while this replica leads, has committed an entry of its own term and was
// acknowledged by a quorum less than leaderLease ago, so that no other leader
// can exist.
bool HasLease(const Node& aNode, TimePoint aNow);

// True when the replica has answered a message that this leader sent less than
// electionMin ago.
bool IsReachable(const Node& aNode, const ReplicaId& aReplica, TimePoint aNow);

LogIndex LastIndex(const Node& aNode);
// The term of the entry at aIndex; nullopt when the entry was compacted or is
// not in the log.
std::optional<Term> TermAt(const Node& aNode, LogIndex aIndex);

}  // namespace bramleypath::consensus
