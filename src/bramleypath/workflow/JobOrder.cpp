#include "bramleypath/workflow/JobOrder.h"

namespace bramleypath::workflow {

namespace {

// Exceeds any slack in ms, so that the ranks of different groups don't overlap.
constexpr double kGroupOffset = 1e12;
constexpr double kUsefulObjectives = 3;

}  // namespace

double StartRank(const WaitingJob& aJob) {
  if (aJob.longRunning) {
    return -kGroupOffset - aJob.ageMs;
  }
  const double endMs = aJob.ageMs + aJob.remainingMs;
  const double slackMs = aJob.objectiveMs - endMs;
  if (slackMs >= 0) {
    return slackMs;
  }
  const double usefulMs = aJob.objectiveMs * kUsefulObjectives - endMs;
  if (usefulMs >= 0) {
    return kGroupOffset + usefulMs;
  }
  return 2 * kGroupOffset - aJob.ageMs;
}

}  // namespace bramleypath::workflow
