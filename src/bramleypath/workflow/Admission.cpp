#include "bramleypath/workflow/Admission.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::workflow {

namespace {

// A job is of no use to its caller after this many objectives.
constexpr double kUsefulObjectives = 3;
// Placement leaves part of the processors unused.
constexpr double kUsableShare = 0.9;
constexpr double kMaxRetrySeconds = 8;
constexpr double kMsPerSecond = 1000;
// Of all processors, what lasting tasks may reserve.
constexpr double kLastingShare = 0.84;

std::uint32_t RetryAfter(double aSeconds, Random& aRandom) {
  const double spread = 0.5 + NextUnit(aRandom);
  return static_cast<std::uint32_t>(
      std::ceil(std::clamp(aSeconds * spread, 1.0, kMaxRetrySeconds)));
}

bool HasRoomToLast(const AdmissionView& aView) {
  return aView.jobLastingMilli <= 0 || aView.workersMilli <= 0 ||
         aView.lastingMilli + aView.jobLastingMilli <=
             aView.workersMilli * kLastingShare;
}

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom) {
  AdmissionDecision decision;
  if (!HasRoomToLast(aView)) {
    decision.accepted = false;
    decision.retryAfterSeconds = RetryAfter(kMaxRetrySeconds, aRandom);
    return decision;
  }
  if (aView.lasting || aView.capacityMilli <= 0) {
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
