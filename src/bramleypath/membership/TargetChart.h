#pragma once

#include "bramleypath/base/StateChart.h"

namespace bramleypath::membership {

// The state chart of a target, with the indices of its states and events.
// Membership and routing both use it; only routing ejects targets.
struct TargetChart {
  Chart chart;
  StateIndex absent = 0;
  StateIndex serving = 0;
  StateIndex ejected = 0;
  StateIndex leaving = 0;
  StateIndex departed = 0;
  EventIndex announce = 0;
  EventIndex leave = 0;
  EventIndex expire = 0;
  EventIndex eject = 0;
  EventIndex probePassed = 0;
  EventIndex drain = 0;
  EventIndex forget = 0;
};

// Loads the compiled-in chart "target".
TargetChart LoadTargetChart();

// Returns the state after the event, or aState if the event is ignored.
StateIndex NextTargetState(const TargetChart& aChart, StateIndex aState,
                           EventIndex aEvent, bool aNewerIncarnation);

}  // namespace bramleypath::membership
