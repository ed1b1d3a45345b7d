#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "bramleypath/controller/AnnouncementForwarder.h"
#include "bramleypath/controller/Answer.h"
#include "bramleypath/controller/ControlGroup.h"
#include "bramleypath/controller/CycleTimer.h"
#include "bramleypath/controller/DrainService.h"
#include "bramleypath/controller/FirstStarts.h"
#include "bramleypath/controller/LayoutService.h"
#include "bramleypath/controller/LoadShedder.h"
#include "bramleypath/controller/OpenSubmissions.h"
#include "bramleypath/controller/PauseRecord.h"
#include "bramleypath/controller/WorkflowMachine.h"
#include "bramleypath/gateway/Dispatcher.h"
#include "bramleypath/gateway/Gateway.h"
#include "bramleypath/metrics/LatencyHistogram.h"
#include "bramleypath/net/LoopProbe.h"
#include "bramleypath/workflow/Announcements.h"
#include "bramleypath/workflow/Driver.h"
#include "bramleypath/workflow/Scheduler.h"

namespace bramleypath::controller {

// How the completed jobs of a queue did against their promises.
struct PromiseErrors {
  metrics::LatencyHistogram expected;
  metrics::LatencyHistogram actual;
  // By how much they ended after and before the expected time; 0 for those on
  // the other side.
  metrics::LatencyHistogram late;
  metrics::LatencyHistogram early;
};

// Limit on the queues with metrics of their own; a queue stays known after it
// is removed from the configuration.
constexpr std::size_t kMaxCountedQueues = 64;

struct ControllerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t refusedForLoad = 0;  // of them, see LoadShedder
  std::uint64_t cancelled = 0;
  // Refused, since they arrived after their callers' time limit.
  std::uint64_t expired = 0;
  // Refused, since they were limited to another term than the current one.
  std::uint64_t ofOtherTerm = 0;
  // Stored as cancelled, since the cancel came before the submission.
  std::uint64_t cancelledEarly = 0;
  std::uint64_t starts = 0;
  std::uint64_t startsNotDone = 0;
  // See Scheduler::startsKeptOffDrained.
  std::uint64_t startsKeptOffDrained = 0;
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
  FirstStarts firstStarts;
  std::map<workflow::QueueId, PromiseErrors> promiseErrors;
  // Admission decisions by queue and workflow::AdmissionReason.
  std::map<workflow::QueueId,
           std::array<std::uint64_t, workflow::kAdmissionReasons>>
      decisions;
  // Time that a scheduling cycle takes.
  metrics::LatencyHistogram cycleDuration;
  // How much later than requested the cycle timer fired.
  metrics::LatencyHistogram timerDelay;
  // Time until an event of the io_context is handled.
  metrics::LatencyHistogram loopDelay;
};

// A worker ends once its leave is answered, so that the answer waits until its
// attempts are stopped. Shorter than the second after which a worker takes an
// acknowledgement for lost.
constexpr Duration kLeaveAnswerTimeout = Millis(700);

// One host of the control plane. It holds a replica of the cell's state; while
// it leads, it also runs the scheduler and sends its commands to the workers.
// Everything runs on the thread of the io_context. ControllerCalls.cpp holds
// the calls of clients, operators and workers, ControllerActions.cpp the
// execution of the scheduler's actions.
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

  // True while this host leads with a valid lease, so that State() includes
  // every change that has been acknowledged to anyone.
  bool MayRead() const;
  const workflow::State& State() const { return this->machine.Current(); }

  // The answer to a new job that is refused because this leader has more to do
  // than it has time for; none if it may be submitted.
  std::optional<Answer> RefuseForLoad(const JobId& aJob);

  // The time of day that the hosts agree on, in Unix milliseconds.
  std::int64_t AgreedUnixMs() const;
  // The same, but never earlier than before while this host leads: what has
  // expired once stays expired.
  std::int64_t LeaderUnixMs();
  // Whether a submission whose sender waits until aExpiresUnixMs has come too
  // late to be accepted.
  bool RefuseExpired(const JobId& aJob, std::int64_t aExpiresUnixMs);
  // Whether a submission may be carried out in another term only.
  bool RefuseOtherTerm(const JobId& aJob, Epoch aTerm);
  // Whether this host leads, the state doesn't hold a job of the path, and no
  // proposal of one may still be committed. Submissions that are limited to an
  // earlier term then never will be, nor those that have expired by
  // LeaderUnixMs(). Covers every way to divide the path into prefix and id,
  // since the queues may have changed since the submission.
  bool IsNotStored(std::string_view aPath) const;
  // Whether the job of the path was accepted within that time, by the clocks of
  // the leaders. May be called while MayRead().
  bool HasAcceptedWithin(const std::string& aHost, const std::string& aPath,
                         Duration aTime) const;

  // The requests below call aCallback once, possibly before they return.
  void Submit(const workflow::JobSpec& aSpec,
              const workflow::QueueSettings& aQueue, AnswerCallback aCallback);
  void Cancel(const JobId& aJob, AnswerCallback aCallback);
  // On a host that does not lead, these two ask the leader over the peer link.
  void SetLayout(const workflow::Layout& aLayout, AnswerCallback aCallback);
  void ReadLayout(ReadLayoutCallback aCallback);
  // Sets or ends the drain of a data centre, on any host; see DrainService. An
  // order that may have been held up is refused.
  void SetDrain(const workflow::SetDrain& aOrder, TimePoint aReceivedAt,
                AnswerCallback aCallback);
  void Announce(const workflow::Announcement& aAnnouncement,
                AnswerCallback aCallback);
  // A worker says that it will end. The answer comes once it has no attempts,
  // or after kLeaveAnswerTimeout. aStartedUnixMs is the start of the
  // incarnation that says so; 0: not given.
  void Leave(const WorkerId& aWorker, std::int64_t aStartedUnixMs,
             AnswerCallback aCallback);
  // The host that the worker's next announcements should go to.
  HostId HostForAnnouncements(const WorkerId& aWorker);

  // Number of the queue's jobs of which no task has run; see
  // workflow::CountWaitingJobs. May be called while MayRead().
  std::uint32_t CountWaitingJobs(const workflow::QueueId& aQueue) const;

  // While this host does not lead, these return none, a summary of the local
  // replica, and 0.
  std::optional<workflow::CellSummary> SummariseCell() const;
  std::vector<workflow::QueueSummary> SummariseQueues() const;
  Epoch CurrentEpoch() const;
  // See workflow::FactorOf; 1 while this host does not lead.
  double ChainFactorOf(const workflow::QueueId& aQueue) const;

  const ControllerCounters& Counters() const { return this->counters; }
  const gateway::Dispatcher& Dispatcher() const { return *this->dispatcher; }
  const gateway::Gateway& Gateway() const { return *this->gateway; }
  // Refuses new proposals, transfers leadership if that succeeds within
  // aDeadline, syncs the log and calls aDone.
  void Stop(Duration aDeadline, std::function<void()> aDone);

 private:
  // A leave that is committed and not answered yet.
  struct PendingLeave {
    workflow::WorkerNumber worker = 0;
    TimePoint answerBy;
    AnswerCallback callback;
  };

  gateway::Environment MakeGatewayEnvironment();
  LayoutEnvironment MakeLayoutEnvironment();
  void ProposeLayout(std::uint64_t aVersion, consensus::Bytes aCommand,
                     AnswerCallback aCallback);
  DrainEnvironment MakeDrainEnvironment();
  Knowledge KnowledgeOf(const DataCentreId& aDataCentre) const;
  void ProposeDrain(const workflow::SetDrain& aOrder, AnswerCallback aCallback);
  void OnFrame(const net::PeerFrame& aFrame);
  void OnForwarded(const ForwardedAnnouncement& aAnnouncement);
  void OnUnchangedAnnouncement(workflow::WorkerNumber aWorker,
                               std::int64_t aClockMs);
  // Answers the leaves of workers that are gone or have waited long enough.
  void AnswerLeaves(TimePoint aNow);
  void Propose(const workflow::Command& aCommand, Duration aTimeout,
               AnswerCallback aCallback);
  void ProposeEncoded(consensus::Bytes aCommand, Duration aTimeout,
                      AnswerCallback aCallback);
  void OnLeadershipGained(Epoch aEpoch);
  void OnLeadershipLost();
  // Runs a scheduling cycle soon, without waiting for the timer.
  void RequestCycle();
  void RunCycle();
  void ArmTimer();
  void RecordCycle(TimePoint aBegin);
  void RecordLoopDelay(Duration aDelay);
  void LogSummary(TimePoint aNow);
  void ExecuteAll(workflow::SchedulerActions aActions);
  void Execute(workflow::Commit& aCommit);
  void Execute(workflow::SendStart& aStart);
  void Execute(workflow::SendStop& aStop);
  void Execute(workflow::SendPace& aPace);
  void Execute(workflow::SendLeaseRenewal& aRenewal);
  void Execute(workflow::RequestTickets& aRequest);
  void Execute(workflow::DecisionRecord& aDecision);
  void Execute(workflow::JobCompletion& aCompletion);
  void CountDecision(const workflow::QueueId& aQueue,
                     workflow::AdmissionReason aReason);
  void RecordFirstStart(const workflow::SendStart& aStart, TimePoint aNow);
  // The worker that a request may be sent to; null if the worker is gone or
  // this host no longer holds the lease.
  const workflow::Worker* FindWorkerForRequest(
      workflow::WorkerNumber aWorker) const;
  // Runs aHandle if this host still leads in aEpoch, then executes the actions
  // that it returns.
  void WithScheduler(
      Epoch aEpoch,
      const std::function<workflow::SchedulerActions(workflow::Scheduler&)>&
          aHandle);

  asio::io_context& context;
  workflow::SchedulerSettings schedulerSettings;
  workflow::WorkerDriver driver;
  WorkflowMachine machine;
  std::unique_ptr<ControlGroup> group;
  // As the leader, sends requests through other hosts.
  std::unique_ptr<gateway::Dispatcher> dispatcher;
  // Sends the requests of another host that leads.
  std::unique_ptr<gateway::Gateway> gateway;
  std::unique_ptr<LayoutService> layoutService;
  std::unique_ptr<DrainService> drainService;
  std::unique_ptr<AnnouncementForwarder> announcementForwarder;
  std::optional<workflow::Scheduler> scheduler;
  Random random;
  CycleTimer timer;
  net::LoopProbe loopProbe;
  PauseRecord pauseRecord;
  LoadShedder loadShedder;
  OpenSubmissions openSubmissions;
  // The latest result of LeaderUnixMs() in this term.
  std::int64_t latestUnixMs = 0;
  bool cycleRequested = false;
  std::vector<PendingLeave> pendingLeaves;
  TimePoint summaryAt;
  ControllerCounters counters;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace bramleypath::controller
