#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/consensus/Types.h"

namespace bramleypath::controller {

// What the leader knows of a host with a disk.
struct KnownHost {
  HostId host;
  consensus::ReplicaId identity;  // of its data folder
  DataCentreId dataCentre;
  // It announced itself or acknowledged a Raft message within the failure
  // timeout.
  bool alive = false;
  // The host announced this identity since the leader was elected, so that it
  // is the host's current one.
  bool announced = false;
};

// Whether an announcement received at aReceivedAt states the host's current
// identity. An announcement from before this leadership may be outdated: the
// host may have lost its disk and joined again under another leader since.
bool IsCurrentIdentity(TimePoint aReceivedAt, TimePoint aLeadingSince);

enum class MembershipStep : std::uint8_t { AddLearner, Promote, Remove };

struct MembershipChange {
  MembershipStep step = MembershipStep::AddLearner;
  consensus::ReplicaId replica;
};

// Plans the next change towards 2 * aToleratedHosts + 1 live voters spread over
// the data centres; none when nothing is to change. A voter whose host has
// returned with another identity is removed at once and its successor promoted
// afterwards, so that hosts may lose their disks one after the other. A voter
// whose host is silent may still return and is removed only after its successor
// was promoted. All other hosts are learners.
std::optional<MembershipChange> PlanMembershipChange(
    const consensus::Membership& aMembership,
    const std::vector<KnownHost>& aHosts, std::uint32_t aToleratedHosts);

}  // namespace bramleypath::controller
