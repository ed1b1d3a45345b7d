#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/wire/WorkerHeartbeats.h"
#include "bramleypath/wire/WorkerMessages.h"

namespace bramleypath::daemon {

// Replaces announcements without changes by heartbeats, which an entry host
// sends to the cell leader in batches. With 320 workers, a full announcement
// cost the leader 1.4 KB; a heartbeat takes about 45 bytes.
struct HeartbeatBatcher {
  struct ForwardedAnnounce {
    wire::WorkerRecord record;
    // From this time on, the next announcement is forwarded in full again.
    TimePoint forwardAgainAt;
  };
  // The leader that received the forwarded announcements below.
  HostId leader;
  std::map<WorkerId, ForwardedAnnounce> forwarded;
  // The next batch, which is sent at flushAt.
  std::vector<wire::WorkerHeartbeat> pending;
  TimePoint flushAt;
};

constexpr Duration kHeartbeatFlushInterval = Millis(200);
// The leader answers a batch with the workers that it does not know, so this
// interval only bounds the effect of a fault. At 30 s, the full announcements
// cost 7.5 KB/s with 80 workers.
constexpr Duration kFullAnnounceInterval = Seconds(600);

// Adds an announcement to the pending heartbeats. False when it must be
// forwarded in full: it has statuses or confirmations, the leader has not
// received the same record within kFullAnnounceInterval, or the batch is full.
bool AddHeartbeat(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                  const wire::WorkerAnnounce& aAnnounce, TimePoint aNow);

// Records that the leader has handled a full announcement.
void RecordForwardedAnnounce(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                             const wire::WorkerRecord& aRecord, TimePoint aNow);

// Removes workers that the leader does not know, so that their next
// announcements are forwarded in full.
void ForgetWorkers(HeartbeatBatcher& aBatcher,
                   const std::vector<WorkerId>& aWorkers);

// Removes and returns the pending heartbeats once flushAt has come; empty
// before.
std::vector<wire::WorkerHeartbeat> TakeDueHeartbeats(HeartbeatBatcher& aBatcher,
                                                     TimePoint aNow);

}  // namespace bramleypath::daemon
