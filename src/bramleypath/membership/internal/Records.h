#pragma once

#include <cstdint>
#include <string>

#include "bramleypath/membership/Members.h"

namespace bramleypath::membership::detail {

// Where a record came from. Direct ones are passed on to the peers.
enum class Source { Direct, Gossip };

// aHeardAt: when an entry host received the announcement, on this host's clock.
void ApplyTarget(Members& aMembers, const TargetRecord& aRecord,
                 TimePoint aHeardAt, Source aSource, TimePoint aNow,
                 Actions& aActions);

// True when this was news; aLeftAt as aHeardAt.
bool ApplyTargetDeparture(Members& aMembers, const TargetId& aTarget,
                          Incarnation aIncarnation, bool aDrain,
                          TimePoint aLeftAt, TimePoint aNow, Actions& aActions);

// Removes what has expired and departures that may be forgotten.
void ExpireRecords(Members& aMembers, TimePoint aNow, Actions& aActions);

bool IsDeparted(const Members& aMembers, const TargetEntry& aEntry);

}  // namespace bramleypath::membership::detail
