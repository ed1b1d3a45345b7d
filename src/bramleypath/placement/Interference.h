#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "bramleypath/placement/Composition.h"

namespace bramleypath::placement {

// Band of the victim's load, which is the share of its slots in use.
enum class LoadBand : std::uint8_t { Low, Middle, High };
constexpr std::size_t kLoadBands = 3;

// Loads below 0.5 are low, loads from 0.8 on are high.
LoadBand BandOf(double aLoad);

// Normal distribution of what one attempt of an aggressor class adds to the
// natural logarithm of a victim class's slowdown.
struct PairEstimate {
  double mean = 0;
  double variance = 0;
  std::uint32_t samples = 0;
};

struct InterferenceSettings {
  // Each attempt of an unobserved pair is assumed to slow its victim by about
  // 3%.
  double priorMean = 0.03;
  double priorDeviation = 0.06;
  // Standard deviation of the noise of one report of log slowdown.
  double sampleDeviation = 0.10;
  // Added to a pair's variance with each sample, so that the estimate can
  // follow a change of the true value.
  double driftVariance = 1e-7;
  // Bounds the memory of the table, which takes classes x classes x bands x 24
  // bytes.
  std::size_t maxClasses = 128;
};

// Slowdown estimates for each ordered pair of classes and each load band. The
// slowdown of a victim is modelled as the product of the factors that its
// neighbours contribute.
struct Interference {
  InterferenceSettings settings;
  std::size_t classes = 0;
  std::vector<PairEstimate> pairs;
};

// Makes a table of prior estimates for at most aSettings.maxClasses classes.
Interference MakeInterference(std::size_t aClasses,
                              const InterferenceSettings& aSettings);

// Both classes must be less than aTable.classes.
const PairEstimate& EstimateOf(const Interference& aTable, ClassIndex aVictim,
                               ClassIndex aAggressor, LoadBand aBand);

// The predicted log slowdown of a victim among its neighbours, with aCaution
// standard deviations added for each attempt.
double PredictLogSlowdown(const Interference& aTable, ClassIndex aVictim,
                          const Composition& aNeighbours, LoadBand aBand,
                          double aCaution);

// The log slowdown that one more attempt of the aggressor class adds, plus
// aCaution standard deviations. A class outside the table gets the prior.
double PredictAddedLogSlowdown(const Interference& aTable, ClassIndex aVictim,
                               ClassIndex aAggressor, LoadBand aBand,
                               double aCaution);

// Updates the estimates from one report of log slowdown. aNeighbours are the
// neighbours that the victim had when the sample was taken. Classes outside the
// table are ignored.
void Observe(Interference& aTable, ClassIndex aVictim,
             const Composition& aNeighbours, LoadBand aBand,
             double aLogSlowdown);

struct PairReport {
  ClassIndex victim = 0;
  ClassIndex aggressor = 0;
  LoadBand band = LoadBand::Low;
  PairEstimate estimate;
};

// The aCount pairs with the largest estimated slowdown among those with at
// least one sample, largest first.
std::vector<PairReport> WorstPairs(const Interference& aTable,
                                   std::size_t aCount);

}  // namespace bramleypath::placement
