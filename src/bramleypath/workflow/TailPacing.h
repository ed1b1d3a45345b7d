#pragma once

#include <cstdint>
#include <vector>

#include <gsl/span>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::workflow {

// A filler, as input to PaceFillers.
struct PacedFiller {
  std::uint32_t percent = 100;  // pace
  // What it adds at full pace to the tail level of each serving task on the
  // worker, in the order of aServing below.
  std::vector<double> added;
  // The most that it may plausibly add, in the same order; empty if nothing is
  // known about it.
  std::vector<double> plausible = {};
};

// A serving task, as input to PaceFillers.
struct ServingLevel {
  double level = 0;  // tail level; see TailModel
  // How long the tail has been at or over the target. Reports are rounded to
  // whole milliseconds, so that a tail equal to the target may be over it.
  Duration overTargetFor;
  // Of the newest report, which the level smooths.
  double newestLevel = 0;
};

// Whether a serving task has been over its target for so long that all fillers
// of its worker must stop.
bool MustStopFillers(gsl::span<const ServingLevel> aServing);

// Computes the new pace of each filler on a worker, in percent, so that serving
// tasks meet their targets when the load shifts.
//
// If the level of a serving task is too high, the fillers that add most to it
// are slowed at once. If the task stays over its target nevertheless, all
// fillers are stopped. A filler returns to full pace in steps, as far as the
// levels of all serving tasks allow.
//
// A serving task may be over its target by its own load alone. Fillers that
// together can't plausibly explain its excess keep their pace until all fillers
// are stopped.
std::vector<std::uint32_t> PaceFillers(gsl::span<const PacedFiller> aFillers,
                                       gsl::span<const ServingLevel> aServing);

}  // namespace bramleypath::workflow
