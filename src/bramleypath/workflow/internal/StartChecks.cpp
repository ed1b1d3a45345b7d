#include "bramleypath/workflow/internal/StartChecks.h"

#include <algorithm>

#include "bramleypath/workflow/internal/CrashEvidence.h"
#include "bramleypath/workflow/internal/SchedulerDetail.h"

namespace bramleypath::workflow::detail {

namespace {

// Reserved by the attempts that may run on the worker, without aKey and those
// whose starts have not been sent.
Resources UsedByOthers(const Scheduler& aScheduler, const State& aState,
                       const Worker& aWorker, const TaskKey& aKey) {
  Resources used;
  for (const TaskKey& key : aWorker.attempts) {
    const auto found = aScheduler.attempts.find(key);
    const bool isUnsent =
        found != aScheduler.attempts.end() && IsUnsent(found->second);
    if (!(key == aKey) && !isUnsent) {
      used = used + Reservation(StageOf(aState, key));
    }
  }
  return used;
}

bool FitsOn(const Scheduler& aScheduler, const State& aState,
            const Worker& aWorker, const TaskKey& aKey) {
  const Resources& capacity = aWorker.spec.capacity;
  return Fits(aWorker.reserved, capacity) ||
         Fits(Reservation(StageOf(aState, aKey)),
              capacity - UsedByOthers(aScheduler, aState, aWorker, aKey));
}

}  // namespace

bool HasRequiredLabel(const Worker& aWorker, const StageSpec& aStage) {
  const std::vector<std::string>& labels = aWorker.spec.labels;
  return aStage.requiredLabel.empty() ||
         std::find(labels.begin(), labels.end(), aStage.requiredLabel) !=
             labels.end();
}

std::string UnsuitableReason(const Scheduler& aScheduler, const State& aState,
                             const TaskKey& aKey, const Attempt& aAttempt,
                             TimePoint aNow) {
  const auto found = aState.workers.find(aAttempt.worker);
  const auto session = aScheduler.sessions.find(aAttempt.worker);
  if (found == aState.workers.end() || session == aScheduler.sessions.end()) {
    return "";
  }
  const Worker& worker = found->second;
  const QueueSettings* const queue =
      FindQueue(aState, aState.jobs.at(aKey.job).spec.queue);
  if (worker.spec.draining) {
    return "draining";
  }
  if (IsDrained(aState, worker)) {
    return kDataCentreDrained;
  }
  if (session->second.missedRenewals > 0) {
    return "unreachable";
  }
  if (session->second.isReplaced) {
    return "replaced";
  }
  if (session->second.addressClaimedAt) {
    return "address claimed";
  }
  if (queue && queue->service != worker.spec.service) {
    return "other service";
  }
  if (!HasRequiredLabel(worker, StageOf(aState, aKey))) {
    return "no required label";
  }
  if (IsCapacityOutdated(aScheduler, session->second, aNow)) {
    return "capacity outdated";
  }
  return FitsOn(aScheduler, aState, worker, aKey) ? "" : "capacity exceeded";
}

void StopOtherMembers(Scheduler& aScheduler, const State& aState,
                      const TaskKey& aKey, AttemptNumber aAttempt,
                      TimePoint aNow) {
  const StageSpec& stage = StageOf(aState, aKey);
  if (!stage.gang) {
    return;
  }
  TaskKey key = aKey;
  for (key.index = 0; key.index < stage.tasks; ++key.index) {
    const auto found = aScheduler.attempts.find(key);
    if (found != aScheduler.attempts.end() && key.index != aKey.index &&
        found->second.number == aAttempt) {
      RequestStop(found->second, "member of its gang withdrawn", aNow);
    }
  }
}

}  // namespace bramleypath::workflow::detail
