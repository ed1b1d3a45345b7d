#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "bramleypath/workflow/internal/Incarnations.h"
#include "bramleypath/workflow/internal/LeaseGrants.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

constexpr double kMicrosPerMs = 1000;
// A worker is unreachable after this many announcement intervals of silence.
constexpr std::int64_t kMissedAnnouncements = 3;
constexpr std::uint32_t kRenewalWaitMs = 1400;
// A renewal that can't extend the lease is sent after this time all the same,
// since the worker's list may be needed.
constexpr Duration kLongestPermitWait = Millis(250);
// The permit that the answer to a renewal asks for must still be in force when
// the worker answers the next one.
static_assert(Millis(kRenewalWaitMs) + kPermitInterval * 4 < kPermitWindow);
// Short, so that several reports arrive in the time for which a tail may be
// over its target.
constexpr std::uint32_t kTailWaitMs = 400;
// Most starts are answered within a tenth of a second.
constexpr Duration kLateStartAnswer = Millis(400);
// After a change of leader, the renewals of all workers are due at once; sent
// together, the last ones would time out in this process.
constexpr std::uint32_t kMaxPromptRenewals = 64;

// The removal of a worker that left is proposed again after this time.
constexpr Duration kRemovalRetry = Millis(500);

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

// Whether the next list of the worker's attempts may decide on an attempt that
// it has not listed: its start is not answered, or its stop is acknowledged.
bool IsUnresolved(const Attempt& aAttempt, TimePoint aNow) {
  if (aAttempt.listed || aAttempt.proposedEnd) {
    return false;
  }
  switch (aAttempt.startStatus) {
    case Attempt::StartStatus::Sending:
      // A renewal that waits for seconds would hide for as long that the start
      // is lost. A list tells nothing about a start that is still queued.
      return aAttempt.isStartInFlight &&
             aNow >= aAttempt.sentAt + kLateStartAnswer;
    case Attempt::StartStatus::Unknown:
      return true;
    case Attempt::StartStatus::Accepted:
      return aAttempt.stopAcknowledgedAt.has_value();
  }
  return false;
}

void SendFencingStops(WorkerSession& aSession, SchedulerActions& aActions) {
  for (const StopRequest& request : aSession.fencingStops) {
    SendStop stop;
    stop.worker = aSession.worker;
    stop.request = request;
    aActions.push_back(std::move(stop));
  }
  aSession.fencingStops.clear();
}

RenewalClass ClassifyByTasks(const Worker& aWorker, const State& aState) {
  if (aWorker.attempts.empty()) {
    return RenewalClass::Other;
  }
  const bool isLongRunning = std::any_of(
      aWorker.attempts.begin(), aWorker.attempts.end(),
      [&](const TaskKey& aKey) { return StageOf(aState, aKey).longRunning; });
  return isLongRunning ? RenewalClass::LongRunning : RenewalClass::Busy;
}

RenewalClass RenewalClassOf(Scheduler& aScheduler, WorkerSession& aSession,
                            const State& aState) {
  const auto worker = aState.workers.find(aSession.worker);
  // A worker whose leases are over is most likely lost. Its renewal would take
  // a place until it times out.
  const bool hasNoLease = aSession.isInherited &&
                          aSession.earlierLeaseEndsAt <= aScheduler.leaderSince;
  if (aSession.hasAnsweredRenewal || aSession.missedRenewals > 0 ||
      hasNoLease || worker == aState.workers.end()) {
    return RenewalClass::Other;
  }
  // The first renewals wait for many sweeps. The tasks that matter are those
  // of the first sweep, which an earlier leader placed.
  if (!aSession.firstRenewal) {
    ++aScheduler.work.workersClassified;
    aSession.firstRenewal = ClassifyByTasks(worker->second, aState);
  }
  return *aSession.firstRenewal;
}

struct DueSession {
  RenewalClass renewalClass = RenewalClass::Other;
  WorkerSession* session = nullptr;
};

bool IsRenewedBefore(const DueSession& aLeft, const DueSession& aRight) {
  return aLeft.renewalClass != aRight.renewalClass
             ? aLeft.renewalClass < aRight.renewalClass
             : aLeft.session->nextRenewalAt < aRight.session->nextRenewalAt;
}

// The sessions whose renewal is due, the most urgent first.
std::vector<DueSession> DueSessions(Scheduler& aScheduler, const State& aState,
                                    TimePoint aNow) {
  std::vector<DueSession> due;
  for (const WorkerNumber number : aScheduler.sessionsWithoutRenewal) {
    ++aScheduler.work.sessionsRead;
    WorkerSession& session = aScheduler.sessions.at(number);
    if (!session.isCommittingEnds && !(aNow < session.nextRenewalAt)) {
      due.push_back({RenewalClassOf(aScheduler, session, aState), &session});
    }
  }
  std::stable_sort(due.begin(), due.end(), IsRenewedBefore);
  return due;
}

}  // namespace

double MillisBetween(TimePoint aFrom, TimePoint aTo) {
  return static_cast<double>((aTo - aFrom).micros) / kMicrosPerMs;
}

double LowestClock(const ClockSample& aSample, TimePoint aNow) {
  return static_cast<double>(aSample.clockMs) +
         MillisBetween(aSample.at, aNow) * kSlowestClock;
}

std::optional<std::int64_t> EstimateClock(const WorkerSession& aSession,
                                          TimePoint aNow) {
  if (!aSession.clock) {
    return std::nullopt;
  }
  return aSession.clock->clockMs +
         static_cast<std::int64_t>(MillisBetween(aSession.clock->at, aNow));
}

std::int64_t GrantLease(Scheduler& aScheduler, WorkerSession& aSession,
                        TimePoint aNow) {
  // By the slowest clock, so that no lease lasts longer than LongestLease.
  const std::int64_t now =
      aSession.clock
          ? static_cast<std::int64_t>(LowestClock(*aSession.clock, aNow))
          : 0;
  const std::int64_t until = now + ToMillis(GrantedLease(aScheduler.settings));
  aSession.grantedUntilMs = std::max(aSession.grantedUntilMs, until);
  return until;
}

void RecordClock(WorkerSession& aSession, std::int64_t aClockMs,
                 TimePoint aNow) {
  if (aClockMs <= 0) {
    return;
  }
  // A message that was delayed on its way shows an old time.
  if (aSession.clock &&
      static_cast<double>(aClockMs) < LowestClock(*aSession.clock, aNow)) {
    return;
  }
  aSession.clock = ClockSample{aClockMs, aNow};
}

bool IsFromOtherBoot(const WorkerSession& aSession, std::int64_t aClockMs,
                     TimePoint aSentAt) {
  return aClockMs > 0 && aSession.clock && !(aSentAt < aSession.clock->at) &&
         static_cast<double>(aClockMs) <
             std::floor(LowestClock(*aSession.clock, aSentAt));
}

void RecordMessage(Scheduler& aScheduler, WorkerSession& aSession,
                   TimePoint aNow) {
  if (!aSession.lastMessageAt) {
    aScheduler.dispatchWanted = true;
  }
  aSession.lastMessageAt = aNow;
  aSession.missedAt.reset();
  RequestPermit(aScheduler, aSession, aNow);
}

bool MayHaveRunAttempts(const WorkerSession& aSession) {
  return aSession.isInherited || aSession.hasAnsweredRenewal ||
         aSession.hasExecutedStart;
}

bool HasLeaseExpired(const WorkerSession& aSession, TimePoint aNow) {
  return RemainingLease(aSession, aNow) == Duration();
}

std::string LeaseEvidence(const State& aState, const WorkerSession& aSession,
                          TimePoint aNow) {
  std::string text =
      "worker=" + WorkerText(aState, aSession.worker) +
      " granted_until_ms=" + std::to_string(aSession.grantedUntilMs) +
      " missed_renewals=" + std::to_string(aSession.missedRenewals) +
      " unsent_renewals=" + std::to_string(aSession.unsentRenewals) +
      " remaining_ms=" +
      std::to_string(ToMillis(RemainingLease(aSession, aNow)));
  if (aSession.clock) {
    text += " worker_clock_at_least_ms=" +
            std::to_string(
                static_cast<std::int64_t>(LowestClock(*aSession.clock, aNow)));
  }
  if (aSession.lastMessageAt) {
    text += " last_message_age_ms=" +
            std::to_string(static_cast<std::int64_t>(
                MillisBetween(*aSession.lastMessageAt, aNow)));
  }
  return text;
}

bool IsReachable(const Scheduler& aScheduler, const WorkerSession& aSession,
                 TimePoint aNow) {
  if (!aSession.lastMessageAt || aSession.missedRenewals > 0) {
    return false;
  }
  return aNow - *aSession.lastMessageAt <
         aScheduler.settings.announceInterval * kMissedAnnouncements;
}

bool IsLeaving(const State& aState, WorkerNumber aWorker) {
  const auto worker = aState.workers.find(aWorker);
  return worker != aState.workers.end() && worker->second.isLeaving;
}

bool IsPresumedLost(const Scheduler& aScheduler, const WorkerSession& aSession,
                    TimePoint aNow) {
  // A worker that the log shows to be without a lease has been silent under an
  // earlier leader already.
  const std::int64_t missed = aSession.lastMessageAt ? 2 : 1;
  const TimePoint heardAt =
      aSession.lastMessageAt.value_or(aScheduler.leaderSince);
  return aSession.missedRenewals > 0 ||
         aNow >= heardAt + aScheduler.settings.announceInterval * missed;
}

void AvoidWorker(WorkerSession& aSession, TimePoint aUntil, TimePoint aNow) {
  // Bounds how often a task is started on the only worker that has room.
  constexpr Duration kBarred = Millis(700);
  aSession.avoidUntil = std::max(aSession.avoidUntil, aUntil);
  aSession.barredUntil = std::max(aSession.barredUntil, aNow + kBarred);
}

bool HasUnresolvedAttempt(const Scheduler& aScheduler, const Worker& aWorker,
                          TimePoint aNow) {
  return std::any_of(aWorker.attempts.begin(), aWorker.attempts.end(),
                     [&](const TaskKey& aKey) {
                       const auto found = aScheduler.attempts.find(aKey);
                       return found != aScheduler.attempts.end() &&
                              found->second.worker == aWorker.number &&
                              IsUnresolved(found->second, aNow);
                     });
}

bool IsCapacityOutdated(const Scheduler& aScheduler,
                        const WorkerSession& aSession, TimePoint aNow) {
  // Two intervals and a half, so that one announcement may be late.
  constexpr std::int64_t kHalfIntervals = 5;
  return !aSession.announcedAt ||
         aScheduler.settings.announceInterval * kHalfIntervals <
             (aNow - *aSession.announcedAt) * 2;
}

void SendLeaseRenewals(Scheduler& aScheduler, const State& aState,
                       TimePoint aNow, SchedulerActions& aActions) {
  ++aScheduler.work.sessionSweeps;
  for (const DueSession& due : DueSessions(aScheduler, aState, aNow)) {
    WorkerSession& session = *due.session;
    const auto worker = aState.workers.find(session.worker);
    if (worker == aState.workers.end()) {
      continue;
    }
    SendFencingStops(session, aActions);
    const bool busy = !worker->second.attempts.empty();
    const bool owesAcknowledgement =
        session.acknowledgedEnd < session.committedEnd;
    const bool isLeaving = worker->second.isLeaving;
    if (isLeaving && !busy &&
        (!owesAcknowledgement || session.missedRenewals > 0)) {
      session.nextRenewalAt = aNow + kRemovalRetry;
      Commit commit;
      commit.commands.emplace_back(RemoveWorker{session.worker, false});
      aActions.push_back(std::move(commit));
      continue;
    }
    // A worker that missed a renewal is not idle until it has answered one.
    const bool isAnswerWanted = session.isConfirmationWanted ||
                                session.addressClaimedAt || session.isReplaced;
    if (!busy && !owesAcknowledgement && session.hasAnsweredRenewal &&
        session.missedRenewals == 0 && !isAnswerWanted) {
      session.nextRenewalAt = kNever;
      continue;
    }
    // Waits for the commit of a permit: a renewal that the worker holds would
    // delay the next one, which can extend the lease.
    if (session.hasAnsweredRenewal && session.missedRenewals == 0 &&
        !isLeaving && !isAnswerWanted && !MayGrant(session, aNow) &&
        aNow < session.nextRenewalAt + kLongestPermitWait) {
      continue;
    }
    const bool isPromptFull =
        aScheduler.promptRenewalsInFlight >= kMaxPromptRenewals;
    // A lease must not expire because an attempt waits for a prompt answer.
    // Nor must it expire while the worker holds a renewal that doesn't extend
    // it.
    const bool waits =
        busy && !isLeaving && !isAnswerWanted && session.hasAnsweredRenewal &&
        session.missedRenewals == 0 && MayGrant(session, aNow) &&
        (isPromptFull ||
         !HasUnresolvedAttempt(aScheduler, worker->second, aNow));
    if (!waits && isPromptFull) {
      continue;
    }
    RenewLeaseRequest request;
    request.epoch = aScheduler.epoch;
    request.lastSeen = session.isOtherBoot || session.isBootUnconfirmed
                           ? 0
                           : session.committedEnd;
    // The lease is not renewed while the worker does not answer, so that it
    // expires.
    if (session.clock && session.missedRenewals == 0 && !isLeaving &&
        MayGrant(session, aNow)) {
      request.untilWorkerMs = GrantLease(aScheduler, session, aNow);
    }
    if (waits) {
      request.waitMs =
          HasMixedLoad(aState, worker->second) ? kTailWaitMs : kRenewalWaitMs;
    } else {
      ++aScheduler.promptRenewalsInFlight;
    }
    aScheduler.sessionsWithoutRenewal.erase(session.worker);
    aActions.push_back(SendLeaseRenewal{session.worker, request});
  }
}

}  // namespace bramleypath::workflow::detail

namespace bramleypath::workflow {

namespace {

// Upper limit of the time until a lease is over that a request for an earlier
// incarnation begins. The worker shortens it to the longest one.
Duration LongestDelayedLease(const SchedulerSettings& aSettings) {
  return LongestUnknownLease(aSettings) + kMaxRequestDelay;
}

// The session of a worker that an earlier leader registered.
WorkerSession InheritSession(const Scheduler& aScheduler, const State& aState,
                             const Worker& aWorker, const LeaseEnds& aLeaseEnds,
                             TimePoint aNow) {
  WorkerSession session;
  session.worker = aWorker.number;
  session.isInherited = true;
  Duration longest = aLeaseEnds.isEarlierTermAnnounced
                         ? LongestLease(aScheduler.settings)
                         : LongestUnknownLease(aScheduler.settings);
  if (HasMovedAttempt(aState, aWorker)) {
    longest = LongestDelayedLease(aScheduler.settings);
  }
  session.earlierLeaseEndsAt =
      std::min(FindLeaseEnd(aLeaseEnds, aWorker.number).value_or(kNever),
               aNow + longest);
  // The first renewal tells the worker the leader's epoch.
  session.nextRenewalAt = aNow;
  return session;
}

std::vector<WorkerNumber> NumbersOf(
    const std::map<WorkerNumber, Worker>& aWorkers) {
  std::vector<WorkerNumber> numbers;
  numbers.reserve(aWorkers.size());
  for (const auto& [number, worker] : aWorkers) {
    numbers.push_back(number);
  }
  return numbers;
}

}  // namespace

Scheduler MakeScheduler(const SchedulerSettings& aSettings, Epoch aEpoch,
                        const State& aState, const LeaseEnds& aLeaseEnds,
                        std::uint64_t aSeed, TimePoint aNow) {
  Scheduler scheduler;
  scheduler.settings = aSettings;
  scheduler.epoch = aEpoch;
  scheduler.random.state = aSeed;
  scheduler.leaderSince = aNow;
  scheduler.nextDispatchAt = aNow;
  scheduler.tailModel = MakeTailModel();
  if (!aState.recentCrashes.empty()) {
    scheduler.lastLoggedCrash = aState.recentCrashes.back().number;
  }
  scheduler.dispatchWanted = true;
  scheduler.nextLimitsAt = aNow + detail::kLeaseReportInterval;
  for (const auto& [number, worker] : aState.workers) {
    scheduler.sessions.emplace(
        number, InheritSession(scheduler, aState, worker, aLeaseEnds, aNow));
    scheduler.sessionsWithoutRenewal.insert(number);
    scheduler.silentSessions.insert(number);
    for (const TaskKey& key : worker.attempts) {
      Attempt attempt;
      attempt.number = FindTask(aState, key)->attempt;
      attempt.worker = number;
      attempt.isFromEarlierEpoch = true;
      attempt.isPaceConfirmed = false;
      attempt.sentAt = aNow;
      attempt.progressAt = aNow;
      scheduler.attempts.emplace(key, std::move(attempt));
    }
  }
  detail::MarkClaimedAddresses(scheduler, aState, NumbersOf(aState.workers),
                               aNow);
  return scheduler;
}

void OnStateChanged(Scheduler& aScheduler, const State& aState,
                    TimePoint aNow) {
  aScheduler.dispatchWanted = true;
  std::vector<WorkerNumber> added;
  for (const auto& [number, worker] : aState.workers) {
    if (aScheduler.sessions.count(number) > 0) {
      continue;
    }
    added.push_back(number);
    WorkerSession session;
    session.worker = number;
    session.announcedAt = aNow;
    // The first renewal tells a new incarnation the leader's epoch.
    session.nextRenewalAt = aNow;
    session.fencingStops =
        detail::FencingStopsFor(aScheduler, worker.spec.id, aNow);
    if (!worker.attempts.empty()) {
      // The attempts were moved from an earlier incarnation. A request in
      // flight may still reach this one, and its lease starts only then.
      session.earlierLeaseEndsAt =
          aNow + LongestDelayedLease(aScheduler.settings);
    }
    aScheduler.sessions.emplace(number, std::move(session));
    aScheduler.sessionsWithoutRenewal.insert(number);
  }
  detail::MarkClaimedAddresses(aScheduler, aState, added, aNow);
  for (auto it = aScheduler.sessions.begin();
       it != aScheduler.sessions.end();) {
    if (aState.workers.count(it->first) > 0) {
      ++it;
      continue;
    }
    aScheduler.sessionsWithoutRenewal.erase(it->first);
    aScheduler.silentSessions.erase(it->first);
    it = aScheduler.sessions.erase(it);
  }
  for (auto& [key, attempt] : aScheduler.attempts) {
    detail::MoveToNewIncarnation(aState, key, attempt, aNow);
  }
  for (auto it = aScheduler.attempts.begin();
       it != aScheduler.attempts.end();) {
    it = detail::HasEnded(aState, it->first, it->second)
             ? aScheduler.attempts.erase(it)
             : std::next(it);
  }
}

void OnLeft(Scheduler& aScheduler, WorkerNumber aWorker, TimePoint aNow) {
  const auto found = aScheduler.sessions.find(aWorker);
  if (found != aScheduler.sessions.end()) {
    found->second.nextRenewalAt = std::min(found->second.nextRenewalAt, aNow);
  }
}

namespace {

// When an announcement that shows aClockMs was sent. Its age is limited, so
// that a wrong estimate of the clock doesn't exclude a worker for good.
TimePoint AnnouncedAt(const Scheduler& aScheduler,
                      const WorkerSession& aSession, std::int64_t aClockMs,
                      TimePoint aNow) {
  const auto clock = detail::EstimateClock(aSession, aNow);
  if (!clock || aClockMs <= 0 || aClockMs >= *clock) {
    return aNow;
  }
  const Duration oldest = aScheduler.settings.announceInterval * 2;
  return aNow - std::min(oldest, Millis(*clock - aClockMs));
}

}  // namespace

void OnAnnounced(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::int64_t aClockMs, TimePoint aNow) {
  const auto found = aScheduler.sessions.find(aWorker);
  if (found == aScheduler.sessions.end()) {
    return;
  }
  WorkerSession& session = found->second;
  const TimePoint sentAt = AnnouncedAt(aScheduler, session, aClockMs, aNow);
  if (detail::IsCapacityOutdated(aScheduler, session, aNow)) {
    aScheduler.dispatchWanted = true;
  }
  session.announcedAt = std::max(session.announcedAt.value_or(sentAt), sentAt);
  detail::RecordClock(session, aClockMs, aNow);
  detail::RecordMessage(aScheduler, session, aNow);
  const bool mayBeDue = aScheduler.sessionsWithoutRenewal.count(aWorker) > 0;
  if (session.missedRenewals > 0 && mayBeDue) {
    session.nextRenewalAt = std::min(session.nextRenewalAt, aNow);
  }
}

}  // namespace bramleypath::workflow
