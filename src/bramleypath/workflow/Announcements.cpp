#include "bramleypath/workflow/Announcements.h"

namespace bramleypath::workflow {

std::optional<WorkerSpec> SpecToCommit(Scheduler& /*aScheduler*/,
                                       const State& aState,
                                       const Announcement& aAnnouncement) {
  const WorkerSpec& announced = aAnnouncement.worker;
  const Worker* const known = FindWorker(aState, announced.id.value);
  if (!known || announced.startedUnixMs > known->spec.startedUnixMs) {
    return announced;
  }
  if (announced.startedUnixMs < known->spec.startedUnixMs) {
    return std::nullopt;
  }
  const WorkerSpec& spec = known->spec;
  const bool isChanged = (announced.draining && !spec.draining) ||
                         announced.address != spec.address ||
                         announced.service != spec.service;
  if (!isChanged) {
    return std::nullopt;
  }
  WorkerSpec changed = announced;
  // An incarnation that drains never stops draining, so an announcement that
  // says otherwise was sent earlier and delayed.
  changed.draining = announced.draining || spec.draining;
  return changed;
}

}  // namespace bramleypath::workflow
