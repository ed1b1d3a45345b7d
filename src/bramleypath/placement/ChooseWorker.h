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

// The state of one worker on which ChooseWorker decides. A worker is identified
// by its index in the span, a rack by a number that the caller assigns.
struct WorkerView {
  Resources capacity;
  // Free resources: the capacity less all reservations, including those of
  // attempts whose outcome is unknown.
  Resources available;
  std::uint32_t rack = 0;
  // The worker is draining, is in back-off after failures, or last announced
  // itself too long ago.
  bool excluded = false;
  // A service on the worker exceeds its tail limit, so the worker admits no
  // batch work that isn't urgent.
  bool admissionStopped = false;
  std::vector<ServiceView> services;
  Composition batch;
};

struct TaskRequest {
  Resources demand;
  ClassIndex classIndex = 0;
  bool isService = false;
  // Urgent work may be placed on a worker that the tail limit would rule out.
  bool urgent = false;
  // Time in the queue. The tail limit widens with it, so that no task starves.
  double waitedSeconds = 0;
  // With spreadRacks set, the racks in usedRacks, which already run a task of
  // the same job, are used only when no other rack has a feasible worker.
  bool spreadRacks = false;
  std::vector<std::uint32_t> usedRacks;
};

// Placement preferences of the preset in force. tailLatency, evictions and
// throughput weight the terms of the cost relative to each other.
struct Weights {
  double tailLatency = 1;
  double evictions = 1;
  double throughput = 1;
  // A task waits rather than start where it is predicted to slow a service by
  // more than this factor.
  double maxServiceSlowdown = 1.35;
  // Number of standard deviations added to each slowdown estimate.
  double caution = 0.5;
  // Fraction of the logarithm of maxServiceSlowdown that is allowed at middle
  // and at high load. The tail grows most where the service is busy, and batch
  // work can wait for the load to fall.
  double middleLoadShare = 0.5;
  double highLoadShare = 0.2;
  // The slowdown limit (in logarithms) doubles after this waiting time and
  // grows linearly with it.
  double patienceSeconds = 600;
};

enum class NoWorkerReason : std::uint8_t {
  // The demand exceeds the capacity of every worker.
  NoSuchWorker,
  // Workers of sufficient capacity lack free resources.
  InsufficientResources,
  // A worker has enough free resources, but batch work is not admitted there
  // or would slow a service beyond its limit.
  WouldDegradeService,
  // Workers of sufficient capacity are excluded.
  Excluded
};

struct WorkerChoice {
  std::size_t worker = 0;
  // Predicted cost without a unit; the smallest one is chosen.
  double cost = 0;
  // Predicted slowdown factor of the most affected service on the worker. For a
  // service task it is the slowdown of that task by the batch work there.
  double serviceSlowdown = 1;
};

// Returns the feasible worker with the lowest cost, or none and then sets
// aReason. Takes time linear in the number of workers.
std::optional<WorkerChoice> ChooseWorker(gsl::span<const WorkerView> aWorkers,
                                         const Interference& aTable,
                                         const TaskRequest& aTask,
                                         const Weights& aWeights,
                                         NoWorkerReason& aReason);

// A text for operators, never empty.
const char* Describe(NoWorkerReason aReason);

}  // namespace bramleypath::placement
