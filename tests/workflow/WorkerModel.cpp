#include "tests/workflow/WorkerModel.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::workflow {

namespace {

constexpr double kMicrosPerMs = 1000;

void End(WorkerModel& aWorker, const std::string& aTask, EndKind aKind) {
  EndedRow row;
  row.number = ++aWorker.lastEnd;
  row.task = aWorker.names.at(aTask);
  row.attempt = aWorker.running.at(aTask).attempt;
  row.kind = aKind;
  aWorker.finished[aTask] = std::max(aWorker.finished[aTask], row.attempt);
  aWorker.running.erase(aTask);
  aWorker.ended.push_back(row);
}

OrderAnswer Refuse(const WorkerModel& aWorker, const char* aReason,
                   TimePoint aNow) {
  OrderAnswer answer;
  answer.outcome = OrderOutcome::Refused;
  answer.reason = aReason;
  answer.clockMs = ClockOf(aWorker, aNow);
  answer.startedUnixMs = aWorker.spec.startedUnixMs;
  return answer;
}

OrderAnswer Accept(const WorkerModel& aWorker, TimePoint aNow) {
  OrderAnswer answer = Refuse(aWorker, "", aNow);
  answer.outcome = OrderOutcome::Done;
  return answer;
}

// Returns false for a request of an earlier leader.
bool AcceptEpoch(WorkerModel& aWorker, Epoch aEpoch) {
  if (aEpoch < aWorker.epoch) {
    return false;
  }
  aWorker.epoch = aEpoch;
  return true;
}

}  // namespace

std::string TextOf(const TaskName& aName) {
  return aName.job.value + "." + std::to_string(aName.occurrence) + "." +
         std::to_string(aName.stage) + "." + std::to_string(aName.index);
}

std::int64_t ClockOf(const WorkerModel& aWorker, TimePoint aNow) {
  const auto age = static_cast<double>((aNow - aWorker.clockStartedAt).micros);
  return 1 + static_cast<std::int64_t>(age * aWorker.clockRate / kMicrosPerMs);
}

void Advance(WorkerModel& aWorker, Random& /*aRandom*/, TimePoint aNow) {
  if (!aWorker.up) {
    return;
  }
  const std::int64_t clock = ClockOf(aWorker, aNow);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : aWorker.running) {
    tasks.push_back(task);
  }
  for (const std::string& task : tasks) {
    const WorkerModel::Running& run = aWorker.running.at(task);
    if (clock >= aWorker.untilMs) {
      End(aWorker, task, EndKind::LeaseExpired);
    } else if (clock >= run.endsAtMs) {
      End(aWorker, task, run.fails ? EndKind::Failed : EndKind::Done);
    }
  }
}

OrderAnswer Handle(WorkerModel& aWorker, const StartOrder& aOrder,
                   Random& aRandom, TimePoint aNow) {
  Advance(aWorker, aRandom, aNow);
  if (!AcceptEpoch(aWorker, aOrder.epoch)) {
    return Refuse(aWorker, "fence", aNow);
  }
  const std::int64_t clock = ClockOf(aWorker, aNow);
  const std::string task = TextOf(aOrder.task);
  if (clock >= aOrder.untilWorkerMs) {
    return Refuse(aWorker, "late", aNow);
  }
  aWorker.untilMs = std::max(aWorker.untilMs, aOrder.untilWorkerMs);
  const auto running = aWorker.running.find(task);
  if (running != aWorker.running.end()) {
    return running->second.attempt == aOrder.attempt
               ? Accept(aWorker, aNow)
               : Refuse(aWorker, "old", aNow);
  }
  const auto finished = aWorker.finished.find(task);
  if (finished != aWorker.finished.end() &&
      aOrder.attempt <= finished->second) {
    return Refuse(aWorker, "old", aNow);
  }
  WorkerModel::Running run;
  run.attempt = aOrder.attempt;
  run.startedAtMs = clock;
  run.endsAtMs = clock + aWorker.runMs;
  run.fails = NextUnit(aRandom) < aWorker.failureShare;
  aWorker.running[task] = run;
  aWorker.names[task] = aOrder.task;
  return Accept(aWorker, aNow);
}

OrderAnswer Handle(WorkerModel& aWorker, const StopOrder& aOrder,
                   Random& aRandom, TimePoint aNow) {
  Advance(aWorker, aRandom, aNow);
  if (!AcceptEpoch(aWorker, aOrder.epoch)) {
    return Refuse(aWorker, "fence", aNow);
  }
  const std::string task = TextOf(aOrder.task);
  const auto running = aWorker.running.find(task);
  if (running != aWorker.running.end() &&
      running->second.attempt <= aOrder.attempt) {
    End(aWorker, task, EndKind::Stopped);
  }
  aWorker.finished[task] = std::max(aWorker.finished[task], aOrder.attempt);
  return Accept(aWorker, aNow);
}

OrderAnswer Handle(WorkerModel& aWorker, const PaceOrder& aOrder,
                   TimePoint aNow) {
  if (!AcceptEpoch(aWorker, aOrder.epoch)) {
    return Refuse(aWorker, "fence", aNow);
  }
  const auto running = aWorker.running.find(TextOf(aOrder.task));
  if (running != aWorker.running.end() &&
      running->second.attempt == aOrder.attempt) {
    running->second.pace = aOrder.percent;
  }
  return Accept(aWorker, aNow);
}

std::uint32_t TailOf(const WorkerModel& aWorker) {
  constexpr double kFullPace = 100;
  double tailMs = aWorker.tailAloneMs;
  for (const auto& [task, run] : aWorker.running) {
    if (aWorker.names.at(task).job.value == aWorker.fillerJob) {
      tailMs +=
          (aWorker.tailBesideMs - aWorker.tailAloneMs) * run.pace / kFullPace;
    }
  }
  return static_cast<std::uint32_t>(std::lround(tailMs));
}

HoldAnswer Handle(WorkerModel& aWorker, const HoldOrder& aOrder,
                  Random& aRandom, TimePoint aNow) {
  Advance(aWorker, aRandom, aNow);
  HoldAnswer answer;
  if (!AcceptEpoch(aWorker, aOrder.epoch)) {
    answer.order = Refuse(aWorker, "fence", aNow);
    return answer;
  }
  answer.order = Accept(aWorker, aNow);
  aWorker.untilMs = std::max(aWorker.untilMs, aOrder.untilWorkerMs);
  const std::int64_t clock = ClockOf(aWorker, aNow);
  for (const auto& [task, run] : aWorker.running) {
    constexpr std::int64_t kPercent = 100;
    RunningRow row;
    row.task = aWorker.names.at(task);
    row.attempt = run.attempt;
    row.percent = static_cast<std::uint32_t>(
        kPercent * (clock - run.startedAtMs) /
        std::max<std::int64_t>(1, run.endsAtMs - run.startedAtMs));
    if (row.task.job.value == aWorker.servingJob) {
      row.load = TailOf(aWorker);
    } else if (row.task.job.value == aWorker.fillerJob) {
      row.load = aWorker.fillerMilli * run.pace / kPercent;
    }
    answer.running.push_back(row);
  }
  for (const EndedRow& row : aWorker.ended) {
    if (row.number > aOrder.lastSeen) {
      answer.ended.push_back(row);
    }
  }
  aWorker.ended = answer.ended;
  return answer;
}

void Restart(WorkerModel& aWorker, TimePoint aNow) {
  WorkerModel next;
  next.spec = aWorker.spec;
  next.spec.startedUnixMs = aNow.micros + 2;
  next.clockRate = aWorker.clockRate;
  next.clockStartedAt = aNow;
  next.runMs = aWorker.runMs;
  next.failureShare = aWorker.failureShare;
  aWorker = next;
}

}  // namespace bramleypath::workflow
