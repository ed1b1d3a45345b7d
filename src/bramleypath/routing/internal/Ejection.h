#pragma once

#include "bramleypath/routing/Router.h"

namespace bramleypath::routing::detail {

// What an attempt tells about the health of its target.
enum class Health {
  Good,
  Failed,       // refused, lost, truncated or an error status
  Unreachable,  // no connection; the target is ejected at once
  Unknown       // no connection, for which this entry host may be the cause
};

struct HealthSample {
  Health health = Health::Good;
  Duration latency;
  // The request did not run. The next probe may then use a call that is not
  // idempotent.
  bool notRun = false;
};

// Records how an attempt ended; may eject or readmit the target.
void RecordHealth(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                  const HealthSample& aSample, TimePoint aNow,
                  Actions& aActions);

// Handles the target's timer: offers an ejected target for a probe, or returns
// a paced one to the free list.
void OnTargetTimer(Router& aRouter, TargetIndex aIndex, TimePoint aNow);

// Removes an ejected target that may be probed with this call from the list of
// due probes and returns it; nothing if there is none.
std::optional<TargetIndex> ClaimProbeTarget(Router& aRouter,
                                            ServiceIndex aService,
                                            const Call& aCall);

}  // namespace bramleypath::routing::detail
