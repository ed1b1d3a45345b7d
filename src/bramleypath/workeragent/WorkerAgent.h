#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/cell/Protocol.h"

namespace bramleypath::workeragent {

// Highest number of ended attempts that are remembered. Beyond it no attempt is
// started, since forgetting an ended one would allow it to run again.
constexpr std::size_t kMaxEndedAttempts = 4096;

// An attempt that runs on this worker.
struct RunningAttempt {
  cell::Resources resources;
  // Deadline on this worker's clock, at which the attempt is stopped.
  TimePoint leaseUntil;
  std::uint32_t sharePercent = cell::kFullSharePercent;
  // The newest completed checkpoint; empty: none.
  std::string checkpoint;
  bool checkpointing = false;
};

// An attempt that ended here, or was stopped before its start arrived.
struct EndedAttempt {
  cell::Confirmation confirmation;
  bool acknowledged = false;
  // Set once acknowledged. The lease of any start that was sent before has
  // expired by this time, so the attempt can be forgotten.
  TimePoint forgetAt = kNever;
};

// The protocol's state on one worker. A new process has a higher incarnation
// and starts without attempts.
struct WorkerAgent {
  WorkerId worker;
  std::uint64_t incarnation = 1;
  cell::Resources capacity;
  Epoch highestEpoch = 0;
  std::map<cell::AttemptId, RunningAttempt> running;
  std::map<cell::AttemptId, EndedAttempt> ended;
  // Changes of state to report with the next message.
  std::vector<cell::AttemptStatus> statuses;
};

// What the surrounding program must do with the attempt's process.
enum class EffectKind : std::uint8_t { Start, Throttle, Checkpoint, Stop };

struct Effect {
  EffectKind kind = EffectKind::Start;
  cell::WorkerCommand command;
};

// Executes a batch and returns the effects on processes. A batch of a lower
// epoch, for another worker or another incarnation is ignored. In any case
// attempts whose lease has expired are stopped first.
std::vector<Effect> HandleBatch(WorkerAgent& aAgent,
                                const cell::CommandBatch& aBatch,
                                TimePoint aNow);

// Stops the attempts whose lease has expired.
std::vector<Effect> Expire(WorkerAgent& aAgent, TimePoint aNow);

// The earliest lease deadline; kNever when nothing runs.
TimePoint NextDeadline(const WorkerAgent& aAgent);

// The attempt's process ended by itself. No effect when it is not running.
void ReportEnd(WorkerAgent& aAgent, const cell::AttemptId& aAttempt,
               bool aSucceeded, TimePoint aNow);

// A requested checkpoint is complete. No effect when none was requested.
void ReportCheckpoint(WorkerAgent& aAgent, const cell::AttemptId& aAttempt,
                      const std::string& aCheckpoint);

// Builds the next report or reply: the digest of the running attempts, the
// statuses since the last message, which are cleared, and all confirmations
// that are not acknowledged.
cell::WorkerMessage TakeMessage(WorkerAgent& aAgent, TimePoint aNow);

}  // namespace bramleypath::workeragent
