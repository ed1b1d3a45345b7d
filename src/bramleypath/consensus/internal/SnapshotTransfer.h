#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

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
