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

bool HasUpdates(const cell::WorkerMessage& aMessage) {
  return !aMessage.statuses.empty() || !aMessage.confirmations.empty();
}

}  // namespace

bool AddHeartbeat(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                  const wire::WorkerAnnounce& aAnnounce, TimePoint aNow) {
  if (aLeader != aBatcher.leader || HasUpdates(aAnnounce.message)) {
    return false;
  }
  const auto forwarded = aBatcher.forwarded.find(aAnnounce.record.worker);
  if (forwarded == aBatcher.forwarded.end() ||
      aNow >= forwarded->second.forwardAgainAt ||
      !SameRecord(forwarded->second.record, aAnnounce.record) ||
      aBatcher.pending.size() >= wire::kMaxHeartbeats) {
    return false;
  }
  if (aBatcher.pending.empty()) {
    aBatcher.flushAt = aNow + kHeartbeatFlushInterval;
  }
  const cell::WorkerMessage& message = aAnnounce.message;
  aBatcher.pending.push_back({message.worker, message.incarnation,
                              message.timestamp, message.runningDigest,
                              message.runningCount});
  return true;
}

void RecordForwardedAnnounce(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                             const wire::WorkerRecord& aRecord,
                             TimePoint aNow) {
  if (aBatcher.leader != aLeader) {
    aBatcher.leader = aLeader;
    aBatcher.forwarded.clear();
    aBatcher.pending.clear();
  }
  if (aBatcher.forwarded.size() >= wire::kMaxHeartbeats) {
    aBatcher.forwarded.clear();
  }
  aBatcher.forwarded[aRecord.worker] = {aRecord, aNow + kFullAnnounceInterval};
}

void ForgetWorkers(HeartbeatBatcher& aBatcher,
                   const std::vector<WorkerId>& aWorkers) {
  for (const WorkerId& worker : aWorkers) {
    aBatcher.forwarded.erase(worker);
  }
}

std::vector<wire::WorkerHeartbeat> TakeDueHeartbeats(HeartbeatBatcher& aBatcher,
                                                     TimePoint aNow) {
  if (aBatcher.pending.empty() || aNow < aBatcher.flushAt) {
    return {};
  }
  return std::exchange(aBatcher.pending, {});
}

}  // namespace bramleypath::daemon
