#pragma once

#include <cstdint>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/placement/Interference.h"

namespace bramleypath::bench {

// Ground truth that is hidden from the policies: what one attempt of a class
// adds to a victim's log slowdown, for each pair of classes and load band.
struct PairTruth {
  std::size_t classes = 0;
  std::vector<double> added;
};

// Most pairs interfere little and about one in six strongly. All interfere more
// at high load.
PairTruth MakePairTruth(std::size_t aServiceClasses, std::size_t aClasses,
                        Random& aRandom);

double AddedBy(const PairTruth& aTruth, placement::ClassIndex aVictim,
               placement::ClassIndex aAggressor, placement::LoadBand aBand);

// One arriving batch task. The use and the work are hidden from the policies.
struct TaskTruth {
  double arrivesAt = 0;  // s
  placement::ClassIndex classIndex = 0;
  std::int64_t declaredProcessorsMilli = 0;
  std::int64_t usedProcessorsMilli = 0;
  std::int64_t memoryMb = 0;
  double declaredSeconds = 0;
  double workSeconds = 0;
};

// Size and load of a simulated deployment. Each worker runs one service
// instance.
struct Deployment {
  const char* name = "";
  std::size_t workers = 50;
  std::uint32_t workersPerRack = 6;
  std::size_t serviceClasses = 1;
  std::size_t batchClasses = 8;
  std::int64_t processorsMilli = 32000;
  std::int64_t memoryMb = 125000;
  std::int64_t serviceProcessorsMilli = 8000;
  std::int64_t serviceMemoryMb = 16000;
  double minWorkSeconds = 60;
  double maxWorkSeconds = 1200;
  // Share of the workers' free processors that the batch work uses on average.
  double batchUtilisation = 0.5;
};

std::vector<TaskTruth> MakeTasks(const Deployment& aDeployment, double aSeconds,
                                 Random& aRandom);

// Share of a service instance's slots in use at aTime. One sine wave over the
// run of aSeconds stands for a day. Half of the instances get more load at once
// in the middle of the run.
double ServiceLoad(std::size_t aWorker, double aTime, double aSeconds);

}  // namespace bramleypath::bench
