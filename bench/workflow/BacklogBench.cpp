#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <ctime>
#include <string>
#include <variant>
#include <vector>

#include "bench/workflow/BenchCell.h"
#include "bramleypath/workflow/Scheduler.h"

// Measures the processor time of the leader of a cell with 490 workers and
// 3,000 running attempts against the number of waiting tasks: one placement
// pass, one start from the decision to its answer, and one event that needs no
// placement. Goal: the cost does not grow with the backlog.
namespace bramleypath::workflow {
namespace {

constexpr std::size_t kWorkers = 490;
constexpr std::size_t kServingJobs = 210;
constexpr std::uint32_t kTasksPerServingJob = 9;
constexpr std::size_t kRunningJobs = 74;
constexpr std::uint32_t kTasksPerJob = 15;
constexpr std::size_t kImages = 18;
constexpr std::int64_t kSteadyClockMs = 1000;
constexpr Duration kEventInterval = Micros(500);
constexpr Duration kPassInterval = Millis(20);
constexpr std::size_t kEvents = 2000;
constexpr std::size_t kMaxStarts = 512;
constexpr int kRuns = 3;

struct Scenario {
  std::size_t waiting = 0;
  // Placements whose commit has not finished; at most the start window.
  std::size_t pending = 0;
};

constexpr Scenario kScenarios[] = {{0, 0},      {100, 0},   {500, 0},
                                   {1000, 0},   {2000, 0},  {5000, 0},
                                   {1000, 256}, {5000, 256}};

double ProcessorMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kMicrosPerSecond = 1e6;
  constexpr double kNanosPerMicro = 1e3;
  return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMicro;
}

// Places all tasks of the job on workers in turn.
void PlaceAll(Cell& aCell, JobNumber aJob, std::uint32_t aTasks,
              std::size_t& aNextWorker) {
  PlaceTasks places;
  for (std::uint32_t index = 0; index < aTasks; ++index) {
    const auto worker = static_cast<WorkerNumber>(aNextWorker++ % kWorkers + 1);
    places.tasks.push_back({TaskKey{aJob, 0, 0, index}, 1, worker});
  }
  Apply(aCell.state, places);
}

// A stage of batch work: every third one is a filler, every third one has a
// limit per worker.
StageSpec MakeBatchStage(std::size_t aJob, std::uint32_t aTasks) {
  constexpr std::size_t kKinds = 3;
  StageSpec stage = MakeStage(aTasks, 1500);
  stage.filler = aJob % kKinds == 0;
  stage.maxPerWorker = aJob % kKinds == 1 ? 2 : 0;
  stage.image = "batch" + std::to_string(aJob % kImages);
  return stage;
}

Cell MakeCell(std::size_t aWaiting) {
  Cell cell;
  Apply(cell.state, SetLayout{MakeLayout()});
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    Apply(cell.state, RegisterWorker{MakeWorker(worker)});
  }
  std::size_t nextWorker = 0;
  for (std::size_t job = 0; job < kServingJobs; ++job) {
    StageSpec serving = MakeStage(kTasksPerServingJob, 2000);
    serving.longRunning = true;
    serving.tailTargetMs = 18;
    serving.image = "serving" + std::to_string(job % kImages);
    PlaceAll(cell, cell.Accept(serving), kTasksPerServingJob, nextWorker);
  }
  for (std::size_t job = 0; job < kRunningJobs; ++job) {
    PlaceAll(cell, cell.Accept(MakeBatchStage(job, kTasksPerJob)), kTasksPerJob,
             nextWorker);
  }
  for (std::size_t left = aWaiting; left > 0;) {
    const auto tasks =
        static_cast<std::uint32_t>(left < kTasksPerJob ? left : kTasksPerJob);
    cell.Accept(MakeBatchStage(cell.jobs, tasks));
    left -= tasks;
  }
  return cell;
}

Scheduler MakeLeader(const Cell& aCell) {
  Scheduler scheduler = MakeScheduler(SchedulerSettings(), 1, aCell.state,
                                      LeaseEnds(), 1, aCell.now);
  for (const auto& [number, worker] : aCell.state.workers) {
    OnAnnounced(scheduler, number, kSteadyClockMs, aCell.now);
  }
  return scheduler;
}

// A leader and the processor time that it has used.
struct Run {
  Cell cell;
  Scheduler scheduler;
  double micros = 0;
  std::size_t starts = 0;

  SchedulerActions Tick() {
    this->cell.now = this->cell.now + kEventInterval;
    const double begin = ProcessorMicros();
    SchedulerActions actions =
        OnTick(this->scheduler, this->cell.state, this->cell.now, 0);
    this->micros += ProcessorMicros() - begin;
    return actions;
  }

  // Handles the commit of a batch; the starts follow with the next tick.
  void Complete(const Commit& aCommit) {
    for (const Command& command : aCommit.commands) {
      Apply(this->cell.state, command);
    }
    const double begin = ProcessorMicros();
    SchedulerActions actions = OnCommitted(this->scheduler, this->cell.state,
                                           aCommit, true, this->cell.now);
    this->micros += ProcessorMicros() - begin;
    this->Collect(std::move(actions));
  }

  // Handles the answer to a start, with a tick afterwards as in the controller.
  void Answer(const SendStart& aStart) {
    RequestAnswer answer;
    answer.outcome = RequestOutcome::Done;
    ++this->starts;
    const double begin = ProcessorMicros();
    OnStartAnswer(this->scheduler, this->cell.state, aStart, answer,
                  this->cell.now);
    this->micros += ProcessorMicros() - begin;
    this->Collect(this->Tick());
  }

  void Collect(SchedulerActions aActions) {
    for (SchedulerAction& action : aActions) {
      if (auto* const commit = std::get_if<Commit>(&action)) {
        this->open.push_back(std::move(*commit));
      } else if (auto* const start = std::get_if<SendStart>(&action)) {
        this->sent.push_back(std::move(*start));
      }
    }
  }

  std::deque<SendStart> sent;
  std::vector<Commit> open;
};

Run MakeRun(const Scenario& aScenario) {
  Run run;
  run.cell = MakeCell(aScenario.waiting);
  run.scheduler = MakeLeader(run.cell);
  while (run.scheduler.pendingPlacements.size() < aScenario.pending) {
    run.scheduler.dispatchWanted = true;
    run.cell.now = run.cell.now + kPassInterval;
    run.Tick();
  }
  run.cell.now = run.cell.now + kPassInterval;
  run.scheduler.dispatchWanted = true;
  run.micros = 0;
  return run;
}

double MeasurePass(const Scenario& aScenario, std::size_t& aPlaced) {
  double least = 0;
  for (int index = 0; index < kRuns; ++index) {
    Run run = MakeRun(aScenario);
    aPlaced = CountPlaced(run.Tick());
    least = index == 0 || run.micros < least ? run.micros : least;
  }
  return least;
}

double MeasureStart(const Scenario& aScenario) {
  Run run = MakeRun(aScenario);
  constexpr int kMaxIdleTicks = 100;
  for (int idle = 0; run.starts < kMaxStarts && idle < kMaxIdleTicks; ++idle) {
    run.Collect(run.Tick());
    while (!run.open.empty()) {
      const Commit commit = std::move(run.open.front());
      run.open.erase(run.open.begin());
      run.Complete(commit);
      idle = 0;
    }
    while (!run.sent.empty() && run.starts < kMaxStarts) {
      const SendStart start = std::move(run.sent.front());
      run.sent.pop_front();
      run.Answer(start);
    }
  }
  return run.starts == 0 ? 0 : run.micros / static_cast<double>(run.starts);
}

// Cost of a tick after an event that asks for no placement pass.
double MeasureEvent(const Scenario& aScenario) {
  Run run = MakeRun(aScenario);
  run.Tick();
  run.micros = 0;
  for (std::size_t event = 0; event < kEvents; ++event) {
    run.scheduler.dispatchWanted = false;
    run.scheduler.nextDispatchAt = run.cell.now;
    run.Tick();
  }
  return run.micros / static_cast<double>(kEvents);
}

void Measure(const Scenario& aScenario) {
  std::size_t placed = 0;
  const double pass = MeasurePass(aScenario, placed);
  const double start = MeasureStart(aScenario);
  const double event = MeasureEvent(aScenario);
  std::printf(
      "%5zu waiting, %5zu pending: pass %9.0f us (%3zu placed), start %8.1f "
      "us, event %7.1f us\n",
      aScenario.waiting, aScenario.pending, pass, placed, start, event);
  std::fflush(stdout);
}

}  // namespace
}  // namespace bramleypath::workflow

int main() {
  for (const bramleypath::workflow::Scenario& scenario :
       bramleypath::workflow::kScenarios) {
    bramleypath::workflow::Measure(scenario);
  }
  return 0;
}
