#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Types.h"

// The leader's commands to workers, and what workers answer, in no particular
// wire format.
namespace bramleypath::workflow {

// A task as workers name it.
struct TaskName {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t stage = 0;
  std::uint32_t index = 0;
};

struct StartOrder {
  TaskName task;
  AttemptNumber attempt = 0;
  std::string specification;
  // The lease of all that the worker runs, on its own clock.
  std::int64_t untilWorkerMs = 0;
  Epoch epoch = 0;
  std::string checkpoint;  // empty: from the beginning
  std::string ticket;      // empty: none
};

struct StopOrder {
  TaskName task;
  AttemptNumber attempt = 0;
  Epoch epoch = 0;
};

struct PaceOrder {
  TaskName task;
  AttemptNumber attempt = 0;
  std::uint32_t percent = 100;
  Epoch epoch = 0;
};

// Renews the lease, acknowledges ends and asks for the worker's lists.
struct HoldOrder {
  std::int64_t untilWorkerMs = 0;
  Epoch epoch = 0;
  // Ends up to this number are committed, and may be forgotten.
  std::uint64_t lastSeen = 0;
  // How long the worker may wait for an end before it answers.
  std::uint32_t waitMs = 0;
};

// Asks which workers may run a stage.
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
  // False: nothing is known of the workers asked about.
  bool answered = false;
  std::string reason;
  // Of the workers that may run the stage; the others never may.
  std::vector<Ticket> tickets;
  std::uint32_t validMs = 0;
};

enum class OrderOutcome : std::uint8_t {
  Done,
  // The worker's answer says that it has not done it.
  Refused,
  // The address answers for another incarnation.
  OtherIncarnation,
  // No byte was sent.
  NotSent,
  // Sent; it may be carried out, also later.
  NoAnswer
};

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::NoAnswer;
  std::string reason;  // refused, or why there is no answer
  // The worker's steady clock; 0: not given.
  std::int64_t clockMs = 0;
  std::int64_t startedUnixMs = 0;  // 0: not given
};

struct RunningRow {
  TaskName task;
  AttemptNumber attempt = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;
  // Tail latency in ms for a task with users, else processors in use
  // (thousandths).
  std::uint32_t load = 0;
};

struct EndedRow {
  std::uint64_t number = 0;
  TaskName task;
  AttemptNumber attempt = 0;
  EndKind kind = EndKind::Stopped;
  std::string checkpoint;
};

struct HoldAnswer {
  OrderAnswer order;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
  // Ends that exist but were left out of the list.
  bool endsTruncated = false;
};

// Carries orders to workers. Each callback is called exactly once, on the
// caller's thread, never from within the call.
struct WorkerDriver {
  std::function<void(const WorkerSpec&, const StartOrder&,
                     std::function<void(OrderAnswer)>)>
      start;
  std::function<void(const WorkerSpec&, const StopOrder&,
                     std::function<void(OrderAnswer)>)>
      stop;
  std::function<void(const WorkerSpec&, const PaceOrder&,
                     std::function<void(OrderAnswer)>)>
      pace;
  std::function<void(const WorkerSpec&, const HoldOrder&,
                     std::function<void(HoldAnswer)>)>
      hold;
  // To the admission service, which is not a worker.
  std::function<void(const TicketRequest&, std::function<void(TicketAnswer)>)>
      requestTickets;
};

}  // namespace bramleypath::workflow
