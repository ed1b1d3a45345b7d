#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <gsl/span>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Types.h"

namespace bramleypath::cell {

// One worker as the chooser sees it.
struct WorkerCandidate {
  WorkerId worker;
  // The rack's number; racks are numbered as they are first seen.
  std::uint32_t rack = 0;
  Resources capacity;
  // Free resources: the capacity less all reservations and start proposals in
  // flight.
  Resources available;
  // The worker gets no new work because it is silent, backed off or not
  // registered.
  bool excluded = true;
};

struct PlacementRequest {
  const JobSpec* job = nullptr;
  TaskId task;
  Resources demand;
  // Racks that run a task of the job, for rackSpread.
  std::vector<std::uint32_t> usedRacks;
  // Time since a task of the job was last placed, or since its first task began
  // to wait.
  Duration waited;
  // Workers on which the task failed; they are avoided while another one has
  // enough free resources.
  gsl::span<const WorkerId> avoided;
};

enum class WaitReason : std::uint8_t {
  None,
  NotScheduledYet,
  NoLeader,
  NoWorkers,
  NoWorkerLargeEnough,
  InsufficientResources,
  WorkersExcluded,
  QuotaExceeded,
  JobBackOff,
  WouldDegradeService,
  WaitsForEviction,
  CommitInFlight,
  PresetLimit,
};

const char* Describe(WaitReason aReason);

// Returns the index of a worker in the span, or nullopt with the reason set.
// The reason InsufficientResources must depend on the demand alone: after it, a
// placement pass skips demands that are at least as large.
using ChooseWorkerFunction = std::function<std::optional<std::size_t>(
    gsl::span<const WorkerCandidate> aWorkers, const PlacementRequest& aRequest,
    WaitReason& aReason)>;

// Returns the resources to reserve for one task of the job: the declared ones,
// or these corrected by observed usage.
using SizeTaskFunction = std::function<Resources(const JobSpec& aJob)>;

// The default chooser (best fit): the feasible worker with the least free
// resources left after the placement.
std::optional<std::size_t> ChooseBestFit(
    gsl::span<const WorkerCandidate> aWorkers, const PlacementRequest& aRequest,
    WaitReason& aReason);

}  // namespace bramleypath::cell
