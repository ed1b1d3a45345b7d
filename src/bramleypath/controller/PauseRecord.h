#pragma once

#include "bramleypath/base/TimePoint.h"

// Whether this process was paused a moment ago. What it reads right after a
// pause may have been sent long before, and its sender may have given it up.
namespace bramleypath::controller {

// A shorter delay of the event loop is not taken for a pause. Together with the
// lifetime of an order it stays below the second after which operators give up
// a request.
constexpr Duration kLongestUnnoticedPause = Millis(400);
// How long after a pause requests may still be read that arrived during it.
constexpr Duration kPauseAftermath = Seconds(1);

struct PauseRecord {
  // When the next sample is due; the pause that delays it is noticed before it
  // is taken, in whatever order the loop handles what has become ready.
  TimePoint sampleDueAt = kNever;
  TimePoint aftermathEndsAt;
};

// A sample was taken with that delay; the next one is due after aInterval.
void RecordSample(PauseRecord& aRecord, Duration aDelay, Duration aInterval,
                  TimePoint aNow);
bool WasPausedLately(const PauseRecord& aRecord, TimePoint aNow);

}  // namespace bramleypath::controller
