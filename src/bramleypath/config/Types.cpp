#include "bramleypath/config/Types.h"

#include <algorithm>

namespace bramleypath::config {

bool IsPending(const KeyOwners& aOwners) { return !aOwners.next.empty(); }

std::set<DataCentreId> DataCentresToConfirm(const KeyOwners& aOwners) {
  const bool adds =
      !std::includes(aOwners.current.begin(), aOwners.current.end(),
                     aOwners.next.begin(), aOwners.next.end());
  std::set<DataCentreId> centres;
  for (const DataCentreId& centre : aOwners.current) {
    const bool losesKeys = adds || aOwners.next.count(centre) == 0;
    if (losesKeys && aOwners.lost.count(centre) == 0) {
      centres.insert(centre);
    }
  }
  return centres;
}

}  // namespace bramleypath::config
