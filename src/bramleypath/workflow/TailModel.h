#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "bramleypath/placement/Composition.h"
#include "bramleypath/placement/Interference.h"

namespace bramleypath::workflow {

// How much fillers raise the tail latency of serving tasks, learned for each
// ordered pair of images from the tails that workers report. A tail level is
// the natural logarithm of the ratio of tail latency to target; 0 is at the
// target.
struct TailModel {
  placement::Interference table;
  std::unordered_map<std::string, placement::ClassIndex> classes;
  // By class: the level of a serving task without fillers on its worker.
  std::vector<double> baseLevel;
};

TailModel MakeTailModel();

// The class of an image. Images beyond the table's size share the last class.
placement::ClassIndex ClassOf(TailModel& aModel, const std::string& aImage);

double TailLevel(double aTailMs, double aTargetMs);

// Learns from one report of a serving task. aFillers holds the processors that
// fillers on its worker use.
void ObserveTail(TailModel& aModel, placement::ClassIndex aServing,
                 const placement::Composition& aFillers, double aLevel);

// The expected level of a serving task on a worker with these fillers.
double PredictLevel(const TailModel& aModel, placement::ClassIndex aServing,
                    const placement::Composition& aFillers);

// The expected increase in the level of a serving task from a filler that uses
// aProcessors processors.
double PredictAddedLevel(const TailModel& aModel,
                         placement::ClassIndex aServing,
                         placement::ClassIndex aFiller, double aProcessors);

// The most that the filler may plausibly add, by the uncertainty of the
// estimate.
double PlausibleAddedLevel(const TailModel& aModel,
                           placement::ClassIndex aServing,
                           placement::ClassIndex aFiller, double aProcessors);

}  // namespace bramleypath::workflow
