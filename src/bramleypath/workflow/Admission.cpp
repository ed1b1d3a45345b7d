#include "bramleypath/workflow/Admission.h"

#include <algorithm>
#include <cmath>

#include "bramleypath/workflow/Refusals.h"

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
// Share of all processors that long-running tasks may reserve.
constexpr double kLongRunningShare = 0.84;

// Share of the useful time up to which the chain is corrected.
constexpr double kMaxOwnShare = 0.67;

std::uint32_t RetryAfter(double aSeconds, Random& aRandom) {
  const double spread = kMinSpread + NextUnit(aRandom);
  return static_cast<std::uint32_t>(
      std::ceil(std::clamp(aSeconds * spread, 1.0, kMaxRetrySeconds)));
}

// Time in which the processors work off the job.
double JobWorkMs(const AdmissionView& aView) {
  return aView.capacityMilli <= 0
             ? 0
             : aView.jobWork / (aView.capacityMilli * kUsableShare);
}

bool HasProcessorsForLongRunning(const AdmissionView& aView) {
  return aView.jobLongRunningMilli <= 0 || aView.workersMilli <= 0 ||
         aView.longRunningMilli + aView.jobLongRunningMilli <=
             aView.workersMilli * kLongRunningShare;
}

}  // namespace

double CorrectedChainMs(double aChainMs, double aFactor, double aObjectiveMs) {
  const double limitMs = aObjectiveMs * kUsefulObjectives * kMaxOwnShare;
  return std::min(aChainMs * aFactor, std::max(aChainMs, limitMs));
}

std::string_view ToText(AdmissionReason aReason) {
  switch (aReason) {
    case AdmissionReason::InTime:
      return "in_time";
    case AdmissionReason::Late:
      return "late";
    case AdmissionReason::LongRunning:
      return "long_running";
    case AdmissionReason::Useless:
      return "useless";
    case AdmissionReason::NoRoom:
      return "no_room";
  }
  return "unknown";
}

AdmissionDecision DecideAdmission(const AdmissionView& aView, Random& aRandom) {
  AdmissionDecision decision;
  if (!HasProcessorsForLongRunning(aView)) {
    decision.accepted = false;
    decision.reason = AdmissionReason::NoRoom;
    decision.retryAfterSeconds = RetryAfter(kMaxRetrySeconds, aRandom);
    return decision;
  }
  if (aView.longRunning) {
    decision.reason = AdmissionReason::LongRunning;
    return decision;
  }
  if (aView.capacityMilli <= 0) {
    return decision;
  }
  const double rate = aView.capacityMilli * kUsableShare;
  const double queueMs = aView.backlogWork / rate;
  const double ownMs = JobWorkMs(aView) + aView.chainMs;
  decision.expectedMs = queueMs + ownMs;
  const double usefulMs = aView.objectiveMs * kUsefulObjectives;
  // A job that has to wait for nothing is accepted whenever its caller returns.
  const double waitedMs = queueMs > 0 ? aView.waitedMs : 0;
  const double endsMs = waitedMs + decision.expectedMs;
  if (endsMs <= usefulMs) {
    decision.reason = endsMs <= aView.objectiveMs ? AdmissionReason::InTime
                                                  : AdmissionReason::Late;
    return decision;
  }
  decision.accepted = false;
  decision.reason = AdmissionReason::Useless;
  RetryView retry;
  retry.roomMs = decision.expectedMs - usefulMs;
  retry.waitedMs = aView.waitedMs;
  retry.usefulMs = usefulMs;
  retry.ownMs = ownMs;
  decision.retryAfterSeconds = RetryAfterSeconds(retry, aRandom);
  return decision;
}

}  // namespace bramleypath::workflow
