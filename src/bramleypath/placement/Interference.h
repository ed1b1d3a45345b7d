#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "bramleypath/placement/Composition.h"

namespace bramleypath::placement {

// How busy the victim's service is, as a share of its slots.
enum class LoadBand : std::uint8_t { Low, Middle, High };
constexpr std::size_t kLoadBands = 3;

// Low below 0.5, high from 0.8 on.
LoadBand BandOf(double aLoad);

// What one attempt of an aggressor class adds to the logarithm of a victim
// class's slowdown, as a normal distribution.
struct PairEstimate {
  double mean = 0;
  double variance = 0;
  std::uint32_t samples = 0;
};

struct InterferenceSettings {
  // An unknown pair is taken to slow its victim by about 3% an attempt.
  double priorMean = 0.03;
  double priorDeviation = 0.06;
  // Noise of one report of log slowdown.
  double sampleDeviation = 0.10;
  // Added to a pair's variance with each sample, so that it follows change.
  double driftVariance = 1e-7;
  // Bounds the table: classes x classes x bands x 24 bytes.
  std::size_t maxClasses = 128;
};

// Slowdown estimates for each ordered pair of classes and load band. The
// slowdown of a victim is the product of what each neighbour adds.
struct Interference {
  InterferenceSettings settings;
  std::size_t classes = 0;
  std::vector<PairEstimate> pairs;
};

Interference MakeInterference(std::size_t aClasses,
                              const InterferenceSettings& aSettings);

const PairEstimate& EstimateOf(const Interference& aTable, ClassIndex aVictim,
                               ClassIndex aAggressor, LoadBand aBand);

// The expected log slowdown of a victim among its neighbours, plus aCaution
// standard deviations.
double PredictLogSlowdown(const Interference& aTable, ClassIndex aVictim,
                          const Composition& aNeighbours, LoadBand aBand,
                          double aCaution);

// What one more attempt of a class adds to that.
double PredictAdded(const Interference& aTable, ClassIndex aVictim,
                    ClassIndex aAggressor, LoadBand aBand, double aCaution);

// Learns from one report of log slowdown, attributed to the neighbours that the
// victim had at the time of the sample.
void Observe(Interference& aTable, ClassIndex aVictim,
             const Composition& aNeighbours, LoadBand aBand,
             double aLogSlowdown);

struct PairReport {
  ClassIndex victim = 0;
  ClassIndex aggressor = 0;
  LoadBand band = LoadBand::Low;
  PairEstimate estimate;
};

// The pairs with samples that disturb most, worst first.
std::vector<PairReport> WorstPairs(const Interference& aTable,
                                   std::size_t aCount);

}  // namespace bramleypath::placement
