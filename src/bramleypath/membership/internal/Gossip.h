#pragma once

#include "bramleypath/membership/Members.h"

namespace bramleypath::membership::detail {

// Sends the local peers the announcements received since the last round, and
// this host's loads if they are due.
void SendGossipRound(Members& aMembers, TimePoint aNow, Actions& aActions);

// Sends the departure to the local peers without waiting for the next round.
void BroadcastDeparture(Members& aMembers, const Departure& aDeparture,
                        TimePoint aNow, Actions& aActions);

void SendDigests(Members& aMembers, TimePoint aNow, Actions& aActions);
void SendSummaries(Members& aMembers, TimePoint aNow, Actions& aActions);

// Requests all records from peers that used unknown record numbers.
void SendRecordRequests(Members& aMembers, TimePoint aNow, Actions& aActions);

void OnGossip(Members& aMembers, const GossipMessage& aMessage, TimePoint aNow,
              Actions& aActions);

}  // namespace bramleypath::membership::detail
