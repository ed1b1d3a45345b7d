#pragma once

#include "bramleypath/membership/Members.h"

namespace bramleypath::membership::detail {

// Replaces the list of configured entry hosts. Hosts that remain in the list
// keep their state.
void ConfigureHosts(Members& aMembers, const std::vector<HostInfo>& aHosts,
                    TimePoint aNow);

// Records the arrival of a message of the peer. Returns its delay relative to
// the fastest message of the session, or nothing if the message belongs to an
// old session and must be dropped.
std::optional<Duration> RecordMessage(Members& aMembers, PeerEntry& aPeer,
                                      const GossipMessage& aMessage,
                                      TimePoint aNow);

// Updates which hosts are live and reports the changes.
void UpdateLiveHosts(Members& aMembers, TimePoint aNow, Actions& aActions);

bool IsLocal(const Members& aMembers, const PeerEntry& aPeer);

// The live hosts of a data centre that accept forwarded calls.
std::vector<HostId> AcceptingHosts(const Members& aMembers,
                                   const DataCentreId& aDataCentre);

}  // namespace bramleypath::membership::detail
