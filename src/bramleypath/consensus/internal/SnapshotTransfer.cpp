#include "bramleypath/consensus/internal/SnapshotTransfer.h"

#include <algorithm>
#include <utility>

#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/Replication.h"

namespace bramleypath::consensus::detail {

namespace {

// The membership in force at an index that is still in the log.
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

// A chunk that belongs to the transfer under way. A sender that restarted may
// encode the same state differently, but then its term is another one.
bool Continues(const Node& aNode, const Message& aMessage,
               const SnapshotChunk& aChunk) {
  return aNode.incoming && aNode.incoming->from == aMessage.from &&
         aNode.incoming->leaderTerm == aMessage.term &&
         aNode.incoming->snapshot.index == aChunk.index &&
         aNode.incoming->totalBytes == aChunk.totalBytes;
}

}  // namespace

void SendSnapshotChunk(Node& aNode, const ReplicaId& aTo, TimePoint aNow,
                       Actions& aActions) {
  Progress& progress = aNode.progress[aTo];
  if (!progress.sending) {
    if (!aNode.snapshot) {
      return;
    }
    progress.sending = aNode.snapshot;
    progress.snapshotOffset = 0;
  }
  progress.resendAt = aNow + aNode.settings.resend;
  const Snapshot& snapshot = *progress.sending;
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
  HearLeader(aNode, aMessage.from, aNow);
  SnapshotReply reply;
  reply.index = aChunk.index;
  const bool held = TermAt(aNode, aChunk.index) == aChunk.term;
  if (held && aChunk.index > aNode.commitIndex) {
    // The log matches the leader's up to there: what follows in it may be
    // acknowledged already and must not be discarded.
    aNode.commitIndex = aChunk.index;
    ApplyCommitted(aNode, aActions);
  }
  if (aChunk.index <= aNode.commitIndex) {
    reply.installed = true;
    aNode.incoming.reset();
  } else {
    if (!Continues(aNode, aMessage, aChunk)) {
      PartialSnapshot partial;
      partial.from = aMessage.from;
      partial.leaderTerm = aMessage.term;
      partial.snapshot =
          Snapshot{aChunk.index, aChunk.term, aChunk.membership, Bytes{}};
      partial.totalBytes = aChunk.totalBytes;
      aNode.incoming = std::move(partial);
    }
    Bytes& state = aNode.incoming->snapshot.state;
    if (aChunk.offset == state.size()) {
      state.insert(state.end(), aChunk.data.begin(), aChunk.data.end());
    }
    reply.nextOffset = state.size();
    if (state.size() == aNode.incoming->totalBytes) {
      Snapshot whole = std::move(aNode.incoming->snapshot);
      aNode.incoming.reset();
      Install(aNode, std::move(whole), aActions);
      reply.installed = true;
    }
  }
  aNode.held.push_back(HeldMessage{
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
  if (!progress.sending || progress.sending->index != aReply.index) {
    return;
  }
  if (!aReply.installed) {
    const std::uint64_t offset = std::min<std::uint64_t>(
        aReply.nextOffset, progress.sending->state.size());
    // A duplicate must not start one more chunk; a receiver that restarted
    // begins anew with the next chunk that is sent again.
    const bool advanced = offset > progress.snapshotOffset;
    progress.snapshotOffset = offset;
    if (advanced) {
      Replicate(aNode, aMessage.from, aNow, aActions);
    }
    return;
  }
  progress.sending.reset();
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
  // A replica that joined with the whole log doesn't know the first membership;
  // it must not hand on a snapshot without one.
  if (snapshot.membership.voters.empty()) {
    return;
  }
  snapshot.state = aTaken.state;
  aNode.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  aActions.push_back(PersistSnapshot{NextTicket(aNode), aNode.snapshot, false});
  if (aTaken.index > aNode.baseIndex + aNode.settings.keptEntries) {
    DropLogPrefix(aNode, aTaken.index - aNode.settings.keptEntries);
  }
}

}  // namespace bramleypath::consensus::detail
