#include "bramleypath/workflow/internal/DrainWaits.h"

#include <map>
#include <utility>

#include "bramleypath/workflow/internal/StartChecks.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr Duration kReportInterval = Seconds(1);
constexpr std::size_t kMaxReports = 8;

// What IsHeldByDrain depends on. Most stages share it, so that the workers are
// read once for all of them.
using StageNeeds = std::pair<std::string, std::string>;  // service and label

struct Report {
  const State& state;
  std::map<StageNeeds, bool> held;
  SchedulerActions& actions;
  std::size_t reports = 0;
};

bool IsHeld(Report& aReport, const StageSpec& aStage,
            const QueueSettings& aQueue) {
  const StageNeeds needs{aQueue.service.value, aStage.requiredLabel};
  const auto found = aReport.held.find(needs);
  if (found != aReport.held.end()) {
    return found->second;
  }
  const bool isHeld = IsHeldByDrain(aReport.state, aStage, aQueue);
  aReport.held.emplace(needs, isHeld);
  return isHeld;
}

void ReportStage(Report& aReport, const Job& aJob, std::uint32_t aStage,
                 std::uint32_t aWaiting) {
  ++aReport.reports;
  aReport.actions.push_back(DecisionRecord{
      "tasks_wait_for_drain", aJob.id.value,
      "stage=" + std::to_string(aStage) + " waiting=" +
          std::to_string(aWaiting) + DescribeDrains(aReport.state)});
}

void ReportJob(Report& aReport, const Job& aJob) {
  const QueueSettings* const queue = FindQueue(aReport.state, aJob.spec.queue);
  if (!queue) {
    return;
  }
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
      const StageSpec& spec = aJob.spec.stages[stage];
      const std::uint32_t waiting = occurrence.stages[stage].waiting;
      if (waiting > 0 && !spec.longRunning && aReport.reports < kMaxReports &&
          IsStageOpen(aJob, occurrence, stage) &&
          IsHeld(aReport, spec, *queue)) {
        ReportStage(aReport, aJob, stage, waiting);
      }
    }
  }
}

}  // namespace

std::string DescribeDrains(const State& aState) {
  std::string names;
  for (const DataCentreId& dataCentre : aState.drains.dataCentres) {
    names +=
        (names.empty() ? " drained_data_centres=" : ",") + dataCentre.value;
  }
  return names;
}

bool IsHeldByDrain(const State& aState, const StageSpec& aStage,
                   const QueueSettings& aQueue) {
  bool hasDrained = false;
  for (const auto& [number, worker] : aState.workers) {
    if (worker.spec.service != aQueue.service ||
        !HasRequiredLabel(worker, aStage)) {
      continue;
    }
    if (!IsDrained(aState, worker)) {
      return false;
    }
    hasDrained = true;
  }
  return hasDrained;
}

void RecordDrainWaits(Scheduler& aScheduler, const State& aState,
                      TimePoint aNow, SchedulerActions& aActions) {
  if (aState.drains.dataCentres.empty() ||
      aNow < aScheduler.nextDrainReportAt) {
    return;
  }
  aScheduler.nextDrainReportAt = aNow + kReportInterval;
  Report report{aState, {}, aActions};
  for (const auto& [number, job] : aState.jobs) {
    if (report.reports >= kMaxReports) {
      return;
    }
    if (job.phase == JobPhase::Active) {
      ReportJob(report, job);
    }
  }
}

}  // namespace bramleypath::workflow::detail
