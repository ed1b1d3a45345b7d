#include "bramleypath/consensus/internal/LeadershipTransfer.h"

#include "bramleypath/consensus/internal/Election.h"
#include "bramleypath/consensus/internal/Log.h"
#include "bramleypath/consensus/internal/Replication.h"

namespace bramleypath::consensus::detail {

namespace {

// The reachable voter with the highest match index; empty when there is none.
ReplicaId MostCaughtUpVoter(const Node& aNode, TimePoint aNow) {
  ReplicaId best;
  LogIndex bestMatch = 0;
  for (const auto& [replica, progress] : aNode.progress) {
    if (IsVoter(aNode.membership, replica) &&
        IsReachable(aNode, replica, aNow) &&
        (best.empty() || progress.match > bestMatch)) {
      best = replica;
      bestMatch = progress.match;
    }
  }
  return best;
}

}  // namespace

void OnTransferLeadership(Node& aNode, const TransferLeadership& aEvent,
                          TimePoint aNow, Actions& aActions) {
  if (aNode.role != Role::Leader || aNode.transferDeadline) {
    return;
  }
  const ReplicaId to =
      aEvent.to.empty() ? MostCaughtUpVoter(aNode, aNow) : aEvent.to;
  if (to == aNode.self || aNode.progress.count(to) == 0 ||
      !IsVoter(aNode.membership, to) || !IsReachable(aNode, to, aNow)) {
    return;
  }
  aNode.transferTo = to;
  aNode.transferSent = false;
  aNode.transferDeadline = aNow + aNode.settings.electionMax;
  SendTransferRequestIfReady(aNode, aActions);
  if (!aNode.transferSent) {
    Replicate(aNode, to, aNow, aActions);
  }
}

void SendTransferRequestIfReady(Node& aNode, Actions& aActions) {
  if (!aNode.transferDeadline || aNode.transferSent) {
    return;
  }
  const auto found = aNode.progress.find(aNode.transferTo);
  if (found == aNode.progress.end() || found->second.match < LastIndex(aNode)) {
    return;
  }
  aNode.transferSent = true;
  aActions.push_back(SendMessage{Message{
      aNode.self, aNode.transferTo, aNode.hardState.term, TransferRequest{}}});
}

void OnTransferRequest(Node& aNode, const Message& aMessage, TimePoint aNow,
                       Actions& aActions) {
  if (aNode.role != Role::Follower || aMessage.from != aNode.leader ||
      !IsVoter(aNode.membership, aNode.self)) {
    return;
  }
  StartElection(aNode, true, aNow, aActions);
}

}  // namespace bramleypath::consensus::detail
