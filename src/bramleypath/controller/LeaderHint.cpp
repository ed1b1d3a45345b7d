#include "bramleypath/controller/LeaderHint.h"

namespace bramleypath::controller {

namespace {

constexpr Duration kHintLife = Seconds(2);

}  // namespace

void TakeHint(LeaderHint& aHint, const HostId& aSelf, const HostId& aNamed,
              TimePoint aNow) {
  if (aNamed.empty() || aNamed == aSelf) {
    return;
  }
  aHint.host = aNamed;
  aHint.until = aNow + kHintLife;
}

HostId HintedLeader(const LeaderHint& aHint, TimePoint aNow) {
  return aNow < aHint.until ? aHint.host : HostId();
}

}  // namespace bramleypath::controller
