#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <gsl/span>

#include "bramleypath/base/Resources.h"

namespace bramleypath::workflow {

// One worker as a possible place for a task.
struct HostView {
  Resources capacity;
  // Capacity less the reservations of attempts that may be running.
  Resources available;
  // Unreachable, draining, in a drained data centre, at the stage's limit, or
  // without a label that the stage requires.
  bool excluded = false;
  // Has refused, not answered or failed lately. Chosen only for a long-running
  // task that fits on no other worker.
  bool avoided = false;
  bool isDataRack = true;
  // In the rack of the stage's other tasks, if they must share one.
  bool isStageRack = true;
  std::uint32_t recentFailures = 0;
  // Speed of its tasks relative to their expected run times; below 1 is slow.
  double speed = 1;
  // How much the task and the other tasks of the worker would slow each other
  // down, as a tail level; see PredictAddedLevel.
  double interference = 0;
};

struct TaskView {
  Resources demand;  // includes the processors that a filler uses
  bool filler = false;
  bool longRunning = false;
  double farFactor = 1;  // run time in another rack, as a factor
};

// The index of the worker with the lowest cost, or none if the task fits on
// none. Workers that are slow, failed recently, are in another rack or would
// suffer from interference cost more, and are chosen only when the others are
// full.
std::optional<std::size_t> ChooseHost(gsl::span<const HostView> aHosts,
                                      const TaskView& aTask);

}  // namespace bramleypath::workflow
