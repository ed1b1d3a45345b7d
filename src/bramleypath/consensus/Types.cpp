#include "bramleypath/consensus/Types.h"

#include <algorithm>

namespace bramleypath::consensus {

namespace {

bool Contains(const std::vector<ReplicaId>& aList, const ReplicaId& aReplica) {
  return std::find(aList.begin(), aList.end(), aReplica) != aList.end();
}

}  // namespace

bool operator==(const Membership& aLeft, const Membership& aRight) {
  return aLeft.voters == aRight.voters && aLeft.learners == aRight.learners;
}

bool IsVoter(const Membership& aMembership, const ReplicaId& aReplica) {
  return Contains(aMembership.voters, aReplica);
}

bool IsMember(const Membership& aMembership, const ReplicaId& aReplica) {
  return IsVoter(aMembership, aReplica) ||
         Contains(aMembership.learners, aReplica);
}

}  // namespace bramleypath::consensus
