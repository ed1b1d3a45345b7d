#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/placement/Composition.h"

namespace bramleypath::placement {

// A composition of one worker and the time from which it applies.
struct PlacementRecord {
  TimePoint since;
  Composition composition;
};

// The recent compositions of one worker, by which a report that arrives late is
// attributed to the work that ran when its sample was taken.
struct PlacementHistory {
  // Sorted by time, oldest first.
  std::deque<PlacementRecord> records;
};

// At 68 starts a second over 320 workers, the composition of a worker changes
// every 5 s. 64 records then span about 300 s, several times the 60 s by which
// reports may be late.
constexpr std::size_t kMaxHistoryRecords = 64;

// Records the composition from aNow on, unless it equals the newest one.
void RecordComposition(PlacementHistory& aHistory, Composition aComposition,
                       TimePoint aNow);

// The composition at aTime. Returns none when aTime is before the oldest
// record, or when the composition changed less than aSettle before aTime, since
// such a sample covers two compositions.
std::optional<Composition> CompositionAt(const PlacementHistory& aHistory,
                                         TimePoint aTime, Duration aSettle);

}  // namespace bramleypath::placement
