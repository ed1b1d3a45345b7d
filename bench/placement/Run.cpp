#include "bench/placement/Run.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include "bramleypath/placement/PlacementHistory.h"
#include "bramleypath/placement/SizeCorrection.h"
#include "bramleypath/placement/TailResponse.h"

namespace bramleypath::bench {

namespace {

using placement::ClassIndex;

constexpr double kCheckpointIntervalSeconds = 60;  // of work
constexpr double kRestartCostSeconds = 20;
constexpr double kTailLimit = 1.5;
constexpr double kReportNoise = 0.10;
constexpr int kCallsPerStep = 4;
constexpr std::size_t kMaxPlacementsTriedPerStep = 200;

struct RunningTask {
  std::uint64_t number = 0;
  std::size_t task = 0;
  double done = 0;  // s of work, including that of earlier attempts
  double attemptStartedAt = 0;
  bool throttled = false;
  Resources reserved;
};

struct Worker {
  ClassIndex service = 0;
  std::vector<RunningTask> running;
  placement::PlacementHistory history;
  placement::TailResponse response;
  double noEvictionBefore = 0;
};

struct LateReport {
  double arrivesAt = 0;
  double sampledAt = 0;
  std::size_t worker = 0;
  double load = 0;
  double slowdown = 1;
};

struct WaitingTask {
  std::size_t task = 0;
  double done = 0;
  std::uint32_t evictions = 0;
  bool started = false;
};

struct Simulation {
  RunSettings settings;
  PairTruth truth;
  std::vector<TaskTruth> tasks;
  std::vector<std::uint32_t> evictionsOf;
  std::vector<Worker> workers;
  std::vector<placement::WorkerView> views;
  std::deque<WaitingTask> waiting;
  std::deque<LateReport> reports;
  placement::Interference table;
  placement::SizeCorrection sizes;
  std::vector<float> latencies;
  Random noise;
  std::uint64_t nextNumber = 1;
  std::size_t nextArrival = 0;
  RunResult result;
  double waitSum = 0;
  double waitCount = 0;
};

TimePoint At(double aSeconds) {
  return TimePoint{static_cast<std::int64_t>(aSeconds * 1e6)};
}

double Normal(Random& aRandom) {
  // The sum of 12 uniform numbers is close enough to a normal distribution.
  double sum = -6;
  for (int i = 0; i < 12; ++i) {
    sum += NextUnit(aRandom);
  }
  return sum;
}

double ActiveFraction(const RunningTask& aTask) {
  return aTask.throttled ? 0.5 : 1;
}

void RefreshView(Simulation& aSim, std::size_t aWorker, double aNow) {
  const Deployment& deployment = aSim.settings.deployment;
  Worker& worker = aSim.workers[aWorker];
  placement::WorkerView& view = aSim.views[aWorker];
  view.capacity = Resources{deployment.processorsMilli, deployment.memoryMb, 0};
  view.available =
      Resources{deployment.processorsMilli - deployment.serviceProcessorsMilli,
                deployment.memoryMb - deployment.serviceMemoryMb, 0};
  view.batch.classes.clear();
  for (const RunningTask& task : worker.running) {
    view.available.processorsMilli -= task.reserved.processorsMilli;
    view.available.memoryMb -= task.reserved.memoryMb;
    placement::AddToComposition(view.batch, aSim.tasks[task.task].classIndex,
                                ActiveFraction(task));
  }
  placement::RecordComposition(worker.history, view.batch, At(aNow));
}

double TrueLogSlowdown(const Simulation& aSim, std::size_t aWorker,
                       ClassIndex aVictim, double aLoad,
                       std::uint64_t aExcept) {
  const Deployment& deployment = aSim.settings.deployment;
  double sum = 0;
  double used = static_cast<double>(deployment.serviceProcessorsMilli) * aLoad;
  for (const RunningTask& task : aSim.workers[aWorker].running) {
    const TaskTruth& truth = aSim.tasks[task.task];
    used +=
        static_cast<double>(truth.usedProcessorsMilli) * ActiveFraction(task);
    if (task.number != aExcept) {
      sum +=
          ActiveFraction(task) * AddedBy(aSim.truth, aVictim, truth.classIndex,
                                         placement::BandOf(aLoad));
    }
  }
  const double share = used / static_cast<double>(deployment.processorsMilli);
  // Tasks may use more processors than they declared. When the total exceeds
  // the processors of the host, everything on it slows in proportion.
  return sum + (share > 1 ? std::log(share) : 0);
}

Resources ReservationFor(const Simulation& aSim, const TaskTruth& aTask) {
  Resources demand{aTask.declaredProcessorsMilli, aTask.memoryMb, 0};
  if (UsesEstimates(aSim.settings.policy)) {
    const auto factors = placement::FactorsFor(aSim.sizes, aTask.classIndex);
    demand.processorsMilli = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(static_cast<double>(demand.processorsMilli) *
                                  factors.processors),
        100, 24000);
  }
  return demand;
}

bool TryStart(Simulation& aSim, WaitingTask& aWaiting, double aNow) {
  const TaskTruth& truth = aSim.tasks[aWaiting.task];
  placement::TaskRequest request;
  request.demand = ReservationFor(aSim, truth);
  request.classIndex = truth.classIndex;
  // The slowdown limit of an evicted task is widened as if it had waited since
  // its arrival.
  request.waitedSeconds = aNow - truth.arrivesAt;
  const auto worker = Place(aSim.settings.policy, aSim.views, aSim.table,
                            request, aSim.settings.weights);
  if (!worker) {
    return false;
  }
  RunningTask running;
  running.number = aSim.nextNumber++;
  running.task = aWaiting.task;
  running.done =
      aWaiting.done - (aWaiting.evictions > 0 ? kRestartCostSeconds : 0);
  running.attemptStartedAt = aNow;
  running.reserved = request.demand;
  aSim.workers[*worker].running.push_back(running);
  RefreshView(aSim, *worker, aNow);
  if (!aWaiting.started) {
    aSim.waitSum += aNow - truth.arrivesAt;
    aSim.waitCount += 1;
  }
  return true;
}

void StartWaiting(Simulation& aSim, double aNow) {
  std::deque<WaitingTask> left;
  std::size_t tries = 0;
  while (!aSim.waiting.empty()) {
    WaitingTask waiting = aSim.waiting.front();
    aSim.waiting.pop_front();
    if (tries >= kMaxPlacementsTriedPerStep || !TryStart(aSim, waiting, aNow)) {
      left.push_back(waiting);
    }
    ++tries;
  }
  aSim.waiting = std::move(left);
}

void Evict(Simulation& aSim, std::size_t aWorker, std::uint64_t aNumber,
           double aNow) {
  auto& running = aSim.workers[aWorker].running;
  const auto found = std::find_if(
      running.begin(), running.end(),
      [&](const RunningTask& aTask) { return aTask.number == aNumber; });
  if (found == running.end()) {
    return;
  }
  // The interference-aware policies checkpoint a task before they stop it.
  // Under the baseline policies a task restarts from its last periodic
  // checkpoint.
  const double kept = UsesEstimates(aSim.settings.policy)
                          ? std::max(0.0, found->done)
                          : std::floor(std::max(0.0, found->done) /
                                       kCheckpointIntervalSeconds) *
                                kCheckpointIntervalSeconds;
  aSim.result.evictions += 1;
  aSim.result.lostWork +=
      std::max(0.0, found->done) - kept + kRestartCostSeconds;
  aSim.evictionsOf[found->task] += 1;
  WaitingTask waiting{found->task, kept, aSim.evictionsOf[found->task], true};
  running.erase(found);
  aSim.waiting.push_front(waiting);
  RefreshView(aSim, aWorker, aNow);
}

// The baseline policies respond to a tail above the limit by evicting the
// newest task.
void RespondByEvictingNewest(Simulation& aSim, const LateReport& aReport,
                             double aNow) {
  Worker& worker = aSim.workers[aReport.worker];
  aSim.views[aReport.worker].admissionStopped = aReport.slowdown > kTailLimit;
  if (aReport.slowdown <= kTailLimit || aNow < worker.noEvictionBefore ||
      worker.running.empty()) {
    return;
  }
  worker.noEvictionBefore =
      aNow + aSim.settings.reportLag + aSim.settings.reportInterval;
  Evict(aSim, aReport.worker, worker.running.back().number, aNow);
}

void RespondWithMitigations(Simulation& aSim, const LateReport& aReport,
                            double aNow) {
  Worker& worker = aSim.workers[aReport.worker];
  std::vector<placement::AttemptView> attempts;
  for (const RunningTask& task : worker.running) {
    placement::AttemptView view;
    view.attempt = task.number;
    view.classIndex = aSim.tasks[task.task].classIndex;
    view.throttled = task.throttled;
    view.lostSeconds = kRestartCostSeconds;
    view.evictions = aSim.evictionsOf[task.task];
    attempts.push_back(view);
  }
  placement::TailReport report;
  report.service = worker.service;
  report.load = aReport.load;
  report.slowdown = aReport.slowdown;
  report.sampledAt = At(aReport.sampledAt);
  placement::TailSettings settings;
  settings.enterSlowdown = kTailLimit;
  const auto steps = placement::RespondToTail(
      worker.response, settings, aSim.table, report, attempts, At(aNow));
  for (const placement::Mitigation& step : steps) {
    if (step.kind == placement::MitigationKind::Evict) {
      Evict(aSim, aReport.worker, step.attempt, aNow);
      continue;
    }
    for (RunningTask& task : worker.running) {
      if (task.number == step.attempt) {
        task.throttled = step.kind == placement::MitigationKind::Throttle;
      }
    }
  }
  aSim.views[aReport.worker].admissionStopped =
      worker.response.admissionStopped;
  RefreshView(aSim, aReport.worker, aNow);
}

void Learn(Simulation& aSim, const LateReport& aReport) {
  const Worker& worker = aSim.workers[aReport.worker];
  const auto composition = placement::CompositionAt(
      worker.history, At(aReport.sampledAt),
      Seconds(static_cast<std::int64_t>(aSim.settings.reportInterval)));
  if (composition) {
    placement::Observe(aSim.table, worker.service, *composition,
                       placement::BandOf(aReport.load),
                       std::log(aReport.slowdown));
  }
}

void DeliverReports(Simulation& aSim, double aNow) {
  while (!aSim.reports.empty() && aSim.reports.front().arrivesAt <= aNow) {
    const LateReport report = aSim.reports.front();
    aSim.reports.pop_front();
    aSim.views[report.worker].services[0].load = report.load;
    if (UsesEstimates(aSim.settings.policy)) {
      Learn(aSim, report);
      RespondWithMitigations(aSim, report, aNow);
    } else {
      RespondByEvictingNewest(aSim, report, aNow);
    }
  }
}

void ServeCalls(Simulation& aSim, std::size_t aWorker, double aNow,
                double aLoad, double aSlowdown) {
  // Each of kCallsPerStep possible calls arrives with probability aLoad and has
  // an exponential service time.
  for (int call = 0; call < kCallsPerStep; ++call) {
    if (NextUnit(aSim.noise) > aLoad) {
      continue;
    }
    const double service = -std::log(1 - NextUnit(aSim.noise));
    aSim.latencies.push_back(static_cast<float>(service * aSlowdown));
  }
  const auto step = static_cast<std::int64_t>(aNow);
  const auto every = static_cast<std::int64_t>(aSim.settings.reportInterval);
  if ((step + static_cast<std::int64_t>(aWorker)) % every == 0) {
    LateReport report;
    report.sampledAt = aNow;
    report.arrivesAt = aNow + aSim.settings.reportLag;
    report.worker = aWorker;
    report.load = aLoad;
    report.slowdown = aSlowdown * std::exp(kReportNoise * Normal(aSim.noise));
    aSim.reports.push_back(report);
  }
}

void AdvanceTasks(Simulation& aSim, std::size_t aWorker, double aNow,
                  double aLoad) {
  auto& running = aSim.workers[aWorker].running;
  bool changed = false;
  for (std::size_t index = 0; index < running.size();) {
    RunningTask& task = running[index];
    const TaskTruth& truth = aSim.tasks[task.task];
    const double slowdown = std::exp(
        TrueLogSlowdown(aSim, aWorker, truth.classIndex, aLoad, task.number));
    task.done += ActiveFraction(task) / slowdown;
    if (task.done < truth.workSeconds) {
      ++index;
      continue;
    }
    placement::CorrectionFactors ratios;
    ratios.processors = static_cast<double>(truth.usedProcessorsMilli) /
                        static_cast<double>(truth.declaredProcessorsMilli);
    ratios.runTime = truth.workSeconds / truth.declaredSeconds;
    placement::ObserveAttempt(aSim.sizes, truth.classIndex, ratios);
    aSim.result.tasksEnded += 1;
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
    changed = true;
  }
  if (changed) {
    RefreshView(aSim, aWorker, aNow);
  }
}

double Quantile(std::vector<float>& aValues, double aShare) {
  const auto position = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + position, aValues.end());
  return static_cast<double>(aValues[static_cast<std::size_t>(position)]);
}

Simulation MakeSimulation(const RunSettings& aSettings) {
  Simulation sim;
  sim.settings = aSettings;
  const Deployment& deployment = aSettings.deployment;
  const std::size_t classes =
      deployment.serviceClasses + deployment.batchClasses;
  Random random{aSettings.seed};
  sim.truth = MakePairTruth(deployment.serviceClasses, classes, random);
  if (!aSettings.emptyHosts) {
    sim.tasks = MakeTasks(deployment, aSettings.seconds, random);
  }
  sim.evictionsOf.assign(sim.tasks.size(), 0);
  sim.noise = Random{aSettings.seed + 1000};
  sim.workers.resize(deployment.workers);
  sim.views.resize(deployment.workers);
  sim.table = placement::MakeInterference(classes, {});
  placement::SizeCorrectionSettings sizes;
  sizes.processorsAsDeclared = aSettings.policy != Policy::AwareObservedSizes;
  sim.sizes = placement::MakeSizeCorrection(classes, sizes);
  for (std::size_t index = 0; index < deployment.workers; ++index) {
    sim.workers[index].service =
        static_cast<ClassIndex>(index % deployment.serviceClasses);
    sim.views[index].rack =
        static_cast<std::uint32_t>(index) / deployment.workersPerRack;
    sim.views[index].services = {{sim.workers[index].service, 0.5}};
    RefreshView(sim, index, 0);
  }
  return sim;
}

}  // namespace

RunResult Run(const RunSettings& aSettings) {
  Simulation sim = MakeSimulation(aSettings);
  for (double now = 1; now <= aSettings.seconds; now += 1) {
    while (sim.nextArrival < sim.tasks.size() &&
           sim.tasks[sim.nextArrival].arrivesAt <= now) {
      sim.waiting.push_back(WaitingTask{sim.nextArrival, 0, 0, false});
      ++sim.nextArrival;
    }
    DeliverReports(sim, now);
    StartWaiting(sim, now);
    for (std::size_t index = 0; index < sim.workers.size(); ++index) {
      const double load = ServiceLoad(index, now, aSettings.seconds);
      const double slowdown = std::exp(
          TrueLogSlowdown(sim, index, sim.workers[index].service, load, 0));
      ServeCalls(sim, index, now, load, slowdown);
      AdvanceTasks(sim, index, now, load);
    }
  }
  for (const Worker& worker : sim.workers) {
    for (const RunningTask& task : worker.running) {
      sim.result.workDone += std::max(0.0, task.done);
    }
  }
  for (const WaitingTask& task : sim.waiting) {
    sim.result.workDone += task.done;
  }
  std::vector<bool> unfinished(sim.tasks.size(), false);
  for (const Worker& worker : sim.workers) {
    for (const RunningTask& task : worker.running) {
      unfinished[task.task] = true;
    }
  }
  for (const WaitingTask& task : sim.waiting) {
    unfinished[task.task] = true;
  }
  for (std::size_t index = 0; index < sim.tasks.size(); ++index) {
    sim.result.workOffered += sim.tasks[index].workSeconds;
    if (!unfinished[index]) {
      sim.result.workDone += sim.tasks[index].workSeconds;
    }
  }
  sim.result.meanWait = sim.waitCount > 0 ? sim.waitSum / sim.waitCount : 0;
  sim.result.p50 = Quantile(sim.latencies, 0.5);
  sim.result.p99 = Quantile(sim.latencies, 0.99);
  sim.result.p999 = Quantile(sim.latencies, 0.999);
  return sim.result;
}

}  // namespace bramleypath::bench
