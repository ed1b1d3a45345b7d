#include <algorithm>
#include <iterator>
#include <utility>

#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr double kMicrosPerMs = 1000;
// Kept between the lease that is asked for and the longest that is granted, so
// that the worker never shortens it.
constexpr Duration kLeaseReserve = Millis(500);
// Added to a lease that has run out by the slowest clock.
constexpr std::int64_t kLapseMarginMs = 300;
// Announcements that may be missed in a row.
constexpr std::int64_t kMissedAnnouncements = 3;
constexpr std::uint32_t kHoldWaitMs = 2000;
// Tails must be seen several times within the time that they may be over.
constexpr std::uint32_t kTailWaitMs = 400;

// Whether the worker runs both a task with a tail target and a filler.
bool HasMixedLoad(const State& aState, const Worker& aWorker) {
  bool serving = false;
  bool filler = false;
  for (const TaskKey& key : aWorker.attempts) {
    const StageSpec& stage = StageOf(aState, key);
    serving = serving || stage.tailTargetMs > 0;
    filler = filler || stage.filler;
  }
  return serving && filler;
}

// What the worker's clock shows at least by now.
double LowestClock(const ClockSample& aSample, TimePoint aNow) {
  return static_cast<double>(aSample.clockMs) +
         MillisBetween(aSample.at, aNow) * kSlowestClock;
}

void SendLateStops(Contact& aContact, SchedulerActions& aActions) {
  for (const StopOrder& order : aContact.lateStarts) {
    SendStop stop;
    stop.worker = aContact.worker;
    stop.order = order;
    aActions.push_back(std::move(stop));
  }
  aContact.lateStarts.clear();
}

}  // namespace

double MillisBetween(TimePoint aFrom, TimePoint aTo) {
  return static_cast<double>((aTo - aFrom).micros) / kMicrosPerMs;
}

std::optional<std::int64_t> EstimateClock(const Contact& aContact,
                                          TimePoint aNow) {
  if (!aContact.clock) {
    return std::nullopt;
  }
  return aContact.clock->clockMs +
         static_cast<std::int64_t>(MillisBetween(aContact.clock->at, aNow));
}

std::int64_t GrantLease(Scheduler& aScheduler, Contact& aContact,
                        TimePoint aNow) {
  const std::int64_t now = EstimateClock(aContact, aNow).value_or(0);
  const Duration lease =
      Duration{aScheduler.settings.maxLease.micros - kLeaseReserve.micros};
  const std::int64_t until = now + ToMillis(lease);
  aContact.grantedUntilMs = std::max(aContact.grantedUntilMs, until);
  return until;
}

void NoteClock(Contact& aContact, std::int64_t aClockMs, TimePoint aNow) {
  if (aClockMs <= 0) {
    return;
  }
  // An answer that was held up on its way shows an old time.
  if (aContact.clock &&
      static_cast<double>(aClockMs) < LowestClock(*aContact.clock, aNow)) {
    return;
  }
  aContact.clock = ClockSample{aClockMs, aNow};
}

void NoteHeard(Scheduler& aScheduler, Contact& aContact, TimePoint aNow) {
  if (!aContact.heardAt) {
    aScheduler.dispatchWanted = true;
  }
  aContact.heardAt = aNow;
}

bool IsLeaseOver(const Contact& aContact, TimePoint aNow) {
  if (aNow < aContact.earlierLeaseOver) {
    return false;
  }
  if (aContact.grantedUntilMs == 0) {
    return true;
  }
  if (!aContact.clock) {
    return false;
  }
  return LowestClock(*aContact.clock, aNow) >
         static_cast<double>(aContact.grantedUntilMs + kLapseMarginMs);
}

bool IsInContact(const Scheduler& aScheduler, const Contact& aContact,
                 TimePoint aNow) {
  if (!aContact.heardAt || aContact.missedHolds > 0) {
    return false;
  }
  return aNow - *aContact.heardAt <
         aScheduler.settings.announceInterval * kMissedAnnouncements;
}

void SendHolds(Scheduler& aScheduler, const State& aState, TimePoint aNow,
               SchedulerActions& aActions) {
  for (auto& [number, contact] : aScheduler.contacts) {
    if (contact.holdInFlight || contact.seenProposed || aNow < contact.holdAt) {
      continue;
    }
    const auto worker = aState.workers.find(number);
    if (worker == aState.workers.end()) {
      continue;
    }
    SendLateStops(contact, aActions);
    const bool busy = !worker->second.attempts.empty();
    const bool owesAcknowledgement = contact.acknowledged < contact.lastSeen;
    // A worker that has missed one is idle only once it answers again.
    if (!busy && !owesAcknowledgement && contact.synced &&
        contact.missedHolds == 0) {
      contact.holdAt = kNever;
      continue;
    }
    HoldOrder order;
    order.epoch = aScheduler.epoch;
    order.lastSeen = contact.lastSeen;
    // A lease is not renewed while the worker does not answer, so that it runs
    // out in the end.
    if (EstimateClock(contact, aNow) && contact.missedHolds == 0) {
      order.untilWorkerMs = GrantLease(aScheduler, contact, aNow);
    }
    if (busy && contact.synced && contact.missedHolds == 0) {
      order.waitMs =
          HasMixedLoad(aState, worker->second) ? kTailWaitMs : kHoldWaitMs;
    }
    contact.holdInFlight = true;
    aActions.push_back(SendHold{number, order});
  }
}

}  // namespace bramleypath::workflow::detail

namespace bramleypath::workflow {

Scheduler MakeScheduler(const SchedulerSettings& aSettings, Epoch aEpoch,
                        const State& aState, std::uint64_t aSeed,
                        TimePoint aNow) {
  Scheduler scheduler;
  scheduler.settings = aSettings;
  scheduler.epoch = aEpoch;
  scheduler.random.state = aSeed;
  scheduler.gainedAt = aNow;
  scheduler.dispatchAt = aNow;
  scheduler.tails = MakeTailModel();
  OnStateChanged(scheduler, aState, aNow);
  for (const auto& [number, worker] : aState.workers) {
    for (const TaskKey& key : worker.attempts) {
      Attempt attempt;
      attempt.number = FindTask(aState, key)->attempt;
      attempt.worker = number;
      attempt.earlierEpoch = true;
      attempt.isPaceSure = false;
      attempt.sentAt = aNow;
      attempt.progressAt = aNow;
      scheduler.attempts.emplace(key, std::move(attempt));
    }
  }
  return scheduler;
}

void OnStateChanged(Scheduler& aScheduler, const State& aState,
                    TimePoint aNow) {
  aScheduler.dispatchWanted = true;
  constexpr double kLeaseSlack = 1 / detail::kSlowestClock;
  constexpr Duration kEarlierLeaseMargin = Millis(800);
  const Duration longest =
      Micros(static_cast<std::int64_t>(
          static_cast<double>(aScheduler.settings.maxLease.micros) *
          kLeaseSlack)) +
      kEarlierLeaseMargin;
  for (const auto& [number, worker] : aState.workers) {
    if (aScheduler.contacts.count(number) > 0) {
      continue;
    }
    Contact contact;
    contact.worker = number;
    // Raises the epoch there, which an incarnation does not know that has
    // followed another one under the same id.
    contact.holdAt = aNow;
    contact.lateStarts =
        detail::LateStartsFor(aScheduler, worker.spec.id, aNow);
    if (!worker.attempts.empty()) {
      // Taken over from an earlier incarnation: an order that was under way may
      // still reach this one, and its lease counts from then.
      contact.earlierLeaseOver = aNow + longest + detail::kLatestOrder;
    }
    if (aScheduler.gainedAt == aNow) {
      contact.earlierLeaseOver = aNow + longest;
    }
    aScheduler.contacts.emplace(number, std::move(contact));
  }
  for (auto it = aScheduler.contacts.begin();
       it != aScheduler.contacts.end();) {
    it = aState.workers.count(it->first) == 0 ? aScheduler.contacts.erase(it)
                                              : std::next(it);
  }
  for (auto& [key, attempt] : aScheduler.attempts) {
    detail::FollowWorker(aState, key, attempt, aNow);
  }
  for (auto it = aScheduler.attempts.begin();
       it != aScheduler.attempts.end();) {
    it = detail::IsOver(aState, it->first, it->second)
             ? aScheduler.attempts.erase(it)
             : std::next(it);
  }
}

void OnAnnounced(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::int64_t aClockMs, TimePoint aNow) {
  const auto found = aScheduler.contacts.find(aWorker);
  if (found == aScheduler.contacts.end()) {
    return;
  }
  Contact& contact = found->second;
  detail::NoteClock(contact, aClockMs, aNow);
  detail::NoteHeard(aScheduler, contact, aNow);
  if (contact.missedHolds > 0 && !contact.holdInFlight) {
    contact.holdAt = std::min(contact.holdAt, aNow);
  }
}

}  // namespace bramleypath::workflow
