#include "bramleypath/workflow/Drains.h"

#include <algorithm>

namespace bramleypath::workflow {

namespace {

void Forget(std::deque<DataCentreId>& aEnded, const DataCentreId& aDataCentre) {
  aEnded.erase(std::remove(aEnded.begin(), aEnded.end(), aDataCentre),
               aEnded.end());
}

void RememberEnd(std::deque<DataCentreId>& aEnded,
                 const DataCentreId& aDataCentre) {
  Forget(aEnded, aDataCentre);
  aEnded.push_back(aDataCentre);
  if (aEnded.size() > kMaxDrainedDataCentres) {
    aEnded.pop_front();
  }
}

}  // namespace

DrainChange Set(Drains& aDrains, const DataCentreId& aDataCentre,
                bool aDrained) {
  if (IsDrained(aDrains, aDataCentre) == aDrained) {
    if (!aDrained) {
      RememberEnd(aDrains.recentlyEnded, aDataCentre);
    }
    return DrainChange::Unchanged;
  }
  if (!aDrained) {
    aDrains.dataCentres.erase(aDataCentre);
    RememberEnd(aDrains.recentlyEnded, aDataCentre);
    return DrainChange::Changed;
  }
  if (aDrains.dataCentres.size() >= kMaxDrainedDataCentres) {
    return DrainChange::Full;
  }
  aDrains.dataCentres.insert(aDataCentre);
  Forget(aDrains.recentlyEnded, aDataCentre);
  return DrainChange::Changed;
}

bool IsDrained(const Drains& aDrains, const DataCentreId& aDataCentre) {
  return aDrains.dataCentres.count(aDataCentre) > 0;
}

bool IsNamed(const Drains& aDrains, const DataCentreId& aDataCentre) {
  const std::deque<DataCentreId>& ended = aDrains.recentlyEnded;
  return IsDrained(aDrains, aDataCentre) ||
         std::find(ended.begin(), ended.end(), aDataCentre) != ended.end();
}

}  // namespace bramleypath::workflow
