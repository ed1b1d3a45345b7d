#include "bramleypath/workflow/TailModel.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::workflow {

namespace {

using placement::ClassIndex;
using placement::Composition;
using placement::LoadBand;

constexpr std::size_t kMaxClasses = 64;
// Level of a serving task without fillers before any report: 0.4 of the target.
constexpr double kPriorBaseLevel = -0.9;
// Higher levels are clamped: a tail far above its target shows that the worker
// is overloaded, but little about the pair of images.
constexpr double kMaxObservedLevel = 1.2;
constexpr double kMinTailMs = 1;
constexpr double kAloneGain = 0.05;
constexpr double kMixedGain = 0.005;
// The load of the users is unknown, so all samples use one load band.
constexpr LoadBand kBand = LoadBand::Low;

placement::InterferenceSettings TableSettings() {
  placement::InterferenceSettings settings;
  // Prior of the level that one processor of a filler adds.
  settings.priorMean = 0.045;
  settings.priorDeviation = 0.06;
  // Variation of the level with the serving task's own load.
  settings.sampleDeviation = 0.4;
  settings.driftVariance = 1e-7;
  settings.maxClasses = kMaxClasses;
  return settings;
}

}  // namespace

TailModel MakeTailModel() {
  TailModel model;
  model.table = placement::MakeInterference(kMaxClasses, TableSettings());
  model.baseLevel.assign(kMaxClasses, kPriorBaseLevel);
  return model;
}

ClassIndex ClassOf(TailModel& aModel, const std::string& aImage) {
  const auto found = aModel.classes.find(aImage);
  if (found != aModel.classes.end()) {
    return found->second;
  }
  const auto index =
      static_cast<ClassIndex>(std::min(aModel.classes.size(), kMaxClasses - 1));
  aModel.classes.emplace(aImage, index);
  return index;
}

double TailLevel(double aTailMs, double aTargetMs) {
  return std::log(std::max(aTailMs, kMinTailMs) / aTargetMs);
}

void ObserveTail(TailModel& aModel, ClassIndex aServing,
                 const Composition& aFillers, double aLevel) {
  const double level = std::min(aLevel, kMaxObservedLevel);
  double& base = aModel.baseLevel[aServing];
  if (aFillers.classes.empty()) {
    base += kAloneGain * (level - base);
    return;
  }
  placement::Observe(aModel.table, aServing, aFillers, kBand, level - base);
  base += kMixedGain * (level - PredictLevel(aModel, aServing, aFillers));
}

double PredictLevel(const TailModel& aModel, ClassIndex aServing,
                    const Composition& aFillers) {
  constexpr double kNoMargin = 0;
  return aModel.baseLevel[aServing] +
         placement::PredictLogSlowdown(aModel.table, aServing, aFillers, kBand,
                                       kNoMargin);
}

double PredictAddedLevel(const TailModel& aModel, ClassIndex aServing,
                         ClassIndex aFiller, double aProcessors) {
  constexpr double kDeviationMargin = 0.3;
  return aProcessors *
         placement::PredictAddedLogSlowdown(aModel.table, aServing, aFiller,
                                            kBand, kDeviationMargin);
}

double PlausibleAddedLevel(const TailModel& aModel, ClassIndex aServing,
                           ClassIndex aFiller, double aProcessors) {
  constexpr double kDeviationMargin = 2;
  return aProcessors *
         placement::PredictAddedLogSlowdown(aModel.table, aServing, aFiller,
                                            kBand, kDeviationMargin);
}

}  // namespace bramleypath::workflow
