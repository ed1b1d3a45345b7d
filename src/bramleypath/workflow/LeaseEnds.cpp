#include "bramleypath/workflow/LeaseEnds.h"

#include <algorithm>
#include <variant>

namespace bramleypath::workflow {

namespace {

void Apply(LeaseEnds& aEnds, const State& aState, const PermitLeases& aCommand,
           TimePoint aNow) {
  aEnds.isTermAnnounced = true;
  const TimePoint end = aNow + Millis(aCommand.remainingMs);
  for (const WorkerNumber worker : aCommand.workers) {
    if (aState.workers.count(worker) > 0) {
      TimePoint& endsAt = aEnds.endsAt[worker];
      endsAt = std::max(endsAt, end);
    }
  }
}

void Apply(LeaseEnds& aEnds, const State& aState, const LimitLeases& aCommand,
           TimePoint aNow) {
  aEnds.isTermAnnounced = true;
  for (const WorkerLeaseEnd& one : aCommand.workers) {
    if (aState.workers.count(one.worker) == 0) {
      continue;
    }
    const TimePoint end = aNow + Millis(one.remainingMs);
    const auto [entry, isNew] = aEnds.endsAt.emplace(one.worker, end);
    entry->second = std::min(entry->second, end);
  }
}

void Apply(LeaseEnds& aEnds, const State& /*aState*/,
           const RemoveWorker& aCommand, TimePoint /*aNow*/) {
  aEnds.endsAt.erase(aCommand.worker);
}

void Apply(LeaseEnds& aEnds, const State& aState, const LeaveWorker& aCommand,
           TimePoint /*aNow*/) {
  if (aState.workers.count(aCommand.worker) == 0) {
    aEnds.endsAt.erase(aCommand.worker);
  }
}

void Apply(LeaseEnds& aEnds, const State& aState,
           const RegisterWorker& aCommand, TimePoint aNow) {
  const Worker* const worker = FindWorker(aState, aCommand.worker.id.value);
  if (!worker || aEnds.endsAt.count(worker->number) > 0) {
    return;
  }
  // A request for an earlier incarnation may still reach this one, and its
  // lease starts only then.
  if (HasMovedAttempt(aState, *worker)) {
    aEnds.endsAt.emplace(worker->number,
                         aNow + aEnds.longestLease + kMaxRequestDelay);
  }
  // The incarnation that had the id before is gone.
  for (auto it = aEnds.endsAt.begin(); it != aEnds.endsAt.end();) {
    it = aState.workers.count(it->first) == 0 ? aEnds.endsAt.erase(it)
                                              : std::next(it);
  }
}

template <typename Other>
void Apply(LeaseEnds& /*aEnds*/, const State& /*aState*/,
           const Other& /*aCommand*/, TimePoint /*aNow*/) {}

}  // namespace

void OnTermBegan(LeaseEnds& aEnds) {
  if (!aEnds.isTermAnnounced) {
    aEnds.endsAt.clear();
  }
  aEnds.isEarlierTermAnnounced = aEnds.isTermAnnounced;
  aEnds.isTermAnnounced = false;
}

void OnApplied(LeaseEnds& aEnds, const State& aState, const Command& aCommand,
               TimePoint aNow) {
  std::visit([&](const auto& aOne) { Apply(aEnds, aState, aOne, aNow); },
             aCommand);
}

void OnRestored(LeaseEnds& aEnds) {
  aEnds.endsAt.clear();
  aEnds.isTermAnnounced = false;
  aEnds.isEarlierTermAnnounced = false;
}

std::optional<TimePoint> FindLeaseEnd(const LeaseEnds& aEnds,
                                      WorkerNumber aWorker) {
  const auto found = aEnds.endsAt.find(aWorker);
  return found == aEnds.endsAt.end() ? std::nullopt
                                     : std::optional(found->second);
}

}  // namespace bramleypath::workflow
