#include "bramleypath/controller/PauseRecord.h"

namespace bramleypath::controller {

void RecordSample(PauseRecord& aRecord, Duration aDelay, Duration aInterval,
                  TimePoint aNow) {
  if (kLongestUnnoticedPause < aDelay) {
    aRecord.aftermathEndsAt = aNow + kPauseAftermath;
  }
  aRecord.sampleDueAt = aNow + aInterval;
}

bool WasPausedLately(const PauseRecord& aRecord, TimePoint aNow) {
  if (aNow < aRecord.aftermathEndsAt) {
    return true;
  }
  return aRecord.sampleDueAt != kNever &&
         aRecord.sampleDueAt + kLongestUnnoticedPause < aNow;
}

}  // namespace bramleypath::controller
