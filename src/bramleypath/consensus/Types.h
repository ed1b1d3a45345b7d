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

// One replica's durable identity: "<entry host>/<data folder identity>". A host
// whose data folder was lost gets a new one, so that it can't vote as the old.
using ReplicaId = StrongId<struct ReplicaIdTag>;

using Term = std::uint64_t;
// Position in the log, from 1; 0 is before the first entry.
using LogIndex = std::uint64_t;
// Numbers the writes handed to storage; they become durable in this order.
using SyncTicket = std::uint64_t;
// Chosen by the proposer to recognise the answer.
using ProposalToken = std::uint64_t;
using Bytes = std::vector<std::uint8_t>;

struct Membership {
  std::vector<ReplicaId> voters;
  // Learners receive the log and don't vote.
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
  Bytes payload;          // Command
  Membership membership;  // MembershipChange
};

// What must be durable before a vote or a term is made known.
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
  // Set after a leadership transfer: voters then ignore the old leader's lease,
  // which it has given up.
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
  // The leader's clock when the message left, echoed in the reply; it is
  // meaningless to the receiver.
  TimePoint sentAt;
};

struct AppendReply {
  bool accepted = false;
  // Accepted: the last durable index known to match the leader's log. Refused:
  // where the leader should try next.
  LogIndex index = 0;
  TimePoint sentAt;
};

struct SnapshotChunk {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::uint64_t offset = 0;      // bytes
  std::uint64_t totalBytes = 0;  // of the whole state
  Bytes data;
};

struct SnapshotReply {
  LogIndex index = 0;
  std::uint64_t nextOffset = 0;  // bytes received so far
  bool installed = false;
};

// Tells a caught-up voter to start an election at once.
struct TransferRequest {};

struct Message {
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, TransferRequest>
      body;
};

// Events for Step.

struct MessageReceived {
  Message message;
};
struct Tick {};
struct Propose {
  ProposalToken token = 0;
  Bytes payload;
};
// Several commands that go out in one message to each replica.
struct ProposeBatch {
  std::vector<Propose> proposals;
};
struct ProposeMembership {
  ProposalToken token = 0;
  Membership membership;
};
struct TransferLeadership {
  ReplicaId to;  // empty: the most caught-up voter
};
// All writes up to the ticket are durable.
struct StorageSynced {
  SyncTicket ticket = 0;
};
// The state machine was serialised after applying the entry at the index.
struct SnapshotTaken {
  LogIndex index = 0;
  Bytes state;
};

using Event = std::variant<MessageReceived, Tick, Propose, ProposeBatch,
                           ProposeMembership, TransferLeadership, StorageSynced,
                           SnapshotTaken>;

// Actions from Step, to be carried out in their order. Writes need not be
// durable before messages are sent; messages that depend on a write are held
// back until StorageSynced.

struct SendMessage {
  Message message;
};
struct PersistHardState {
  SyncTicket ticket = 0;
  HardState state;
};
// Replaces all entries from the first one's index on.
struct PersistEntries {
  SyncTicket ticket = 0;
  std::vector<LogEntry> entries;
};
// Entries up to the snapshot's index are no longer needed. With
// discardLog set, the whole log is replaced by the snapshot.
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
  // A new voter that has not acknowledged every committed entry.
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
