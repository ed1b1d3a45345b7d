#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/placement/Interference.h"

namespace bramleypath::placement {

// Slowdowns are factors relative to the tail of an undisturbed host.
struct TailSettings {
  // The response starts when the slowdown reaches enterSlowdown and ends when
  // it falls below leaveSlowdown.
  double enterSlowdown = 1.5;
  double leaveSlowdown = 1.2;
  // Consecutive reports at or above enterSlowdown that start the response.
  std::uint32_t enterReports = 2;
  // Samples taken less than this after a step are ignored, so that the effect
  // of the step is measured before the next one.
  Duration settle = Seconds(10);
  // An attempt whose job was evicted this often is not evicted again.
  std::uint32_t evictionBudget = 2;
  // Interference of a throttled attempt as a fraction of that of an
  // unthrottled one.
  double throttleShare = 0.5;
};

// State of the response to high tail latency on one worker.
struct TailResponse {
  // Consecutive reports at or above TailSettings::enterSlowdown.
  std::uint32_t reportsAbove = 0;
  bool responding = false;
  bool admissionStopped = false;
  // Samples taken before this time don't show the effect of the last step.
  TimePoint ignoreSamplesBefore;
};

// A batch attempt on the worker.
struct AttemptView {
  std::uint64_t attempt = 0;  // the caller's number
  ClassIndex classIndex = 0;
  bool throttled = false;
  // Work that an eviction would lose, in seconds: the work since the last
  // checkpoint plus the cost of a restart.
  double lostSeconds = 0;
  // Evictions so far, counted against TailSettings::evictionBudget.
  std::uint32_t evictions = 0;
};

enum class MitigationKind : std::uint8_t {
  Throttle,
  StopAdmission,
  Evict,
  Unthrottle,
  ResumeAdmission
};

struct Mitigation {
  MitigationKind kind = MitigationKind::Throttle;
  // AttemptView::attempt to throttle, unthrottle or evict; 0 for the kinds that
  // concern the whole worker.
  std::uint64_t attempt = 0;
};

// A service's report of its tail latency on the worker.
struct TailReport {
  ClassIndex service = 0;
  double load = 0;      // share of slots in use
  double slowdown = 1;  // tail latency relative to an undisturbed host
  TimePoint sampledAt;
};

// Decides the mitigations for one report. The first step throttles the attempts
// that interfere most and stops admission. Later steps throttle further
// attempts and, when none are left, evict the attempt that loses the least work
// relative to the reduction of the slowdown. When the tail has recovered, all
// mitigations are reverted. Returns the steps in order, or none when nothing
// changes.
std::vector<Mitigation> RespondToTail(TailResponse& aState,
                                      const TailSettings& aSettings,
                                      const Interference& aTable,
                                      const TailReport& aReport,
                                      gsl::span<const AttemptView> aAttempts,
                                      TimePoint aNow);

}  // namespace bramleypath::placement
