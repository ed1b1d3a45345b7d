#include "bramleypath/workflow/Admission.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::workflow {

namespace {

// A job that ends after this multiple of its objective is useless to its
// caller.
constexpr double kUsefulObjectives = 3;
// Share of the processors that placement can fill; the rest stays fragmented.
constexpr double kUsableShare = 0.9;
constexpr double kMaxRetrySeconds = 8;
// The random factor on a retry delay is between 0.5 and 1.5.
constexpr double kMinSpread = 0.5;
constexpr double kMsPerSecond = 1000;
// Share of all processors that long-running tasks may reserve.
constexpr double kLongRunningShare = 0.84;

std::uint32_t RetryAfter(double aSeconds, Random& aRandom) {
  const double spread = kMinSpread + NextUnit(aRandom);
  return static_cast<std::uint32_t>(
      std::ceil(std::clamp(aSeconds * spread, 1.0, kMaxRetrySeconds)));
}

bool HasProcessorsForLongRunning(const AdmissionView& aView) {
  return aView.jobLongRunningMilli <= 0 || aView.workersMilli <= 0 ||
         aView.longRunningMilli + aView.jobLongRunningMilli <=
             aView.workersMilli * kLongRunningShare;
}

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom) {
  AdmissionDecision decision;
  if (!HasProcessorsForLongRunning(aView)) {
    decision.accepted = false;
    decision.retryAfterSeconds = RetryAfter(kMaxRetrySeconds, aRandom);
    return decision;
  }
  if (aView.longRunning || aView.capacityMilli <= 0) {
    return decision;
  }
  const double rate = aView.capacityMilli * kUsableShare;
  const double queueMs = aView.backlogWork / rate;
  decision.expectedMs = queueMs + aView.jobWork / rate + aView.chainMs;
  const double usefulMs = aView.objectiveMs * kUsefulObjectives;
  if (decision.expectedMs <= usefulMs) {
    return decision;
  }
  decision.accepted = false;
  const double excessSeconds = (decision.expectedMs - usefulMs) / kMsPerSecond;
  decision.retryAfterSeconds = RetryAfter(excessSeconds, aRandom);
  return decision;
}

}  // namespace bramleypath::workflow
