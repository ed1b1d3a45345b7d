#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

void BecomeLeader(Node& aNode, TimePoint aNow, Actions& aActions);
// Sends what the replica lacks: entries, a snapshot chunk, or a heartbeat.
void Replicate(Node& aNode, const ReplicaId& aTo, TimePoint aNow,
               Actions& aActions);
// To every other member that is not waiting for an answer.
void ReplicateToAll(Node& aNode, TimePoint aNow, Actions& aActions);
void OnAppendRequest(Node& aNode, const Message& aMessage,
                     const AppendRequest& aRequest, TimePoint aNow,
                     Actions& aActions);
void OnAppendReply(Node& aNode, const Message& aMessage,
                   const AppendReply& aReply, TimePoint aNow,
                   Actions& aActions);
// Advances the commit index to what a quorum of voters holds durably.
void AdvanceCommit(Node& aNode, TimePoint aNow, Actions& aActions);
// Notes that a leader of the current term is alive.
void HearLeader(Node& aNode, const ReplicaId& aLeader, TimePoint aNow);
void SyncProgressWithMembership(Node& aNode);

}  // namespace bramleypath::consensus::detail
