#include "bramleypath/consensus/internal/SnapshotTransfer.h"

#include <algorithm>
#include <utility>

#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/Replication.h"

namespace bramleypath::consensus::detail {

namespace {

// The membership in effect at aIndex, which must be baseIndex or an entry of
// the log.
Membership MembershipAt(const Node& aNode, LogIndex aIndex) {
  for (LogIndex index = aIndex; index > aNode.baseIndex; --index) {
    const LogEntry& entry = EntryAt(aNode, index);
    if (entry.kind == EntryKind::MembershipChange) {
      return entry.membership;
    }
  }
  return aNode.baseMembership;
}

void DropLogPrefix(Node& aNode, LogIndex aUpTo) {
  const Membership membership = MembershipAt(aNode, aUpTo);
  const Term term = *TermAt(aNode, aUpTo);
  const auto count = static_cast<std::ptrdiff_t>(aUpTo - aNode.baseIndex);
  aNode.log.erase(aNode.log.begin(), aNode.log.begin() + count);
  aNode.baseIndex = aUpTo;
  aNode.baseTerm = term;
  aNode.baseMembership = membership;
}

// Replaces the log and the state by a complete snapshot.
void Install(Node& aNode, Snapshot aWhole, Actions& aActions) {
  auto shared = std::make_shared<const Snapshot>(std::move(aWhole));
  const Snapshot& snapshot = *shared;
  aNode.log.clear();
  aNode.unsyncedEntries.clear();
  aNode.baseIndex = snapshot.index;
  aNode.baseTerm = snapshot.term;
  aNode.baseMembership = snapshot.membership;
  aNode.commitIndex = snapshot.index;
  aNode.appliedIndex = snapshot.index;
  RefreshMembership(aNode);
  const SyncTicket ticket = NextTicket(aNode);
  aNode.durableIndex = 0;
  aNode.unsyncedEntries.emplace_back(ticket, snapshot.index);
  aNode.snapshot = shared;
  aActions.push_back(PersistSnapshot{ticket, shared, true});
  aActions.push_back(RestoreState{std::move(shared)});
}

// True when the chunk belongs to the transfer in progress. The term is compared
// because a leader that restarted may encode the same state differently; its
// term is then a later one.
bool BelongsToIncomingSnapshot(const Node& aNode, const Message& aMessage,
                               const SnapshotChunk& aChunk) {
  return aNode.incomingSnapshot &&
         aNode.incomingSnapshot->from == aMessage.from &&
         aNode.incomingSnapshot->leaderTerm == aMessage.term &&
         aNode.incomingSnapshot->snapshot.index == aChunk.index &&
         aNode.incomingSnapshot->totalBytes == aChunk.totalBytes;
}

}  // namespace

void SendSnapshotChunk(Node& aNode, const ReplicaId& aTo, TimePoint aNow,
                       Actions& aActions) {
  Progress& progress = aNode.progress[aTo];
  if (!progress.sendingSnapshot) {
    if (!aNode.snapshot) {
      return;
    }
    progress.sendingSnapshot = aNode.snapshot;
    progress.snapshotOffset = 0;
  }
  progress.resendAt = aNow + aNode.settings.chunkResendTimeout;
  const Snapshot& snapshot = *progress.sendingSnapshot;
  SnapshotChunk chunk;
  chunk.index = snapshot.index;
  chunk.term = snapshot.term;
  chunk.membership = snapshot.membership;
  chunk.offset = progress.snapshotOffset;
  chunk.totalBytes = snapshot.state.size();
  const std::size_t length =
      std::min<std::size_t>(aNode.settings.maxMessageBytes,
                            snapshot.state.size() - progress.snapshotOffset);
  const auto begin = snapshot.state.begin() +
                     static_cast<std::ptrdiff_t>(progress.snapshotOffset);
  chunk.data.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
  aActions.push_back(SendMessage{
      Message{aNode.self, aTo, aNode.hardState.term, std::move(chunk)}});
}

void OnSnapshotChunk(Node& aNode, const Message& aMessage,
                     const SnapshotChunk& aChunk, TimePoint aNow,
                     Actions& aActions) {
  RecordLeaderContact(aNode, aMessage.from, aNow);
  SnapshotReply reply;
  reply.index = aChunk.index;
  const bool isInLog = TermAt(aNode, aChunk.index) == aChunk.term;
  if (isInLog && aChunk.index > aNode.commitIndex) {
    // The log matches the leader's up to this index, so the snapshot is not
    // needed. Later entries must be kept, since they may be acknowledged.
    aNode.commitIndex = aChunk.index;
    ApplyCommitted(aNode, aActions);
  }
  if (aChunk.index <= aNode.commitIndex) {
    reply.installed = true;
    aNode.incomingSnapshot.reset();
  } else {
    if (!BelongsToIncomingSnapshot(aNode, aMessage, aChunk)) {
      PartialSnapshot partial;
      partial.from = aMessage.from;
      partial.leaderTerm = aMessage.term;
      partial.snapshot =
          Snapshot{aChunk.index, aChunk.term, aChunk.membership, Bytes{}};
      partial.totalBytes = aChunk.totalBytes;
      aNode.incomingSnapshot = std::move(partial);
    }
    Bytes& state = aNode.incomingSnapshot->snapshot.state;
    if (aChunk.offset == state.size()) {
      state.insert(state.end(), aChunk.data.begin(), aChunk.data.end());
    }
    reply.nextOffset = state.size();
    if (state.size() == aNode.incomingSnapshot->totalBytes) {
      Snapshot whole = std::move(aNode.incomingSnapshot->snapshot);
      aNode.incomingSnapshot.reset();
      Install(aNode, std::move(whole), aActions);
      reply.installed = true;
    }
  }
  aNode.deferred.push_back(DeferredMessage{
      aNode.lastTicket,
      Message{aNode.self, aMessage.from, aNode.hardState.term, reply}});
}

void OnSnapshotReply(Node& aNode, const Message& aMessage,
                     const SnapshotReply& aReply, TimePoint aNow,
                     Actions& aActions) {
  const auto found = aNode.progress.find(aMessage.from);
  if (aNode.role != Role::Leader || found == aNode.progress.end()) {
    return;
  }
  Progress& progress = found->second;
  if (!progress.sendingSnapshot ||
      progress.sendingSnapshot->index != aReply.index) {
    return;
  }
  if (!aReply.installed) {
    const std::uint64_t offset = std::min<std::uint64_t>(
        aReply.nextOffset, progress.sendingSnapshot->state.size());
    // A duplicate reply must not cause another chunk to be sent. A receiver
    // that restarted reports a lower offset; the timed resend continues from
    // there.
    const bool advanced = offset > progress.snapshotOffset;
    progress.snapshotOffset = offset;
    if (advanced) {
      Replicate(aNode, aMessage.from, aNow, aActions);
    }
    return;
  }
  progress.sendingSnapshot.reset();
  progress.snapshotOffset = 0;
  progress.match = std::max(progress.match, aReply.index);
  progress.next = std::max(progress.match + 1, aReply.index + 1);
  AdvanceCommit(aNode, aNow, aActions);
  if (aNode.role == Role::Leader) {
    Replicate(aNode, aMessage.from, aNow, aActions);
  }
}

void OnSnapshotTaken(Node& aNode, const SnapshotTaken& aTaken,
                     Actions& aActions) {
  const bool stale = aTaken.index <= aNode.baseIndex ||
                     aTaken.index > aNode.appliedIndex ||
                     (aNode.snapshot && aTaken.index <= aNode.snapshot->index);
  if (stale) {
    return;
  }
  Snapshot snapshot;
  snapshot.index = aTaken.index;
  snapshot.term = *TermAt(aNode, aTaken.index);
  snapshot.membership = MembershipAt(aNode, aTaken.index);
  // A replica that joined later and received the log from its first entry does
  // not know the initial membership. It must not pass on a snapshot without
  // one.
  if (snapshot.membership.voters.empty()) {
    return;
  }
  snapshot.state = aTaken.state;
  aNode.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  aActions.push_back(PersistSnapshot{NextTicket(aNode), aNode.snapshot, false});
  if (aTaken.index > aNode.baseIndex + aNode.settings.trailingEntries) {
    DropLogPrefix(aNode, aTaken.index - aNode.settings.trailingEntries);
  }
}

}  // namespace bramleypath::consensus::detail
