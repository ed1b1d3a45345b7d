#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gsl/span>

#include "bramleypath/workflow/Scheduler.h"

// Pieces of the scheduler that its source files share.
namespace bramleypath::workflow::detail {

// A worker's clock may be this much slower than ours.
constexpr double kSlowestClock = 0.98;

double MillisBetween(TimePoint aFrom, TimePoint aTo);
// Whether the replicated state holds the attempt's end already.
bool IsOver(const State& aState, const TaskKey& aKey, const Attempt& aAttempt);
// Stops an attempt on the incarnation that follows that of its worker.
void FollowWorker(const State& aState, const TaskKey& aKey, Attempt& aAttempt,
                  TimePoint aNow);
// The key of a task's stage.
inline TaskKey StageKey(const TaskKey& aTask) {
  return TaskKey{aTask.job, aTask.occurrence, aTask.stage, 0};
}
TaskName NameOf(const State& aState, const TaskKey& aKey);
std::string ToText(const TaskName& aName);
// The worker's id, or its number when it is gone.
std::string WorkerText(const State& aState, WorkerNumber aWorker);
std::optional<TaskKey> KeyOf(const State& aState, const TaskName& aName);
const StageSpec& StageOf(const State& aState, const TaskKey& aKey);

// The worker's clock now, as our best estimate; none before its first answer.
std::optional<std::int64_t> EstimateClock(const Contact& aContact,
                                          TimePoint aNow);
// The end of a lease given now, on the worker's clock. Remembers it.
std::int64_t GrantLease(Scheduler& aScheduler, Contact& aContact,
                        TimePoint aNow);
void NoteClock(Contact& aContact, std::int64_t aClockMs, TimePoint aNow);
void NoteHeard(Scheduler& aScheduler, Contact& aContact, TimePoint aNow);
// Whether every lease that the worker was given has surely run out.
bool IsLeaseOver(const Contact& aContact, TimePoint aNow);
bool IsInContact(const Scheduler& aScheduler, const Contact& aContact,
                 TimePoint aNow);

void WantStop(Attempt& aAttempt, const std::string& aReason, TimePoint aNow);
// Workers carry orders out up to 12 s after they were sent.
constexpr Duration kLatestOrder = Seconds(12);
void ProposeEnd(const TaskKey& aKey, Attempt& aAttempt, EndKind aKind,
                const std::string& aCheckpoint, EndTasks& aEnds);
// Remembers an attempt that was given up although its start may still arrive.
void NoteGivenUp(Scheduler& aScheduler, const State& aState,
                 const TaskKey& aKey, const Attempt& aAttempt, TimePoint aNow);
// What is to be fenced off on an incarnation that has just appeared.
std::vector<StopOrder> LateStartsFor(const Scheduler& aScheduler,
                                     const WorkerId& aWorker, TimePoint aNow);

// Run time of one task of the stage in ms, learned or estimated.
double ExpectedRunMs(const Scheduler& aScheduler, const QueueId& aQueue,
                     const StageSpec& aStage);
std::string RunTimeKey(const QueueId& aQueue, const StageSpec& aStage);
void LearnRunTime(Scheduler& aScheduler, const State& aState,
                  const TaskKey& aKey, const Attempt& aAttempt,
                  Contact& aContact, TimePoint aNow);
// Run time of one task of each stage in ms.
std::vector<double> StageRunMs(const Scheduler& aScheduler,
                               const JobSpec& aSpec);
// The longest chain of stages that wait for each other, by what each takes.
double LongestChainMs(const JobSpec& aSpec, gsl::span<const double> aStageMs);
double ObjectiveMs(const QueueSettings& aQueue, double aChainMs);

// What a worker's processors are used for, in thousandths.
struct ProcessorUse {
  double lasting = 0;  // asked for by tasks that last
  double fillers = 0;  // in use by fillers
};
ProcessorUse UseOf(const Scheduler& aScheduler, const State& aState,
                   const Worker& aWorker);

// Chooses workers for waiting tasks and commits the placements.
void Dispatch(Scheduler& aScheduler, const State& aState, TimePoint aNow,
              std::int64_t aUnixMs, SchedulerActions& aActions);
// Holds that are due.
void SendHolds(Scheduler& aScheduler, const State& aState, TimePoint aNow,
               SchedulerActions& aActions);
// Slows and releases the fillers of a worker by the tails that it reports.
void AdjustPaces(Scheduler& aScheduler, const State& aState, Contact& aContact,
                 TimePoint aNow, SchedulerActions& aActions);
// Stops that are due, and attempts whose lease has run out.
void WatchAttempts(Scheduler& aScheduler, const State& aState, TimePoint aNow,
                   SchedulerActions& aActions);

}  // namespace bramleypath::workflow::detail
