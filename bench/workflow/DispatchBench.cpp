#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/workflow/BenchCell.h"
#include "bramleypath/workflow/Scheduler.h"

// Measures one placement pass of the leader at three sizes of a cell with 2,000
// waiting tasks: once with free resources, and once with full workers, in which
// case passes follow every 8 ms. Goal: 2 ms with 350 workers.
namespace bramleypath::workflow {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kSizes[] = {66, 350, 1600};
constexpr std::uint32_t kServingPerWorker = 4;
constexpr std::size_t kWaitingJobs = 100;
constexpr std::uint32_t kTasksPerJob = 20;
constexpr std::size_t kImages = 18;
constexpr int kPasses = 20;
constexpr std::int64_t kSteadyClockMs = 1000;

// Each worker runs serving tasks of one image that together reserve
// aReservedMilli thousandths of a processor.
Cell MakeCell(std::size_t aWorkers, std::int64_t aReservedMilli) {
  Cell cell;
  Apply(cell.state, SetLayout{MakeLayout()});
  for (std::size_t worker = 0; worker < aWorkers; ++worker) {
    Apply(cell.state, RegisterWorker{MakeWorker(worker)});
    StageSpec serving =
        MakeStage(kServingPerWorker, aReservedMilli / kServingPerWorker);
    serving.longRunning = true;
    serving.tailTargetMs = 18;
    serving.image = "serving" + std::to_string(worker % kImages);
    const JobNumber job = cell.Accept(serving);
    PlaceTasks places;
    for (std::uint32_t index = 0; index < kServingPerWorker; ++index) {
      places.tasks.push_back({TaskKey{job, 0, 0, index}, 1,
                              static_cast<WorkerNumber>(worker + 1)});
    }
    Apply(cell.state, places);
  }
  for (std::size_t job = 0; job < kWaitingJobs; ++job) {
    StageSpec stage = MakeStage(kTasksPerJob, 3500);
    stage.filler = job % 2 == 0;
    stage.image = "filler" + std::to_string(job % kImages);
    cell.Accept(stage);
  }
  return cell;
}

// With aAtTarget the tail of each serving task is at its target, so that no
// filler may be placed.
Scheduler MakeLeader(const Cell& aCell, bool aAtTarget) {
  Scheduler scheduler = MakeScheduler(SchedulerSettings(), 1, aCell.state,
                                      LeaseEnds(), 1, aCell.now);
  for (auto& [key, attempt] : scheduler.attempts) {
    attempt.listed = aAtTarget;
    attempt.level = 0;
  }
  for (const auto& [number, worker] : aCell.state.workers) {
    OnAnnounced(scheduler, number, kSteadyClockMs, aCell.now);
  }
  return scheduler;
}

void MeasurePass(const char* aName, std::size_t aWorkers, bool aFull) {
  constexpr std::int64_t kHalfMilli = 16000;
  constexpr std::int64_t kFullMilli = 32000;
  const Cell cell = MakeCell(aWorkers, aFull ? kFullMilli : kHalfMilli);
  std::vector<double> micros;
  std::size_t placed = 0;
  for (int pass = 0; pass < kPasses; ++pass) {
    Scheduler scheduler = MakeLeader(cell, aFull);
    const Clock::time_point begin = Clock::now();
    const SchedulerActions actions = OnTick(scheduler, cell.state, cell.now, 0);
    micros.push_back(
        std::chrono::duration<double, std::micro>(Clock::now() - begin)
            .count());
    placed = CountPlaced(actions);
  }
  std::sort(micros.begin(), micros.end());
  std::printf(
      "%-10s %6zu workers: pass %9.0f us median, %9.0f us worst, "
      "%zu tasks placed\n",
      aName, aWorkers, micros[micros.size() / 2], micros.back(), placed);
}

}  // namespace
}  // namespace bramleypath::workflow

int main() {
  for (const std::size_t workers : bramleypath::workflow::kSizes) {
    bramleypath::workflow::MeasurePass("free", workers, false);
    bramleypath::workflow::MeasurePass("full", workers, true);
  }
  return 0;
}
