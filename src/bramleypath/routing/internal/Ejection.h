#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// How an attempt looked from the point of view of its target's health.
enum class Sign {
  Good,
  Failed,      // refused, lost, truncated or an error status
  Unreachable  // no connection: ejects at once
};

struct Sample {
  Sign sign = Sign::Good;
  Duration latency;
  // The request did not run, so that probing needs no idempotent call.
  bool notRun = false;
};

// Notes how an attempt ended; may eject or re-admit the target.
void NoteHealth(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                const Sample& aSample, TimePoint aNow, Actions& aActions);

// The target's timer is due: an ejected one may be probed, a paced one is free.
void OnTargetTimer(Router& aRouter, TargetIndex aIndex, TimePoint aNow);

// An ejected target that is due for a probe with this call, if any.
std::optional<TargetIndex> TakeProbe(Router& aRouter, ServiceIndex aService,
                                     const Call& aCall);

}  // namespace bramleypath::routing::detail
