#include "bramleypath/controller/MembershipPlan.h"

#include <algorithm>
#include <map>

#include "bramleypath/storage/DataFolder.h"

namespace bramleypath::controller {

namespace {

using consensus::Membership;
using consensus::ReplicaId;

const KnownHost* FindIdentity(const std::vector<KnownHost>& aHosts,
                              const ReplicaId& aReplica) {
  const auto found = std::find_if(
      aHosts.begin(), aHosts.end(),
      [&](const KnownHost& aHost) { return aHost.identity == aReplica; });
  return found == aHosts.end() ? nullptr : &*found;
}

bool IsAlive(const std::vector<KnownHost>& aHosts, const ReplicaId& aReplica) {
  const KnownHost* const host = FindIdentity(aHosts, aReplica);
  return host && host->alive;
}

// Whether the member's host has returned with another identity: its data folder
// was lost, and no replica has the old identity any more.
bool IsReplaced(const std::vector<KnownHost>& aHosts,
                const ReplicaId& aReplica) {
  const HostId host = storage::HostOf(aReplica);
  return std::any_of(aHosts.begin(), aHosts.end(), [&](const KnownHost& aHost) {
    return aHost.announced && aHost.host == host && aHost.identity != aReplica;
  });
}

std::optional<ReplicaId> FindReplaced(const std::vector<ReplicaId>& aMembers,
                                      const std::vector<KnownHost>& aHosts) {
  const auto found = std::find_if(
      aMembers.begin(), aMembers.end(),
      [&](const ReplicaId& aMember) { return IsReplaced(aHosts, aMember); });
  return found == aMembers.end() ? std::nullopt
                                 : std::optional<ReplicaId>(*found);
}

// The live learner whose data centre has the fewest live voters.
std::optional<ReplicaId> BestLearner(const Membership& aMembership,
                                     const std::vector<KnownHost>& aHosts) {
  std::map<DataCentreId, std::uint32_t> voters;
  for (const ReplicaId& voter : aMembership.voters) {
    const KnownHost* const host = FindIdentity(aHosts, voter);
    if (host && host->alive) {
      ++voters[host->dataCentre];
    }
  }
  std::optional<ReplicaId> best;
  std::uint32_t fewest = 0;
  for (const ReplicaId& learner : aMembership.learners) {
    const KnownHost* const host = FindIdentity(aHosts, learner);
    if (!host || !host->alive) {
      continue;
    }
    const std::uint32_t count = voters[host->dataCentre];
    if (!best || count < fewest) {
      best = learner;
      fewest = count;
    }
  }
  return best;
}

}  // namespace

bool IsCurrentIdentity(TimePoint aReceivedAt, TimePoint aLeadingSince) {
  return aReceivedAt >= aLeadingSince;
}

std::optional<MembershipChange> PlanMembershipChange(
    const Membership& aMembership, const std::vector<KnownHost>& aHosts,
    std::uint32_t aToleratedHosts) {
  for (const KnownHost& host : aHosts) {
    if (host.alive && host.announced &&
        !consensus::IsMember(aMembership, host.identity)) {
      return MembershipChange{MembershipStep::AddLearner, host.identity};
    }
  }
  // A voter whose identity was replaced counts towards the quorum and never
  // votes again. It is removed before its successor is promoted: promoted
  // first, the successor would be a fourth voter and raise the quorum, which
  // one more lost disk would break.
  const auto replacedVoter = FindReplaced(aMembership.voters, aHosts);
  if (replacedVoter) {
    return MembershipChange{MembershipStep::Remove, *replacedVoter};
  }
  const std::size_t wanted = 2 * static_cast<std::size_t>(aToleratedHosts) + 1;
  const auto alive = static_cast<std::size_t>(std::count_if(
      aMembership.voters.begin(), aMembership.voters.end(),
      [&](const ReplicaId& aVoter) { return IsAlive(aHosts, aVoter); }));
  if (alive < wanted) {
    const auto learner = BestLearner(aMembership, aHosts);
    if (learner) {
      return MembershipChange{MembershipStep::Promote, *learner};
    }
    return std::nullopt;
  }
  for (const ReplicaId& voter : aMembership.voters) {
    if (!IsAlive(aHosts, voter)) {
      return MembershipChange{MembershipStep::Remove, voter};
    }
  }
  const auto replacedLearner = FindReplaced(aMembership.learners, aHosts);
  if (replacedLearner) {
    return MembershipChange{MembershipStep::Remove, *replacedLearner};
  }
  return std::nullopt;
}

}  // namespace bramleypath::controller
