#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/base/StrongId.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::consensus {

// Durable identity of a replica: "<entry host>/<data folder identity>". A host
// that lost its data folder gets a new identity. Under the old one it could
// vote a second time in a term, since its earlier vote is lost.
using ReplicaId = StrongId<struct ReplicaIdTag>;

using Term = std::uint64_t;
// Position in the log, counted from 1; 0 stands for the position before the
// first entry.
using LogIndex = std::uint64_t;
// Sequence number of a write handed to storage. Writes become durable in this
// order.
using SyncTicket = std::uint64_t;
// Chosen by the proposer to match an answer to its proposal.
using ProposalToken = std::uint64_t;
using Bytes = std::vector<std::uint8_t>;

struct Membership {
  std::vector<ReplicaId> voters;
  // Learners receive the log but don't vote and don't count towards a quorum.
  std::vector<ReplicaId> learners;
};

bool operator==(const Membership& aLeft, const Membership& aRight);
bool IsVoter(const Membership& aMembership, const ReplicaId& aReplica);
bool IsMember(const Membership& aMembership, const ReplicaId& aReplica);

enum class EntryKind : std::uint8_t { Command, NoOp, MembershipChange };

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::Command;
  Bytes payload;          // set for a Command only
  Membership membership;  // set for a MembershipChange only
};

// Term and vote. They must be durable before a message that reveals them is
// sent.
struct HardState {
  Term term = 0;
  ReplicaId votedFor;
};

// A snapshot of the replicated state up to and including one index.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  Bytes state;
};

// What storage holds when a replica starts.
struct RestoredState {
  HardState hardState;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;
};

// Messages between replicas.

struct VoteRequest {
  bool preVote = false;
  // Set when the old leader asked for this election in order to hand leadership
  // over. Voters then need not wait for its lease, which has already ended.
  bool transfer = false;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
};

struct VoteReply {
  bool preVote = false;
  bool granted = false;
};

struct AppendRequest {
  LogIndex previousIndex = 0;
  Term previousTerm = 0;
  LogIndex commitIndex = 0;
  std::vector<LogEntry> entries;
  // Time of sending by the leader's clock. The receiver only echoes it in its
  // reply, since the clocks of two hosts can't be compared.
  TimePoint sentAt;
};

struct AppendReply {
  bool accepted = false;
  // If accepted, the last durable index known to match the leader's log. If
  // refused, the previousIndex that the leader should try next.
  LogIndex index = 0;
  TimePoint sentAt;  // copied from the request
};

struct SnapshotChunk {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::uint64_t offset = 0;      // bytes from the start of the state
  std::uint64_t totalBytes = 0;  // size of the whole state
  Bytes data;
};

struct SnapshotReply {
  LogIndex index = 0;
  std::uint64_t nextOffset = 0;  // bytes received so far
  bool installed = false;
};

// Sent by a leader that hands leadership over. The receiver, a voter whose log
// is up to date, starts an election without waiting for its timeout.
struct TransferRequest {};

struct Message {
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, TransferRequest>
      body;
};

// Events that Step handles.

struct MessageReceived {
  Message message;
};
struct Tick {};
struct Propose {
  ProposalToken token = 0;
  Bytes payload;
};
// Several commands, replicated together in one message to each replica as far
// as the message size limit allows.
struct ProposeBatch {
  std::vector<Propose> proposals;
};
struct ProposeMembership {
  ProposalToken token = 0;
  Membership membership;
};
struct TransferLeadership {
  ReplicaId to;  // empty selects the reachable voter with the longest match
};
// All writes up to and including the ticket are durable.
struct StorageSynced {
  SyncTicket ticket = 0;
};
// The state machine was serialised right after the entry at the index was
// applied.
struct SnapshotTaken {
  LogIndex index = 0;
  Bytes state;
};

using Event = std::variant<MessageReceived, Tick, Propose, ProposeBatch,
                           ProposeMembership, TransferLeadership, StorageSynced,
                           SnapshotTaken>;

// Actions returned by Step. The caller executes them in order. It need not wait
// for a write to become durable before it sends a message: Step defers messages
// that depend on a write until StorageSynced.

struct SendMessage {
  Message message;
};
struct PersistHardState {
  SyncTicket ticket = 0;
  HardState state;
};
// Replaces all stored entries from the index of the first given entry on.
struct PersistEntries {
  SyncTicket ticket = 0;
  std::vector<LogEntry> entries;
};
// After this write, stored entries up to the snapshot's index are obsolete. If
// discardLog is set, the snapshot replaces the whole log.
struct PersistSnapshot {
  SyncTicket ticket = 0;
  std::shared_ptr<const Snapshot> snapshot;
  bool discardLog = false;
};
struct ApplyEntries {
  std::vector<LogEntry> entries;
};
struct RestoreState {
  std::shared_ptr<const Snapshot> snapshot;
};
struct BecameLeader {
  Term term = 0;
};
struct LostLeadership {
  Term term = 0;
};
struct ProposalAccepted {
  ProposalToken token = 0;
  LogIndex index = 0;
  Term term = 0;
};

enum class ProposalError {
  NotLeader,
  ChangeInProgress,
  InvalidMembership,
  // A new voter has not acknowledged every committed entry.
  NotCaughtUp,
};

struct ProposalRefused {
  ProposalToken token = 0;
  ProposalError error = ProposalError::NotLeader;
  ReplicaId leaderHint;  // empty when unknown
};

using Action =
    std::variant<SendMessage, PersistHardState, PersistEntries, PersistSnapshot,
                 ApplyEntries, RestoreState, BecameLeader, LostLeadership,
                 ProposalAccepted, ProposalRefused>;
using Actions = std::vector<Action>;

}  // namespace bramleypath::consensus
