#include "bramleypath/consensus/Node.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "bramleypath/consensus/internal/Election.h"
#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/Replication.h"
#include "bramleypath/consensus/internal/SnapshotTransfer.h"
#include "bramleypath/consensus/internal/LeadershipTransfer.h"

namespace bramleypath::consensus {

namespace {

bool DiffersByOneVoter(const Membership& aOld, const Membership& aNew) {
  std::size_t changes = 0;
  for (const ReplicaId& voter : aNew.voters) {
    changes += IsVoter(aOld, voter) ? 0 : 1;
  }
  for (const ReplicaId& voter : aOld.voters) {
    changes += IsVoter(aNew, voter) ? 0 : 1;
  }
  return changes <= 1;
}

bool IsWellFormed(const Membership& aMembership) {
  std::set<ReplicaId> seen;
  for (const auto* list : {&aMembership.voters, &aMembership.learners}) {
    for (const ReplicaId& replica : *list) {
      // A replica that is listed twice would count twice in a quorum.
      if (replica.empty() || !seen.insert(replica).second) {
        return false;
      }
    }
  }
  return !aMembership.voters.empty();
}

// A new voter must hold every committed entry before it counts towards a
// quorum. Otherwise the loss of another voter could leave a quorum in which no
// replica has all committed entries.
bool NewVotersAreCaughtUp(const Node& aNode, const Membership& aNew) {
  for (const ReplicaId& voter : aNew.voters) {
    if (IsVoter(aNode.membership, voter) || voter == aNode.self) {
      continue;
    }
    const auto found = aNode.progress.find(voter);
    if (found == aNode.progress.end() ||
        found->second.match < aNode.commitIndex) {
      return false;
    }
  }
  return true;
}

// The newest send time up to which a quorum of voters has answered the leader's
// messages; nullopt while fewer voters have answered.
std::optional<TimePoint> QuorumAckedAt(const Node& aNode, TimePoint aNow) {
  std::vector<TimePoint> acked;
  for (const ReplicaId& voter : aNode.membership.voters) {
    if (voter == aNode.self) {
      acked.push_back(aNow);
      continue;
    }
    const auto found = aNode.progress.find(voter);
    if (found != aNode.progress.end() && found->second.ackedSentAt) {
      acked.push_back(*found->second.ackedSentAt);
    }
  }
  const std::size_t quorum = aNode.membership.voters.size() / 2 + 1;
  if (acked.size() < quorum) {
    return std::nullopt;
  }
  std::sort(acked.begin(), acked.end(), std::greater<>());
  return acked[quorum - 1];
}

bool HasLostQuorum(const Node& aNode, TimePoint aNow) {
  const auto acked = QuorumAckedAt(aNode, aNow);
  const TimePoint since =
      acked && *acked > aNode.leaderSince ? *acked : aNode.leaderSince;
  return aNow >= since + aNode.settings.quorumTimeout;
}

bool HasCommittedOwnTerm(const Node& aNode) {
  return TermAt(aNode, aNode.commitIndex) == aNode.hardState.term;
}

void Refuse(const Node& aNode, ProposalToken aToken, ProposalError aError,
            Actions& aActions) {
  ProposalRefused refused;
  refused.token = aToken;
  refused.error = aError;
  if (aNode.leader != aNode.self) {
    refused.leaderHint = aNode.leader;
  }
  aActions.push_back(std::move(refused));
}

void AppendProposal(Node& aNode, ProposalToken aToken, LogEntry aEntry,
                    Actions& aActions) {
  aEntry.index = LastIndex(aNode) + 1;
  aEntry.term = aNode.hardState.term;
  aActions.push_back(ProposalAccepted{aToken, aEntry.index, aEntry.term});
  detail::AppendLocal(aNode, std::move(aEntry), aActions);
}

// Sends the entries after aIndex to the replicas that have been sent everything
// up to it. Replicas that lag, or receive a snapshot, get them later, when the
// reply to the message in flight arrives.
void ReplicateAfter(Node& aNode, LogIndex aIndex, TimePoint aNow,
                    Actions& aActions) {
  for (auto& [replica, progress] : aNode.progress) {
    if (progress.next == aIndex + 1 && !progress.sendingSnapshot) {
      detail::Replicate(aNode, replica, aNow, aActions);
    }
  }
}

void OnPropose(Node& aNode, const std::vector<Propose>& aProposals,
               TimePoint aNow, Actions& aActions) {
  if (aNode.role != Role::Leader || aNode.transferDeadline) {
    for (const Propose& proposal : aProposals) {
      Refuse(aNode, proposal.token, ProposalError::NotLeader, aActions);
    }
    return;
  }
  const LogIndex last = LastIndex(aNode);
  for (const Propose& proposal : aProposals) {
    LogEntry entry;
    entry.payload = proposal.payload;
    AppendProposal(aNode, proposal.token, std::move(entry), aActions);
  }
  ReplicateAfter(aNode, last, aNow, aActions);
}

void OnProposeMembership(Node& aNode, const ProposeMembership& aEvent,
                         TimePoint aNow, Actions& aActions) {
  if (aNode.role != Role::Leader || aNode.transferDeadline) {
    Refuse(aNode, aEvent.token, ProposalError::NotLeader, aActions);
    return;
  }
  // A change before the first commit of the leader's term could form a quorum
  // that doesn't overlap with that of a change by an earlier leader.
  if (aNode.membershipIndex > aNode.commitIndex ||
      !HasCommittedOwnTerm(aNode)) {
    Refuse(aNode, aEvent.token, ProposalError::ChangeInProgress, aActions);
    return;
  }
  if (!IsWellFormed(aEvent.membership) ||
      !DiffersByOneVoter(aNode.membership, aEvent.membership)) {
    Refuse(aNode, aEvent.token, ProposalError::InvalidMembership, aActions);
    return;
  }
  if (!NewVotersAreCaughtUp(aNode, aEvent.membership)) {
    Refuse(aNode, aEvent.token, ProposalError::NotCaughtUp, aActions);
    return;
  }
  LogEntry entry;
  entry.kind = EntryKind::MembershipChange;
  entry.membership = aEvent.membership;
  const LogIndex last = LastIndex(aNode);
  AppendProposal(aNode, aEvent.token, std::move(entry), aActions);
  detail::SyncProgressWithMembership(aNode);
  ReplicateAfter(aNode, last, aNow, aActions);
}

void OnTick(Node& aNode, TimePoint aNow, Actions& aActions) {
  if (aNode.role == Role::Leader) {
    const bool transferFailed =
        aNode.transferDeadline && aNow >= *aNode.transferDeadline;
    if (transferFailed || HasLostQuorum(aNode, aNow)) {
      // The lease must not return after a failed transfer: the transfer request
      // may still arrive, and voters may then elect another leader at any time.
      detail::BecomeFollower(aNode, aNode.hardState.term, ReplicaId{}, aNow,
                             aActions);
      return;
    }
    if (aNow >= aNode.heartbeatAt) {
      detail::ReplicateToAll(aNode, aNow, aActions);
    }
    return;
  }
  if (aNow >= aNode.electionAt) {
    detail::StartPreVote(aNode, aNow, aActions);
  }
}

// Sends the deferred messages whose writes are durable, except those of an
// earlier term. A candidate's vote for itself is counted instead of sent.
void SendDeferred(Node& aNode, TimePoint aNow, Actions& aActions) {
  std::vector<DeferredMessage> ready;
  auto& deferred = aNode.deferred;
  const auto firstWaiting = std::stable_partition(
      deferred.begin(), deferred.end(),
      [&](const auto& aHeld) { return aHeld.ticket <= aNode.syncedTicket; });
  ready.assign(std::make_move_iterator(deferred.begin()),
               std::make_move_iterator(firstWaiting));
  deferred.erase(deferred.begin(), firstWaiting);
  for (DeferredMessage& one : ready) {
    if (one.message.term < aNode.hardState.term) {
      continue;
    }
    if (one.message.to == aNode.self) {
      detail::OnVoteReply(aNode, one.message,
                          std::get<VoteReply>(one.message.body), aNow,
                          aActions);
    } else {
      aActions.push_back(SendMessage{std::move(one.message)});
    }
  }
}

void OnStorageSynced(Node& aNode, const StorageSynced& aEvent, TimePoint aNow,
                     Actions& aActions) {
  aNode.syncedTicket = std::max(aNode.syncedTicket, aEvent.ticket);
  auto& waiting = aNode.unsyncedEntries;
  while (!waiting.empty() && waiting.front().first <= aNode.syncedTicket) {
    aNode.durableIndex = std::max(aNode.durableIndex, waiting.front().second);
    waiting.erase(waiting.begin());
  }
  SendDeferred(aNode, aNow, aActions);
  if (aNode.role == Role::Leader) {
    detail::AdvanceCommit(aNode, aNow, aActions);
  }
}

void OnMessage(Node& aNode, const Message& aMessage, TimePoint aNow,
               Actions& aActions) {
  if (aMessage.to != aNode.self) {
    return;
  }
  if (const auto* request = std::get_if<VoteRequest>(&aMessage.body)) {
    detail::OnVoteRequest(aNode, aMessage, *request, aNow, aActions);
    return;
  }
  const auto* vote = std::get_if<VoteReply>(&aMessage.body);
  const bool grantedPreVote = vote != nullptr && vote->preVote && vote->granted;
  if (aMessage.term > aNode.hardState.term && !grantedPreVote) {
    detail::BecomeFollower(aNode, aMessage.term, ReplicaId{}, aNow, aActions);
  }
  if (aMessage.term < aNode.hardState.term) {
    // The reply tells a deposed leader the current term, so that it steps down.
    if (std::holds_alternative<AppendRequest>(aMessage.body) ||
        std::holds_alternative<SnapshotChunk>(aMessage.body)) {
      // The reply echoes no send time, because it must not extend the lease
      // that the same replica may hold in a later term.
      AppendReply reply;
      aNode.deferred.push_back(DeferredMessage{
          aNode.lastTicket,
          Message{aNode.self, aMessage.from, aNode.hardState.term, reply}});
    }
    return;
  }
  const bool fromLeader =
      std::holds_alternative<AppendRequest>(aMessage.body) ||
      std::holds_alternative<SnapshotChunk>(aMessage.body);
  if (fromLeader && aNode.role != Role::Follower) {
    detail::BecomeFollower(aNode, aMessage.term, aMessage.from, aNow, aActions);
  }
  if (vote != nullptr) {
    detail::OnVoteReply(aNode, aMessage, *vote, aNow, aActions);
  } else if (const auto* append = std::get_if<AppendRequest>(&aMessage.body)) {
    detail::OnAppendRequest(aNode, aMessage, *append, aNow, aActions);
  } else if (const auto* reply = std::get_if<AppendReply>(&aMessage.body)) {
    detail::OnAppendReply(aNode, aMessage, *reply, aNow, aActions);
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&aMessage.body)) {
    detail::OnSnapshotChunk(aNode, aMessage, *chunk, aNow, aActions);
  } else if (const auto* done = std::get_if<SnapshotReply>(&aMessage.body)) {
    detail::OnSnapshotReply(aNode, aMessage, *done, aNow, aActions);
  } else if (std::holds_alternative<TransferRequest>(aMessage.body)) {
    detail::OnTransferRequest(aNode, aMessage, aNow, aActions);
  }
}

}  // namespace

Node MakeNode(const ReplicaId& aSelf, const Settings& aSettings,
              const Membership& aInitial, RestoredState aRestored,
              std::uint64_t aSeed, TimePoint aNow) {
  Node node;
  node.settings = aSettings;
  node.self = aSelf;
  node.random.state = aSeed;
  node.hardState = aRestored.hardState;
  node.baseMembership = aInitial;
  if (aRestored.snapshot) {
    node.snapshot =
        std::make_shared<const Snapshot>(std::move(*aRestored.snapshot));
    node.baseIndex = node.snapshot->index;
    node.baseTerm = node.snapshot->term;
    node.baseMembership = node.snapshot->membership;
    node.commitIndex = node.snapshot->index;
    node.appliedIndex = node.snapshot->index;
  }
  for (LogEntry& entry : aRestored.entries) {
    if (entry.index > node.baseIndex) {
      node.log.push_back(std::move(entry));
    }
  }
  node.durableIndex = LastIndex(node);
  detail::RefreshMembership(node);
  // The replica may have received a message from a leader shortly before the
  // restart. This is not stored, and the leader's lease may still be valid.
  node.noVoteBefore = aNow + aSettings.electionMin;
  detail::ResetElectionTimer(node, aNow);
  return node;
}

std::shared_ptr<const Snapshot> RestoredSnapshot(const Node& aNode) {
  return aNode.snapshot;
}

Actions Step(Node& aNode, const Event& aEvent, TimePoint aNow) {
  Actions actions;
  if (const auto* received = std::get_if<MessageReceived>(&aEvent)) {
    OnMessage(aNode, received->message, aNow, actions);
  } else if (std::holds_alternative<Tick>(aEvent)) {
    OnTick(aNode, aNow, actions);
  } else if (const auto* propose = std::get_if<Propose>(&aEvent)) {
    OnPropose(aNode, {*propose}, aNow, actions);
  } else if (const auto* batch = std::get_if<ProposeBatch>(&aEvent)) {
    OnPropose(aNode, batch->proposals, aNow, actions);
  } else if (const auto* change = std::get_if<ProposeMembership>(&aEvent)) {
    OnProposeMembership(aNode, *change, aNow, actions);
  } else if (const auto* transfer = std::get_if<TransferLeadership>(&aEvent)) {
    detail::OnTransferLeadership(aNode, *transfer, aNow, actions);
  } else if (const auto* synced = std::get_if<StorageSynced>(&aEvent)) {
    OnStorageSynced(aNode, *synced, aNow, actions);
  } else if (const auto* taken = std::get_if<SnapshotTaken>(&aEvent)) {
    detail::OnSnapshotTaken(aNode, *taken, actions);
  }
  if (!aNode.deferred.empty()) {
    SendDeferred(aNode, aNow, actions);
  }
  return actions;
}

bool HasLease(const Node& aNode, TimePoint aNow) {
  if (aNode.role != Role::Leader || aNode.transferDeadline ||
      !HasCommittedOwnTerm(aNode)) {
    return false;
  }
  const auto acked = QuorumAckedAt(aNode, aNow);
  return acked && aNow < *acked + aNode.settings.leaderLease;
}

bool IsReachable(const Node& aNode, const ReplicaId& aReplica, TimePoint aNow) {
  const auto found = aNode.progress.find(aReplica);
  return found != aNode.progress.end() && found->second.ackedSentAt &&
         aNow < *found->second.ackedSentAt + aNode.settings.electionMin;
}

}  // namespace bramleypath::consensus
