#include "bramleypath/workflow/FillerMoves.h"

#include <algorithm>

namespace bramleypath::workflow {

namespace {

// The gain must exceed the cost by this factor, since the pace may rise again
// and the other worker may slow the filler as well.
constexpr double kMinGain = 1.3;
constexpr double kFullPace = 100;
constexpr double kMinPace = 1;
// A pace is assumed to last no longer than this, since the load of serving
// tasks changes within seconds.
constexpr double kPaceLastsMs = 5000;

}  // namespace

double MoveMs(const MoveCosts& aCosts) {
  constexpr double kMicrosPerMilli = 1000;
  const double micros =
      static_cast<double>(aCosts.stopLimit.micros + aCosts.restore.micros) +
      static_cast<double>(aCosts.checkpointInterval.micros) / 2;
  return micros / kMicrosPerMilli;
}

bool IsWorthMoving(const SlowedFiller& aFiller, const MoveCosts& aCosts) {
  const double pace = std::max(kMinPace, aFiller.pacePercent);
  const double slowedMs = std::min(aFiller.remainingMs, kPaceLastsMs);
  const double lostMs = slowedMs * (kFullPace / pace - 1);
  return lostMs > MoveMs(aCosts) * kMinGain;
}

}  // namespace bramleypath::workflow
