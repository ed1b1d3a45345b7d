#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

void ResetElectionTimer(Node& aNode, TimePoint aNow);
// Becomes a follower in aTerm, which may be the current one. aLeader is empty
// when the leader of that term is unknown.
void BecomeFollower(Node& aNode, Term aTerm, const ReplicaId& aLeader,
                    TimePoint aNow, Actions& aActions);
// Asks whether an election could be won, without incrementing the term.
void StartPreVote(Node& aNode, TimePoint aNow, Actions& aActions);
void StartElection(Node& aNode, bool aByTransfer, TimePoint aNow,
                   Actions& aActions);
void OnVoteRequest(Node& aNode, const Message& aMessage,
                   const VoteRequest& aRequest, TimePoint aNow,
                   Actions& aActions);
void OnVoteReply(Node& aNode, const Message& aMessage, const VoteReply& aReply,
                 TimePoint aNow, Actions& aActions);
// True when aVoters voters are a majority of the membership.
bool IsQuorum(const Node& aNode, std::size_t aVoters);

}  // namespace bramleypath::consensus::detail
