#include "bramleypath/controller/LeaderHint.h"

namespace bramleypath::controller {

namespace {

constexpr Duration kHintLifetime = Seconds(2);

}  // namespace

void UpdateLeaderHint(LeaderHint& aHint, const HostId& aSelf,
                      const HostId& aNamedLeader, TimePoint aNow) {
  if (aNamedLeader.empty() || aNamedLeader == aSelf) {
    return;
  }
  aHint.host = aNamedLeader;
  aHint.until = aNow + kHintLifetime;
}

HostId HintedLeader(const LeaderHint& aHint, TimePoint aNow) {
  return aNow < aHint.until ? aHint.host : HostId();
}

}  // namespace bramleypath::controller
