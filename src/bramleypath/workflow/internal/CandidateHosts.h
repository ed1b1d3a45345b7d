#pragma once

#include <optional>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/ChooseHost.h"
#include "bramleypath/workflow/Scheduler.h"

// The view of the workers that one placement pass uses and updates.
namespace bramleypath::workflow::detail {

// The workers of a pass, by index. Placing a task reduces the available
// resources of its worker.
struct CandidateHosts {
  std::vector<HostView> views;
  gsl::span<Neighbours> neighbours;  // those of the scheduler's survey
  std::vector<WorkerNumber> numbers;
  std::vector<const Worker*> workers;
};

CandidateHosts CollectCandidateHosts(Scheduler& aScheduler, const State& aState,
                                     TimePoint aNow);
// Collects the tasks of each worker anew.
void SurveyNeighbours(Scheduler& aScheduler, const State& aState,
                      CandidateHosts& aHosts);
// Whether the survey holds the tasks of exactly these workers.
bool IsSurveyed(const Scheduler& aScheduler, const CandidateHosts& aHosts);
// Adds a task to those of a worker. aLevel is the reported tail level of a
// serving task, aPace the pace of a filler in percent.
void AddNeighbour(Scheduler& aScheduler, JobNumber aJob,
                  const StageSpec& aStage, Neighbours& aNeighbours,
                  std::uint32_t aPace, std::optional<double> aLevel);
// What the rating of a worker for the tasks of one stage needs, looked up once
// for all workers.
struct StageRating {
  bool filler = false;
  bool serving = false;
  bool relaxed = false;
  JobNumber job = 0;
  placement::ClassIndex image = 0;
  double processors = 0;
  // Of a filler: the expected increase in the level of a serving task, by the
  // class of its image.
  std::vector<double> addedLevels;
};

StageRating MakeStageRating(Scheduler& aScheduler, JobNumber aJob,
                            const StageSpec& aStage, bool aRelaxed);
// Sets the interference between a task of the stage and the tasks on the
// worker. Excludes workers where a filler would have to be slowed, unless the
// rating is relaxed.
void RateHost(Scheduler& aScheduler, const StageRating& aRating,
              const Neighbours& aNeighbours, HostView& aView);
// Processors that a task of the stage demands.
double ProcessorsOf(const StageSpec& aStage);

// Remaining run time in ms: the longest chain of stages that are not done.
// aRunMs holds the run time of each stage (StageRunMs).
double RemainingMs(const Job& aJob, const Occurrence& aOccurrence,
                   gsl::span<const double> aRunMs);
// Adds the work left in an occurrence to aLoad.
void AddRemainingWork(const Job& aJob, const Occurrence& aOccurrence,
                      gsl::span<const double> aRunMs, CellLoad& aLoad);
// Sets the processors available to each class of tasks. Tasks that reserve get
// what long-running tasks leave; fillers get what they use now, or a minimum
// share while few of them run.
void MeasureCapacity(const Scheduler& aScheduler, const State& aState,
                     const CandidateHosts& aHosts, CellLoad& aLoad);

}  // namespace bramleypath::workflow::detail
