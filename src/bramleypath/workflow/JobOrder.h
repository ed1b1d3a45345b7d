#pragma once

#include <cstddef>
#include <cstdint>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::workflow {

// Priorities are levels from 0, which comes first, to kLastLevel.
constexpr std::uint32_t kLastLevel = 9;

// The level of a queue's configured priority: a negative one counts as 0, one
// above kLastLevel as kLastLevel.
std::uint32_t LevelOf(std::int32_t aPriority);

// What determines the rank of a waiting job.
struct WaitingJob {
  bool longRunning = false;
  double ageMs = 0;        // since its acceptance, or its first refusal
  double objectiveMs = 0;  // latency objective
  // Longest chain of run times still to do, corrected by FactorOf.
  double remainingMs = 0;
  std::uint32_t level = 0;  // see LevelOf
  // Remaining work over the mean of the jobs of its class if processors are
  // short for the class, see WorkRatio; otherwise 1.
  double workRatio = 1;
};

// Whether a job can still end within its objective, or within the time in which
// its caller has a use for it.
enum class Outlook : std::uint8_t { InTime, Late, Useless };
Outlook OutlookOf(const WaitingJob& aJob);

// The level in the start order. A job rises by one level with each objective
// that it has waited, so that lower priorities don't starve: after three
// objectives a job can't be useful any more.
std::uint32_t AgedLevel(const WaitingJob& aJob);

// Longer than a placement and its commit take while workers have room.
constexpr Duration kHeldTime = Millis(300);

// The jobs of a class of work as of a ranking, and those of them that will end
// later than their objective. Work in thousandths of a processor times ms.
struct ClassOrder {
  std::size_t jobs = 0;
  std::size_t late = 0;
  std::size_t held = 0;  // that have waited for kHeldTime with no task placed
  double work = 0;
};
// Whether some jobs of the class can't end in time or can't start, apart from a
// few that were delayed by something else, such as a lost worker.
bool IsShort(const ClassOrder& aClass);
// WaitingJob::workRatio, within fixed limits, so that a large job isn't put off
// for more than a multiple of its slack.
double WorkRatio(const ClassOrder& aClass, double aRemainingWork);

// Rank of a waiting job under a backlog; the smallest starts first.
//
// Long-running jobs come first, since their users are not served until they
// start. Other jobs follow by level, then by slack, the time left until the job
// misses its objective. A job that can't meet its objective any more yields to
// those of its level that can; otherwise one late job would make all jobs
// behind it late. Jobs that can only end too late to be useful come last,
// oldest first.
//
// Load pattern: a burst of wide jobs beside small ones of a higher priority.
// The slack is multiplied by workRatio, so that of the jobs that can still be
// in time while not all can, those with less work left go first. A large job
// keeps its turn, since its slack shrinks to 0.
double StartRank(const WaitingJob& aJob);

}  // namespace bramleypath::workflow
