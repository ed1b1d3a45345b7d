#pragma once

#include "bramleypath/membership/Members.h"

namespace bramleypath::membership::detail {

// Sends what was heard since the last round, with this host's loads.
void SendRound(Members& aMembers, TimePoint aNow, Actions& aActions);

// Tells the local peers at once.
void SpreadDeparture(Members& aMembers, const Departure& aDeparture,
                     TimePoint aNow, Actions& aActions);

void SendDigests(Members& aMembers, TimePoint aNow, Actions& aActions);
void SendSummaries(Members& aMembers, TimePoint aNow, Actions& aActions);

// Asks peers whose record numbers are unknown for their records.
void SendRequests(Members& aMembers, TimePoint aNow, Actions& aActions);

void OnGossip(Members& aMembers, const GossipMessage& aMessage, TimePoint aNow,
              Actions& aActions);

}  // namespace bramleypath::membership::detail
