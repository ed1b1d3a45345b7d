#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <thread>
#include <vector>

#include "bench/placement/Run.h"

namespace bramleypath::bench {

namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3, 4, 5};
constexpr Policy kPolicies[] = {
    Policy::FirstFit, Policy::BestFit, Policy::InterferenceBlind,
    Policy::InterferenceAware, Policy::AwareObservedSizes};

Deployment HaritAngan() {
  Deployment deployment;
  deployment.name = "harit-angan";
  return deployment;
}

Deployment Cairnmuir() {
  Deployment deployment;
  deployment.name = "cairnmuir";
  deployment.workers = 65;
  deployment.workersPerRack = 8;
  deployment.serviceClasses = 3;
  deployment.batchClasses = 6;
  deployment.minWorkSeconds = 300;
  deployment.maxWorkSeconds = 3600;
  return deployment;
}

placement::Weights TailWeights() {
  placement::Weights weights;
  weights.tailLatency = 4;
  weights.evictions = 1;
  weights.throughput = 1;
  return weights;
}

placement::Weights ThroughputWeights() {
  placement::Weights weights;
  weights.tailLatency = 1;
  weights.evictions = 3;
  weights.throughput = 2;
  return weights;
}

struct Range {
  double median = 0;
  double min = 0;
  double max = 0;
};

Range RangeOf(std::vector<double> aValues) {
  std::sort(aValues.begin(), aValues.end());
  return Range{aValues[aValues.size() / 2], aValues.front(), aValues.back()};
}

std::vector<RunResult> RunSeeds(const RunSettings& aSettings) {
  std::vector<RunResult> results(std::size(kSeeds));
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < results.size(); ++index) {
    threads.emplace_back([&aSettings, &results, index] {
      RunSettings settings = aSettings;
      settings.seed = kSeeds[index];
      results[index] = Run(settings);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

Range Ratio(const std::vector<double>& aValues,
            const std::vector<double>& aBase) {
  std::vector<double> ratios;
  for (std::size_t index = 0; index < aValues.size(); ++index) {
    ratios.push_back(aBase[index] == 0 ? 0 : aValues[index] / aBase[index]);
  }
  return RangeOf(ratios);
}

struct Columns {
  std::vector<double> excess;
  std::vector<double> evictions;
  std::vector<double> lost;
  std::vector<double> work;
};

Columns ColumnsOf(const std::vector<RunResult>& aResults,
                  const std::vector<RunResult>& aEmpty) {
  Columns columns;
  for (std::size_t index = 0; index < aResults.size(); ++index) {
    columns.excess.push_back(aResults[index].p99 - aEmpty[index].p99);
    columns.evictions.push_back(aResults[index].evictions);
    columns.lost.push_back(aResults[index].lostWork);
    columns.work.push_back(aResults[index].workDone /
                           aResults[index].workOffered);
  }
  return columns;
}

void Print(const char* aName, const Columns& aColumns, const Columns& aBase) {
  const Range excess = RangeOf(aColumns.excess);
  const Range excessRatio = Ratio(aColumns.excess, aBase.excess);
  const Range evictions = RangeOf(aColumns.evictions);
  const Range evictionRatio = Ratio(aColumns.evictions, aBase.evictions);
  const Range lost = RangeOf(aColumns.lost);
  const Range work = RangeOf(aColumns.work);
  const Range workRatio = Ratio(aColumns.work, aBase.work);
  std::printf(
      "  %-10s p99_excess=%.2f ratio=%.2f[%.2f..%.2f] evictions=%.0f "
      "ratio=%.2f[%.2f..%.2f] lost_work_s=%.0f work_done=%.3f "
      "ratio=%.3f[%.3f..%.3f]\n",
      aName, excess.median, excessRatio.median, excessRatio.min,
      excessRatio.max, evictions.median, evictionRatio.median,
      evictionRatio.min, evictionRatio.max, lost.median, work.median,
      workRatio.median, workRatio.min, workRatio.max);
}

void Compare(const Deployment& aDeployment, const char* aWeightsName,
             const placement::Weights& aWeights, double aLag) {
  RunSettings settings;
  settings.deployment = aDeployment;
  settings.weights = aWeights;
  settings.reportLag = aLag;
  settings.emptyHosts = true;
  const auto empty = RunSeeds(settings);
  settings.emptyHosts = false;
  settings.policy = Policy::BestFit;
  const Columns base = ColumnsOf(RunSeeds(settings), empty);
  std::printf(
      "placement %s weights=%s report_lag_s=%.0f seeds=%zu (ratios against "
      "best_fit: median[least..most])\n",
      aDeployment.name, aWeightsName, aLag, std::size(kSeeds));
  for (const Policy policy : kPolicies) {
    settings.policy = policy;
    Print(NameOf(policy), ColumnsOf(RunSeeds(settings), empty), base);
  }
  std::fflush(stdout);
}

// Measures the time of one choice when all workers are feasible.
void MeasureCost(std::size_t aWorkers) {
  constexpr std::size_t kClasses = 40;
  constexpr int kRounds = 2000;
  Random random{7};
  const auto table = placement::MakeInterference(kClasses, {});
  std::vector<placement::WorkerView> views(aWorkers);
  for (placement::WorkerView& view : views) {
    view.capacity = Resources{32000, 125000, 1};
    view.available = Resources{
        static_cast<std::int64_t>(8000 + NextBelow(random, 16000)), 60000, 1};
    for (int i = 0; i < 3; ++i) {
      view.services.push_back(placement::ServiceView{
          static_cast<placement::ClassIndex>(NextBelow(random, kClasses)),
          0.6});
    }
    for (int i = 0; i < 6; ++i) {
      placement::AddToComposition(
          view.batch,
          static_cast<placement::ClassIndex>(NextBelow(random, kClasses)), 1);
    }
  }
  placement::TaskRequest task;
  task.demand = Resources{2000, 4000, 0};
  task.classIndex = 5;
  placement::Weights weights;
  weights.maxServiceSlowdown = 100;
  placement::NoWorkerReason reason =
      placement::NoWorkerReason::InsufficientResources;
  double checksum = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    task.classIndex = static_cast<placement::ClassIndex>(round % kClasses);
    const auto choice =
        placement::ChooseWorker(views, table, task, weights, reason);
    checksum += choice ? choice->cost : 0;
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
  std::printf("placement_cost workers=%zu us_per_choice=%.1f checksum=%.1f\n",
              aWorkers, spent.count() / kRounds, checksum);
}

}  // namespace

}  // namespace bramleypath::bench

int main() {
  using bramleypath::bench::Compare;
  for (const double lag : {10.0, 60.0}) {
    Compare(bramleypath::bench::HaritAngan(), "tail",
            bramleypath::bench::TailWeights(), lag);
    Compare(bramleypath::bench::Cairnmuir(), "evictions_throughput",
            bramleypath::bench::ThroughputWeights(), lag);
  }
  for (const std::size_t workers : {100U, 320U, 400U, 1600U}) {
    bramleypath::bench::MeasureCost(workers);
  }
  return 0;
}
