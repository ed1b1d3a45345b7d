#include "tests/workflow/WorkerModel.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bramleypath::workflow {

namespace {

constexpr double kMicrosPerMs = 1000;

void End(WorkerModel& aWorker, const std::string& aTask, EndKind aKind) {
  EndedAttempt row;
  row.number = ++aWorker.lastEnd;
  row.task = aWorker.names.at(aTask);
  row.attempt = aWorker.running.at(aTask).attempt;
  row.kind = aKind;
  aWorker.finished[aTask] = std::max(aWorker.finished[aTask], row.attempt);
  aWorker.running.erase(aTask);
  aWorker.ended.push_back(row);
}

RequestAnswer Refuse(const WorkerModel& aWorker, const char* aReason,
                     TimePoint aNow) {
  RequestAnswer answer;
  answer.outcome = RequestOutcome::Refused;
  answer.reason = aReason;
  answer.clockMs = ClockOf(aWorker, aNow);
  answer.startedUnixMs = aWorker.spec.startedUnixMs;
  return answer;
}

RequestAnswer Accept(const WorkerModel& aWorker, TimePoint aNow) {
  RequestAnswer answer = Refuse(aWorker, "", aNow);
  answer.outcome = RequestOutcome::Done;
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
      End(aWorker, task,
          run.isStopping ? EndKind::Stopped
          : run.fails    ? EndKind::Failed
                         : EndKind::Done);
    }
  }
}

RequestAnswer Handle(WorkerModel& aWorker, const StartRequest& aRequest,
                     Random& aRandom, TimePoint aNow) {
  Advance(aWorker, aRandom, aNow);
  if (!AcceptEpoch(aWorker, aRequest.epoch)) {
    return Refuse(aWorker, "fence", aNow);
  }
  const std::int64_t clock = ClockOf(aWorker, aNow);
  const std::string task = TextOf(aRequest.task);
  if (clock >= aRequest.untilWorkerMs) {
    return Refuse(aWorker, "late", aNow);
  }
  if (aWorker.refusesStarts) {
    return Refuse(aWorker, "full", aNow);
  }
  aWorker.untilMs = std::max(aWorker.untilMs, aRequest.untilWorkerMs);
  const auto running = aWorker.running.find(task);
  if (running != aWorker.running.end()) {
    return running->second.attempt == aRequest.attempt
               ? Accept(aWorker, aNow)
               : Refuse(aWorker, "old", aNow);
  }
  const auto finished = aWorker.finished.find(task);
  if (finished != aWorker.finished.end() &&
      aRequest.attempt <= finished->second) {
    return Refuse(aWorker, "old", aNow);
  }
  WorkerModel::Running run;
  run.attempt = aRequest.attempt;
  run.startedAtMs = clock;
  run.endsAtMs = aRequest.task.job.value == aWorker.endlessJob
                     ? std::numeric_limits<std::int64_t>::max()
                     : clock + aWorker.runMs;
  run.fails = NextUnit(aRandom) < aWorker.failureShare;
  aWorker.running[task] = run;
  aWorker.names[task] = aRequest.task;
  return Accept(aWorker, aNow);
}

RequestAnswer Handle(WorkerModel& aWorker, const StopRequest& aRequest,
                     Random& aRandom, TimePoint aNow) {
  Advance(aWorker, aRandom, aNow);
  if (!AcceptEpoch(aWorker, aRequest.epoch)) {
    return Refuse(aWorker, "fence", aNow);
  }
  const std::string task = TextOf(aRequest.task);
  const auto running = aWorker.running.find(task);
  if (running != aWorker.running.end() &&
      running->second.attempt <= aRequest.attempt) {
    if (aWorker.stopMs == 0) {
      End(aWorker, task, EndKind::Stopped);
    } else if (!running->second.isStopping) {
      running->second.isStopping = true;
      running->second.endsAtMs = ClockOf(aWorker, aNow) + aWorker.stopMs;
    }
  }
  aWorker.finished[task] = std::max(aWorker.finished[task], aRequest.attempt);
  return Accept(aWorker, aNow);
}

RequestAnswer Handle(WorkerModel& aWorker, const PaceRequest& aRequest,
                     TimePoint aNow) {
  if (!AcceptEpoch(aWorker, aRequest.epoch)) {
    return Refuse(aWorker, "fence", aNow);
  }
  const auto running = aWorker.running.find(TextOf(aRequest.task));
  if (running != aWorker.running.end() &&
      running->second.attempt == aRequest.attempt) {
    running->second.pace = aRequest.percent;
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

RenewLeaseAnswer Handle(WorkerModel& aWorker, const RenewLeaseRequest& aRequest,
                        Random& aRandom, TimePoint aNow) {
  Advance(aWorker, aRandom, aNow);
  RenewLeaseAnswer answer;
  if (!AcceptEpoch(aWorker, aRequest.epoch)) {
    answer.result = Refuse(aWorker, "fence", aNow);
    return answer;
  }
  answer.result = Accept(aWorker, aNow);
  aWorker.untilMs = std::max(aWorker.untilMs, aRequest.untilWorkerMs);
  const std::int64_t clock = ClockOf(aWorker, aNow);
  for (const auto& [task, run] : aWorker.running) {
    constexpr std::int64_t kPercent = 100;
    RunningAttempt row;
    row.task = aWorker.names.at(task);
    row.attempt = run.attempt;
    row.percent = static_cast<std::uint32_t>(
        kPercent * (clock - run.startedAtMs) /
        std::max<std::int64_t>(1, run.endsAtMs - run.startedAtMs));
    if (row.task.job.value == aWorker.servingJob) {
      // A long-running task that is at work.
      row.percent = kPercent;
      row.load = TailOf(aWorker);
    } else if (row.task.job.value == aWorker.fillerJob) {
      row.load = aWorker.fillerMilli * run.pace / kPercent;
    }
    answer.running.push_back(row);
  }
  for (const EndedAttempt& row : aWorker.ended) {
    if (row.number > aRequest.lastSeen) {
      answer.ended.push_back(row);
    }
  }
  aWorker.ended = answer.ended;
  return answer;
}

namespace {

bool IsDeadly(const WorkerModel& aWorker, const std::string& aTask) {
  const TaskName& name = aWorker.names.at(aTask);
  return name.index == 0 && aWorker.deadlyJobs.count(name.job.value) > 0;
}

}  // namespace

bool RunsDeadlyTask(const WorkerModel& aWorker) {
  return std::any_of(
      aWorker.running.begin(), aWorker.running.end(),
      [&](const auto& aOne) { return IsDeadly(aWorker, aOne.first); });
}

bool CrashesNow(const WorkerModel& aWorker, TimePoint aNow) {
  constexpr std::int64_t kCrashAfterMs = 10;
  const std::int64_t clock = ClockOf(aWorker, aNow);
  return aWorker.up &&
         std::any_of(aWorker.running.begin(), aWorker.running.end(),
                     [&](const auto& aOne) {
                       return IsDeadly(aWorker, aOne.first) &&
                              clock >= aOne.second.startedAtMs + kCrashAfterMs;
                     });
}

void SetCapacity(WorkerModel& aWorker, const Resources& aCapacity,
                 TimePoint aNow) {
  aWorker.pastCapacities.push_back({aWorker.spec.capacity, aNow});
  aWorker.spec.capacity = aCapacity;
}

void Restart(WorkerModel& aWorker, TimePoint aNow) {
  WorkerModel next;
  next.spec = aWorker.spec;
  next.spec.startedUnixMs = aNow.micros + 2;
  next.clockRate = aWorker.clockRate;
  next.clockStartedAt = aNow;
  next.runMs = aWorker.runMs;
  next.stopMs = aWorker.stopMs;
  next.pastCapacities = aWorker.pastCapacities;
  next.failureShare = aWorker.failureShare;
  next.endlessJob = aWorker.endlessJob;
  next.deadlyJobs = aWorker.deadlyJobs;
  next.crashesBeforeAnswer = aWorker.crashesBeforeAnswer;
  aWorker = next;
}

}  // namespace bramleypath::workflow
