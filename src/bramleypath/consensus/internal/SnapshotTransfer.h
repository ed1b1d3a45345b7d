#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

// Sends the next chunk of the snapshot in transfer, or begins to send the
// newest snapshot. Does nothing when there is none.
void SendSnapshotChunk(Node& aNode, const ReplicaId& aTo, TimePoint aNow,
                       Actions& aActions);
void OnSnapshotChunk(Node& aNode, const Message& aMessage,
                     const SnapshotChunk& aChunk, TimePoint aNow,
                     Actions& aActions);
void OnSnapshotReply(Node& aNode, const Message& aMessage,
                     const SnapshotReply& aReply, TimePoint aNow,
                     Actions& aActions);
void OnSnapshotTaken(Node& aNode, const SnapshotTaken& aTaken,
                     Actions& aActions);

}  // namespace bramleypath::consensus::detail
