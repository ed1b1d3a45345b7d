#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bramleypath/cell/Types.h"

namespace bramleypath::cell {

// Messages between a cell leader and a worker, as plain structs.

// The worker's clock in microseconds. Only the worker reads it; the leader
// echoes the newest one it received. Leases count from the echoed stamp, so a
// command that was delayed in the network can't extend a lease.
using WorkerTimestamp = std::int64_t;

enum class CommandKind : std::uint8_t {
  Start,
  Renew,
  Throttle,
  Checkpoint,
  Stop
};

constexpr std::uint32_t kFullSharePercent = 100;
constexpr std::uint32_t kThrottledSharePercent = 25;

struct WorkerCommand {
  CommandKind kind = CommandKind::Renew;
  AttemptId attempt;
  // Start only.
  ClientAccountId clientAccount;
  ClassId classId;
  JobKind jobKind = JobKind::Batch;
  Resources resources;
  std::string checkpoint;
  // Throttle only: the share of its processors that the attempt may use.
  std::uint32_t sharePercent = kFullSharePercent;
};

// All commands of one leader to one worker at one moment.
struct CommandBatch {
  Epoch epoch = 0;
  WorkerId worker;
  std::uint64_t incarnation = 0;
  // Start and Renew grant a lease until this stamp plus leaseMs.
  WorkerTimestamp echoedTimestamp = 0;
  std::int64_t leaseMs = 0;
  // Renews all running attempts when their count and digest are these, which
  // takes a few bytes instead of one command for each.
  bool renewAll = false;
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
  std::vector<WorkerCommand> commands;
  // Confirmations that were committed; the worker need not repeat them.
  std::vector<AttemptId> acknowledged;
};

enum class RunningState : std::uint8_t { Running, Throttled, Checkpointed };

// The reaction to a start, throttle or checkpoint command.
struct AttemptStatus {
  AttemptId attempt;
  RunningState state = RunningState::Running;
  // For Checkpointed.
  std::string checkpoint;
};

enum class EndEvent : std::uint8_t { Finished, Failed, Stopped, LeaseExpired };

// Says that an attempt has ended on the worker; repeated until acknowledged.
struct Confirmation {
  AttemptId attempt;
  EndEvent event = EndEvent::Finished;
  // For Stopped, when one was taken before.
  std::string checkpoint;
};

// An announcement, a report or the reply to a command batch.
struct WorkerMessage {
  WorkerId worker;
  std::uint64_t incarnation = 0;
  WorkerTimestamp timestamp = 0;
  // Over the running attempts.
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
  std::vector<AttemptStatus> statuses;
  std::vector<Confirmation> confirmations;
};

}  // namespace bramleypath::cell
