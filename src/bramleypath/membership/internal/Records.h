#pragma once

#include <cstdint>
#include <string>

#include "bramleypath/membership/Members.h"

namespace bramleypath::membership::detail {

// How a record was received. Direct ones, received from the target itself, are
// gossiped to the peers.
enum class RecordSource { Direct, Gossip };

// Adds or renews the record of a target. aReceivedAt is the time on this host's
// clock at which an entry host received the announcement.
void ApplyTarget(Members& aMembers, const TargetRecord& aRecord,
                 TimePoint aReceivedAt, RecordSource aSource, TimePoint aNow,
                 Actions& aActions);

// Marks the target as leaving. Returns true if the departure was unknown so
// far. aLeftAt is the time of the departure on this host's clock.
bool ApplyTargetDeparture(Members& aMembers, const TargetId& aTarget,
                          Incarnation aIncarnation, bool aDrain,
                          TimePoint aLeftAt, TimePoint aNow, Actions& aActions);

// Removes expired targets, and departures whose forgetAt has passed.
void ExpireRecords(Members& aMembers, TimePoint aNow, Actions& aActions);

bool IsDeparted(const Members& aMembers, const TargetEntry& aEntry);

}  // namespace bramleypath::membership::detail
