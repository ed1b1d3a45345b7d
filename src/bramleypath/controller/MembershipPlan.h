#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/consensus/Types.h"

namespace bramleypath::controller {

// A host with a disk, as the leader knows it.
struct KnownHost {
  HostId host;
  consensus::ReplicaId identity;  // of its data folder
  DataCentreId dataCentre;
  // It has announced itself, or acknowledged the leader, lately.
  bool alive = false;
  // The host itself has told its identity, so that it is the newest known.
  bool announced = false;
};

// Whether an announcement tells the host's newest identity. One that was heard
// before this leadership may be older than what another leader has heard since:
// the host may have lost its disk and joined again meanwhile.
bool IsNewest(TimePoint aHeardAt, TimePoint aLeadingSince);

enum class MemberStep : std::uint8_t { AddLearner, Promote, Remove };

struct MemberChange {
  MemberStep step = MemberStep::AddLearner;
  consensus::ReplicaId replica;
};

// The next change towards 2 * aTolerated + 1 live voters spread over the data
// centres; none when the membership is as wanted. Answers hosts that lose their
// disk one after the other: a voter whose host has come back with another
// identity leaves at once, then its successor is promoted. Answers a host that
// stays away, which may still return: its successor is made a voter before it
// leaves. Hosts beyond the wanted voters are learners.
std::optional<MemberChange> PlanMembers(
    const consensus::Membership& aMembership,
    const std::vector<KnownHost>& aHosts, std::uint32_t aTolerated);

}  // namespace bramleypath::controller
