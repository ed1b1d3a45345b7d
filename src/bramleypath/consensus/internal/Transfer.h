#pragma once

#include "bramleypath/consensus/Node.h"

namespace bramleypath::consensus::detail {

void OnTransferLeadership(Node& aNode, const TransferLeadership& aEvent,
                          TimePoint aNow, Actions& aActions);
// Sends the request once the chosen voter has the whole log.
void ContinueTransfer(Node& aNode, Actions& aActions);
void OnTransferRequest(Node& aNode, const Message& aMessage, TimePoint aNow,
                       Actions& aActions);

}  // namespace bramleypath::consensus::detail
