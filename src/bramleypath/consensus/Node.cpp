#include "bramleypath/consensus/Node.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "bramleypath/consensus/internal/Election.h"
#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/Replication.h"
#include "bramleypath/consensus/internal/SnapshotTransfer.h"
#include "bramleypath/consensus/internal/Transfer.h"

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
      // A replica listed twice would count twice in a quorum.
      if (replica.empty() || !seen.insert(replica).second) {
        return false;
      }
    }
  }
  return !aMembership.voters.empty();
}

// A new voter must hold all that is committed before it is counted: else the
// loss of another one could leave a quorum that lacks committed entries.
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

// The send time of the newest message that a quorum has acknowledged.
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

// Replicas that are behind get what follows aIndex with the answer to what is
// under way; the others get it now.
void ReplicateAfter(Node& aNode, LogIndex aIndex, TimePoint aNow,
                    Actions& aActions) {
  for (auto& [replica, progress] : aNode.progress) {
    if (progress.next == aIndex + 1 && !progress.sending) {
      detail::Replicate(aNode, replica, aNow, aActions);
    }
  }
}

void OnPropose(Node& aNode, const std::vector<Propose>& aProposals,
               TimePoint aNow, Actions& aActions) {
  if (aNode.role != Role::Leader || aNode.transferUntil) {
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
  if (aNode.role != Role::Leader || aNode.transferUntil) {
    Refuse(aNode, aEvent.token, ProposalError::NotLeader, aActions);
    return;
  }
  // A change before the first commit of the term could form two quorums that
  // don't overlap.
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
        aNode.transferUntil && aNow >= *aNode.transferUntil;
    if (transferFailed || HasLostQuorum(aNode, aNow)) {
      // After a failed transfer the lease must not come back: the request may
      // still arrive and let voters elect another leader at any time.
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

void ReleaseHeld(Node& aNode, TimePoint aNow, Actions& aActions) {
  std::vector<HeldMessage> ready;
  auto& held = aNode.held;
  const auto firstWaiting = std::stable_partition(
      held.begin(), held.end(),
      [&](const auto& aHeld) { return aHeld.ticket <= aNode.syncedTicket; });
  ready.assign(std::make_move_iterator(held.begin()),
               std::make_move_iterator(firstWaiting));
  held.erase(held.begin(), firstWaiting);
  for (HeldMessage& one : ready) {
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
  ReleaseHeld(aNode, aNow, aActions);
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
    // Tells a deposed leader about the current term.
    if (std::holds_alternative<AppendRequest>(aMessage.body) ||
        std::holds_alternative<SnapshotChunk>(aMessage.body)) {
      // Echoes no send time: it must not count for the lease of a later term.
      AppendReply reply;
      aNode.held.push_back(HeldMessage{
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
  // What was heard of a leader before the restart is forgotten, so its lease
  // may still run.
  node.noVoteBefore = aNow + aSettings.electionMin;
  detail::ResetElectionTimer(node, aNow);
  return node;
}

std::shared_ptr<const Snapshot> StartSnapshot(const Node& aNode) {
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
  if (!aNode.held.empty()) {
    ReleaseHeld(aNode, aNow, actions);
  }
  return actions;
}

bool HasLease(const Node& aNode, TimePoint aNow) {
  if (aNode.role != Role::Leader || aNode.transferUntil ||
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
