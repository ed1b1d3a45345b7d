#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Driver.h"

namespace bramleypath::workflow {

// A worker with its own clock that follows the protocol of Driver.h.
struct WorkerModel {
  struct Running {
    AttemptNumber attempt = 0;
    std::int64_t endsAtMs = 0;  // of the worker's clock
    std::int64_t startedAtMs = 0;
    bool fails = false;
    std::uint32_t pace = 100;  // percent
    bool isStopping = false;   // ends as stopped at endsAtMs
  };
  // A capacity that the worker had.
  struct PastCapacity {
    Resources capacity;
    TimePoint until;
  };

  WorkerSpec spec;
  double clockRate = 1;
  TimePoint clockStartedAt;
  bool up = true;
  std::uint64_t announcements = 0;  // sent so far
  Epoch epoch = 0;
  std::int64_t untilMs = 0;
  std::map<std::string, Running> running;
  std::map<std::string, TaskName> names;
  // By task: attempts up to this number are refused.
  std::map<std::string, AttemptNumber> finished;
  std::vector<EndedAttempt> ended;
  std::uint64_t lastEnd = 0;
  std::uint32_t runMs = 300;
  std::string endlessJob;    // its tasks run until they are stopped
  std::uint32_t stopMs = 0;  // how long a stop takes
  std::vector<PastCapacity> pastCapacities;
  double failureShare = 0;
  bool refusesStarts = false;
  // Jobs whose first task crashes the worker soon after its start.
  std::set<std::string> deadlyJobs;
  bool crashesBeforeAnswer = false;  // at once, before it answers the start
  // The job of the serving task and that of the filler beside it, and the tail
  // of the serving task without the filler and with the filler at full pace.
  std::string servingJob;
  std::string fillerJob;
  std::uint32_t fillerMilli = 0;  // processors in use at full pace
  double tailAloneMs = 0;
  double tailBesideMs = 0;
};

std::string TextOf(const TaskName& aName);
std::int64_t ClockOf(const WorkerModel& aWorker, TimePoint aNow);

// Ends attempts that are done or whose lease has expired.
void Advance(WorkerModel& aWorker, Random& aRandom, TimePoint aNow);
RequestAnswer Handle(WorkerModel& aWorker, const StartRequest& aRequest,
                     Random& aRandom, TimePoint aNow);
RequestAnswer Handle(WorkerModel& aWorker, const StopRequest& aRequest,
                     Random& aRandom, TimePoint aNow);
RequestAnswer Handle(WorkerModel& aWorker, const PaceRequest& aRequest,
                     TimePoint aNow);
// The reported tail of the serving job.
std::uint32_t TailOf(const WorkerModel& aWorker);
RenewLeaseAnswer Handle(WorkerModel& aWorker, const RenewLeaseRequest& aRequest,
                        Random& aRandom, TimePoint aNow);
// Whether it runs a task that crashes it.
bool RunsDeadlyTask(const WorkerModel& aWorker);
// Whether a running task crashes the worker by now.
bool CrashesNow(const WorkerModel& aWorker, TimePoint aNow);
// Changes the capacity of the running process. Its announcements show it.
void SetCapacity(WorkerModel& aWorker, const Resources& aCapacity,
                 TimePoint aNow);
// Replaces the process by a new incarnation with the same id.
void Restart(WorkerModel& aWorker, TimePoint aNow);

}  // namespace bramleypath::workflow
