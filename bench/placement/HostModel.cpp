#include "bench/placement/HostModel.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::bench {

namespace {

constexpr double kPi = 3.14159265358979323846;

double LogUniform(Random& aRandom, double aMin, double aMax) {
  const double span = std::log(aMax / aMin);
  return aMin * std::exp(span * NextUnit(aRandom));
}

double Exponential(Random& aRandom, double aMean) {
  return -aMean * std::log(1 - NextUnit(aRandom));
}

// Factor of declared to used processors. Declared sizes are up to 10 times too
// large or too small. The class determines most of the error, since users copy
// the numbers of earlier jobs.
double ClassError(placement::ClassIndex aClass) {
  constexpr double kErrors[] = {1.0, 4.0, 0.4, 2.0, 0.6, 8.0, 1.5, 0.25};
  return kErrors[aClass % (sizeof(kErrors) / sizeof(kErrors[0]))];
}

}  // namespace

PairTruth MakePairTruth(std::size_t aServiceClasses, std::size_t aClasses,
                        Random& aRandom) {
  constexpr double kBandFactors[] = {0.6, 1.0, 1.7};
  PairTruth truth;
  truth.classes = aClasses;
  for (std::size_t victim = 0; victim < aClasses; ++victim) {
    for (std::size_t aggressor = 0; aggressor < aClasses; ++aggressor) {
      const bool heavy = NextBelow(aRandom, 6) == 0;
      double added = heavy ? LogUniform(aRandom, 0.10, 0.30)
                           : LogUniform(aRandom, 0.002, 0.02);
      if (victim >= aServiceClasses) {
        added *= 0.3;
      }
      for (const double factor : kBandFactors) {
        truth.added.push_back(added * factor);
      }
    }
  }
  return truth;
}

double AddedBy(const PairTruth& aTruth, placement::ClassIndex aVictim,
               placement::ClassIndex aAggressor, placement::LoadBand aBand) {
  const std::size_t index =
      (aVictim * aTruth.classes + aAggressor) * placement::kLoadBands +
      static_cast<std::size_t>(aBand);
  return aTruth.added[index];
}

std::vector<TaskTruth> MakeTasks(const Deployment& aDeployment, double aSeconds,
                                 Random& aRandom) {
  constexpr double kMeanProcessorsMilli = 3900;
  const double freeMilli = static_cast<double>(
      aDeployment.workers *
      static_cast<std::size_t>(aDeployment.processorsMilli -
                               aDeployment.serviceProcessorsMilli));
  const double meanSeconds =
      (aDeployment.maxWorkSeconds - aDeployment.minWorkSeconds) /
      std::log(aDeployment.maxWorkSeconds / aDeployment.minWorkSeconds);
  const double gap = meanSeconds * kMeanProcessorsMilli /
                     (freeMilli * aDeployment.batchUtilisation);
  std::vector<TaskTruth> tasks;
  for (double now = Exponential(aRandom, gap); now < aSeconds;
       now += Exponential(aRandom, gap)) {
    TaskTruth task;
    task.arrivesAt = now;
    task.classIndex = static_cast<placement::ClassIndex>(
        aDeployment.serviceClasses +
        NextBelow(aRandom, aDeployment.batchClasses));
    const double used = LogUniform(aRandom, 1000, 10000);
    task.usedProcessorsMilli = static_cast<std::int64_t>(used);
    const double error =
        std::clamp(ClassError(task.classIndex) * LogUniform(aRandom, 0.8, 1.25),
                   0.1, 10.0);
    task.declaredProcessorsMilli =
        std::min<std::int64_t>(static_cast<std::int64_t>(used * error), 24000);
    task.memoryMb = static_cast<std::int64_t>(LogUniform(aRandom, 500, 8000));
    task.workSeconds = LogUniform(aRandom, aDeployment.minWorkSeconds,
                                  aDeployment.maxWorkSeconds);
    task.declaredSeconds = task.workSeconds * LogUniform(aRandom, 0.1, 10);
    tasks.push_back(task);
  }
  return tasks;
}

double ServiceLoad(std::size_t aWorker, double aTime, double aSeconds) {
  const double wave = 0.55 + 0.25 * std::sin(2 * kPi * aTime / aSeconds +
                                             static_cast<double>(aWorker % 3));
  const bool shifted = aTime > aSeconds * 0.5 && aWorker % 2 == 0;
  return std::clamp(wave + (shifted ? 0.15 : 0.0), 0.05, 0.95);
}

}  // namespace bramleypath::bench
