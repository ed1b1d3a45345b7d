#include "bramleypath/workflow/Announcements.h"

#include <algorithm>

#include "bramleypath/workflow/internal/CrashScope.h"
#include "bramleypath/workflow/internal/CrashEvidence.h"

namespace bramleypath::workflow {

namespace {

Resources LowerOf(const Resources& aLeft, const Resources& aRight) {
  return Resources{std::min(aLeft.processorsMilli, aRight.processorsMilli),
                   std::min(aLeft.memoryMb, aRight.memoryMb),
                   std::min(aLeft.accelerators, aRight.accelerators)};
}

// Late announcements arrive together once a link is back, while a worker
// announces itself at intervals.
constexpr std::uint32_t kPersistentCount = 3;
constexpr std::int64_t kPersistentIntervals = 2;

// Records an announcement that the entry contradicts. Returns whether the
// worker has gone on to announce itself so.
bool IsPersistent(Contradictions& aContradictions,
                  const Announcement& aAnnouncement, Duration aInterval,
                  TimePoint aNow) {
  const std::int64_t startedUnixMs = aAnnouncement.worker.startedUnixMs;
  if (aContradictions.count == 0 ||
      aContradictions.startedUnixMs != startedUnixMs ||
      aAnnouncement.sequence < aContradictions.latest) {
    aContradictions =
        Contradictions{startedUnixMs, aAnnouncement.sequence, 1, aNow};
    return false;
  }
  if (aAnnouncement.sequence == aContradictions.latest) {
    return false;
  }
  aContradictions.latest = aAnnouncement.sequence;
  ++aContradictions.count;
  return aContradictions.count >= kPersistentCount &&
         !(aNow - aContradictions.since < aInterval * kPersistentIntervals);
}

// The worker has gone on to announce itself although the entry contradicts it,
// so that the entry doesn't show an announcement of its own.
WorkerSpec TakeContradicting(WorkerSession& aSession,
                             const Announcement& aAnnouncement) {
  aSession.newestAnnouncement = aAnnouncement.sequence;
  aSession.contradictions = Contradictions();
  return aAnnouncement.worker;
}

// The spec that follows from an announcement of the known incarnation.
WorkerSpec Update(const Worker& aKnown, WorkerSession& aSession,
                  const Announcement& aAnnouncement, Duration aInterval,
                  TimePoint aNow) {
  // A worker that drains never stops draining.
  const bool isLate = aAnnouncement.sequence < aSession.newestAnnouncement;
  if (!isLate && aAnnouncement.worker.draining >= aKnown.spec.draining) {
    aSession.contradictions = Contradictions();
  } else if (IsPersistent(aSession.contradictions, aAnnouncement, aInterval,
                          aNow)) {
    return TakeContradicting(aSession, aAnnouncement);
  }
  WorkerSpec spec = aKnown.spec;
  const std::uint64_t newest = aSession.newestAnnouncement;
  if (aAnnouncement.sequence >= newest) {
    spec = aAnnouncement.worker;
    aSession.newestAnnouncement = aAnnouncement.sequence;
  }
  // The first announcement that a new leader receives may be a late one from
  // before a shrink. A second, later one confirms a growth.
  const bool isConfirmed =
      newest > 0 ? aAnnouncement.sequence > newest : !aSession.isInherited;
  if (!isConfirmed) {
    spec.capacity = LowerOf(spec.capacity, aKnown.spec.capacity);
  }
  spec.draining = aAnnouncement.worker.draining || aKnown.spec.draining;
  return spec;
}

// When the process of the registered incarnation started.
std::int64_t ConfirmedStart(const Scheduler& aScheduler, const Worker& aKnown) {
  const auto session = aScheduler.sessions.find(aKnown.number);
  const std::int64_t registered = aKnown.spec.startedUnixMs;
  return session == aScheduler.sessions.end()
             ? registered
             : session->second.confirmedStartUnixMs.value_or(registered);
}

}  // namespace

bool IsSameSpec(const WorkerSpec& aLeft, const WorkerSpec& aRight) {
  return aLeft.address == aRight.address && aLeft.service == aRight.service &&
         aLeft.dataCentre == aRight.dataCentre && aLeft.rack == aRight.rack &&
         aLeft.labels == aRight.labels && aLeft.capacity == aRight.capacity &&
         aLeft.draining == aRight.draining;
}

bool IsPlausibleStart(const WorkerSpec& aWorker, std::int64_t aUnixMs) {
  constexpr std::int64_t kMaxClockLeadMs = 60000;
  return aWorker.startedUnixMs <= aUnixMs + kMaxClockLeadMs;
}

bool IsOfEarlierIncarnation(const Scheduler& aScheduler, const Worker& aKnown,
                            std::int64_t aStartedUnixMs) {
  return aStartedUnixMs > 0 &&
         aStartedUnixMs < ConfirmedStart(aScheduler, aKnown);
}

bool IsOfRegistered(const Scheduler& aScheduler, const Worker& aKnown,
                    const Announcement& aAnnouncement) {
  return aAnnouncement.worker.startedUnixMs ==
         ConfirmedStart(aScheduler, aKnown);
}

std::optional<WorkerSpec> SpecToCommit(Scheduler& aScheduler,
                                       const State& aState,
                                       const Announcement& aAnnouncement,
                                       TimePoint aNow) {
  const WorkerSpec& announced = aAnnouncement.worker;
  const Worker* const known = FindWorker(aState, announced.id.value);
  if (!known) {
    return announced;
  }
  if (announced.startedUnixMs > known->spec.startedUnixMs) {
    return detail::AwaitsEvidence(aScheduler, aState, *known, aNow)
               ? std::nullopt
               : std::optional(announced);
  }
  const auto found = aScheduler.sessions.find(known->number);
  if (found == aScheduler.sessions.end()) {
    return std::nullopt;
  }
  WorkerSession& session = found->second;
  const Duration interval = aScheduler.settings.announceInterval;
  WorkerSpec spec;
  if (IsOfRegistered(aScheduler, *known, aAnnouncement)) {
    spec = Update(*known, session, aAnnouncement, interval, aNow);
  } else if (IsPersistent(session.contradictions, aAnnouncement, interval,
                          aNow)) {
    session.confirmedStartUnixMs = announced.startedUnixMs;
    spec = TakeContradicting(session, aAnnouncement);
  } else {
    return std::nullopt;
  }
  spec.startedUnixMs = known->spec.startedUnixMs;
  return IsSameSpec(spec, known->spec) ? std::nullopt
                                       : std::optional(std::move(spec));
}

RegisterWorker RegistrationOf(Scheduler& aScheduler, const State& aState,
                              const WorkerSpec& aSpec, TimePoint aNow) {
  RegisterWorker registration{aSpec};
  const Worker* const known = FindWorker(aState, aSpec.id.value);
  if (known && known->spec.startedUnixMs < aSpec.startedUnixMs) {
    detail::RecordLostWorker(aScheduler, aState, *known, aNow);
    registration.evidence =
        detail::EvidenceOf(aScheduler, aState, *known, aNow);
  }
  return registration;
}

void OnUnchanged(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::uint64_t aSequence) {
  const auto found = aScheduler.sessions.find(aWorker);
  if (found == aScheduler.sessions.end()) {
    return;
  }
  WorkerSession& session = found->second;
  if (aSequence >= session.newestAnnouncement) {
    session.newestAnnouncement = aSequence;
    session.contradictions = Contradictions();
  }
}

void OnRegistered(Scheduler& aScheduler, const State& aState,
                  const Announcement& aAnnouncement) {
  const Worker* const known = FindWorker(aState, aAnnouncement.worker.id.value);
  if (known && IsOfRegistered(aScheduler, *known, aAnnouncement)) {
    OnUnchanged(aScheduler, known->number, aAnnouncement.sequence);
  }
}

}  // namespace bramleypath::workflow
