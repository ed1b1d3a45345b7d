#include "bramleypath/consensus/internal/Election.h"

#include <utility>

#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/Replication.h"

namespace bramleypath::consensus::detail {

namespace {

void SendVoteRequests(Node& aNode, bool aPreVote, Term aTerm,
                      Actions& aActions) {
  VoteRequest request;
  request.preVote = aPreVote;
  request.transfer = aNode.electionByTransfer;
  request.lastIndex = LastIndex(aNode);
  request.lastTerm = LastTerm(aNode);
  for (const ReplicaId& voter : aNode.membership.voters) {
    if (voter == aNode.self) {
      continue;
    }
    Message message{aNode.self, voter, aTerm, request};
    if (aPreVote) {
      aActions.push_back(SendMessage{std::move(message)});
    } else {
      // The candidate's vote for itself must be durable before it requests the
      // votes of others.
      aNode.deferred.push_back(
          DeferredMessage{aNode.lastTicket, std::move(message)});
    }
  }
}

bool IsUpToDate(const Node& aNode, const VoteRequest& aRequest) {
  const Term lastTerm = LastTerm(aNode);
  return aRequest.lastTerm > lastTerm ||
         (aRequest.lastTerm == lastTerm &&
          aRequest.lastIndex >= LastIndex(aNode));
}

}  // namespace

bool IsQuorum(const Node& aNode, std::size_t aVoters) {
  return aVoters * 2 > aNode.membership.voters.size();
}

void ResetElectionTimer(Node& aNode, TimePoint aNow) {
  const std::int64_t spread =
      (aNode.settings.electionMax.micros - aNode.settings.electionMin.micros);
  const auto extra = static_cast<std::int64_t>(
      NextBelow(aNode.random, static_cast<std::uint64_t>(spread)));
  aNode.electionAt = aNow + aNode.settings.electionMin + Micros(extra);
}

void BecomeFollower(Node& aNode, Term aTerm, const ReplicaId& aLeader,
                    TimePoint aNow, Actions& aActions) {
  if (aNode.role == Role::Leader) {
    aActions.push_back(LostLeadership{aNode.hardState.term});
    ResetElectionTimer(aNode, aNow);
  }
  if (aTerm > aNode.hardState.term) {
    aNode.hardState = HardState{aTerm, ReplicaId{}};
    WriteHardState(aNode, aActions);
  }
  aNode.role = Role::Follower;
  aNode.leader = aLeader;
  aNode.votes.clear();
  aNode.progress.clear();
  aNode.transferDeadline.reset();
}

void StartPreVote(Node& aNode, TimePoint aNow, Actions& aActions) {
  ResetElectionTimer(aNode, aNow);
  if (!IsVoter(aNode.membership, aNode.self)) {
    return;
  }
  aNode.role = Role::PreCandidate;
  aNode.leader = ReplicaId{};
  aNode.electionByTransfer = false;
  aNode.votes = {aNode.self};
  if (IsQuorum(aNode, aNode.votes.size())) {
    StartElection(aNode, false, aNow, aActions);
    return;
  }
  SendVoteRequests(aNode, true, aNode.hardState.term + 1, aActions);
}

void StartElection(Node& aNode, bool aByTransfer, TimePoint aNow,
                   Actions& aActions) {
  ResetElectionTimer(aNode, aNow);
  aNode.role = Role::Candidate;
  aNode.leader = ReplicaId{};
  aNode.electionByTransfer = aByTransfer;
  aNode.hardState = HardState{aNode.hardState.term + 1, aNode.self};
  aNode.votes.clear();
  WriteHardState(aNode, aActions);
  SendVoteRequests(aNode, false, aNode.hardState.term, aActions);
  // The candidate's vote for itself is a deferred message to itself, so that it
  // counts only once it is durable, like the votes of others.
  VoteReply own;
  own.granted = true;
  aNode.deferred.push_back(DeferredMessage{
      aNode.lastTicket,
      Message{aNode.self, aNode.self, aNode.hardState.term, own}});
}

void OnVoteRequest(Node& aNode, const Message& aMessage,
                   const VoteRequest& aRequest, TimePoint aNow,
                   Actions& aActions) {
  VoteReply reply;
  reply.preVote = aRequest.preVote;
  const bool leaderMayBeAlive =
      aNode.role == Role::Leader || aNow < aNode.noVoteBefore;
  if (leaderMayBeAlive && !aRequest.transfer) {
    // The request is ignored, including its term: a replica that rejoins after
    // a partition must not depose a leader that still reaches the others.
    return;
  }
  if (aRequest.preVote) {
    reply.granted =
        aMessage.term > aNode.hardState.term && IsUpToDate(aNode, aRequest);
    aActions.push_back(SendMessage{
        Message{aNode.self, aMessage.from,
                reply.granted ? aMessage.term : aNode.hardState.term, reply}});
    return;
  }
  if (aMessage.term > aNode.hardState.term) {
    BecomeFollower(aNode, aMessage.term, ReplicaId{}, aNow, aActions);
  }
  const bool canVote = aNode.hardState.votedFor.empty() ||
                       aNode.hardState.votedFor == aMessage.from;
  reply.granted = aMessage.term == aNode.hardState.term && canVote &&
                  IsUpToDate(aNode, aRequest);
  if (reply.granted) {
    aNode.hardState.votedFor = aMessage.from;
    WriteHardState(aNode, aActions);
    ResetElectionTimer(aNode, aNow);
  }
  aNode.deferred.push_back(DeferredMessage{
      aNode.lastTicket,
      Message{aNode.self, aMessage.from, aNode.hardState.term, reply}});
}

void OnVoteReply(Node& aNode, const Message& aMessage, const VoteReply& aReply,
                 TimePoint aNow, Actions& aActions) {
  const Role expected = aReply.preVote ? Role::PreCandidate : Role::Candidate;
  const Term expectedTerm =
      aReply.preVote ? aNode.hardState.term + 1 : aNode.hardState.term;
  if (aNode.role != expected || !aReply.granted ||
      aMessage.term != expectedTerm ||
      !IsVoter(aNode.membership, aMessage.from)) {
    return;
  }
  aNode.votes.insert(aMessage.from);
  if (!IsQuorum(aNode, aNode.votes.size())) {
    return;
  }
  if (aReply.preVote) {
    StartElection(aNode, false, aNow, aActions);
  } else {
    BecomeLeader(aNode, aNow, aActions);
  }
}

}  // namespace bramleypath::consensus::detail
