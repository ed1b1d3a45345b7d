#include "bramleypath/workflow/Announcements.h"

#include <algorithm>

namespace bramleypath::workflow {

namespace {

Resources LowerOf(const Resources& aLeft, const Resources& aRight) {
  return Resources{std::min(aLeft.processorsMilli, aRight.processorsMilli),
                   std::min(aLeft.memoryMb, aRight.memoryMb),
                   std::min(aLeft.accelerators, aRight.accelerators)};
}

// The spec that follows from an announcement of the known incarnation.
WorkerSpec Update(const Worker& aKnown, WorkerSession& aSession,
                  const Announcement& aAnnouncement) {
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
  // An incarnation that drains never stops draining.
  spec.draining = aAnnouncement.worker.draining || aKnown.spec.draining;
  return spec;
}

}  // namespace

bool IsSameSpec(const WorkerSpec& aLeft, const WorkerSpec& aRight) {
  return aLeft.address == aRight.address && aLeft.service == aRight.service &&
         aLeft.dataCentre == aRight.dataCentre && aLeft.rack == aRight.rack &&
         aLeft.labels == aRight.labels && aLeft.capacity == aRight.capacity &&
         aLeft.draining == aRight.draining;
}

std::optional<WorkerSpec> SpecToCommit(Scheduler& aScheduler,
                                       const State& aState,
                                       const Announcement& aAnnouncement) {
  const WorkerSpec& announced = aAnnouncement.worker;
  const Worker* const known = FindWorker(aState, announced.id.value);
  if (!known || announced.startedUnixMs > known->spec.startedUnixMs) {
    return announced;
  }
  const auto session = aScheduler.sessions.find(known->number);
  if (announced.startedUnixMs < known->spec.startedUnixMs ||
      session == aScheduler.sessions.end()) {
    return std::nullopt;
  }
  WorkerSpec spec = Update(*known, session->second, aAnnouncement);
  return IsSameSpec(spec, known->spec) ? std::nullopt
                                       : std::optional(std::move(spec));
}

void OnUnchanged(Scheduler& aScheduler, WorkerNumber aWorker,
                 std::uint64_t aSequence) {
  const auto session = aScheduler.sessions.find(aWorker);
  if (session != aScheduler.sessions.end()) {
    session->second.newestAnnouncement =
        std::max(session->second.newestAnnouncement, aSequence);
  }
}

void OnRegistered(Scheduler& aScheduler, const State& aState,
                  const Announcement& aAnnouncement) {
  const Worker* const known = FindWorker(aState, aAnnouncement.worker.id.value);
  if (known &&
      known->spec.startedUnixMs == aAnnouncement.worker.startedUnixMs) {
    OnUnchanged(aScheduler, known->number, aAnnouncement.sequence);
  }
}

}  // namespace bramleypath::workflow
