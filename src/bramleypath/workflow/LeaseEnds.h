#pragma once

#include <optional>
#include <unordered_map>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Codec.h"
#include "bramleypath/workflow/State.h"

// When the leases of workers have certainly expired, as one replica concludes
// from the log.
//
// A leader grants leases to a worker only for a short time after it proposed a
// permit for it, and it proposes one only for a worker that was heard
// recently. A replica counts from when it applies the command, which is later
// than the proposal, so that no clocks are compared. A change of leader doesn't
// start the wait for a silent worker's leases again.
namespace bramleypath::workflow {

// A worker may execute a request up to this long after it was sent.
constexpr Duration kMaxRequestDelay = Seconds(12);

// Volatile state of one replica; never part of a snapshot.
struct LeaseEnds {
  // Upper limit of the time that a lease runs, whoever granted it.
  Duration longestLease = Seconds(11);
  // When all leases granted to the worker have expired.
  std::unordered_map<WorkerNumber, TimePoint> endsAt;
  // The current leader has proposed a command about leases. Leaders of versions
  // that have no such commands grant leases without permits.
  bool isTermAnnounced = false;
  // The same of the leader before.
  bool isEarlierTermAnnounced = false;
};

// A leader's first entry was applied.
void OnTermBegan(LeaseEnds& aEnds);
// aCommand was applied to aState.
void OnApplied(LeaseEnds& aEnds, const State& aState, const Command& aCommand,
               TimePoint aNow);
// A snapshot replaced the state. What earlier commands said is unknown.
void OnRestored(LeaseEnds& aEnds);
// When the worker's leases have expired; none if that is unknown.
std::optional<TimePoint> FindLeaseEnd(const LeaseEnds& aEnds,
                                      WorkerNumber aWorker);

}  // namespace bramleypath::workflow
