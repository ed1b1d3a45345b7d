#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

void BecomeLeader(Node& aNode, TimePoint aNow, Actions& aActions);
// Sends the next entries or the next snapshot chunk that the replica lacks, or
// a heartbeat if it lacks nothing.
void Replicate(Node& aNode, const ReplicaId& aTo, TimePoint aNow,
               Actions& aActions);
// Calls Replicate for every other member. A member whose snapshot chunk is not
// yet due to be sent again gets a heartbeat only.
void ReplicateToAll(Node& aNode, TimePoint aNow, Actions& aActions);
void OnAppendRequest(Node& aNode, const Message& aMessage,
                     const AppendRequest& aRequest, TimePoint aNow,
                     Actions& aActions);
void OnAppendReply(Node& aNode, const Message& aMessage,
                   const AppendReply& aReply, TimePoint aNow,
                   Actions& aActions);
// Advances the commit index to the last entry of the current term that is
// durable on a quorum of voters.
void AdvanceCommit(Node& aNode, TimePoint aNow, Actions& aActions);
// Records that a message from the leader of the current term arrived: restarts
// the election timeout and the time during which no vote is granted.
void RecordLeaderContact(Node& aNode, const ReplicaId& aLeader, TimePoint aNow);
// Adds and removes progress entries so that they match the membership.
void SyncProgressWithMembership(Node& aNode);

}  // namespace bramleypath::consensus::detail
