#pragma once

#include "bramleypath/base/TimePoint.h"

// Decides whether a slowed filler is stopped so that it resumes from its
// checkpoint on another worker.
namespace bramleypath::workflow {

// What a move costs the filler. All three are settings of the deployment.
struct MoveCosts {
  Duration stopLimit;  // longest time that a stop takes
  Duration restore;    // before a task resumes from a checkpoint
  Duration checkpointInterval;
};

struct SlowedFiller {
  double remainingMs = 0;  // of its run time at full pace
  double pacePercent = 0;
};

// Expected time in ms until the filler works again, with half an interval
// between checkpoints that it works through again.
double MoveMs(const MoveCosts& aCosts);

// Whether the filler is expected to end clearly earlier after a move.
//
// Load pattern: the load of many serving tasks rises at once, and the fillers
// beside them are slowed for seconds while other workers have room. A job waits
// for its slowest task, so that one slowed filler makes a wide job late. Where
// stops are slow or checkpoints rare, a short filler loses more by a move than
// by its pace.
bool IsWorthMoving(const SlowedFiller& aFiller, const MoveCosts& aCosts);

}  // namespace bramleypath::workflow
