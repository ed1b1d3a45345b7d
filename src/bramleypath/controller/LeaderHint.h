#pragma once

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::controller {

// Who leads by the word of another host. Needed by a host that is no member
// yet, for which the group has no messages.
struct LeaderHint {
  HostId host;
  TimePoint until;
};

// Answers a leader that has lost its disk: the others still name it, and it
// would announce itself to itself for as long as it answers itself. A host
// knows without a hint whether it leads, so that one that names aSelf is
// dropped.
void TakeHint(LeaderHint& aHint, const HostId& aSelf, const HostId& aNamed,
              TimePoint aNow);
// Empty when nothing was heard lately.
HostId HintedLeader(const LeaderHint& aHint, TimePoint aNow);

}  // namespace bramleypath::controller
