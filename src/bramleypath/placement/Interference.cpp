#include "bramleypath/placement/Interference.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::placement {

namespace {

constexpr double kMiddleBandFrom = 0.5;
constexpr double kHighBandFrom = 0.8;

std::size_t PairIndex(const Interference& aTable, ClassIndex aVictim,
                      ClassIndex aAggressor, LoadBand aBand) {
  return (aVictim * aTable.classes + aAggressor) * kLoadBands +
         static_cast<std::size_t>(aBand);
}

bool IsKnown(const Interference& aTable, ClassIndex aClass) {
  return aClass < aTable.classes;
}

PairEstimate PriorEstimate(const InterferenceSettings& aSettings) {
  PairEstimate prior;
  prior.mean = aSettings.priorMean;
  prior.variance = aSettings.priorDeviation * aSettings.priorDeviation;
  return prior;
}

}  // namespace

LoadBand BandOf(double aLoad) {
  if (aLoad < kMiddleBandFrom) {
    return LoadBand::Low;
  }
  return aLoad < kHighBandFrom ? LoadBand::Middle : LoadBand::High;
}

Interference MakeInterference(std::size_t aClasses,
                              const InterferenceSettings& aSettings) {
  Interference table;
  table.settings = aSettings;
  table.classes = std::min(aClasses, aSettings.maxClasses);
  table.pairs.assign(table.classes * table.classes * kLoadBands,
                     PriorEstimate(aSettings));
  return table;
}

const PairEstimate& EstimateOf(const Interference& aTable, ClassIndex aVictim,
                               ClassIndex aAggressor, LoadBand aBand) {
  return aTable.pairs[PairIndex(aTable, aVictim, aAggressor, aBand)];
}

double PredictAddedLogSlowdown(const Interference& aTable, ClassIndex aVictim,
                               ClassIndex aAggressor, LoadBand aBand,
                               double aCaution) {
  if (!IsKnown(aTable, aVictim) || !IsKnown(aTable, aAggressor)) {
    return aTable.settings.priorMean +
           aCaution * aTable.settings.priorDeviation;
  }
  const PairEstimate& pair = EstimateOf(aTable, aVictim, aAggressor, aBand);
  return std::max(0.0, pair.mean) + aCaution * std::sqrt(pair.variance);
}

double PredictLogSlowdown(const Interference& aTable, ClassIndex aVictim,
                          const Composition& aNeighbours, LoadBand aBand,
                          double aCaution) {
  double sum = 0;
  for (const ClassCount& neighbour : aNeighbours.classes) {
    sum += neighbour.count * PredictAddedLogSlowdown(aTable, aVictim,
                                                     neighbour.classIndex,
                                                     aBand, aCaution);
  }
  return sum;
}

void Observe(Interference& aTable, ClassIndex aVictim,
             const Composition& aNeighbours, LoadBand aBand,
             double aLogSlowdown) {
  if (!IsKnown(aTable, aVictim) || aNeighbours.classes.empty()) {
    return;
  }
  const double sampleDeviation = aTable.settings.sampleDeviation;
  double predicted = 0;
  double totalVariance = sampleDeviation * sampleDeviation;
  for (const ClassCount& neighbour : aNeighbours.classes) {
    if (!IsKnown(aTable, neighbour.classIndex)) {
      continue;
    }
    const PairEstimate& pair =
        EstimateOf(aTable, aVictim, neighbour.classIndex, aBand);
    predicted += neighbour.count * pair.mean;
    totalVariance += neighbour.count * neighbour.count * pair.variance;
  }
  // A Kalman update with a diagonal covariance matrix, so that the residual is
  // attributed mostly to the pairs with the largest variance.
  const double residual = aLogSlowdown - predicted;
  for (const ClassCount& neighbour : aNeighbours.classes) {
    if (!IsKnown(aTable, neighbour.classIndex)) {
      continue;
    }
    PairEstimate& pair =
        aTable.pairs[PairIndex(aTable, aVictim, neighbour.classIndex, aBand)];
    const double gain = pair.variance * neighbour.count / totalVariance;
    pair.mean += gain * residual;
    pair.variance *= 1 - gain * neighbour.count;
    pair.variance += aTable.settings.driftVariance;
    pair.samples += 1;
  }
}

std::vector<PairReport> WorstPairs(const Interference& aTable,
                                   std::size_t aCount) {
  std::vector<PairReport> reports;
  for (std::size_t index = 0; index < aTable.pairs.size(); ++index) {
    const PairEstimate& pair = aTable.pairs[index];
    if (pair.samples == 0) {
      continue;
    }
    PairReport report;
    report.band = static_cast<LoadBand>(index % kLoadBands);
    const std::size_t pairIndex = index / kLoadBands;
    report.victim = static_cast<ClassIndex>(pairIndex / aTable.classes);
    report.aggressor = static_cast<ClassIndex>(pairIndex % aTable.classes);
    report.estimate = pair;
    reports.push_back(report);
  }
  const std::size_t kept = std::min(aCount, reports.size());
  std::partial_sort(
      reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(kept),
      reports.end(), [](const PairReport& aLeft, const PairReport& aRight) {
        return aLeft.estimate.mean > aRight.estimate.mean;
      });
  reports.resize(kept);
  return reports;
}

}  // namespace bramleypath::placement
