#pragma once

#include "bramleypath/membership/Members.h"

namespace bramleypath::membership::detail {

// Replaces the configured entry hosts; what is known of those that stay is
// kept.
void ConfigureHosts(Members& aMembers, const std::vector<HostInfo>& aHosts,
                    TimePoint aNow);

// Notes a message of the peer. Returns how late it is compared with the
// quickest one of its session, or nothing when it must be dropped.
std::optional<Duration> NoteMessage(Members& aMembers, PeerEntry& aPeer,
                                    const GossipMessage& aMessage,
                                    TimePoint aNow);

// Finds which hosts are live and reports what changed.
void UpdateHosts(Members& aMembers, TimePoint aNow, Actions& aActions);

bool IsLocal(const Members& aMembers, const PeerEntry& aPeer);

// The live hosts of a data centre that accept forwarded calls.
std::vector<HostId> AcceptingHosts(const Members& aMembers,
                                   const DataCentreId& aDataCentre);

}  // namespace bramleypath::membership::detail
