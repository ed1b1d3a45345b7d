#include "bramleypath/workeragent/WorkerAgent.h"

#include <algorithm>
#include <utility>

namespace bramleypath::workeragent {

namespace {

using cell::AttemptId;
using cell::AttemptStatus;
using cell::CommandBatch;
using cell::CommandKind;
using cell::Confirmation;
using cell::EndEvent;
using cell::RunningState;
using cell::WorkerCommand;

void EndAttempt(WorkerAgent& aAgent, const AttemptId& aAttempt, EndEvent aEvent,
                const std::string& aCheckpoint) {
  aAgent.running.erase(aAttempt);
  EndedAttempt ended;
  ended.confirmation = Confirmation{aAttempt, aEvent, aCheckpoint};
  aAgent.ended.emplace(aAttempt, std::move(ended));
}

void AddStatus(WorkerAgent& aAgent, const AttemptId& aAttempt,
               RunningState aState, const std::string& aCheckpoint) {
  aAgent.statuses.push_back(AttemptStatus{aAttempt, aState, aCheckpoint});
}

std::uint64_t RunningDigest(const WorkerAgent& aAgent) {
  std::uint64_t digest = 0;
  for (const auto& [id, attempt] : aAgent.running) {
    digest ^= cell::DigestOf(id);
  }
  return digest;
}

RunningState RunningStateOf(const RunningAttempt& aAttempt) {
  return aAttempt.sharePercent < cell::kFullSharePercent
             ? RunningState::Throttled
             : RunningState::Running;
}

// What the commands of one batch share: the agent, the lease deadline that the
// batch grants, and the list to which they add their effects.
struct BatchContext {
  WorkerAgent& agent;
  TimePoint now;
  TimePoint leaseUntil;
  std::vector<Effect>& effects;
};

void ExtendLease(RunningAttempt& aAttempt, TimePoint aUntil) {
  aAttempt.leaseUntil = std::max(aAttempt.leaseUntil, aUntil);
}

void Start(const BatchContext& aContext, const WorkerCommand& aCommand) {
  WorkerAgent& agent = aContext.agent;
  const auto running = agent.running.find(aCommand.attempt);
  if (running != agent.running.end()) {
    ExtendLease(running->second, aContext.leaseUntil);
    AddStatus(agent, aCommand.attempt, RunningStateOf(running->second), "");
    return;
  }
  // A start has no effect on an attempt that ended here: its confirmation is
  // repeated with the next message. It has none either when its lease has
  // already expired, or when no further ended attempt could be remembered.
  if (agent.ended.count(aCommand.attempt) != 0 ||
      aContext.leaseUntil <= aContext.now ||
      agent.ended.size() >= kMaxEndedAttempts) {
    return;
  }
  RunningAttempt attempt;
  attempt.resources = aCommand.resources;
  attempt.leaseUntil = aContext.leaseUntil;
  agent.running.emplace(aCommand.attempt, std::move(attempt));
  AddStatus(agent, aCommand.attempt, RunningState::Running, "");
  aContext.effects.push_back(Effect{EffectKind::Start, aCommand});
}

void Throttle(const BatchContext& aContext, const WorkerCommand& aCommand,
              RunningAttempt& aAttempt) {
  if (aAttempt.sharePercent != aCommand.sharePercent) {
    aAttempt.sharePercent = aCommand.sharePercent;
    aContext.effects.push_back(Effect{EffectKind::Throttle, aCommand});
  }
  AddStatus(aContext.agent, aCommand.attempt, RunningStateOf(aAttempt), "");
}

void Checkpoint(const BatchContext& aContext, const WorkerCommand& aCommand,
                RunningAttempt& aAttempt) {
  if (!aAttempt.checkpoint.empty()) {
    AddStatus(aContext.agent, aCommand.attempt, RunningState::Checkpointed,
              aAttempt.checkpoint);
  } else if (!aAttempt.checkpointing) {
    aAttempt.checkpointing = true;
    aContext.effects.push_back(Effect{EffectKind::Checkpoint, aCommand});
  }
}

void Stop(const BatchContext& aContext, const WorkerCommand& aCommand) {
  WorkerAgent& agent = aContext.agent;
  const auto running = agent.running.find(aCommand.attempt);
  if (running != agent.running.end()) {
    const std::string checkpoint = running->second.checkpoint;
    EndAttempt(agent, aCommand.attempt, EndEvent::Stopped, checkpoint);
    aContext.effects.push_back(Effect{EffectKind::Stop, aCommand});
  } else if (agent.ended.size() < kMaxEndedAttempts) {
    // The start of this attempt may arrive after its stop; it is refused from
    // now on.
    EndAttempt(agent, aCommand.attempt, EndEvent::Stopped, "");
  }
}

void Execute(const BatchContext& aContext, const WorkerCommand& aCommand) {
  if (aCommand.kind == CommandKind::Start) {
    Start(aContext, aCommand);
    return;
  }
  if (aCommand.kind == CommandKind::Stop) {
    Stop(aContext, aCommand);
    return;
  }
  const auto running = aContext.agent.running.find(aCommand.attempt);
  if (running == aContext.agent.running.end()) {
    return;
  }
  if (aCommand.kind == CommandKind::Throttle) {
    Throttle(aContext, aCommand, running->second);
  } else if (aCommand.kind == CommandKind::Checkpoint) {
    Checkpoint(aContext, aCommand, running->second);
  }
}

void RenewAll(WorkerAgent& aAgent, const CommandBatch& aBatch,
              TimePoint aUntil) {
  if (aAgent.running.size() != aBatch.runningCount ||
      RunningDigest(aAgent) != aBatch.runningDigest) {
    return;
  }
  for (auto& [id, attempt] : aAgent.running) {
    ExtendLease(attempt, aUntil);
  }
}

void Renew(WorkerAgent& aAgent, const CommandBatch& aBatch, TimePoint aUntil) {
  if (aBatch.renewAll) {
    RenewAll(aAgent, aBatch, aUntil);
  }
  for (const WorkerCommand& command : aBatch.commands) {
    const auto running = aAgent.running.find(command.attempt);
    if (command.kind == CommandKind::Renew && running != aAgent.running.end()) {
      ExtendLease(running->second, aUntil);
    }
  }
}

void Acknowledge(WorkerAgent& aAgent, const CommandBatch& aBatch,
                 TimePoint aNow) {
  for (const AttemptId& id : aBatch.acknowledged) {
    const auto ended = aAgent.ended.find(id);
    if (ended != aAgent.ended.end() && !ended->second.acknowledged) {
      ended->second.acknowledged = true;
      // A start that is still under way echoes a timestamp from before the
      // acknowledgement, so its lease has expired by forgetAt.
      ended->second.forgetAt = aNow + Millis(aBatch.leaseMs);
    }
  }
}

void ForgetEndedAttempts(WorkerAgent& aAgent, TimePoint aNow) {
  for (auto entry = aAgent.ended.begin(); entry != aAgent.ended.end();) {
    entry = entry->second.forgetAt < aNow ? aAgent.ended.erase(entry)
                                          : std::next(entry);
  }
}

}  // namespace

std::vector<Effect> HandleBatch(WorkerAgent& aAgent, const CommandBatch& aBatch,
                                TimePoint aNow) {
  if (aBatch.worker != aAgent.worker ||
      aBatch.incarnation != aAgent.incarnation ||
      aBatch.epoch < aAgent.highestEpoch) {
    return Expire(aAgent, aNow);
  }
  aAgent.highestEpoch = aBatch.epoch;
  const TimePoint leaseUntil =
      TimePoint{aBatch.echoedTimestamp} + Millis(aBatch.leaseMs);
  // Renewals count first: while this process was paused, they may have waited
  // in its socket, and the leader counts the leases as renewed.
  Renew(aAgent, aBatch, leaseUntil);
  std::vector<Effect> effects = Expire(aAgent, aNow);
  const BatchContext context{aAgent, aNow, leaseUntil, effects};
  for (const WorkerCommand& command : aBatch.commands) {
    Execute(context, command);
  }
  Acknowledge(aAgent, aBatch, aNow);
  ForgetEndedAttempts(aAgent, aNow);
  return effects;
}

std::vector<Effect> Expire(WorkerAgent& aAgent, TimePoint aNow) {
  std::vector<AttemptId> expired;
  for (const auto& [id, attempt] : aAgent.running) {
    if (attempt.leaseUntil <= aNow) {
      expired.push_back(id);
    }
  }
  std::vector<Effect> effects;
  for (const AttemptId& id : expired) {
    EndAttempt(aAgent, id, EndEvent::LeaseExpired, "");
    WorkerCommand command;
    command.kind = CommandKind::Stop;
    command.attempt = id;
    effects.push_back(Effect{EffectKind::Stop, std::move(command)});
  }
  return effects;
}

TimePoint NextDeadline(const WorkerAgent& aAgent) {
  TimePoint earliest = kNever;
  for (const auto& [id, attempt] : aAgent.running) {
    earliest = std::min(earliest, attempt.leaseUntil);
  }
  return earliest;
}

void ReportEnd(WorkerAgent& aAgent, const AttemptId& aAttempt, bool aSucceeded,
               TimePoint aNow) {
  const auto running = aAgent.running.find(aAttempt);
  // An attempt that ended after its lease expired counts as expired, whatever
  // its result.
  if (running != aAgent.running.end() && running->second.leaseUntil > aNow) {
    EndAttempt(aAgent, aAttempt,
               aSucceeded ? EndEvent::Finished : EndEvent::Failed, "");
  }
}

void ReportCheckpoint(WorkerAgent& aAgent, const AttemptId& aAttempt,
                      const std::string& aCheckpoint) {
  const auto running = aAgent.running.find(aAttempt);
  if (running != aAgent.running.end() && running->second.checkpointing) {
    running->second.checkpointing = false;
    running->second.checkpoint = aCheckpoint;
    AddStatus(aAgent, aAttempt, RunningState::Checkpointed, aCheckpoint);
  }
}

cell::WorkerMessage TakeMessage(WorkerAgent& aAgent, TimePoint aNow) {
  ForgetEndedAttempts(aAgent, aNow);
  cell::WorkerMessage message;
  message.worker = aAgent.worker;
  message.incarnation = aAgent.incarnation;
  message.timestamp = aNow.micros;
  message.runningDigest = RunningDigest(aAgent);
  message.runningCount = static_cast<std::uint32_t>(aAgent.running.size());
  message.statuses.swap(aAgent.statuses);
  for (const auto& [id, ended] : aAgent.ended) {
    if (!ended.acknowledged) {
      message.confirmations.push_back(ended.confirmation);
    }
  }
  return message;
}

}  // namespace bramleypath::workeragent
