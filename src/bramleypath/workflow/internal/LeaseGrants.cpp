#include "bramleypath/workflow/internal/LeaseGrants.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleypath::workflow {

namespace detail {

namespace {

// A permit is renewed if it is older than this.
constexpr Duration kPermitAge = Millis(200);

std::uint32_t ToWholeMillis(Duration aDuration) {
  constexpr std::int64_t kMicrosPerMs = 1000;
  return static_cast<std::uint32_t>(
      (std::max<std::int64_t>(0, aDuration.micros) + kMicrosPerMs - 1) /
      kMicrosPerMs);
}

bool IsSilent(const WorkerSession& aSession) {
  return aSession.missedRenewals > 0 || !aSession.lastMessageAt;
}

// The permits that were requested, for workers that were heard recently.
PermitLeases TakePermits(Scheduler& aScheduler, const State& aState,
                         TimePoint aNow) {
  PermitLeases permit;
  permit.remainingMs =
      ToWholeMillis(kPermitWindow + LongestLease(aScheduler.settings));
  for (const WorkerNumber number :
       std::exchange(aScheduler.permitsRequested, {})) {
    const auto found = aScheduler.sessions.find(number);
    if (found != aScheduler.sessions.end() && found->second.lastMessageAt &&
        !IsLeaving(aState, number) &&
        !IsPresumedLost(aScheduler, found->second, aNow)) {
      permit.workers.push_back(number);
    }
  }
  return permit;
}

DecisionRecord DescribeInherited(const Scheduler& aScheduler, TimePoint aNow) {
  Duration shortest = LongestLease(aScheduler.settings);
  Duration longest;
  for (const auto& [number, session] : aScheduler.sessions) {
    const Duration remaining = RemainingLease(session, aNow);
    shortest = std::min(shortest, remaining);
    longest = std::max(longest, remaining);
  }
  return DecisionRecord{
      "leases_inherited", "",
      "workers=" + std::to_string(aScheduler.sessions.size()) +
          " shortest_ms=" + std::to_string(ToMillis(shortest)) +
          " longest_ms=" + std::to_string(ToMillis(longest))};
}

// The remaining leases of silent workers that run attempts. Their permits end
// here, since a replica may rely on the limit once it is proposed.
LimitLeases LimitSilentSessions(Scheduler& aScheduler, const State& aState,
                                TimePoint aNow) {
  LimitLeases limit;
  for (auto it = aScheduler.silentSessions.begin();
       it != aScheduler.silentSessions.end();) {
    WorkerSession& session = aScheduler.sessions.at(*it);
    if (!IsSilent(session)) {
      it = aScheduler.silentSessions.erase(it);
      continue;
    }
    const auto worker = aState.workers.find(*it++);
    if (worker != aState.workers.end() && !worker->second.attempts.empty()) {
      session.permittedUntil = TimePoint();
      limit.workers.push_back(WorkerLeaseEnd{
          session.worker, ToWholeMillis(RemainingLease(session, aNow))});
    }
  }
  return limit;
}

}  // namespace

Duration GrantedLease(const SchedulerSettings& aSettings) {
  constexpr std::int64_t kTenths = 10;
  return Micros(aSettings.maxLease.micros -
                aSettings.maxLease.micros / kTenths);
}

bool MayGrant(const WorkerSession& aSession, TimePoint aNow) {
  return aNow < aSession.permittedUntil;
}

Duration RemainingLease(const WorkerSession& aSession, TimePoint aNow) {
  Duration remaining = std::max(Duration(), aSession.earlierLeaseEndsAt - aNow);
  // Leases are granted only where the clock is known.
  if (aSession.grantedUntilMs > 0 && aSession.clock) {
    const double untilMs = static_cast<double>(aSession.grantedUntilMs) +
                           static_cast<double>(ToMillis(kLeaseExpiryMargin)) -
                           LowestClock(*aSession.clock, aNow);
    constexpr double kMicrosPerMs = 1000;
    remaining = std::max(
        remaining, Micros(static_cast<std::int64_t>(
                       std::ceil(untilMs * kMicrosPerMs / kSlowestClock))));
  }
  return remaining;
}

void RequestPermit(Scheduler& aScheduler, const WorkerSession& aSession,
                   TimePoint aNow) {
  const TimePoint issuedAt = aSession.permittedUntil - kPermitWindow;
  if (aSession.missedRenewals == 0 && kPermitAge < aNow - issuedAt) {
    aScheduler.permitsRequested.insert(aSession.worker);
  }
}

void MarkSilent(Scheduler& aScheduler, WorkerSession& aSession) {
  aSession.permittedUntil = TimePoint();
  if (aScheduler.silentSessions.insert(aSession.worker).second) {
    aScheduler.nextLimitsAt = TimePoint();
  }
}

void CommitLeaseChanges(Scheduler& aScheduler, const State& aState,
                        TimePoint aNow, SchedulerActions& aActions) {
  if (aScheduler.isLeaseCommitPending || aNow < aScheduler.nextPermitsAt) {
    return;
  }
  Commit commit;
  PermitLeases permit = TakePermits(aScheduler, aState, aNow);
  // The first one of a leader announces that it keeps to permits.
  if (!permit.workers.empty() || !aScheduler.hasAnnouncedPermits) {
    if (!aScheduler.hasAnnouncedPermits) {
      aActions.push_back(DescribeInherited(aScheduler, aNow));
    }
    aScheduler.hasAnnouncedPermits = true;
    commit.commands.emplace_back(std::move(permit));
  }
  if (aNow >= aScheduler.nextLimitsAt) {
    aScheduler.nextLimitsAt = aNow + kLeaseReportInterval;
    LimitLeases limit = LimitSilentSessions(aScheduler, aState, aNow);
    if (!limit.workers.empty()) {
      commit.commands.emplace_back(std::move(limit));
    }
  }
  if (commit.commands.empty()) {
    return;
  }
  aScheduler.isLeaseCommitPending = true;
  aScheduler.nextPermitsAt = aNow + kPermitInterval;
  aScheduler.permitsEndAt = aNow + kPermitWindow;
  aActions.push_back(std::move(commit));
}

void OnPermitsCommitted(Scheduler& aScheduler, const PermitLeases& aCommand,
                        bool aOk) {
  for (const WorkerNumber number : aCommand.workers) {
    const auto found = aScheduler.sessions.find(number);
    // One that stopped answering meanwhile gets no lease.
    if (aOk && found != aScheduler.sessions.end() &&
        found->second.missedRenewals == 0) {
      found->second.permittedUntil = aScheduler.permitsEndAt;
    }
  }
}

}  // namespace detail

namespace {

// Upper limit of the time that a lease takes on the slowest clock.
Duration OnSlowestClock(Duration aLease) {
  const Duration counted = aLease + detail::kLeaseExpiryMargin;
  return Micros(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(counted.micros) / detail::kSlowestClock)));
}

}  // namespace

Duration LongestLease(const SchedulerSettings& aSettings) {
  return OnSlowestClock(detail::GrantedLease(aSettings));
}

Duration LongestUnknownLease(const SchedulerSettings& aSettings) {
  return OnSlowestClock(aSettings.maxLease);
}

}  // namespace bramleypath::workflow
