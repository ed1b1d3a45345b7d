#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/base/Resources.h"
#include "bramleypath/placement/Interference.h"

namespace bramleypath::placement {

// A latency-critical service on a worker.
struct ServiceView {
  ClassIndex classIndex = 0;
  // Share of its slots in use, from the newest report.
  double load = 0;
};

// What the chooser sees of one worker. Workers are numbered by their place in
// the span, racks and members by numbers of the caller.
struct WorkerView {
  Resources capacity;
  // Capacity less all reservations, those of unknown attempts included.
  Resources room;
  std::uint32_t rack = 0;
  // Draining, backed off after failures, or announced too long ago.
  bool excluded = false;
  // A service there is over its tail limit: no more batch work for now.
  bool admissionStopped = false;
  std::vector<ServiceView> services;
  Composition batch;
};

struct TaskRequest {
  Resources demand;
  ClassIndex classIndex = 0;
  bool isService = false;
  // Urgent work accepts a worker that the tail limit would rule out.
  bool urgent = false;
  // How long it has been in the queue; the tail limit is relaxed with it, so
  // that every task starts in the end.
  double waitedSeconds = 0;
  // Racks that hold a task of the same job already; with spreadRacks set they
  // are used only when no other rack has room.
  bool spreadRacks = false;
  std::vector<std::uint32_t> usedRacks;
};

// From the preset in force. Only their relation counts.
struct Weights {
  double tailLatency = 1;
  double evictions = 1;
  double throughput = 1;
  // A placement that is expected to slow a service beyond this factor waits.
  double maxServiceSlowdown = 1.35;
  // Standard deviations added to uncertain estimates.
  double caution = 0.5;
  // The part of that limit (in logarithms) that holds at middle and high load:
  // a tail is hurt most where the service is busy, and batch work can wait for
  // the load to fall.
  double middleLoadShare = 0.5;
  double highLoadShare = 0.2;
  // A task that has waited this long meets a limit twice as wide.
  double patienceSeconds = 600;
};

enum class NoChoice : std::uint8_t {
  NoSuchWorker,         // no worker could ever hold it
  NoRoomNow,            // the room is taken
  WouldDegradeService,  // room, but each service there would be slowed too much
  Excluded              // the workers that could hold it are excluded
};

struct Choice {
  std::size_t worker = 0;
  // Expected cost, for the explanation; smaller is better.
  double cost = 0;
  // Expected factor by which the most affected service there is slowed.
  double serviceSlowdown = 1;
};

// The cheapest feasible worker, or none with the reason. Linear in the workers.
std::optional<Choice> ChooseWorker(gsl::span<const WorkerView> aWorkers,
                                   const Interference& aTable,
                                   const TaskRequest& aTask,
                                   const Weights& aWeights, NoChoice& aReason);

const char* Describe(NoChoice aReason);

}  // namespace bramleypath::placement
