#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/cell/Protocol.h"

namespace bramleypath::workeragent {

// Ended attempts kept until acknowledged; beyond it no attempt is started,
// since forgetting one would allow it to run again.
constexpr std::size_t kMaxEnded = 4096;

// An attempt that runs on this worker.
struct RunningAttempt {
  cell::Resources resources;
  // On this worker's clock; the attempt is stopped at it.
  TimePoint leaseUntil;
  std::uint32_t sharePercent = cell::kFullSharePercent;
  // The newest checkpoint that was completed; empty: none.
  std::string checkpoint;
  bool checkpointing = false;
};

// An attempt that ended here, or was stopped before its start arrived.
struct EndedAttempt {
  cell::Confirmation confirmation;
  bool acknowledged = false;
  // Set once acknowledged: a start older than this is over its lease.
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
  // Reactions to report with the next message.
  std::vector<cell::AttemptStatus> statuses;
};

// What the surrounding program must do with the attempt's process.
enum class EffectKind : std::uint8_t { Start, Throttle, Checkpoint, Stop };

struct Effect {
  EffectKind kind = EffectKind::Start;
  cell::WorkerCommand command;
};

// Carries out a batch; empty when it is of a lower epoch, another worker or
// another incarnation. Attempts past their lease are stopped first.
std::vector<Effect> HandleBatch(WorkerAgent& aAgent,
                                const cell::CommandBatch& aBatch,
                                TimePoint aNow);

// Stops the attempts whose lease has passed.
std::vector<Effect> Expire(WorkerAgent& aAgent, TimePoint aNow);

// The earliest lease deadline; kNever when nothing runs.
TimePoint NextDeadline(const WorkerAgent& aAgent);

// The attempt's process ended by itself. No effect when it is not running.
void ReportEnd(WorkerAgent& aAgent, const cell::AttemptId& aAttempt,
               bool aSucceeded, TimePoint aNow);

// A checkpoint that was asked for is complete.
void ReportCheckpoint(WorkerAgent& aAgent, const cell::AttemptId& aAttempt,
                      const std::string& aCheckpoint);

// The next report or reply: digest, reactions since the last one, and all
// confirmations that were not acknowledged.
cell::WorkerMessage TakeMessage(WorkerAgent& aAgent, TimePoint aNow);

}  // namespace bramleypath::workeragent
