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

void Install(Node& aNode, Snapshot aSnapshot, Actions& aActions) {
  aNode.log.clear();
  aNode.unsyncedEntries.clear();
  aNode.baseIndex = aSnapshot.index;
  aNode.baseTerm = aSnapshot.term;
  aNode.baseMembership = aSnapshot.membership;
  aNode.commitIndex = aSnapshot.index;
  aNode.appliedIndex = aSnapshot.index;
  RefreshMembership(aNode);
  const SyncTicket ticket = NextTicket(aNode);
  aNode.durableIndex = 0;
  aNode.unsyncedEntries.emplace_back(ticket, aSnapshot.index);
  aNode.snapshot = aSnapshot;
  aActions.push_back(PersistSnapshot{ticket, aSnapshot, true});
  aActions.push_back(RestoreState{std::move(aSnapshot)});
}

}  // namespace

void SendSnapshotChunk(Node& aNode, const ReplicaId& aTo, Actions& aActions) {
  Progress& progress = aNode.progress[aTo];
  if (!aNode.snapshot) {
    return;
  }
  const Snapshot& snapshot = *aNode.snapshot;
  if (progress.snapshotIndex != snapshot.index) {
    progress.snapshotIndex = snapshot.index;
    progress.snapshotOffset = 0;
  }
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
  if (aChunk.index <= aNode.commitIndex) {
    reply.installed = true;
    aNode.incoming.reset();
  } else {
    const bool sameTransfer = aNode.incoming &&
                              aNode.incoming->from == aMessage.from &&
                              aNode.incoming->snapshot.index == aChunk.index;
    if (!sameTransfer) {
      PartialSnapshot partial;
      partial.from = aMessage.from;
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
  if (progress.snapshotIndex != aReply.index) {
    return;
  }
  if (!aReply.installed) {
    progress.snapshotOffset = std::min<std::uint64_t>(
        aReply.nextOffset, aNode.snapshot ? aNode.snapshot->state.size() : 0);
    Replicate(aNode, aMessage.from, aNow, aActions);
    return;
  }
  progress.snapshotIndex.reset();
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
  snapshot.state = aTaken.state;
  aNode.snapshot = snapshot;
  aActions.push_back(
      PersistSnapshot{NextTicket(aNode), std::move(snapshot), false});
  if (aTaken.index > aNode.baseIndex + aNode.settings.keptEntries) {
    DropLogPrefix(aNode, aTaken.index - aNode.settings.keptEntries);
  }
}

}  // namespace bramleypath::consensus::detail
