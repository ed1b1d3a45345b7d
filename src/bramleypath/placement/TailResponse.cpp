#include "bramleypath/placement/TailResponse.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::placement {

namespace {

double PredictedInterference(const Interference& aTable,
                             const TailReport& aReport,
                             const AttemptView& aAttempt) {
  return PredictAddedLogSlowdown(aTable, aReport.service, aAttempt.classIndex,
                                 BandOf(aReport.load), 0);
}

// Throttles the attempts that interfere most, until the predicted reduction
// brings the slowdown down to leaveSlowdown.
std::vector<Mitigation> ThrottleWorst(const TailSettings& aSettings,
                                      const Interference& aTable,
                                      const TailReport& aReport,
                                      gsl::span<const AttemptView> aAttempts) {
  std::vector<const AttemptView*> order;
  for (const AttemptView& attempt : aAttempts) {
    if (!attempt.throttled) {
      order.push_back(&attempt);
    }
  }
  std::sort(order.begin(), order.end(),
            [&](const AttemptView* aLeft, const AttemptView* aRight) {
              return PredictedInterference(aTable, aReport, *aLeft) >
                     PredictedInterference(aTable, aReport, *aRight);
            });
  double needed =
      std::log(aReport.slowdown) - std::log(aSettings.leaveSlowdown);
  std::vector<Mitigation> steps;
  for (const AttemptView* attempt : order) {
    if (needed <= 0) {
      break;
    }
    steps.push_back(Mitigation{MitigationKind::Throttle, attempt->attempt});
    needed -= PredictedInterference(aTable, aReport, *attempt) *
              (1 - aSettings.throttleShare);
  }
  return steps;
}

const AttemptView* CheapestEviction(const TailSettings& aSettings,
                                    const Interference& aTable,
                                    const TailReport& aReport,
                                    gsl::span<const AttemptView> aAttempts) {
  // A restart loses work even when the attempt has just been checkpointed.
  constexpr double kMinLostSeconds = 1;
  constexpr double kMinReduction = 0.01;
  const AttemptView* best = nullptr;
  double bestCost = 0;
  for (const AttemptView& attempt : aAttempts) {
    const double reduction = PredictedInterference(aTable, aReport, attempt);
    if (attempt.evictions >= aSettings.evictionBudget ||
        reduction < kMinReduction) {
      continue;
    }
    const double cost =
        std::max(attempt.lostSeconds, kMinLostSeconds) / reduction;
    if (best == nullptr || cost < bestCost) {
      best = &attempt;
      bestCost = cost;
    }
  }
  return best;
}

std::vector<Mitigation> Escalate(TailResponse& aState,
                                 const TailSettings& aSettings,
                                 const Interference& aTable,
                                 const TailReport& aReport,
                                 gsl::span<const AttemptView> aAttempts) {
  std::vector<Mitigation> steps;
  if (!aState.admissionStopped) {
    aState.admissionStopped = true;
    steps = ThrottleWorst(aSettings, aTable, aReport, aAttempts);
    steps.push_back(Mitigation{MitigationKind::StopAdmission, 0});
    return steps;
  }
  steps = ThrottleWorst(aSettings, aTable, aReport, aAttempts);
  if (!steps.empty()) {
    return steps;
  }
  const AttemptView* chosen =
      CheapestEviction(aSettings, aTable, aReport, aAttempts);
  if (chosen != nullptr) {
    steps.push_back(Mitigation{MitigationKind::Evict, chosen->attempt});
  }
  return steps;
}

std::vector<Mitigation> RevertMitigations(
    TailResponse& aState, gsl::span<const AttemptView> aAttempts) {
  std::vector<Mitigation> steps;
  for (const AttemptView& attempt : aAttempts) {
    if (attempt.throttled) {
      steps.push_back(Mitigation{MitigationKind::Unthrottle, attempt.attempt});
    }
  }
  if (aState.admissionStopped) {
    aState.admissionStopped = false;
    steps.push_back(Mitigation{MitigationKind::ResumeAdmission, 0});
  }
  aState.responding = false;
  return steps;
}

}  // namespace

std::vector<Mitigation> RespondToTail(TailResponse& aState,
                                      const TailSettings& aSettings,
                                      const Interference& aTable,
                                      const TailReport& aReport,
                                      gsl::span<const AttemptView> aAttempts,
                                      TimePoint aNow) {
  if (aReport.sampledAt < aState.ignoreSamplesBefore) {
    return {};
  }
  if (aReport.slowdown < aSettings.leaveSlowdown) {
    aState.reportsAbove = 0;
    if (!aState.responding) {
      return {};
    }
    aState.ignoreSamplesBefore = aNow + aSettings.settle;
    return RevertMitigations(aState, aAttempts);
  }
  if (aReport.slowdown < aSettings.enterSlowdown) {
    aState.reportsAbove = 0;
    return {};
  }
  aState.reportsAbove += 1;
  if (aState.reportsAbove < aSettings.enterReports && !aState.responding) {
    return {};
  }
  aState.responding = true;
  std::vector<Mitigation> steps =
      Escalate(aState, aSettings, aTable, aReport, aAttempts);
  if (!steps.empty()) {
    aState.ignoreSamplesBefore = aNow + aSettings.settle;
  }
  return steps;
}

}  // namespace bramleypath::placement
