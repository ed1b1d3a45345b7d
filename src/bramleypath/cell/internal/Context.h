#pragma once

#include "bramleypath/cell/Scheduler.h"

namespace bramleypath::cell::detail {

// The arguments of one step, passed to the functions that handle it.
struct Context {
  Scheduler& scheduler;
  const CellState& state;
  TimePoint now;
  bool leaseHeld = false;
  Actions& actions;
};

// Proposes a command; returns false without the leader lease.
bool Propose(const Context& aContext, const Command& aCommand);

void Notify(const Context& aContext, NoticeKind aKind,
            const AttemptId& aAttempt, const WorkerId& aWorker,
            const std::string& aDetail);

}  // namespace bramleypath::cell::detail
