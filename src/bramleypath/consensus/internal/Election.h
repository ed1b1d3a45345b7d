#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

void ResetElectionTimer(Node& aNode, TimePoint aNow);
// Adopts a higher term (or loses leadership in the same one) as a follower.
void BecomeFollower(Node& aNode, Term aTerm, const ReplicaId& aLeader,
                    TimePoint aNow, Actions& aActions);
void StartPreVote(Node& aNode, TimePoint aNow, Actions& aActions);
void StartElection(Node& aNode, bool aByTransfer, TimePoint aNow,
                   Actions& aActions);
void OnVoteRequest(Node& aNode, const Message& aMessage,
                   const VoteRequest& aRequest, TimePoint aNow,
                   Actions& aActions);
void OnVoteReply(Node& aNode, const Message& aMessage, const VoteReply& aReply,
                 TimePoint aNow, Actions& aActions);
bool IsQuorum(const Node& aNode, std::size_t aVoters);

}  // namespace bramleypath::consensus::detail
