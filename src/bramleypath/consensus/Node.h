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
  // Each election timeout is drawn from [electionMin, electionMax).
  Duration electionMin = Millis(500);
  Duration electionMax = Millis(1000);
  // Shorter than electionMin by more than the clocks' rates can differ, so that
  // a lease is over before any voter helps to elect another leader.
  Duration leaderLease = Millis(400);
  // A snapshot chunk that is not acknowledged by then is sent again. Lost
  // appends need no timer: the next heartbeat is refused.
  Duration resend = Millis(300);
  // A leader that no quorum has acknowledged for this long steps down. It may
  // be heard without hearing, and would then keep the others from electing.
  Duration quorumTimeout = Millis(2000);
  // Larger appends and snapshots are sent in several messages.
  std::size_t maxMessageBytes = 256 * 1024;
  // Entries kept behind a snapshot for followers that lag a little.
  std::size_t keptEntries = 64;
};

enum class Role { Follower, PreCandidate, Candidate, Leader };

// The leader's view of another replica.
struct Progress {
  LogIndex next = 1;
  LogIndex match = 0;
  // The current snapshot chunk is not sent again before this.
  TimePoint resendAt;
  // Refusals of messages that left before the last step back are stale: what
  // they ask for is under way.
  TimePoint steppedBackAt;
  // Send time of the newest message that the replica has acknowledged.
  std::optional<TimePoint> ackedSentAt;
  // The snapshot being sent, null without one, and the bytes acknowledged. It
  // is kept to the end although the leader may have taken a newer one since.
  std::shared_ptr<const Snapshot> sending;
  std::uint64_t snapshotOffset = 0;
};

struct PartialSnapshot {
  ReplicaId from;
  Term leaderTerm = 0;
  Snapshot snapshot;
  std::uint64_t totalBytes = 0;
};

// A message held back until a write is durable.
struct HeldMessage {
  SyncTicket ticket = 0;
  Message message;
};

// One replica of a Raft group: log, votes and progress of the others.
struct Node {
  Settings settings;
  ReplicaId self;
  Random random;

  HardState hardState;
  Role role = Role::Follower;
  ReplicaId leader;  // empty: unknown

  // Entries after the snapshot base.
  std::vector<LogEntry> log;
  LogIndex baseIndex = 0;  // the entry before the first one of log
  Term baseTerm = 0;
  std::shared_ptr<const Snapshot> snapshot;
  LogIndex commitIndex = 0;
  LogIndex appliedIndex = 0;

  // In force as soon as it is in the log.
  Membership membership;
  LogIndex membershipIndex = 0;
  // The membership at the snapshot base, for rolling back.
  Membership baseMembership;

  TimePoint electionAt;
  TimePoint heartbeatAt;
  // Set after a start and on each message of a leader: no vote before it.
  TimePoint noVoteBefore;
  std::set<ReplicaId> votes;
  bool electionByTransfer = false;

  std::map<ReplicaId, Progress> progress;
  TimePoint leaderSince;
  // Leadership is being handed over; no lease and no proposals until then.
  std::optional<TimePoint> transferUntil;
  ReplicaId transferTo;
  bool transferSent = false;

  SyncTicket lastTicket = 0;
  SyncTicket syncedTicket = 0;
  std::vector<HeldMessage> held;
  // (ticket, last index): what of the log is durable at which ticket.
  std::vector<std::pair<SyncTicket, LogIndex>> unsyncedEntries;
  LogIndex durableIndex = 0;
  std::optional<PartialSnapshot> incoming;
};

// A replica as it starts. aInitial is the group's first membership, which each
// of its members is given alike; a replica that joins later gets an empty one.
Node MakeNode(const ReplicaId& aSelf, const Settings& aSettings,
              const Membership& aInitial, RestoredState aRestored,
              std::uint64_t aSeed, TimePoint aNow);

// The state that the adapter must restore at start, before any event.
std::shared_ptr<const Snapshot> StartSnapshot(const Node& aNode);

// Handles one event.
Actions Step(Node& aNode, const Event& aEvent, TimePoint aNow);

// True while this replica leads, has committed an entry of its own term, and a
// quorum acknowledged it recently enough that no other leader can exist.
bool HasLease(const Node& aNode, TimePoint aNow);

// True when the replica acknowledged this leader within the shortest election
// timeout.
bool IsReachable(const Node& aNode, const ReplicaId& aReplica, TimePoint aNow);

LogIndex LastIndex(const Node& aNode);
// The term of the entry at aIndex; none when it is compacted or missing.
std::optional<Term> TermAt(const Node& aNode, LogIndex aIndex);

}  // namespace bramleypath::consensus
