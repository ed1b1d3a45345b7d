#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Scheduler.h"

// Measures the costs of a cell leader's scheduler: elapsed time per
// operation, bytes on the wire as an estimate from CBOR sizes, and memory per
// worker and task. Proposals commit at once, so the results include no time of
// consensus or sockets.
namespace bramleypath::cell {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kTasksPerWorker = 12;
constexpr std::size_t kRounds = 20;
const Resources kCapacity{32000, 125000, 1};
const Resources kTask{2000, 8000, 0};

double Micros(Clock::time_point aStart) {
  return std::chrono::duration<double, std::micro>(Clock::now() - aStart)
      .count();
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

// Estimated size of a batch without its commands; map keys are one byte each in
// CBOR.
constexpr std::size_t kBatchBytes = 40;
constexpr std::size_t kCommandBytes = 16;
// Task index and attempt number of an acknowledged attempt.
constexpr std::size_t kAttemptNumberBytes = 6;
// Estimated size of a report: worker, incarnation, timestamp, digest and count.
constexpr std::size_t kReportBytes = 40;

std::size_t WireBytes(const CommandBatch& aBatch) {
  std::size_t bytes = kBatchBytes + aBatch.worker.value.size();
  for (const WorkerCommand& command : aBatch.commands) {
    bytes += kCommandBytes + command.attempt.task.job.value.size() +
             command.clientAccount.value.size() + command.classId.value.size();
  }
  for (const AttemptId& id : aBatch.acknowledged) {
    bytes += id.task.job.value.size() + kAttemptNumberBytes;
  }
  return bytes;
}

struct Cost {
  double micros = 0;
  double worstMicros = 0;
  std::size_t count = 0;
  std::size_t bytes = 0;
};

struct Bench {
  Scheduler scheduler;
  CellState state;
  TimePoint now{0};
  std::vector<CommandBatch> batches;
  std::deque<ProposeCommand> proposals;

  void Step(const EventBody& aBody, Cost& aCost) {
    const auto start = Clock::now();
    Actions actions =
        cell::Step(this->scheduler, this->state, Event{true, aBody}, this->now);
    const double micros = Micros(start);
    aCost.micros += micros;
    aCost.worstMicros = std::max(aCost.worstMicros, micros);
    for (Action& action : actions) {
      if (auto* proposal = std::get_if<ProposeCommand>(&action)) {
        this->proposals.push_back(std::move(*proposal));
      } else if (auto* send = std::get_if<SendCommands>(&action)) {
        aCost.bytes += WireBytes(send->batch);
        this->batches.push_back(std::move(send->batch));
      }
    }
  }

  void Commit(const Command& aCommand, std::uint64_t aToken, Cost& aCost) {
    const auto start = Clock::now();
    const auto bytes = EncodeCommand(aCommand);
    const auto decoded = DecodeCommand(bytes);
    const Outcome outcome = Apply(this->state, *decoded);
    aCost.micros += Micros(start);
    this->Step(CommandCommitted{aToken, aCommand, outcome}, aCost);
  }

  void CommitAll(Cost& aCost) {
    while (!this->proposals.empty()) {
      const ProposeCommand proposal = std::move(this->proposals.front());
      this->proposals.pop_front();
      this->Commit(proposal.command, proposal.token, aCost);
    }
  }
};

std::string WorkerName(std::size_t aIndex) {
  return "worker-" + std::to_string(aIndex);
}

WorkerMessage ReportOf(const Bench& aBench, std::size_t aIndex) {
  WorkerMessage message;
  message.worker = WorkerId(WorkerName(aIndex));
  message.incarnation = 1;
  message.timestamp = aBench.now.micros;
  for (const auto& [id, resources] :
       aBench.state.workers.at(message.worker).reservations) {
    message.runningDigest ^= DigestOf(id);
    ++message.runningCount;
  }
  return message;
}

JobSpec MakeJob(const std::string& aId, std::size_t aTasks) {
  JobSpec spec;
  spec.id = JobId(aId);
  spec.clientAccount = ClientAccountId("member");
  spec.classId = ClassId("reconciliation");
  spec.taskCount = static_cast<std::uint32_t>(aTasks);
  spec.perTask = kTask;
  return spec;
}

void Print(const char* aName, std::size_t aWorkers, const Cost& aCost) {
  const double count = static_cast<double>(aCost.count);
  std::printf(
      "cell workers=%zu %s us_each=%.2f worst_us=%.1f wire_bytes_estimate=%.1f "
      "n=%zu\n",
      aWorkers, aName, aCost.micros / count, aCost.worstMicros,
      static_cast<double>(aCost.bytes) / count, aCost.count);
}

void AddWorkers(Bench& aBench, std::size_t aWorkers) {
  Cost ignored;
  aBench.Step(LeadershipGained{1}, ignored);
  for (std::size_t index = 0; index < aWorkers; ++index) {
    WorkerMessage message;
    message.worker = WorkerId(WorkerName(index));
    message.incarnation = 1;
    message.timestamp = aBench.now.micros;
    const WorkerAnnounced announced{
        message, kCapacity, RackId("rack-" + std::to_string(index / 8))};
    for (int repeat = 0; repeat < 2; ++repeat) {
      aBench.Step(announced, ignored);
      aBench.CommitAll(ignored);
    }
  }
}

// Submits jobs of one task each, like the starts at a peak.
void MeasureStarts(Bench& aBench, std::size_t aWorkers) {
  Cost placement;
  Cost start;
  const std::size_t tasks = aWorkers * kTasksPerWorker;
  for (std::size_t index = 0; index < tasks; ++index) {
    const std::string id = "job-" + std::to_string(index);
    const SubmitJob submit{RequestId("r" + id), MakeJob(id, 1)};
    const Outcome outcome = Apply(aBench.state, submit);
    aBench.Step(CommandCommitted{0, submit, outcome}, placement);
    aBench.CommitAll(start);
  }
  placement.count = tasks;
  start.count = tasks;
  Print("placement", aWorkers, placement);
  Print("start", aWorkers, start);
}

void MeasureReports(Bench& aBench, std::size_t aWorkers) {
  Cost report;
  Cost round;
  Cost tick;
  for (std::size_t turn = 0; turn < kRounds; ++turn) {
    aBench.now = aBench.now + Seconds(2);
    Cost one;
    for (std::size_t index = 0; index < aWorkers; ++index) {
      const WorkerReported reported{ReportOf(aBench, index)};
      aBench.Step(reported, turn == 0 ? one : report);
      one.bytes += turn == 0 ? 0 : kReportBytes;
    }
    aBench.CommitAll(one);
    aBench.Step(Tick{}, tick);
    if (turn > 0) {
      ++round.count;
      report.count += aWorkers;
      report.bytes += aWorkers * kReportBytes;
    }
    ++tick.count;
  }
  round.micros = report.micros;
  round.bytes = report.bytes;
  Print("report_and_renewal", aWorkers, report);
  Print("lease_round", aWorkers, round);
  Print("tick", aWorkers, tick);
}

void MeasureCancel(Bench& aBench, std::size_t aWorkers) {
  Cost cancel;
  const std::size_t tasks = aWorkers * kTasksPerWorker;
  CancelJobs command{RequestId("cancel"), {}};
  for (std::size_t index = 0; index < tasks; ++index) {
    command.jobs.emplace_back("job-" + std::to_string(index));
  }
  aBench.Commit(command, 0, cancel);
  cancel.count = tasks;
  Print("cancel_task", aWorkers, cancel);
}

// Fills the cell first, then measures tasks that fit no worker and urgent tasks
// that preempt batch work.
void MeasureFullCell(Bench& aBench, std::size_t aWorkers) {
  constexpr std::size_t kTries = 20;
  Cost ignored;
  JobSpec filler =
      MakeJob("filler", std::min<std::size_t>(aWorkers * 4, 10000));
  filler.checkpointable = true;
  filler.evictionBudget = filler.taskCount;
  aBench.Commit(SubmitJob{RequestId("filler"), filler}, 0, ignored);
  while (!aBench.proposals.empty()) {
    aBench.CommitAll(ignored);
    aBench.Step(Tick{}, ignored);
  }
  Cost waiting;
  Cost preempting;
  for (std::size_t index = 0; index < kTries; ++index) {
    JobSpec spec = MakeJob("waits-" + std::to_string(index), 1);
    const auto submit = [&aBench](const JobSpec& aSpec, Cost& aCost) {
      const SubmitJob command{RequestId("r" + aSpec.id.value), aSpec};
      const Outcome outcome = Apply(aBench.state, command);
      aBench.Step(CommandCommitted{0, command, outcome}, aCost);
      ++aCost.count;
    };
    submit(spec, waiting);
    spec.id = JobId("urgent-" + std::to_string(index));
    spec.urgent = true;
    submit(spec, preempting);
    aBench.CommitAll(ignored);
  }
  Print("placement_without_room", aWorkers, waiting);
  Print("placement_by_preemption", aWorkers, preempting);
}

void MeasureSnapshot(const Bench& aBench, std::size_t aWorkers) {
  Cost take;
  const auto start = Clock::now();
  const auto bytes = TakeSnapshot(aBench.state);
  take.micros = Micros(start);
  take.bytes = bytes.size();
  take.count = 1;
  Print("snapshot", aWorkers, take);
}

// Measures each kind of event while aJobs jobs of different sizes wait in a
// full cell.
void MeasureBacklog(std::size_t aWorkers, std::size_t aJobs) {
  constexpr std::size_t kSizes = 97;
  Bench bench;
  Cost ignored;
  AddWorkers(bench, aWorkers);
  MeasureStarts(bench, aWorkers);
  Cost submitting;
  for (std::size_t index = 0; index < aJobs; ++index) {
    JobSpec spec = MakeJob("waits-" + std::to_string(index), 1);
    spec.perTask.processorsMilli +=
        static_cast<std::int64_t>(index % kSizes) * 100;
    spec.perTask.memoryMb += static_cast<std::int64_t>(kSizes - index % kSizes);
    const SubmitJob submit{RequestId("r" + spec.id.value), spec};
    bench.Commit(submit, 0, submitting);
    ++submitting.count;
  }
  bench.CommitAll(ignored);
  Cost report;
  Cost tick;
  for (std::size_t turn = 0; turn < kRounds; ++turn) {
    bench.now = bench.now + Seconds(2);
    for (std::size_t index = 0; index < aWorkers; ++index) {
      bench.Step(WorkerReported{ReportOf(bench, index)}, report);
      ++report.count;
    }
    bench.Step(Tick{}, tick);
    ++tick.count;
    bench.CommitAll(ignored);
    bench.batches.clear();
  }
  std::printf("cell backlog=%zu\n", aJobs);
  Print("submission", aWorkers, submitting);
  Print("report_and_renewal", aWorkers, report);
  Print("tick", aWorkers, tick);
  MeasureSnapshot(bench, aWorkers);
}

void Run(std::size_t aWorkers) {
  const std::size_t before = HeapBytes();
  Bench bench;
  AddWorkers(bench, aWorkers);
  const std::size_t withWorkers = HeapBytes();
  MeasureStarts(bench, aWorkers);
  bench.batches = {};
  const std::size_t withTasks = HeapBytes();
  std::printf(
      "cell workers=%zu memory bytes_per_worker=%zu bytes_per_task=%zu "
      "total_kb=%zu\n",
      aWorkers, (withWorkers - before) / aWorkers,
      (withTasks - withWorkers) / (aWorkers * kTasksPerWorker),
      (withTasks - before) / 1024);
  MeasureReports(bench, aWorkers);
  MeasureFullCell(bench, aWorkers);
  MeasureSnapshot(bench, aWorkers);
  MeasureCancel(bench, aWorkers);
}

}  // namespace
}  // namespace bramleypath::cell

int main() {
  for (const std::size_t workers : {100, 320, 400, 1600}) {
    bramleypath::cell::Run(workers);
  }
  constexpr std::size_t kBacklogWorkers = 320;
  for (const std::size_t jobs : {100, 1000, 5000, 15000}) {
    bramleypath::cell::MeasureBacklog(kBacklogWorkers, jobs);
  }
  return 0;
}
