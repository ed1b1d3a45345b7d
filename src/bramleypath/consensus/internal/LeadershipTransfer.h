#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

// Starts to hand leadership over; ignored unless the target is a reachable
// voter.
void OnTransferLeadership(Node& aNode, const TransferLeadership& aEvent,
                          TimePoint aNow, Actions& aActions);
// Sends the transfer request if leadership is being handed over and the chosen
// voter holds the whole log.
void SendTransferRequestIfReady(Node& aNode, Actions& aActions);
void OnTransferRequest(Node& aNode, const Message& aMessage, TimePoint aNow,
                       Actions& aActions);

}  // namespace bramleypath::consensus::detail
