#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "bramleypath/controller/ControlGroup.h"
#include "bramleypath/controller/WorkflowMachine.h"
#include "bramleypath/metrics/LatencyHistogram.h"
#include "bramleypath/workflow/Driver.h"
#include "bramleypath/workflow/Scheduler.h"

namespace bramleypath::controller {

// What became of a request to the controller.
enum class AnswerStatus : std::uint8_t {
  Done,
  // Done before; the answer is the same.
  Repeated,
  // No such job, or stale.
  Unknown,
  // Certainly not done, and never will be by this request.
  NotLeader,
  Refused,  // for load; see retryAfterSeconds
  // It may or may not be done.
  OutcomeUnknown
};

struct Answer {
  AnswerStatus status = AnswerStatus::OutcomeUnknown;
  std::uint32_t retryAfterSeconds = 0;
  std::string reason;
};

using AnswerCallback = std::function<void(const Answer&)>;

struct ControllerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t starts = 0;
  std::uint64_t startsNotDone = 0;
  std::uint64_t stops = 0;
  std::uint64_t holds = 0;
  std::uint64_t paces = 0;
  std::uint64_t commits = 0;
  std::uint64_t commitsFailed = 0;
  std::uint64_t leaderships = 0;
  // From a proposal to its commit.
  metrics::LatencyHistogram commitLatency;
  // From a start command to the worker's answer.
  metrics::LatencyHistogram startLatency;
  // From the acceptance of a job to its first start command.
  metrics::LatencyHistogram firstStartLatency;
};

// One host of the control plane: a replica of the cell's state and, while it
// leads, the scheduler and its commands to workers. Everything runs on the
// thread of the io_context.
class Controller {
 public:
  Controller(asio::io_context& aContext, const GroupSettings& aGroup,
             const workflow::SchedulerSettings& aScheduler,
             net::HttpClient& aClient, workflow::WorkerDriver aDriver,
             std::function<void(const std::string&)> aFailed);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  bool Open(std::string& aReason);
  ControlGroup& Group() { return *this->group; }

  // True while what State holds is the newest that anyone was told of.
  bool MayRead() const;
  const workflow::State& State() const { return this->machine.Current(); }

  void Submit(const workflow::JobSpec& aSpec,
              const workflow::QueueSettings& aQueue, AnswerCallback aCallback);
  void Cancel(const JobId& aJob, AnswerCallback aCallback);
  void SetLayout(const workflow::Layout& aLayout, AnswerCallback aCallback);
  // A worker announced itself. aClockMs is its steady clock, 0 if not given.
  void Announce(const workflow::WorkerSpec& aWorker, std::int64_t aClockMs,
                AnswerCallback aCallback);
  void Leave(const WorkerId& aWorker, AnswerCallback aCallback);

  // While it leads.
  std::optional<workflow::CellSummary> SummariseCell() const;
  std::vector<workflow::QueueSummary> SummariseQueues() const;
  Epoch CurrentEpoch() const;
  const ControllerCounters& Counters() const { return this->counters; }
  // Hands leadership over and closes the files.
  void Stop(Duration aDeadline, std::function<void()> aDone);

 private:
  void Propose(const workflow::Command& aCommand, AnswerCallback aCallback);
  void OnGained(Epoch aEpoch);
  void OnLost();
  void WantTurn();
  void Turn();
  void ArmTimer();
  void LogSummary(TimePoint aNow);
  void Carry(workflow::SchedulerActions aActions);
  void CarryOne(workflow::Commit& aCommit);
  void CarryOne(workflow::SendStart& aStart);
  void CarryOne(workflow::SendStop& aStop);
  void CarryOne(workflow::SendPace& aPace);
  void CarryOne(workflow::SendHold& aHold);
  void CarryOne(workflow::RequestTickets& aRequest);
  void CarryOne(workflow::DecisionRecord& aDecision);
  void RecordFirstStart(const workflow::SendStart& aStart, TimePoint aNow);
  const workflow::Worker* WorkerToOrder(workflow::WorkerNumber aWorker) const;
  // Runs aHandle with the scheduler if it is still that of the epoch.
  void WithScheduler(
      Epoch aEpoch,
      const std::function<workflow::SchedulerActions(workflow::Scheduler&)>&
          aHandle);

  asio::io_context& context;
  workflow::SchedulerSettings schedulerSettings;
  workflow::WorkerDriver driver;
  WorkflowMachine machine;
  std::unique_ptr<ControlGroup> group;
  std::optional<workflow::Scheduler> scheduler;
  Random random;
  asio::steady_timer timer;
  bool turnWanted = false;
  TimePoint summaryAt;
  ControllerCounters counters;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
