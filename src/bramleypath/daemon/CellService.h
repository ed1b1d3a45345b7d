#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "bramleypath/cell/Scheduler.h"
#include "bramleypath/cellplacement/Advisor.h"
#include "bramleypath/daemon/CellMachine.h"
#include "bramleypath/daemon/ConfigService.h"
#include "bramleypath/daemon/Groups.h"
#include "bramleypath/daemon/HeartbeatBatcher.h"
#include "bramleypath/daemon/PeerRpc.h"
#include "bramleypath/journal/Coordinator.h"
#include "bramleypath/metrics/Registry.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/wire/WorkerMessages.h"

namespace bramleypath::daemon {

struct CellCounters {
  std::uint64_t batchesSent = 0;
  // Not sent because the leader lease had ended.
  std::uint64_t batchesWithheld = 0;
  std::uint64_t batchesFailed = 0;
  std::uint64_t proposals = 0;
  std::uint64_t proposalsFailed = 0;
};

constexpr const char* kHeartbeatsPath = "/worker-heartbeats";

// The cell of this data centre on one host: the replica's state machine, and
// while it leads, the scheduler and the journal's coordinator.
class CellService {
 public:
  CellService(asio::io_context& aContext, HostId aSelf,
              DataCentreId aDataCentre, std::uint64_t aProposer,
              Groups& aGroups, PeerRpc& aRpc, net::HttpClient& aClient,
              metrics::Registry& aMetrics);

  CellMachine& Machine() { return this->machine; }
  const std::string& GroupName() const { return this->group; }
  GroupHooks Hooks();

  void Tick(TimePoint aNow);
  // Quotas, presets and key owners of the configuration in force.
  void OnConfiguration(const config::Configuration& aConfiguration);

  // An announcement that a worker sent to this host: handled by the leader,
  // passed on whole, or taken into the next batch of heartbeats.
  void HandleAnnounce(const wire::WorkerAnnounce& aAnnounce,
                      const net::HttpRequest& aRequest, TimePoint aDeadline,
                      const PeerRpc::Respond& aRespond);
  // POST /worker-heartbeats of another host to the leader.
  void HandleHeartbeats(const net::HttpRequest& aRequest,
                        const PeerRpc::Respond& aRespond);
  // POST /v1/workers/announce and /v1/workers/report on the cell leader, or
  // forwarded to it unless aForwarded is set.
  void HandleWorker(const net::HttpRequest& aRequest, bool aForwarded,
                    TimePoint aDeadline, PeerRpc::Respond aRespond);
  // POST /journal of another host: {wait_ms, generation, command}.
  void HandleJournal(const HostId& aFrom, const net::HttpRequest& aRequest,
                     PeerRpc::Respond aRespond);
  // POST /v1/ops/jobs, /v1/ops/jobs/cancel, GET /v1/ops/jobs and
  // /v1/ops/explain/job/{job}.
  void HandleJobs(const net::HttpRequest& aRequest, bool aForwarded,
                  TimePoint aDeadline, PeerRpc::Respond aRespond);

  // The pairs of classes that interfere most; known to the leader only.
  // Parameters member, class: of the aggressor.
  net::HttpResponse ExplainPairs(const net::HttpRequest& aRequest) const;

  const CellCounters& Counters() const { return this->counters; }

 private:
  struct PendingJournalRequest {
    TimePoint until;
    PeerRpc::Respond respond;
  };

  bool HasLease() const;
  void OnApplied(std::uint64_t aToken, const cell::Command& aCommand,
                 const cell::Outcome& aOutcome);
  // On the leader: remembers the worker and answers its announcement.
  net::HttpResponse TakeAnnounce(const wire::WorkerAnnounce& aAnnounce);
  void StepAnnounced(const wire::WorkerRecord& aRecord,
                     cell::WorkerMessage aMessage);
  void FlushHeartbeats(TimePoint aNow);
  void FollowAttempt(const cell::Command& aCommand);
  void RebuildAdvisor();
  void OnUsage(const wire::WorkerReport& aReport);
  void StepScheduler(cell::EventBody aBody);
  void Enqueue(cell::Actions aActions);
  void RunActions();
  void Propose(const cell::ProposeCommand& aProposal);
  void SendBatch(const cell::CommandBatch& aBatch);
  void Note(const cell::Notice& aNotice);
  void StepCoordinator(const journal::CoordinatorEvent& aEvent);
  void Forward(const net::HttpRequest& aRequest, const std::string& aGroup,
               TimePoint aDeadline, const PeerRpc::Respond& aRespond);
  void ProposeForOperator(const cell::Command& aCommand, const JobId& aJob,
                          PeerRpc::Respond aRespond);
  void SubmitJob(const net::HttpRequest& aRequest, PeerRpc::Respond aRespond);
  void CancelJob(const net::HttpRequest& aRequest, PeerRpc::Respond aRespond);
  net::HttpResponse ListJobs(const net::HttpRequest& aRequest) const;
  net::HttpResponse ExplainJob(const std::string& aJob) const;

  asio::io_context& context;
  HostId self;
  DataCentreId dataCentre;
  std::string group;
  Groups& groups;
  PeerRpc& rpc;
  net::HttpClient& client;
  metrics::Registry& metrics;
  CellMachine machine;
  cell::Scheduler scheduler;
  cellplacement::Advisor advisor;
  // Where live attempts run, for the advisor.
  std::map<TaskId, WorkerId> places;
  journal::Coordinator coordinator;
  journal::CoordinatorRequestId lastRequestId = 0;
  std::map<journal::CoordinatorRequestId, PendingJournalRequest>
      pendingJournalRequests;
  // From announcements to this leader; bounded by the cell's table of workers.
  std::map<WorkerId, wire::WorkerRecord> known;
  HeartbeatBatcher heartbeats;
  std::vector<cell::Action> pending;
  bool pendingPosted = false;
  CellCounters counters;
};

}  // namespace bramleypath::daemon
