#include "bramleypath/placement/PlacementHistory.h"

#include <utility>

namespace bramleypath::placement {

void RecordComposition(PlacementHistory& aHistory, Composition aComposition,
                       TimePoint aNow) {
  auto& records = aHistory.records;
  if (!records.empty() && records.back().composition == aComposition) {
    return;
  }
  if (!records.empty() && records.back().since == aNow) {
    records.back().composition = std::move(aComposition);
    return;
  }
  records.push_back(PlacementRecord{aNow, std::move(aComposition)});
  if (records.size() > kMaxHistoryRecords) {
    records.pop_front();
  }
}

std::optional<Composition> CompositionAt(const PlacementHistory& aHistory,
                                         TimePoint aTime, Duration aSettle) {
  const auto& records = aHistory.records;
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (record->since <= aTime) {
      if (aTime < record->since + aSettle) {
        return std::nullopt;
      }
      return record->composition;
    }
  }
  return std::nullopt;
}

}  // namespace bramleypath::placement
