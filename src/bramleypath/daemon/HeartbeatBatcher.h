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

// Turns announcements that say nothing new into heartbeats, which an entry host
// passes on to the cell leader in batches. At 320 workers, whole announcements
// cost the leader 1.4 KB each; a heartbeat takes about 45 bytes.
struct HeartbeatBatcher {
  struct Passed {
    wire::WorkerRecord record;
    // Then the whole announcement is passed on again.
    TimePoint wholeAt;
  };
  // What the leader below was told in full.
  HostId leader;
  std::map<WorkerId, Passed> passed;
  std::vector<wire::WorkerHeartbeat> pending;
  TimePoint flushAt;
};

constexpr Duration kHeartbeatFlushEvery = Millis(200);
// The leader names the workers it lost track of, so this only bounds the effect
// of a fault; at 30 s it cost 7.5 KB/s with 80 workers.
constexpr Duration kWholeAnnounceEvery = Seconds(600);

// Takes an announcement as a heartbeat for the leader. False when it must be
// passed on whole: it has news, or the leader was not told of the worker.
bool TakeHeartbeat(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                   const wire::WorkerAnnounce& aAnnounce, TimePoint aNow);

// The leader has taken the whole announcement.
void NotePassed(HeartbeatBatcher& aBatcher, const HostId& aLeader,
                const wire::WorkerRecord& aRecord, TimePoint aNow);

// The leader does not know these workers.
void Forget(HeartbeatBatcher& aBatcher, const std::vector<WorkerId>& aWorkers);

// What is due to be sent, once it is time; empty otherwise.
std::vector<wire::WorkerHeartbeat> TakeDue(HeartbeatBatcher& aBatcher,
                                           TimePoint aNow);

}  // namespace bramleypath::daemon
