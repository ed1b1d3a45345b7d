#include "bramleypath/workflow/JobOrder.h"

#include <algorithm>

namespace bramleypath::workflow {

namespace {

// Exceeds any slack in ms, so that the ranks of different groups don't overlap.
constexpr double kGroupOffset = 1e12;
constexpr double kMaxInGroup = 0.99 * kGroupOffset;
constexpr double kGroupsPerLevel = 2;  // in time, late
constexpr double kUselessGroup = kGroupsPerLevel * (kLastLevel + 1) + 1;
constexpr double kUsefulObjectives = 3;
// The class is short if at least one in so many of its jobs is late or held.
constexpr std::size_t kJobsPerDelayedJob = 20;
constexpr double kMinWorkRatio = 0.5;
constexpr double kMaxWorkRatio = 2;

double SlackMs(const WaitingJob& aJob, double aObjectives) {
  return aJob.objectiveMs * aObjectives - aJob.ageMs - aJob.remainingMs;
}

double InGroup(double aGroup, double aWithin) {
  return aGroup * kGroupOffset + std::min(aWithin, kMaxInGroup);
}

}  // namespace

std::uint32_t LevelOf(std::int32_t aPriority) {
  const std::int32_t known = std::max<std::int32_t>(aPriority, 0);
  return std::min(static_cast<std::uint32_t>(known), kLastLevel);
}

Outlook OutlookOf(const WaitingJob& aJob) {
  if (SlackMs(aJob, 1) >= 0) {
    return Outlook::InTime;
  }
  return SlackMs(aJob, kUsefulObjectives) >= 0 ? Outlook::Late
                                               : Outlook::Useless;
}

std::uint32_t AgedLevel(const WaitingJob& aJob) {
  if (aJob.objectiveMs <= 0 || aJob.ageMs <= 0) {
    return aJob.level;
  }
  const double risen =
      std::min<double>(kLastLevel, aJob.ageMs / aJob.objectiveMs);
  return aJob.level - std::min(aJob.level, static_cast<std::uint32_t>(risen));
}

bool IsShort(const ClassOrder& aClass) {
  const std::size_t delayed = std::max(aClass.late, aClass.held);
  return delayed > 0 && delayed * kJobsPerDelayedJob >= aClass.jobs;
}

double WorkRatio(const ClassOrder& aClass, double aRemainingWork) {
  if (!IsShort(aClass) || aClass.work <= 0) {
    return 1;
  }
  const double mean = aClass.work / static_cast<double>(aClass.jobs);
  return std::clamp(aRemainingWork / mean, kMinWorkRatio, kMaxWorkRatio);
}

double StartRank(const WaitingJob& aJob) {
  if (aJob.longRunning) {
    return -kGroupOffset - aJob.ageMs;
  }
  const double level = kGroupsPerLevel * AgedLevel(aJob);
  switch (OutlookOf(aJob)) {
    case Outlook::InTime:
      return InGroup(level, SlackMs(aJob, 1) * aJob.workRatio);
    case Outlook::Late:
      return InGroup(level + 1,
                     SlackMs(aJob, kUsefulObjectives) * aJob.workRatio);
    case Outlook::Useless:
      break;
  }
  return kUselessGroup * kGroupOffset - std::min(aJob.ageMs, kMaxInGroup);
}

}  // namespace bramleypath::workflow
