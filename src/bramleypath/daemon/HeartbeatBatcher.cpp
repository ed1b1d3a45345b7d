#include "bramleypath/daemon/HeartbeatBatcher.h"

#include <utility>

namespace bramleypath::daemon {

namespace {

bool SameRecord(const wire::WorkerRecord& aLeft,
                const wire::WorkerRecord& aRight) {
  return aLeft.worker == aRight.worker &&
         aLeft.incarnation == aRight.incarnation &&
         aLeft.address == aRight.address && aLeft.rack == aRight.rack &&
         aLeft.processorsMilli == aRight.processorsMilli &&
         aLeft.memoryMb == aRight.memoryMb &&
         aLeft.accelerators == aRight.accelerators;
}

bool HasNews(const cell::WorkerMessage& aMessage) {
  return !aMessage.statuses.empty() || !aMessage.confirmations.empty();
}

}  // namespace

bool TakeHeartbeat(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                   const wire::WorkerAnnounce& aAnnounce, TimePoint aNow) {
  if (aLeader != aBatcher.leader || HasNews(aAnnounce.message)) {
    return false;
  }
  const auto passed = aBatcher.passed.find(aAnnounce.record.worker);
  if (passed == aBatcher.passed.end() || aNow >= passed->second.wholeAt ||
      !SameRecord(passed->second.record, aAnnounce.record) ||
      aBatcher.pending.size() >= wire::kMaxHeartbeats) {
    return false;
  }
  if (aBatcher.pending.empty()) {
    aBatcher.flushAt = aNow + kHeartbeatFlushEvery;
  }
  const cell::WorkerMessage& message = aAnnounce.message;
  aBatcher.pending.push_back({message.worker, message.incarnation,
                              message.timestamp, message.runningDigest,
                              message.runningCount});
  return true;
}

void NotePassed(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                const wire::WorkerRecord& aRecord, TimePoint aNow) {
  if (aBatcher.leader != aLeader) {
    aBatcher.leader = aLeader;
    aBatcher.passed.clear();
    aBatcher.pending.clear();
  }
  if (aBatcher.passed.size() >= wire::kMaxHeartbeats) {
    aBatcher.passed.clear();
  }
  aBatcher.passed[aRecord.worker] = {aRecord, aNow + kWholeAnnounceEvery};
}

void Forget(HeartbeatBatcher& aBatcher, const std::vector<WorkerId>& aWorkers) {
  for (const WorkerId& worker : aWorkers) {
    aBatcher.passed.erase(worker);
  }
}

std::vector<wire::WorkerHeartbeat> TakeDue(HeartbeatBatcher& aBatcher,
                                           TimePoint aNow) {
  if (aBatcher.pending.empty() || aNow < aBatcher.flushAt) {
    return {};
  }
  return std::exchange(aBatcher.pending, {});
}

}  // namespace bramleypath::daemon
