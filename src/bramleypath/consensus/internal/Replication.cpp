#include "bramleypath/consensus/internal/Replication.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "bramleypath/consensus/internal/Election.h"
#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/SnapshotTransfer.h"
#include "bramleypath/consensus/internal/LeadershipTransfer.h"

namespace bramleypath::consensus::detail {

namespace {

// Approximate encoded size of an entry without its payload.
constexpr std::size_t kEntryOverheadBytes = 8;

std::vector<LogEntry> EntriesFrom(const Node& aNode, LogIndex aFirst) {
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (LogIndex index = aFirst; index <= LastIndex(aNode); ++index) {
    const LogEntry& entry = EntryAt(aNode, index);
    // The overhead counts too: many entries with small payloads could otherwise
    // exceed the limits of DecodeMessage.
    bytes += entry.payload.size() + kEntryOverheadBytes;
    if (!entries.empty() && bytes > aNode.settings.maxMessageBytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

// Keeps the entries that match the leader's log. From the first conflict on,
// replaces the rest of the log by the leader's entries.
void MergeEntries(Node& aNode, const AppendRequest& aRequest,
                  Actions& aActions) {
  std::vector<LogEntry> newEntries;
  for (const LogEntry& entry : aRequest.entries) {
    if (entry.index <= aNode.baseIndex) {
      continue;
    }
    if (newEntries.empty()) {
      const auto localTerm = TermAt(aNode, entry.index);
      if (localTerm && *localTerm == entry.term) {
        continue;
      }
      if (localTerm) {
        TruncateFrom(aNode, entry.index);
      }
    }
    newEntries.push_back(entry);
    aNode.log.push_back(entry);
    if (entry.kind == EntryKind::MembershipChange) {
      aNode.membership = entry.membership;
      aNode.membershipIndex = entry.index;
    }
  }
  if (!newEntries.empty()) {
    WriteEntries(aNode, std::move(newEntries), aActions);
  }
}

// True when the deferred append reply need not be sent, because aNewer tells
// the leader the same or more.
bool IsSupersededBy(const DeferredMessage& aDeferred,
                    const DeferredMessage& aNewer) {
  const auto* older = std::get_if<AppendReply>(&aDeferred.message.body);
  const auto* newer = std::get_if<AppendReply>(&aNewer.message.body);
  return older != nullptr && newer != nullptr &&
         aDeferred.ticket == aNewer.ticket &&
         aDeferred.message.to == aNewer.message.to &&
         aDeferred.message.term == aNewer.message.term &&
         older->accepted == newer->accepted &&
         (!older->accepted || older->index <= newer->index);
}

void ReplyToAppend(Node& aNode, const ReplicaId& aTo, const AppendReply& aReply,
                   Actions& aActions) {
  Message message{aNode.self, aTo, aNode.hardState.term, aReply};
  if (aNode.syncedTicket >= aNode.lastTicket) {
    aActions.push_back(SendMessage{std::move(message)});
    return;
  }
  DeferredMessage reply{aNode.lastTicket, std::move(message)};
  // Heartbeats arrive even while writes stall or the disk is full. Their
  // deferred replies must not accumulate.
  if (!aNode.deferred.empty() && IsSupersededBy(aNode.deferred.back(), reply)) {
    aNode.deferred.pop_back();
  }
  aNode.deferred.push_back(std::move(reply));
}

bool IsContiguous(const AppendRequest& aRequest) {
  LogIndex expected = aRequest.previousIndex + 1;
  for (const LogEntry& entry : aRequest.entries) {
    if (entry.index != expected++) {
      return false;
    }
  }
  return true;
}

// The index that the leader should try next: the one before all entries of the
// conflicting term, so that a long conflicting tail takes one round trip per
// term instead of one per entry.
LogIndex LastPossibleMatch(const Node& aNode, LogIndex aPrevious) {
  if (aPrevious > LastIndex(aNode)) {
    return LastIndex(aNode);
  }
  const auto term = TermAt(aNode, aPrevious);
  LogIndex index = aPrevious;
  while (index > aNode.commitIndex && TermAt(aNode, index) == term) {
    --index;
  }
  return index;
}

// Sends a heartbeat to a follower that is receiving a snapshot. It keeps the
// follower from starting an election and renews the leader's lease. With all
// indexes 0 it says nothing about the log.
void SendBareHeartbeat(const Node& aNode, const ReplicaId& aTo, TimePoint aNow,
                       Actions& aActions) {
  AppendRequest request;
  request.sentAt = aNow;
  aActions.push_back(SendMessage{
      Message{aNode.self, aTo, aNode.hardState.term, std::move(request)}});
}

}  // namespace

void RecordLeaderContact(Node& aNode, const ReplicaId& aLeader,
                         TimePoint aNow) {
  aNode.leader = aLeader;
  aNode.noVoteBefore = aNow + aNode.settings.electionMin;
  ResetElectionTimer(aNode, aNow);
}

void SyncProgressWithMembership(Node& aNode) {
  for (auto entry = aNode.progress.begin(); entry != aNode.progress.end();) {
    entry = IsMember(aNode.membership, entry->first)
                ? std::next(entry)
                : aNode.progress.erase(entry);
  }
  const auto add = [&aNode](const ReplicaId& aReplica) {
    if (aReplica != aNode.self && aNode.progress.count(aReplica) == 0) {
      Progress progress;
      progress.next = LastIndex(aNode) + 1;
      aNode.progress.emplace(aReplica, progress);
    }
  };
  for (const ReplicaId& voter : aNode.membership.voters) {
    add(voter);
  }
  for (const ReplicaId& learner : aNode.membership.learners) {
    add(learner);
  }
}

void BecomeLeader(Node& aNode, TimePoint aNow, Actions& aActions) {
  aNode.role = Role::Leader;
  aNode.leader = aNode.self;
  aNode.votes.clear();
  aNode.progress.clear();
  aNode.transferDeadline.reset();
  aNode.leaderSince = aNow;
  SyncProgressWithMembership(aNode);
  LogEntry entry;
  entry.index = LastIndex(aNode) + 1;
  entry.term = aNode.hardState.term;
  // Entries of earlier terms are committed only along with an entry of the
  // leader's own term, so the leader appends one at once.
  entry.kind = EntryKind::NoOp;
  AppendLocal(aNode, std::move(entry), aActions);
  aActions.push_back(consensus::BecameLeader{aNode.hardState.term});
  ReplicateToAll(aNode, aNow, aActions);
}

void Replicate(Node& aNode, const ReplicaId& aTo, TimePoint aNow,
               Actions& aActions) {
  Progress& progress = aNode.progress[aTo];
  const LogIndex previous = progress.next - 1;
  const auto previousTerm = TermAt(aNode, previous);
  if (progress.sendingSnapshot || !previousTerm) {
    SendSnapshotChunk(aNode, aTo, aNow, aActions);
    return;
  }
  AppendRequest request;
  request.previousIndex = previous;
  request.previousTerm = *previousTerm;
  request.commitIndex = aNode.commitIndex;
  request.entries = EntriesFrom(aNode, progress.next);
  request.sentAt = aNow;
  progress.next += request.entries.size();
  aActions.push_back(SendMessage{
      Message{aNode.self, aTo, aNode.hardState.term, std::move(request)}});
}

void ReplicateToAll(Node& aNode, TimePoint aNow, Actions& aActions) {
  aNode.heartbeatAt = aNow + aNode.settings.heartbeat;
  for (auto& [replica, progress] : aNode.progress) {
    if (progress.sendingSnapshot && aNow < progress.resendAt) {
      SendBareHeartbeat(aNode, replica, aNow, aActions);
    } else {
      Replicate(aNode, replica, aNow, aActions);
    }
  }
}

void OnAppendRequest(Node& aNode, const Message& aMessage,
                     const AppendRequest& aRequest, TimePoint aNow,
                     Actions& aActions) {
  RecordLeaderContact(aNode, aMessage.from, aNow);
  if (!IsContiguous(aRequest)) {
    return;
  }
  AppendReply reply;
  reply.sentAt = aRequest.sentAt;
  const auto previousTerm = TermAt(aNode, aRequest.previousIndex);
  const bool compacted = aRequest.previousIndex < aNode.baseIndex;
  if (!compacted && (!previousTerm || *previousTerm != aRequest.previousTerm)) {
    reply.accepted = false;
    reply.index = LastPossibleMatch(aNode, aRequest.previousIndex);
    ReplyToAppend(aNode, aMessage.from, reply, aActions);
    return;
  }
  MergeEntries(aNode, aRequest, aActions);
  const LogIndex matched = std::max(
      aNode.baseIndex, aRequest.previousIndex + aRequest.entries.size());
  const LogIndex commit = std::min(aRequest.commitIndex, matched);
  if (commit > aNode.commitIndex) {
    aNode.commitIndex = commit;
    ApplyCommitted(aNode, aActions);
  }
  reply.accepted = true;
  reply.index = matched;
  ReplyToAppend(aNode, aMessage.from, reply, aActions);
}

void OnAppendReply(Node& aNode, const Message& aMessage,
                   const AppendReply& aReply, TimePoint aNow,
                   Actions& aActions) {
  const auto found = aNode.progress.find(aMessage.from);
  if (aNode.role != Role::Leader || found == aNode.progress.end()) {
    return;
  }
  Progress& progress = found->second;
  if (!progress.ackedSentAt || *progress.ackedSentAt < aReply.sentAt) {
    progress.ackedSentAt = aReply.sentAt;
  }
  if (!aReply.accepted) {
    const LogIndex next = std::max(progress.match, aReply.index) + 1;
    const bool stale = aReply.sentAt < progress.nextLoweredAt;
    if (next < progress.next && !stale && !progress.sendingSnapshot) {
      progress.next = next;
      progress.nextLoweredAt = aNow;
      Replicate(aNode, aMessage.from, aNow, aActions);
    }
    return;
  }
  progress.match = std::max(progress.match, aReply.index);
  progress.next = std::max(progress.next, progress.match + 1);
  AdvanceCommit(aNode, aNow, aActions);
  SendTransferRequestIfReady(aNode, aActions);
  if (aNode.role == Role::Leader && !progress.sendingSnapshot &&
      progress.next <= LastIndex(aNode)) {
    Replicate(aNode, aMessage.from, aNow, aActions);
  }
}

void AdvanceCommit(Node& aNode, TimePoint aNow, Actions& aActions) {
  std::vector<LogIndex> durable;
  for (const ReplicaId& voter : aNode.membership.voters) {
    if (voter == aNode.self) {
      durable.push_back(aNode.durableIndex);
    } else {
      const auto found = aNode.progress.find(voter);
      durable.push_back(found == aNode.progress.end() ? 0
                                                      : found->second.match);
    }
  }
  if (durable.empty()) {
    return;
  }
  std::sort(durable.begin(), durable.end(), std::greater<>());
  const LogIndex index = durable[durable.size() / 2];
  if (index <= aNode.commitIndex ||
      TermAt(aNode, index) != aNode.hardState.term) {
    return;
  }
  aNode.commitIndex = index;
  ApplyCommitted(aNode, aActions);
  // Sends the new commit index to the followers immediately instead of with the
  // next heartbeat.
  ReplicateToAll(aNode, aNow, aActions);
  const bool removed = aNode.commitIndex >= aNode.membershipIndex &&
                       !IsVoter(aNode.membership, aNode.self);
  if (removed) {
    BecomeFollower(aNode, aNode.hardState.term, ReplicaId{}, aNow, aActions);
  }
}

}  // namespace bramleypath::consensus::detail
