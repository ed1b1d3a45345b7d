#include "bramleypath/routing/internal/Timers.h"

#include <algorithm>

namespace bramleypath::routing::detail {

void SetCallTimer(Router& aRouter, CallId aId, Call& aCall) {
  // The grant's expiry matters only while the call waits to be sent; afterwards
  // only the deadline does.
  const TimePoint at =
      aCall.stage == CallStage::Queued
          ? std::min(aCall.request.deadline, aCall.grantValidUntil)
          : aCall.request.deadline;
  ClearCallTimer(aRouter, aId, aCall);
  aCall.timerAt = at;
  aRouter.timers.insert(Timer{at, TimerKind::Call, aId});
}

void ClearCallTimer(Router& aRouter, CallId aId, const Call& aCall) {
  aRouter.timers.erase(Timer{aCall.timerAt, TimerKind::Call, aId});
}

void SetTargetTimer(Router& aRouter, TargetIndex aIndex, TimePoint aAt) {
  TargetState& target = aRouter.targets[aIndex];
  if (target.timerAt == aAt) {
    return;
  }
  aRouter.timers.erase(Timer{target.timerAt, TimerKind::Target, aIndex});
  target.timerAt = aAt;
  if (aAt != kNever) {
    aRouter.timers.insert(Timer{aAt, TimerKind::Target, aIndex});
  }
}

}  // namespace bramleypath::routing::detail
