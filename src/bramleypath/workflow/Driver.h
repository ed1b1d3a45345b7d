#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Types.h"

// The leader's requests to workers and their answers, independent of the wire
// format.
namespace bramleypath::workflow {

// The name of a task in requests to workers, which don't know job numbers.
struct TaskName {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t stage = 0;
  std::uint32_t index = 0;
};

// Starts an attempt and renews the worker's lease.
struct StartRequest {
  TaskName task;
  AttemptNumber attempt = 0;
  std::string specification;
  // End of the lease for all tasks of the worker, on the worker's clock.
  std::int64_t untilWorkerMs = 0;
  Epoch epoch = 0;
  std::string checkpoint;  // empty: from the beginning
  std::string ticket;      // empty: none
};

// Stops an attempt; the worker refuses to start it afterwards.
struct StopRequest {
  TaskName task;
  AttemptNumber attempt = 0;
  Epoch epoch = 0;
};

// Limits a filler to a percentage of the processors that it could use.
struct PaceRequest {
  TaskName task;
  AttemptNumber attempt = 0;
  std::uint32_t percent = 100;
  Epoch epoch = 0;
};

// Renews the worker's lease, acknowledges ended attempts and requests the lists
// of running and ended ones. Named "hold" on the wire.
struct RenewLeaseRequest {
  // End of the renewed lease, on the worker's clock.
  std::int64_t untilWorkerMs = 0;
  Epoch epoch = 0;
  // Ends up to this number are committed; the worker may discard them.
  std::uint64_t lastSeen = 0;
  // How long the worker may wait for an attempt to end before it answers.
  std::uint32_t waitMs = 0;
};

// Asks the admission service which of the workers may run a stage.
struct TicketRequest {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t stage = 0;
  std::vector<WorkerId> workers;
};

struct Ticket {
  WorkerId worker;
  std::string text;
};

struct TicketAnswer {
  // False: the service gave no decision on any of the workers.
  bool answered = false;
  std::string reason;
  // One for each worker that may run the stage; the others never may.
  std::vector<Ticket> tickets;
  std::uint32_t validMs = 0;
};

enum class RequestOutcome : std::uint8_t {
  Done,
  // The worker answered that it did not execute the request.
  Refused,
  // Another incarnation of the worker answered at the address.
  OtherIncarnation,
  // No byte of the request was sent.
  NotSent,
  // The request was sent; the worker may execute it now or later.
  NoAnswer
};

struct RequestAnswer {
  RequestOutcome outcome = RequestOutcome::NoAnswer;
  // The leader was too late or did not hold its own lease, so that the outcome
  // says nothing about the worker. Only with NotSent.
  bool delayedByLeader = false;
  // No process listens at the worker's address. Only with NotSent.
  bool isConnectionRefused = false;
  std::string reason;  // of a refusal, or why there is no answer
  // The worker's steady clock; 0: not given.
  std::int64_t clockMs = 0;
  std::int64_t startedUnixMs = 0;  // 0: not given
};

// Whether the request was not sent because the leader was late.
inline bool IsDelayedByLeader(const RequestAnswer& aAnswer) {
  return aAnswer.outcome == RequestOutcome::NotSent && aAnswer.delayedByLeader;
}

// A running attempt in a worker's list.
struct RunningAttempt {
  TaskName task;
  AttemptNumber attempt = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;  // progress
  // Tail latency in ms of a serving task; for others, processors in use in
  // thousandths.
  std::uint32_t load = 0;
};

// An ended attempt in a worker's list.
struct EndedAttempt {
  std::uint64_t number = 0;  // ascending, assigned by the worker
  TaskName task;
  AttemptNumber attempt = 0;
  EndKind kind = EndKind::Stopped;
  std::string checkpoint;
};

// Answer to a lease renewal.
struct RenewLeaseAnswer {
  RequestAnswer result;
  std::vector<RunningAttempt> running;
  std::vector<EndedAttempt> ended;
  // The worker has more ends than it listed.
  bool endsTruncated = false;
};

// Sends requests to workers. Each callback is called exactly once, on the
// caller's thread, and never before the function has returned.
struct WorkerDriver {
  std::function<void(const WorkerSpec&, const StartRequest&,
                     std::function<void(RequestAnswer)>)>
      start;
  std::function<void(const WorkerSpec&, const StopRequest&,
                     std::function<void(RequestAnswer)>)>
      stop;
  std::function<void(const WorkerSpec&, const PaceRequest&,
                     std::function<void(RequestAnswer)>)>
      pace;
  std::function<void(const WorkerSpec&, const RenewLeaseRequest&,
                     std::function<void(RenewLeaseAnswer)>)>
      renewLease;
  // Goes to the admission service, not to a worker.
  std::function<void(const TicketRequest&, std::function<void(TicketAnswer)>)>
      requestTickets;
};

}  // namespace bramleypath::workflow
