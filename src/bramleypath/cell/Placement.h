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

// What a chooser sees of one worker.
struct WorkerRoom {
  WorkerId worker;
  // The rack's number; racks are numbered as they are first seen.
  std::uint32_t rack = 0;
  Resources capacity;
  // Capacity less all reservations and proposals in flight.
  Resources room;
  // Silent, backed off, or not registered: no new work.
  bool excluded = true;
};

struct PlacementRequest {
  const JobSpec* job = nullptr;
  TaskId task;
  Resources demand;
  // Racks that run a task of the job, for rackSpread.
  std::vector<std::uint32_t> usedRacks;
  // Since a task of the job was placed, or its first one began to wait.
  Duration waited;
  // Workers to avoid while another has room: the task failed there.
  gsl::span<const WorkerId> avoided;
};

enum class WaitReason : std::uint8_t {
  None,
  NotScheduledYet,
  NoLeader,
  NoWorkers,
  NoWorkerCouldHold,
  NoRoomNow,
  WorkersExcluded,
  QuotaExceeded,
  JobBackOff,
  WouldDegradeService,
  WaitsForEviction,
  CommitInFlight,
  PresetLimit,
};

const char* Describe(WaitReason aReason);

// Chooses the place of a worker in the span, or none with the reason. NoRoomNow
// must depend on the demand alone: after it, a pass over the queue skips
// demands that are at least as large.
using ChooseWorkerFunction = std::function<std::optional<std::size_t>(
    gsl::span<const WorkerRoom> aWorkers, const PlacementRequest& aRequest,
    WaitReason& aReason)>;

// The resources to reserve for a task of the job: declared, or corrected by
// what was observed.
using SizeTaskFunction = std::function<Resources(const JobSpec& aJob)>;

// The default chooser: the feasible worker that is left with the least room.
std::optional<std::size_t> ChooseBestFit(gsl::span<const WorkerRoom> aWorkers,
                                         const PlacementRequest& aRequest,
                                         WaitReason& aReason);

}  // namespace bramleypath::cell
