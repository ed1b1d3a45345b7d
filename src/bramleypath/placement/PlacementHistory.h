#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/placement/Composition.h"

namespace bramleypath::placement {

// What ran on one worker since when; the newest is the last.
struct PlacementRecord {
  TimePoint since;
  Composition composition;
};

// The recent compositions of one worker, so that a report that arrives late is
// attributed to what ran when its sample was taken.
struct PlacementHistory {
  std::deque<PlacementRecord> records;
};

// At 68 starts a second over 320 workers a worker changes every 5 s, so this
// covers reports that are 60 s late several times over.
constexpr std::size_t kMaxHistoryRecords = 64;

void RecordComposition(PlacementHistory& aHistory, Composition aComposition,
                       TimePoint aNow);

// The composition at a time, or none when it is older than the history or
// changed within aSettle before the time, so that the sample mixes two.
std::optional<Composition> CompositionAt(const PlacementHistory& aHistory,
                                         TimePoint aTime, Duration aSettle);

}  // namespace bramleypath::placement
