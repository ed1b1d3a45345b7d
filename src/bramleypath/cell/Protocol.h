#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bramleypath/cell/Types.h"

namespace bramleypath::cell {

// Messages between a cell leader and a worker, as plain structs.

// A reading of the worker's clock, in microseconds. Only the worker interprets
// it; the leader echoes the newest one it received. A lease counts from the
// echoed timestamp, so that a command delayed in the network can't extend it.
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
  // The fields from here to the checkpoint are used by Start only.
  ClientAccountId clientAccount;
  ClassId classId;
  JobKind jobKind = JobKind::Batch;
  Resources resources;
  std::string checkpoint;
  // Throttle only: the percentage of its processors that the attempt may use.
  std::uint32_t sharePercent = kFullSharePercent;
};

// All commands that a leader sends to one worker at one time.
struct CommandBatch {
  Epoch epoch = 0;
  WorkerId worker;
  std::uint64_t incarnation = 0;
  // Start and Renew grant a lease until this timestamp plus leaseMs.
  WorkerTimestamp echoedTimestamp = 0;
  std::int64_t leaseMs = 0;
  // Renews the leases of all running attempts if their count and digest equal
  // the two fields below. This takes a few bytes instead of one command per
  // attempt.
  bool renewAll = false;
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
  std::vector<WorkerCommand> commands;
  // Attempts whose confirmed end was committed; the worker stops repeating
  // their confirmations.
  std::vector<AttemptId> acknowledged;
};

enum class RunningState : std::uint8_t { Running, Throttled, Checkpointed };

// The state of an attempt after a start, throttle or checkpoint command.
struct AttemptStatus {
  AttemptId attempt;
  RunningState state = RunningState::Running;
  // Set for Checkpointed only.
  std::string checkpoint;
};

enum class EndEvent : std::uint8_t { Finished, Failed, Stopped, LeaseExpired };

// Reports that an attempt has ended on the worker; repeated until it is
// acknowledged.
struct Confirmation {
  AttemptId attempt;
  EndEvent event = EndEvent::Finished;
  // Set for Stopped if a checkpoint was taken before.
  std::string checkpoint;
};

// An announcement, a report or the reply to a command batch.
struct WorkerMessage {
  WorkerId worker;
  std::uint64_t incarnation = 0;
  WorkerTimestamp timestamp = 0;
  // Digest and number of the running attempts.
  std::uint64_t runningDigest = 0;
  std::uint32_t runningCount = 0;
  std::vector<AttemptStatus> statuses;
  std::vector<Confirmation> confirmations;
};

}  // namespace bramleypath::cell
