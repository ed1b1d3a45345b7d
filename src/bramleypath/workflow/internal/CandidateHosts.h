#pragma once

#include <optional>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/ChooseHost.h"
#include "bramleypath/workflow/Scheduler.h"

// Workers as one placement pass sees them.
namespace bramleypath::workflow::detail {

// A task with users as placement sees it.
struct ServingTask {
  JobNumber job = 0;
  placement::ClassIndex image = 0;
  // Its level now: the expected one, or the reported one if that is higher.
  double level = 0;
};

// What shares a worker's processors.
struct Neighbours {
  std::vector<ServingTask> serving;
  placement::Composition fillers;  // processors
  // Processors that are expected to be in use.
  double usedProcessors = 0;
};

// The workers of a pass, with room taken as tasks are placed.
struct Hosts {
  std::vector<HostView> views;
  std::vector<Neighbours> neighbours;
  std::vector<WorkerNumber> numbers;
  std::vector<const Worker*> workers;
};

Hosts CollectHosts(Scheduler& aScheduler, const State& aState, TimePoint aNow);
// Counts a task that comes to a worker. aLevel is the level that it has shown,
// if it serves.
void AddNeighbour(Scheduler& aScheduler, JobNumber aJob,
                  const StageSpec& aStage, Neighbours& aNeighbours,
                  std::uint32_t aPace, std::optional<double> aLevel);
// The harm that a task of the stage would do or suffer there. With aRelaxed a
// filler is not kept from where it will be slowed.
void RateHost(Scheduler& aScheduler, JobNumber aJob, const StageSpec& aStage,
              const Neighbours& aNeighbours, bool aRelaxed, HostView& aView);
double ProcessorsOf(const StageSpec& aStage);

// Run time still to do: the longest chain of stages that are not done.
// aRunMs is what a task of each stage takes (StageRunMs).
double RemainingMs(const Job& aJob, const Occurrence& aOccurrence,
                   gsl::span<const double> aRunMs);
void AddRemainingWork(const Job& aJob, const Occurrence& aOccurrence,
                      gsl::span<const double> aRunMs, Lanes& aLanes);
// The processors that work each lane off: what lasting tasks leave to those
// that reserve, and what fillers get at present, or could get while few run.
void MeasureLanes(const Scheduler& aScheduler, const State& aState,
                  const Hosts& aHosts, Lanes& aLanes);

}  // namespace bramleypath::workflow::detail
