#include "bramleypath/controller/LoadShedder.h"

#include <algorithm>

namespace bramleypath::controller {

namespace {

// Weight of a sample; with one each 100 ms, the delay follows within a second.
constexpr double kSampleWeight = 0.15;
constexpr Duration kAdjustInterval = Millis(200);
// Renewals and commits pass several turns of the loop, which must be short
// against the lease of the leader, 400 ms.
constexpr double kHighDelayMs = 60;
constexpr double kLowDelayMs = 40;
// Load grows at once and accepted jobs leave after seconds, so the share rises
// faster than it falls.
constexpr double kRise = 0.1;
constexpr double kFall = 0.03;
// With fewer, the delay has another cause than jobs, such as a recovery.
constexpr std::uint32_t kFewWaitingTasks = 100;
constexpr double kMinRetrySeconds = 2;
constexpr double kMaxRetrySeconds = 8;

}  // namespace

void OnLoopDelay(LoadShedder& aShedder, Duration aDelay, TimePoint aNow) {
  constexpr double kMicrosPerMilli = 1000;
  const double delayMs =
      static_cast<double>(std::max<std::int64_t>(0, aDelay.micros)) /
      kMicrosPerMilli;
  aShedder.delayMs += kSampleWeight * (delayMs - aShedder.delayMs);
  if (aNow < aShedder.adjustAt) {
    return;
  }
  aShedder.adjustAt = aNow + kAdjustInterval;
  const bool isBehind = aShedder.waitingTasks > kFewWaitingTasks;
  if (isBehind && aShedder.delayMs > kHighDelayMs) {
    aShedder.refusedShare = std::min(1.0, aShedder.refusedShare + kRise);
  } else if (!isBehind || aShedder.delayMs < kLowDelayMs) {
    aShedder.refusedShare = std::max(0.0, aShedder.refusedShare - kFall);
  }
}

bool IsAdmitted(const LoadShedder& aShedder, Random& aRandom) {
  return aShedder.refusedShare <= 0 ||
         NextUnit(aRandom) >= aShedder.refusedShare;
}

std::uint32_t RetryAfterSeconds(const LoadShedder& aShedder, Random& aRandom) {
  const double longest =
      std::max(kMinRetrySeconds, kMaxRetrySeconds * aShedder.refusedShare);
  return static_cast<std::uint32_t>(
      kMinRetrySeconds + NextUnit(aRandom) * (longest - kMinRetrySeconds) + 1);
}

}  // namespace bramleypath::controller
