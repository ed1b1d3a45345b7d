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
#include "bramleypath/daemon/JobReports.h"
#include "bramleypath/daemon/PeerRpc.h"
#include "bramleypath/journal/Coordinator.h"
#include "bramleypath/metrics/Registry.h"
#include "bramleypath/net/HttpClient.h"
#include "bramleypath/wire/WorkerMessages.h"

namespace bramleypath::daemon {

struct CellCounters {
  std::uint64_t batchesSent = 0;
  // Batches that were not sent because the leader lease had expired.
  std::uint64_t batchesWithheld = 0;
  std::uint64_t batchesFailed = 0;
  std::uint64_t proposals = 0;
  std::uint64_t proposalsFailed = 0;
};

constexpr const char* kHeartbeatsPath = "/worker-heartbeats";

// Runs the cell of this data centre on one host: the state machine of its
// replica and, while the replica leads, the scheduler and the coordinator of
// the journal.
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
  // Applies the quotas, presets and key owners of the configuration in force.
  void OnConfiguration(const config::Configuration& aConfiguration);

  // Handles an announcement that a worker sent to this host. The leader applies
  // it; another host forwards it in full or adds it to its next batch of
  // heartbeats.
  void HandleAnnounce(const wire::WorkerAnnounce& aAnnounce,
                      const net::HttpRequest& aRequest, TimePoint aDeadline,
                      const PeerRpc::Respond& aRespond);
  // POST /worker-heartbeats, which another host sends to the leader.
  void HandleHeartbeats(const net::HttpRequest& aRequest,
                        const PeerRpc::Respond& aRespond);
  // POST /v1/workers/announce and /v1/workers/report. The cell leader handles
  // them. Another host forwards them to the leader, or refuses them if
  // aForwarded is set.
  void HandleWorker(const net::HttpRequest& aRequest, bool aForwarded,
                    TimePoint aDeadline, PeerRpc::Respond aRespond);
  // POST /journal, which another host sends: {wait_ms, generation, command}.
  void HandleJournal(const HostId& aFrom, const net::HttpRequest& aRequest,
                     PeerRpc::Respond aRespond);
  // POST /v1/ops/jobs, /v1/ops/jobs/cancel, GET /v1/ops/jobs,
  // /v1/ops/explain/job/{job} and /v1/ops/explain/pairs.
  void HandleJobs(const net::HttpRequest& aRequest, bool aForwarded,
                  TimePoint aDeadline, PeerRpc::Respond aRespond);

  const CellCounters& Counters() const { return this->counters; }

 private:
  struct PendingJournalRequest {
    TimePoint until;
    PeerRpc::Respond respond;
  };

  bool HasLease() const;
  void OnApplied(std::uint64_t aToken, const cell::Command& aCommand,
                 const cell::Outcome& aOutcome);
  // On the leader: stores the worker's record, steps the scheduler and returns
  // the response.
  net::HttpResponse HandleAnnounceAsLeader(
      const wire::WorkerAnnounce& aAnnounce);
  void StepAnnounced(const wire::WorkerRecord& aRecord,
                     cell::WorkerMessage aMessage);
  void FlushHeartbeats(TimePoint aNow);
  void TrackAttempt(const cell::Command& aCommand);
  void RebuildAdvisor();
  void OnUsage(const wire::WorkerReport& aReport);
  void StepScheduler(cell::EventBody aBody);
  void Enqueue(cell::Actions aActions);
  void RunActions();
  void Propose(const cell::ProposeCommand& aProposal);
  void SendBatch(const cell::CommandBatch& aBatch);
  void LogNotice(const cell::Notice& aNotice);
  void StepCoordinator(const journal::CoordinatorEvent& aEvent);
  void Forward(const net::HttpRequest& aRequest, const std::string& aGroup,
               TimePoint aDeadline, const PeerRpc::Respond& aRespond);
  void ProposeForOperator(const cell::Command& aCommand, const JobId& aJob,
                          PeerRpc::Respond aRespond);
  void SubmitJob(const net::HttpRequest& aRequest, PeerRpc::Respond aRespond);
  void CancelJob(const net::HttpRequest& aRequest, PeerRpc::Respond aRespond);
  CellView View() const;

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
  // The worker of each task that has a live attempt, for the advisor.
  std::map<TaskId, WorkerId> taskWorkers;
  journal::Coordinator coordinator;
  journal::CoordinatorRequestId lastRequestId = 0;
  std::map<journal::CoordinatorRequestId, PendingJournalRequest>
      pendingJournalRequests;
  // Records of announced workers, at most cell::kMaxWorkers.
  std::map<WorkerId, wire::WorkerRecord> knownWorkers;
  HeartbeatBatcher heartbeats;
  std::vector<cell::Action> pendingActions;
  bool actionsPosted = false;
  CellCounters counters;
};

}  // namespace bramleypath::daemon
