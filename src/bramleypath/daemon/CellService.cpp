#include "bramleypath/daemon/CellService.h"

#include <utility>
#include <variant>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "bramleypath/base/Text.h"
#include "bramleypath/codec/Bounded.h"
#include "bramleypath/codec/Fields.h"
#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/daemon/JobReports.h"
#include "bramleypath/journal/Codec.h"
#include "bramleypath/net/Clock.h"
#include "bramleypath/wire/JobMessages.h"
#include "bramleypath/wire/JournalMessages.h"

namespace bramleypath::daemon {

namespace {

using nlohmann::json;

constexpr Duration kProposeTimeout = Seconds(5);
// A command must be sent while the leader lease that was checked is valid. The
// lease lasts 400 ms and may be up to one heartbeat old at the check.
constexpr Duration kCommandConnectTimeout = Millis(300);
constexpr Duration kCommandTimeout = Seconds(2);
constexpr Duration kHeartbeatTimeout = Seconds(2);

constexpr const char* kJobsPath = "/v1/ops/jobs";
constexpr const char* kCancelPath = "/v1/ops/jobs/cancel";
constexpr const char* kPairsPath = "/v1/ops/explain/pairs";
constexpr const char* kExplainPath = "/v1/ops/explain/job/";

}  // namespace

CellService::CellService(asio::io_context& aContext, HostId aSelf,
                         DataCentreId aDataCentre, std::uint64_t aProposer,
                         Groups& aGroups, PeerRpc& aRpc,
                         net::HttpClient& aClient, metrics::Registry& aMetrics)
    : context(aContext),
      self(std::move(aSelf)),
      dataCentre(std::move(aDataCentre)),
      group(CellGroup(this->dataCentre)),
      groups(aGroups),
      rpc(aRpc),
      client(aClient),
      metrics(aMetrics),
      machine(aProposer, journal::Periods()),
      advisor(cellplacement::MakeAdvisor(cellplacement::AdvisorSettings())) {
  this->scheduler.choose = cellplacement::MakeChooser(this->advisor);
  this->scheduler.sizeTask = cellplacement::MakeSizeTaskFunction(this->advisor);
  // The scheduler is stepped with the state right after each command. The
  // actions of that step run later, after the replica has finished its own
  // step.
  this->machine.onApplied = [this](std::uint64_t aToken,
                                   const cell::Command& aCommand,
                                   const cell::Outcome& aOutcome) {
    this->OnApplied(aToken, aCommand, aOutcome);
  };
}

void CellService::OnApplied(std::uint64_t aToken, const cell::Command& aCommand,
                            const cell::Outcome& aOutcome) {
  if (aOutcome.accepted && this->scheduler.leading) {
    this->TrackAttempt(aCommand);
  }
  this->StepScheduler(cell::CommandCommitted{aToken, aCommand, aOutcome});
}

// Updates the advisor's view of the workers when an attempt is committed as
// started or ended.
void CellService::TrackAttempt(const cell::Command& aCommand) {
  const TimePoint now = net::Now();
  if (const auto* const start = std::get_if<cell::StartAttempt>(&aCommand)) {
    this->taskWorkers[start->attempt.task] = start->worker;
    cellplacement::OnWorkerChanged(this->advisor, this->machine.Cell(),
                                   start->worker, now);
  } else if (const auto* const end = std::get_if<cell::EndAttempt>(&aCommand)) {
    const auto place = this->taskWorkers.find(end->attempt.task);
    if (place == this->taskWorkers.end()) {
      return;
    }
    const WorkerId worker = place->second;
    this->taskWorkers.erase(place);
    cellplacement::OnWorkerChanged(this->advisor, this->machine.Cell(), worker,
                                   now);
  }
}

void CellService::RebuildAdvisor() {
  cellplacement::Rebuild(this->advisor, this->machine.Cell(), net::Now());
  this->taskWorkers.clear();
  for (const auto& [id, job] : this->machine.Cell().jobs) {
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      if (job.tasks[i].live) {
        this->taskWorkers[TaskId{id, static_cast<std::uint32_t>(i)}] =
            job.tasks[i].live->worker;
      }
    }
  }
}

void CellService::OnUsage(const wire::WorkerReport& aReport) {
  std::vector<cellplacement::UsageSample> samples;
  for (const wire::UsageSample& sample : aReport.usage) {
    samples.push_back({sample.attempt, sample.processorsMilli, sample.memoryMb,
                       static_cast<double>(sample.p99Micros)});
  }
  if (samples.empty()) {
    return;
  }
  const TimePoint now = net::Now();
  const auto mitigations =
      cellplacement::OnUsage(this->advisor, aReport.message.worker, samples,
                             now - Millis(aReport.sampleAgeMs), now);
  for (const cell::MitigationRequested& mitigation : mitigations) {
    LogEvent(LogLevel::Info, "cell", "relief",
             {{"worker", aReport.message.worker.value},
              {"job", mitigation.task.job.value},
              {"task", std::to_string(mitigation.task.index)},
              {"kind", mitigation.mark == cell::AttemptMark::Evict ? "evict"
                       : mitigation.mark == cell::AttemptMark::Throttle
                           ? "throttle"
                           : "unthrottle"}});
    this->StepScheduler(mitigation);
  }
}

GroupHooks CellService::Hooks() {
  GroupHooks hooks;
  hooks.leadershipGained = [this](consensus::Term aTerm) {
    this->RebuildAdvisor();
    this->StepScheduler(cell::LeadershipGained{aTerm});
    this->StepCoordinator(journal::GainedLeadership());
  };
  hooks.leadershipLost = [this](consensus::Term) {
    this->StepScheduler(cell::LeadershipLost());
    this->StepCoordinator(journal::LostLeadership());
  };
  return hooks;
}

bool CellService::HasLease() const {
  const group::Replica* const replica = this->groups.Find(this->group);
  return replica && replica->HasLease();
}

void CellService::Tick(TimePoint aNow) {
  this->StepScheduler(cell::Tick());
  this->FlushHeartbeats(aNow);
  this->StepCoordinator(journal::CoordinatorTick());
  for (auto request = this->pendingJournalRequests.begin();
       request != this->pendingJournalRequests.end();) {
    request = request->second.until <= aNow
                  ? this->pendingJournalRequests.erase(request)
                  : std::next(request);
  }
}

void CellService::OnConfiguration(const config::Configuration& aConfiguration) {
  std::vector<cell::ClientAccountQuota> quotas;
  for (const auto& [name, clientAccount] : aConfiguration.clientAccounts) {
    // A quota without processors and memory means that none was set.
    const config::Quota& quota = clientAccount.quota;
    if (quota.processorsMilli == 0 && quota.memoryMb == 0) {
      continue;
    }
    quotas.push_back({name,
                      {static_cast<std::int64_t>(quota.processorsMilli),
                       static_cast<std::int64_t>(quota.memoryMb),
                       static_cast<std::int64_t>(quota.accelerators)}});
  }
  const auto preset = aConfiguration.presets.find(aConfiguration.presetInForce);
  if (preset != aConfiguration.presets.end()) {
    const config::GoalWeights& weights = preset->second.weights;
    this->advisor.weights.tailLatency = weights.tailLatency;
    this->advisor.weights.evictions = weights.evictions;
    this->advisor.weights.throughput = weights.throughput;
    this->advisor.batchUtilisationPercent =
        preset->second.batch.workerUtilisationPercent;
    this->advisor.settings.tail.evictionBudget =
        preset->second.batch.evictionsPerJob;
  }
  this->StepScheduler(cell::QuotasChanged{std::move(quotas)});
  this->StepScheduler(cell::PlacementChanged());
  this->StepCoordinator(
      journal::OwnersInForce{aConfiguration.keyOwners, this->dataCentre});
}

void CellService::StepScheduler(cell::EventBody aBody) {
  cell::Event event;
  event.leaseHeld = this->HasLease();
  event.body = std::move(aBody);
  this->Enqueue(
      cell::Step(this->scheduler, this->machine.Cell(), event, net::Now()));
}

void CellService::Enqueue(cell::Actions aActions) {
  for (cell::Action& action : aActions) {
    this->pendingActions.push_back(std::move(action));
  }
  if (this->pendingActions.empty() || this->actionsPosted) {
    return;
  }
  this->actionsPosted = true;
  asio::post(this->context, [this] { this->RunActions(); });
}

void CellService::RunActions() {
  this->actionsPosted = false;
  const std::vector<cell::Action> actions = std::move(this->pendingActions);
  this->pendingActions.clear();
  for (const cell::Action& action : actions) {
    if (const auto* const propose =
            std::get_if<cell::ProposeCommand>(&action)) {
      this->Propose(*propose);
    } else if (const auto* const send =
                   std::get_if<cell::SendCommands>(&action)) {
      this->SendBatch(send->batch);
    } else {
      this->LogNotice(std::get<cell::Notice>(action));
    }
  }
}

void CellService::Propose(const cell::ProposeCommand& aProposal) {
  ++this->counters.proposals;
  const std::uint64_t token = aProposal.token;
  const auto failed = [this, token] {
    ++this->counters.proposalsFailed;
    this->StepScheduler(cell::ProposalFailed{token});
  };
  group::Replica* const replica = this->groups.Find(this->group);
  if (!replica) {
    failed();
    return;
  }
  replica->Propose(this->machine.Encode(aProposal.command, token),
                   kProposeTimeout,
                   [failed](const group::ProposeOutcome& aOutcome) {
                     if (!aOutcome.Ok()) {
                       failed();
                     }
                   });
}

void CellService::SendBatch(const cell::CommandBatch& aBatch) {
  const auto worker = this->knownWorkers.find(aBatch.worker);
  if (worker == this->knownWorkers.end()) {
    return;
  }
  net::ClientRequest request;
  request.address = worker->second.address;
  request.path = "/v1/commands";
  request.body = wire::ToJson(aBatch);
  // The lease is checked again right before the command is sent, since this
  // process may have been paused after the scheduler's decision.
  if (!this->HasLease()) {
    ++this->counters.batchesWithheld;
    return;
  }
  const TimePoint now = net::Now();
  request.connectBy = now + kCommandConnectTimeout;
  request.deadline = now + kCommandTimeout;
  ++this->counters.batchesSent;
  this->client.Send(
      std::move(request), [this](const net::ClientResult& aResult) {
        if (aResult.delivery != net::Delivery::Answered ||
            aResult.response.status != 200) {
          ++this->counters.batchesFailed;
          return;
        }
        wire::WireReason reason;
        const auto message =
            wire::ParseWorkerMessage(aResult.response.body, reason);
        if (!message) {
          ++this->counters.batchesFailed;
          LogEvent(LogLevel::Warn, "cell", "malformed_worker_reply",
                   {{"field", reason.field}, {"reason", reason.detail}});
          return;
        }
        this->StepScheduler(cell::WorkerReported{*message});
      });
}

void CellService::LogNotice(const cell::Notice& aNotice) {
  const char* event = "notice";
  LogLevel level = LogLevel::Info;
  switch (aNotice.kind) {
    case cell::NoticeKind::JobEnded:
      event = "job_ended";
      break;
    case cell::NoticeKind::AttemptStarted:
      event = "attempt_started";
      level = LogLevel::Debug;
      break;
    case cell::NoticeKind::AttemptEnded:
      event = "attempt_ended";
      level = LogLevel::Debug;
      break;
    case cell::NoticeKind::WorkerSilent:
      event = "worker_silent";
      level = LogLevel::Warn;
      break;
    case cell::NoticeKind::WorkerBackOff:
      event = "worker_back_off";
      level = LogLevel::Warn;
      break;
    case cell::NoticeKind::JobBackOff:
      event = "job_back_off";
      level = LogLevel::Warn;
      break;
    case cell::NoticeKind::Preemption:
      event = "preemption";
      break;
  }
  LogEvent(level, "cell", event,
           {{"job", aNotice.job.value},
            {"task", std::to_string(aNotice.taskIndex)},
            {"attempt", std::to_string(aNotice.attempt)},
            {"worker", aNotice.worker.value},
            {"detail", aNotice.detail}});
  if (const cell::Job* const job =
          cell::FindJob(this->machine.Cell(), aNotice.job)) {
    this->metrics.RecordTask(job->spec.clientAccount, job->spec.classId, event);
  }
}

void CellService::Forward(const net::HttpRequest& aRequest,
                          const std::string& aGroup, TimePoint aDeadline,
                          const PeerRpc::Respond& aRespond) {
  const auto leader = this->groups.LeaderOf(aGroup);
  if (!leader || *leader == this->self) {
    aRespond(OperatorError(503, "no_leader", "",
                           "the group " + aGroup +
                               " has no leader that can "
                               "be reached"));
    return;
  }
  const bool sent = this->rpc.Send(
      this->self, *leader, aRequest, aDeadline,
      [aRespond](std::optional<net::HttpResponse> aResponse) {
        aRespond(aResponse ? std::move(*aResponse)
                           : OperatorError(503, "timeout", "",
                                           "the leader did not answer"));
      });
  if (!sent) {
    aRespond(OperatorError(503, "no_leader", "",
                           "no connection to the leader " + leader->value));
  }
}

net::HttpResponse CellService::HandleAnnounceAsLeader(
    const wire::WorkerAnnounce& aAnnounce) {
  const wire::WorkerRecord& record = aAnnounce.record;
  // Any process can announce a worker, so the table is limited to the number of
  // workers that a cell can hold.
  if (this->knownWorkers.size() >= cell::kMaxWorkers &&
      this->knownWorkers.count(record.worker) == 0) {
    return net::ErrorResponse(429, "worker", "too many workers");
  }
  this->knownWorkers[record.worker] = record;
  this->StepAnnounced(record, aAnnounce.message);
  return net::JsonResponse(200, {{"leader", this->self.value}});
}

void CellService::StepAnnounced(const wire::WorkerRecord& aRecord,
                                cell::WorkerMessage aMessage) {
  cell::WorkerAnnounced event;
  event.message = std::move(aMessage);
  event.capacity = {aRecord.processorsMilli, aRecord.memoryMb,
                    aRecord.accelerators};
  event.rack = aRecord.rack;
  this->StepScheduler(std::move(event));
}

void CellService::HandleAnnounce(const wire::WorkerAnnounce& aAnnounce,
                                 const net::HttpRequest& aRequest,
                                 TimePoint aDeadline,
                                 const PeerRpc::Respond& aRespond) {
  if (this->groups.Leads(this->group)) {
    aRespond(this->HandleAnnounceAsLeader(aAnnounce));
    return;
  }
  const auto leader = this->groups.LeaderOf(this->group);
  if (leader &&
      AddHeartbeat(this->heartbeats, *leader, aAnnounce, net::Now())) {
    aRespond(net::JsonResponse(200, {{"leader", leader->value}}));
    return;
  }
  const auto record = aAnnounce.record;
  this->Forward(aRequest, this->group, aDeadline,
                [this, leader, record, aRespond](net::HttpResponse aResponse) {
                  if (leader && aResponse.status == 200) {
                    RecordForwardedAnnounce(this->heartbeats, *leader, record,
                                            net::Now());
                  }
                  aRespond(std::move(aResponse));
                });
}

void CellService::FlushHeartbeats(TimePoint aNow) {
  const auto due = TakeDueHeartbeats(this->heartbeats, aNow);
  if (due.empty()) {
    return;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.path = kHeartbeatsPath;
  request.body = wire::EncodeHeartbeats(due);
  // A lost batch is not sent again, since the workers' next announcements
  // follow anyway.
  this->rpc.Send(this->self, this->heartbeats.leader, std::move(request),
                 aNow + kHeartbeatTimeout,
                 [this](std::optional<net::HttpResponse> aResponse) {
                   const auto unknown =
                       aResponse && aResponse->status == 200
                           ? wire::DecodeWorkerNames(aResponse->body)
                           : std::nullopt;
                   if (unknown) {
                     ForgetWorkers(this->heartbeats, *unknown);
                   } else {
                     this->heartbeats.forwarded.clear();
                   }
                 });
}

void CellService::HandleHeartbeats(const net::HttpRequest& aRequest,
                                   const PeerRpc::Respond& aRespond) {
  const auto batch = wire::DecodeHeartbeats(aRequest.body);
  if (!batch) {
    aRespond(net::ErrorResponse(400, "", "malformed heartbeats"));
    return;
  }
  if (!this->groups.Leads(this->group)) {
    aRespond(OperatorError(503, "no_leader", "", "this host doesn't lead"));
    return;
  }
  std::vector<WorkerId> unknown;
  for (const wire::WorkerHeartbeat& one : *batch) {
    const auto found = this->knownWorkers.find(one.worker);
    if (found == this->knownWorkers.end() ||
        found->second.incarnation != one.incarnation) {
      unknown.push_back(one.worker);
      continue;
    }
    cell::WorkerMessage message;
    message.worker = one.worker;
    message.incarnation = one.incarnation;
    message.timestamp = one.timestamp;
    message.runningDigest = one.runningDigest;
    message.runningCount = one.runningCount;
    this->StepAnnounced(found->second, std::move(message));
  }
  net::HttpResponse response;
  response.body = wire::EncodeWorkerNames(unknown);
  aRespond(std::move(response));
}

void CellService::HandleWorker(const net::HttpRequest& aRequest,
                               bool aForwarded, TimePoint aDeadline,
                               PeerRpc::Respond aRespond) {
  if (!this->groups.Leads(this->group)) {
    if (aForwarded) {
      aRespond(OperatorError(503, "no_leader", "", "this host doesn't lead"));
    } else {
      this->Forward(aRequest, this->group, aDeadline, aRespond);
    }
    return;
  }
  wire::WireReason reason;
  if (aRequest.path == "/v1/workers/announce") {
    const auto announce = wire::ParseWorkerAnnounce(aRequest.body, reason);
    if (!announce) {
      aRespond(net::ErrorResponse(400, reason.field, reason.detail));
      return;
    }
    aRespond(this->HandleAnnounceAsLeader(*announce));
    return;
  }
  const auto report = wire::ParseWorkerReport(aRequest.body, reason);
  if (!report) {
    aRespond(net::ErrorResponse(400, reason.field, reason.detail));
    return;
  }
  this->OnUsage(*report);
  this->StepScheduler(cell::WorkerReported{report->message});
  aRespond(net::JsonResponse(200, {{"leader", this->self.value}}));
}

void CellService::HandleJournal(const HostId& aFrom,
                                const net::HttpRequest& aRequest,
                                PeerRpc::Respond aRespond) {
  const auto journalRequest = wire::DecodeJournalRequest(aRequest.body);
  const auto command = journalRequest
                           ? journal::DecodeCommand(journalRequest->command)
                           : std::nullopt;
  if (!command) {
    aRespond(net::ErrorResponse(400, "", "malformed question"));
    return;
  }
  journal::CoordinatorRequest request;
  request.from = aFrom;
  request.id = ++this->lastRequestId;
  request.command = *command;
  request.wait = Millis(journalRequest->waitMs);
  request.generation = journalRequest->generation;
  // A request is dropped this long after its wait has ended, which leaves time
  // for the commit of its command.
  constexpr Duration kReplyMargin = Seconds(10);
  this->pendingJournalRequests[request.id] = PendingJournalRequest{
      net::Now() + request.wait + kReplyMargin, std::move(aRespond)};
  this->StepCoordinator(request);
}

void CellService::StepCoordinator(const journal::CoordinatorEvent& aEvent) {
  const auto actions = journal::Step(this->coordinator, this->machine.Journal(),
                                     aEvent, net::Now());
  for (const journal::CoordinatorAction& action : actions) {
    if (const auto* const reply = std::get_if<journal::Reply>(&action)) {
      const auto waiting = this->pendingJournalRequests.find(reply->id);
      if (waiting == this->pendingJournalRequests.end()) {
        continue;
      }
      const PeerRpc::Respond respond = std::move(waiting->second.respond);
      this->pendingJournalRequests.erase(waiting);
      wire::JournalAnswer answer;
      answer.code = static_cast<std::uint32_t>(reply->code);
      answer.outcome = journal::EncodeOutcome(reply->outcome);
      net::HttpResponse response;
      response.body = wire::EncodeText(answer);
      respond(std::move(response));
      continue;
    }
    const auto& proposal = std::get<journal::ProposeCommand>(action);
    const journal::ProposalToken token = proposal.token;
    group::Replica* const replica = this->groups.Find(this->group);
    if (!replica) {
      continue;
    }
    replica->Propose(
        this->machine.Encode(proposal.command), kProposeTimeout,
        [this, token](const group::ProposeOutcome& aOutcome) {
          const auto outcome = aOutcome.Ok()
                                   ? journal::DecodeOutcome(aOutcome.result)
                                   : std::nullopt;
          if (outcome) {
            this->StepCoordinator(journal::Committed{token, *outcome});
          } else {
            this->StepCoordinator(journal::ProposalFailed{token});
          }
        });
  }
}

void CellService::HandleJobs(const net::HttpRequest& aRequest, bool aForwarded,
                             TimePoint aDeadline, PeerRpc::Respond aRespond) {
  DataCentreId cell = this->dataCentre;
  if (aRequest.method == "POST") {
    const json body = codec::ParseJson(aRequest.body);
    if (body.is_object() && body.contains("data_centre") &&
        body["data_centre"].is_string()) {
      cell = DataCentreId(body["data_centre"].get<std::string>());
    }
  } else {
    const std::string named =
        net::FindQueryValue(aRequest.query, "data_centre");
    if (!named.empty()) {
      cell = DataCentreId(named);
    }
  }
  const std::string cellGroup = CellGroup(cell);
  if (!this->groups.Leads(cellGroup) || cell != this->dataCentre) {
    if (aForwarded) {
      aRespond(OperatorError(503, "no_leader", "", "this host doesn't lead"));
    } else {
      this->Forward(aRequest, cellGroup, aDeadline, aRespond);
    }
    return;
  }
  if (aRequest.path == kCancelPath && aRequest.method == "POST") {
    this->CancelJob(aRequest, std::move(aRespond));
  } else if (aRequest.path == kJobsPath && aRequest.method == "POST") {
    this->SubmitJob(aRequest, std::move(aRespond));
  } else if (aRequest.path == kJobsPath) {
    aRespond(ListJobs(this->View(), aRequest));
  } else if (aRequest.path == kPairsPath) {
    aRespond(ExplainPairs(this->advisor, this->machine.Cell(), aRequest));
  } else if (StartsWith(aRequest.path, kExplainPath)) {
    aRespond(ExplainJob(
        this->View(), aRequest.path.substr(std::string(kExplainPath).size())));
  } else {
    aRespond(OperatorError(404, "not_found", "", "no such endpoint"));
  }
}

void CellService::ProposeForOperator(const cell::Command& aCommand,
                                     const JobId& aJob,
                                     PeerRpc::Respond aRespond) {
  group::Replica* const replica = this->groups.Find(this->group);
  replica->Propose(
      this->machine.Encode(aCommand, 0), kProposeTimeout,
      [aJob,
       respond = std::move(aRespond)](const group::ProposeOutcome& aOutcome) {
        constexpr std::size_t kFixedBytes = 2;
        if (!aOutcome.Ok() || aOutcome.result.size() < kFixedBytes) {
          const std::string text(group::ToText(aOutcome.error));
          const char* const error =
              aOutcome.error == group::ProposeError::StorageFull ? "disk_full"
              : aOutcome.error == group::ProposeError::NotLeader ? "no_leader"
                                                                 : "timeout";
          respond(OperatorError(503, error, "", text));
          return;
        }
        if (aOutcome.result[0] != 0) {
          respond(net::JsonResponse(200,
                                    {{"accepted", true}, {"job", aJob.value}}));
          return;
        }
        const auto code = static_cast<cell::RefusalCode>(aOutcome.result[1]);
        const std::string detail(aOutcome.result.begin() + kFixedBytes,
                                 aOutcome.result.end());
        const bool conflict = code == cell::RefusalCode::RequestIdReused ||
                              code == cell::RefusalCode::JobExists;
        respond(net::JsonResponse(
            conflict ? 409 : 422,
            {{"accepted", false},
             {"job", aJob.value},
             {"code", wire::NameOf(code)},
             {"field", ""},
             {"detail", std::string(cell::Describe(code)) +
                            (detail.empty() ? "" : ": ") + detail}}));
      });
}

CellView CellService::View() const {
  return CellView{this->machine.Cell(), this->scheduler, this->dataCentre};
}

void CellService::SubmitJob(const net::HttpRequest& aRequest,
                            PeerRpc::Respond aRespond) {
  wire::WireReason reason;
  const auto submitted = wire::ParseJobSubmission(aRequest.body, reason);
  if (!submitted) {
    aRespond(OperatorError(400, "malformed", reason.field, reason.detail));
    return;
  }
  this->ProposeForOperator(*submitted, submitted->spec.id, std::move(aRespond));
}

void CellService::CancelJob(const net::HttpRequest& aRequest,
                            PeerRpc::Respond aRespond) {
  wire::WireReason reason;
  const auto cancelled = wire::ParseJobCancellation(aRequest.body, reason);
  if (!cancelled) {
    aRespond(OperatorError(400, "malformed", reason.field, reason.detail));
    return;
  }
  this->ProposeForOperator(*cancelled, cancelled->jobs.front(),
                           std::move(aRespond));
}

}  // namespace bramleypath::daemon
