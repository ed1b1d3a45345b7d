#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/placement/Interference.h"

namespace bramleypath::placement {

struct TailSettings {
  // A tail above the first bound is responded to until it is below the second.
  double enterSlowdown = 1.5;
  double leaveSlowdown = 1.2;
  // Reports above the bound in a row before anything is done.
  std::uint32_t enterReports = 2;
  // Time between two steps, beyond the lag of the reports: the effect of a step
  // must be seen before the next one.
  Duration settle = Seconds(10);
  // An attempt that was evicted this often is left alone.
  std::uint32_t evictionBudget = 2;
  // A throttled attempt disturbs this share as much.
  double throttleShare = 0.5;
};

// The response on one worker so far.
struct TailResponse {
  std::uint32_t reportsAbove = 0;
  bool responding = false;
  bool admissionStopped = false;
  // Samples taken before this say nothing of the last step's effect.
  TimePoint ignoreSamplesBefore;
};

// A batch attempt on the worker.
struct AttemptView {
  std::uint64_t attempt = 0;  // the caller's number
  ClassIndex classIndex = 0;
  bool throttled = false;
  // Work that a stop would lose, in seconds: since the last checkpoint, plus
  // the cost of starting again.
  double lostSeconds = 0;
  std::uint32_t evictions = 0;  // of its job's budget
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
  std::uint64_t attempt = 0;  // for the kinds that concern one
};

// The report of a service's tail on the worker.
struct TailReport {
  ClassIndex service = 0;
  double load = 0;      // share of slots in use
  double slowdown = 1;  // tail against that of an undisturbed host
  TimePoint sampledAt;
};

// What to do about one report: throttle the attempts that disturb most, then
// stop admitting, then evict the attempt with the least lost work for the
// relief it brings. Returns the steps in order; none when nothing changes.
std::vector<Mitigation> RespondToTail(TailResponse& aState,
                                      const TailSettings& aSettings,
                                      const Interference& aTable,
                                      const TailReport& aReport,
                                      gsl::span<const AttemptView> aAttempts,
                                      TimePoint aNow);

}  // namespace bramleypath::placement
