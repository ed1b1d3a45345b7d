#pragma once

#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/cell/Types.h"

namespace bramleypath::cell {

// Commands of the replicated cell log.

struct SubmitJob {
  RequestId request;
  JobSpec spec;
};

struct CancelJobs {
  RequestId request;
  std::vector<JobId> jobs;
};

// Adds a worker or replaces its capacity, rack and incarnation. Incarnations
// only grow; a new one means that the attempts of the old one have ended.
struct RegisterWorker {
  WorkerId worker;
  std::uint64_t incarnation = 0;
  Resources capacity;
  RackId rack;
};

// Removes a worker that holds no reservation.
struct RemoveWorker {
  WorkerId worker;
  std::uint64_t incarnation = 0;
};

// Reserves the resources on the worker. Committed before the start command is
// sent, so that each later leader knows where the task may be running.
struct StartAttempt {
  AttemptId attempt;
  WorkerId worker;
  std::uint64_t incarnation = 0;
  Resources resources;
  // Where the task resumes; equals the task's committed checkpoint.
  std::string checkpoint;
};

enum class EndKind : std::uint8_t {
  Finished,
  Failed,
  Evicted,       // stopped on request of an eviction
  Stopped,       // stopped on request of a cancellation
  Lost,          // the worker confirmed that it no longer runs
  LeaseExpired,  // the lease has certainly expired on the worker's clock
};

struct EndAttempt {
  AttemptId attempt;
  EndKind kind = EndKind::Finished;
  // For Evicted: the checkpoint taken before the stop; empty when there is
  // none.
  std::string checkpoint;
  // For Failed: whether the failure counts against the task rather than the
  // worker.
  bool countsAgainstTask = true;
};

enum class AttemptMark : std::uint8_t { Throttle, Unthrottle, Evict };

struct MarkAttempt {
  AttemptId attempt;
  AttemptMark mark = AttemptMark::Throttle;
};

struct ClientAccountQuota {
  ClientAccountId clientAccount;
  Resources limit;
};

// Replaces all quotas. A client account without a quota is not limited.
struct SetQuotas {
  std::vector<ClientAccountQuota> quotas;
};

using Command =
    std::variant<SubmitJob, CancelJobs, RegisterWorker, RemoveWorker,
                 StartAttempt, EndAttempt, MarkAttempt, SetQuotas>;

// Encodes one command as CBOR.
std::vector<std::uint8_t> EncodeCommand(const Command& aCommand);

// Returns nullopt unless the bytes are exactly one well-formed command.
std::optional<Command> DecodeCommand(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::cell
