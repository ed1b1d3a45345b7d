#pragma once

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::controller {

// The leader's host as another host named it. A host that is not a member of
// the group yet gets no Raft messages and learns the leader in this way.
struct LeaderHint {
  HostId host;
  TimePoint until;
};

// Stores the named leader until the hint expires; an empty name and this host's
// own name are ignored. A host knows without a hint whether it leads. If it
// accepted its own name after losing its disk, while the others still name it
// as the leader, it would keep sending its announcements to itself and never
// reach the new leader.
void UpdateLeaderHint(LeaderHint& aHint, const HostId& aSelf,
                      const HostId& aNamedLeader, TimePoint aNow);
// The leader of the last hint; empty when the hint is older than 2 s.
HostId HintedLeader(const LeaderHint& aHint, TimePoint aNow);

}  // namespace bramleypath::controller
