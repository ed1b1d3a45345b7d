#include "bramleypath/controller/Controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <asio/post.hpp>

#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::controller {

namespace {

using workflow::ApplyResult;
using workflow::RequestAnswer;
using workflow::RequestOutcome;

constexpr Duration kCycleInterval = Millis(100);
constexpr Duration kMinTimerWait = Micros(200);
// A cycle that takes this long delays heartbeats and lease renewals.
constexpr Duration kSlowCycle = Millis(100);
// An operator's call passes several turns of the loop and waits one second for
// its answer.
constexpr Duration kLongLoopDelay = Millis(100);
constexpr Duration kSummaryInterval = Seconds(2);
// Callers wait no longer than this for the outcome of a proposal.
constexpr Duration kCallerTimeout = Millis(2500);
// The scheduler's proposals end when they are applied or leadership is lost. A
// timeout would leave their outcome unknown to a leader that goes on leading.
constexpr Duration kNoTimeout = Seconds(365LL * 24 * 3600);

std::string NumberText(std::uint64_t aNumber) {
  return std::to_string(aNumber);
}

std::string WholeText(double aNumber) {
  return std::to_string(static_cast<std::int64_t>(aNumber));
}

// The class of tasks whose backlog the job waits for.
std::string_view ClassText(const workflow::AdmissionView& aView) {
  if (aView.longRunning) {
    return "long_running";
  }
  return aView.hasFillers ? "filling" : "reserving";
}

Answer ToAnswer(const group::ProposeOutcome& aOutcome) {
  Answer answer;
  if (!aOutcome.Ok()) {
    answer.status = group::IsNotAppended(aOutcome.error)
                        ? AnswerStatus::NotLeader
                        : AnswerStatus::OutcomeUnknown;
    answer.reason = std::string(group::ToText(aOutcome.error));
    return answer;
  }
  const auto result = aOutcome.result.empty()
                          ? ApplyResult::Unknown
                          : static_cast<ApplyResult>(aOutcome.result[0]);
  switch (result) {
    case ApplyResult::Ok:
      answer.status = AnswerStatus::Done;
      break;
    case ApplyResult::Repeated:
      answer.status = AnswerStatus::Repeated;
      break;
    case ApplyResult::Unknown:
      answer.status = AnswerStatus::Unknown;
      break;
  }
  return answer;
}

gsl::span<const workflow::PlacedTask> PlacedBy(
    const workflow::Command& aCommand) {
  const auto* const places = std::get_if<workflow::PlaceTasks>(&aCommand);
  return places ? gsl::span<const workflow::PlacedTask>(places->tasks)
                : gsl::span<const workflow::PlacedTask>();
}

RequestAnswer NotSentAnswer() {
  RequestAnswer answer;
  answer.outcome = RequestOutcome::NotSent;
  answer.delayedByLeader = true;
  answer.reason = "the leader's lease is over";
  return answer;
}

}  // namespace

Controller::Controller(asio::io_context& aContext, const GroupSettings& aGroup,
                       const workflow::SchedulerSettings& aScheduler,
                       net::HttpClient& aClient, workflow::WorkerDriver aDriver,
                       std::function<void(const std::string&)> aFailed)
    : context(aContext),
      schedulerSettings(aScheduler),
      timer(aContext,
            [this](TimePoint aDueAt) {
              this->counters.timerDelay.Record(net::Now() - aDueAt);
              this->RunCycle();
            }),
      loopProbe(aContext,
                [this](Duration aDelay) { this->RecordLoopDelay(aDelay); }) {
  this->random.state = aGroup.randomSeed;
  this->machine.SetLongestLease(workflow::LongestUnknownLease(aScheduler));
  GroupCallbacks callbacks;
  callbacks.leadershipGained = [this](consensus::Term aTerm) {
    this->OnLeadershipGained(aTerm);
  };
  callbacks.leadershipLost = [this](consensus::Term /*aTerm*/) {
    this->OnLeadershipLost();
  };
  callbacks.failed = std::move(aFailed);
  callbacks.frameReceived = [this](const net::PeerFrame& aFrame) {
    this->OnFrame(aFrame);
  };
  this->group = std::make_unique<ControlGroup>(
      aContext, aGroup, aClient, this->machine, std::move(callbacks));
  this->dispatcher = std::make_unique<gateway::Dispatcher>(
      this->MakeGatewayEnvironment(), NextRandom(this->random),
      [this] { return this->State().workers.size(); }, aDriver);
  this->gateway = std::make_unique<gateway::Gateway>(
      this->MakeGatewayEnvironment(), NextRandom(this->random),
      std::move(aDriver));
  this->driver = this->dispatcher->MakeDriver();
  this->layoutService = std::make_unique<LayoutService>(
      this->MakeLayoutEnvironment(), NextRandom(this->random));
  this->announcementForwarder = std::make_unique<AnnouncementForwarder>(
      this->MakeGatewayEnvironment(),
      [this](const ForwardedAnnouncement& aAnnouncement) {
        this->OnForwarded(aAnnouncement);
      });
}

Controller::~Controller() { *this->alive = false; }

gateway::Environment Controller::MakeGatewayEnvironment() {
  gateway::Environment environment;
  environment.now = net::Now;
  environment.post = [this](std::function<void()> aFunction) {
    asio::post(this->context, std::move(aFunction));
  };
  environment.postAfter = [this](Duration aTime,
                                 std::function<void()> aFunction) {
    auto waiting = std::make_shared<asio::steady_timer>(this->context);
    waiting->expires_after(std::chrono::microseconds(aTime.micros));
    waiting->async_wait([waiting, function = std::move(aFunction)](
                            const asio::error_code& aError) {
      if (!aError) {
        function();
      }
    });
  };
  environment.peers = [this] { return this->group->Peers(); };
  environment.isConnected = [this](const HostId& aHost) {
    return this->group->IsConnected(aHost);
  };
  environment.send = [this](const HostId& aHost, const std::string& aKind,
                            gateway::Bytes aPayload) {
    this->group->SendFrame(aHost, aKind, std::move(aPayload));
  };
  environment.leader = [this] { return this->group->Leader(); };
  return environment;
}

LayoutEnvironment Controller::MakeLayoutEnvironment() {
  LayoutEnvironment environment;
  environment.host = this->MakeGatewayEnvironment();
  environment.mayRead = [this] { return this->MayRead(); };
  environment.layout = [this]() -> const workflow::Layout* {
    return this->State().layoutChanges > 0 ? &this->State().layout : nullptr;
  };
  environment.propose = [this](std::uint64_t aVersion,
                               consensus::Bytes aCommand,
                               AnswerCallback aCallback) {
    this->ProposeLayout(aVersion, std::move(aCommand), std::move(aCallback));
  };
  return environment;
}

void Controller::OnFrame(const net::PeerFrame& aFrame) {
  if (aFrame.kind == gateway::kProbeKind) {
    this->gateway->OnProbe(aFrame.from);
  } else if (aFrame.kind == gateway::kRequestsKind) {
    this->gateway->OnRequests(aFrame.from, aFrame.payload);
  } else if (aFrame.kind == gateway::kReadyKind) {
    this->dispatcher->OnReady(aFrame.from, aFrame.payload);
  } else if (aFrame.kind == gateway::kAnswersKind) {
    this->dispatcher->OnAnswers(aFrame.from, aFrame.payload);
  } else if (aFrame.kind == kLayoutCallKind) {
    this->layoutService->OnCall(aFrame.from, aFrame.payload);
  } else if (aFrame.kind == kLayoutAnswerKind) {
    this->layoutService->OnAnswer(aFrame.payload);
  } else if (aFrame.kind == kAnnouncementsKind) {
    this->announcementForwarder->OnAnnouncements(aFrame.from, this->MayRead(),
                                                 aFrame.payload);
  } else if (aFrame.kind == kAnnouncementsTakenKind) {
    this->announcementForwarder->OnTaken(aFrame.from);
  }
}

bool Controller::Open(std::string& aReason) {
  if (!this->group->Open(aReason)) {
    return false;
  }
  this->ArmTimer();
  this->loopProbe.Start();
  return true;
}

bool Controller::MayRead() const {
  return this->scheduler && this->group->Replica().HasLease();
}

void Controller::OnLeadershipGained(Epoch aEpoch) {
  ++this->counters.leaderships;
  this->scheduler = workflow::MakeScheduler(
      this->schedulerSettings, aEpoch, this->State(),
      this->machine.KnownLeaseEnds(), NextRandom(this->random), net::Now());
  this->RequestCycle();
}

void Controller::OnLeadershipLost() { this->scheduler.reset(); }

void Controller::ArmTimer() {
  Duration wait = kCycleInterval;
  const TimePoint now = net::Now();
  if (this->scheduler) {
    const Duration untilTick =
        workflow::NextTickAt(*this->scheduler, now) - now;
    wait = std::max(kMinTimerWait, std::min(wait, untilTick));
  }
  this->timer.Set(now + wait, now);
}

void Controller::RequestCycle() {
  if (std::exchange(this->cycleRequested, true)) {
    return;
  }
  asio::post(this->context, [this, isAlive = this->alive] {
    if (*isAlive) {
      this->RunCycle();
    }
  });
}

void Controller::RunCycle() {
  this->cycleRequested = false;
  const TimePoint now = net::Now();
  this->group->Tick(now);
  this->dispatcher->Tick(this->scheduler.has_value());
  this->announcementForwarder->Tick(this->scheduler.has_value());
  if (this->MayRead()) {
    this->ExecuteAll(workflow::OnTick(*this->scheduler, this->State(), now,
                                      this->group->AgreedUnixMs(now)));
  }
  if (this->scheduler) {
    const TimePoint end = net::Now();
    workflow::OnCycleMeasured(*this->scheduler, end - now, end);
  }
  this->RecordCycle(now);
  this->LogSummary(now);
  this->ArmTimer();
}

void Controller::RecordCycle(TimePoint aBegin) {
  const Duration duration = net::Now() - aBegin;
  this->counters.cycleDuration.Record(duration);
  if (duration < kSlowCycle || !this->scheduler) {
    return;
  }
  eventlog::Write("slow_cycle",
                  {{"duration_ms", std::to_string(ToMillis(duration))},
                   {"attempts", NumberText(this->scheduler->attempts.size())},
                   {"pending_placements",
                    NumberText(this->scheduler->pendingPlacements.size())},
                   {"jobs", NumberText(this->State().jobs.size())}});
}

void Controller::RecordLoopDelay(Duration aDelay) {
  this->counters.loopDelay.Record(aDelay);
  if (aDelay < kLongLoopDelay) {
    return;
  }
  eventlog::Write("loop_delayed",
                  {{"delay_ms", std::to_string(ToMillis(aDelay))},
                   {"leading", this->scheduler ? "true" : "false"}});
}

std::optional<workflow::CellSummary> Controller::SummariseCell() const {
  if (!this->scheduler) {
    return std::nullopt;
  }
  return workflow::Summarise(*this->scheduler, this->State(), net::Now());
}

std::vector<workflow::QueueSummary> Controller::SummariseQueues() const {
  return workflow::SummariseQueues(this->State(),
                                   this->group->AgreedUnixMs(net::Now()));
}

std::uint32_t Controller::CountWaitingJobs(
    const workflow::QueueId& aQueue) const {
  return workflow::CountWaitingJobs(*this->scheduler, this->State(), aQueue);
}

Epoch Controller::CurrentEpoch() const {
  return this->scheduler ? this->scheduler->epoch : 0;
}

void Controller::LogSummary(TimePoint aNow) {
  if (!this->scheduler || aNow < this->summaryAt) {
    return;
  }
  this->summaryAt = aNow + kSummaryInterval;
  const workflow::CellSummary cell =
      workflow::Summarise(*this->scheduler, this->State(), aNow);
  eventlog::Write(
      "cell_summary",
      {{"jobs", NumberText(cell.activeJobs)},
       {"waiting", NumberText(cell.waitingTasks)},
       {"waiting_fillers", NumberText(cell.waitingFillers)},
       {"placed", NumberText(cell.placedTasks)},
       {"pending_placements", NumberText(cell.pendingPlacements)},
       {"pending_s", std::to_string(cell.pendingSeconds)},
       {"fillers", NumberText(cell.placedFillers)},
       {"fillers_paced", NumberText(cell.pacedFillers)},
       {"filler_pace", std::to_string(cell.fillerPace)},
       {"serving", NumberText(cell.servingTasks)},
       {"serving_over_target", NumberText(cell.servingOverTarget)},
       {"serving_level", std::to_string(cell.servingLevel)},
       {"workers", NumberText(cell.workers)},
       {"workers_in_contact", NumberText(cell.reachableWorkers)},
       {"workers_avoided", NumberText(cell.workersAvoided)},
       {"processors", std::to_string(cell.processors)},
       {"reserved", std::to_string(cell.reserved)},
       {"lasting_reserved", std::to_string(cell.longRunningReserved)},
       {"fillers_use", std::to_string(cell.fillerProcessors)},
       {"backlog_s", std::to_string(cell.backlogSeconds)}});
}

void Controller::Propose(const workflow::Command& aCommand, Duration aTimeout,
                         AnswerCallback aCallback) {
  this->ProposeEncoded(workflow::Encode(aCommand), aTimeout,
                       std::move(aCallback));
}

void Controller::ProposeEncoded(consensus::Bytes aCommand, Duration aTimeout,
                                AnswerCallback aCallback) {
  this->group->Replica().Propose(
      std::move(aCommand), aTimeout,
      [this, isAlive = this->alive, proposedAt = net::Now(),
       callback = std::move(aCallback)](const group::ProposeOutcome& aOutcome) {
        if (*isAlive && aOutcome.Ok()) {
          this->counters.commitLatency.Record(net::Now() - proposedAt);
        }
        callback(ToAnswer(aOutcome));
      });
}

void Controller::Submit(const workflow::JobSpec& aSpec,
                        const workflow::QueueSettings& aQueue,
                        AnswerCallback aCallback) {
  if (!this->MayRead()) {
    aCallback(Answer{AnswerStatus::NotLeader, 0, "not the leader"});
    return;
  }
  if (workflow::FindJob(this->State(), aSpec.id.value)) {
    aCallback(Answer{AnswerStatus::Repeated, 0, ""});
    return;
  }
  const TimePoint now = net::Now();
  const workflow::AdmissionView view =
      workflow::ViewForAdmission(*this->scheduler, aSpec, aQueue);
  const workflow::AdmissionDecision decision =
      workflow::DecideAdmission(view, this->random);
  if (!decision.accepted) {
    ++this->counters.refused;
    eventlog::Write("job_refused",
                    {{"job", aSpec.id.value},
                     {"queue", aSpec.queue.value},
                     {"expected_ms", WholeText(decision.expectedMs)},
                     {"objective_ms", WholeText(view.objectiveMs)},
                     {"retry_after_s", NumberText(decision.retryAfterSeconds)},
                     {"chain_ms", WholeText(view.chainMs)},
                     {"class", std::string(ClassText(view))},
                     {"job_work", WholeText(view.jobWork)},
                     {"backlog_work", WholeText(view.backlogWork)},
                     {"processors_milli", WholeText(view.capacityMilli)}});
    aCallback(Answer{AnswerStatus::Refused, decision.retryAfterSeconds,
                     "the job could not end in time"});
    return;
  }
  workflow::AcceptJob accept;
  accept.spec = aSpec;
  accept.acceptedUnixMs = this->group->AgreedUnixMs(now);
  const std::string job = aSpec.id.value;
  const std::string queue = aSpec.queue.value;
  const double expectedMs = decision.expectedMs;
  this->Propose(accept, kCallerTimeout,
                [this, isAlive = this->alive, job, queue, expectedMs, view,
                 callback = std::move(aCallback)](const Answer& aAnswer) {
                  callback(aAnswer);
                  if (!*isAlive || aAnswer.status != AnswerStatus::Done) {
                    return;
                  }
                  ++this->counters.accepted;
                  eventlog::Write(
                      "job_accepted",
                      {{"job", job},
                       {"queue", queue},
                       {"expected_ms", WholeText(expectedMs)},
                       {"objective_ms", WholeText(view.objectiveMs)},
                       {"chain_ms", WholeText(view.chainMs)},
                       {"class", std::string(ClassText(view))},
                       {"job_work", WholeText(view.jobWork)},
                       {"backlog_work", WholeText(view.backlogWork)},
                       {"processors_milli", WholeText(view.capacityMilli)}});
                  if (this->scheduler) {
                    this->scheduler->dispatchWanted = true;
                    this->RequestCycle();
                  }
                });
}

void Controller::Cancel(const JobId& aJob, AnswerCallback aCallback) {
  if (!this->MayRead()) {
    aCallback(Answer{AnswerStatus::NotLeader, 0, "not the leader"});
    return;
  }
  this->Propose(workflow::CancelJob{aJob}, kCallerTimeout,
                [this, isAlive = this->alive, aJob,
                 callback = std::move(aCallback)](const Answer& aAnswer) {
                  callback(aAnswer);
                  if (!*isAlive || !this->scheduler ||
                      aAnswer.status != AnswerStatus::Done) {
                    return;
                  }
                  ++this->counters.cancelled;
                  eventlog::Write("job_cancelled", {{"job", aJob.value}});
                  this->scheduler->dispatchWanted = true;
                  this->RequestCycle();
                });
}

void Controller::SetLayout(const workflow::Layout& aLayout,
                           AnswerCallback aCallback) {
  this->layoutService->Set(aLayout, std::move(aCallback));
}

void Controller::ReadLayout(ReadLayoutCallback aCallback) {
  this->layoutService->Read(std::move(aCallback));
}

void Controller::ProposeLayout(std::uint64_t aVersion,
                               consensus::Bytes aCommand,
                               AnswerCallback aCallback) {
  this->ProposeEncoded(
      std::move(aCommand), kCallerTimeout,
      [this, isAlive = this->alive, aVersion,
       callback = std::move(aCallback)](const Answer& aAnswer) {
        eventlog::Write(
            "layout_proposed",
            {{"version", NumberText(aVersion)},
             {"verdict",
              NumberText(static_cast<std::uint64_t>(aAnswer.status))},
             {"reason", aAnswer.reason}});
        callback(aAnswer);
        if (*isAlive && this->scheduler) {
          this->scheduler->dispatchWanted = true;
          this->RequestCycle();
        }
      });
}

namespace {

// The capacity of the worker's incarnation; none if it is not registered.
std::optional<Resources> CapacityOf(const workflow::State& aState,
                                    const std::string& aWorker,
                                    std::int64_t aStartedUnixMs) {
  const workflow::Worker* const known = workflow::FindWorker(aState, aWorker);
  return known && known->spec.startedUnixMs == aStartedUnixMs
             ? std::optional(known->spec.capacity)
             : std::nullopt;
}

void RecordCapacityChange(const workflow::Worker& aWorker,
                          const std::optional<Resources>& aBefore,
                          std::uint64_t aSequence) {
  if (!aBefore || *aBefore == aWorker.spec.capacity) {
    return;
  }
  eventlog::Write("worker_capacity_changed",
                  {{"worker", aWorker.spec.id.value},
                   {"before", ToText(*aBefore)},
                   {"after", ToText(aWorker.spec.capacity)},
                   {"reserved", ToText(aWorker.reserved)},
                   {"sequence", NumberText(aSequence)}});
}

}  // namespace

void Controller::Announce(const workflow::Announcement& aAnnouncement,
                          AnswerCallback aCallback) {
  if (!this->MayRead()) {
    const bool isForwarded =
        this->announcementForwarder->Forward(this->State(), aAnnouncement);
    aCallback(isForwarded
                  ? Answer{AnswerStatus::Repeated, 0, ""}
                  : Answer{AnswerStatus::NotLeader, 0, "not the leader"});
    return;
  }
  const workflow::WorkerSpec& announced = aAnnouncement.worker;
  const auto changed =
      workflow::SpecToCommit(*this->scheduler, this->State(), aAnnouncement);
  if (!changed) {
    const workflow::Worker* const known =
        workflow::FindWorker(this->State(), announced.id.value);
    if (known->spec.startedUnixMs == announced.startedUnixMs) {
      this->OnUnchangedAnnouncement(known->number, aAnnouncement.clockMs);
    }
    aCallback(Answer{AnswerStatus::Repeated, 0, ""});
    return;
  }
  const auto before =
      CapacityOf(this->State(), announced.id.value, announced.startedUnixMs);
  this->Propose(
      workflow::RegisterWorker{*changed}, kCallerTimeout,
      [this, isAlive = this->alive, spec = *changed, aAnnouncement, before,
       callback = std::move(aCallback)](const Answer& aAnswer) {
        callback(aAnswer);
        if (!*isAlive || !this->scheduler) {
          return;
        }
        const workflow::Worker* const worker =
            workflow::FindWorker(this->State(), spec.id.value);
        if (!worker || worker->spec.startedUnixMs != spec.startedUnixMs) {
          return;
        }
        eventlog::Write("worker_seen",
                        {{"worker", spec.id.value},
                         {"number", NumberText(worker->number)},
                         {"address", spec.address},
                         {"born", std::to_string(spec.startedUnixMs)},
                         {"draining", spec.draining ? "true" : "false"}});
        RecordCapacityChange(*worker, before, aAnnouncement.sequence);
        const TimePoint now = net::Now();
        workflow::OnStateChanged(*this->scheduler, this->State(), now);
        workflow::OnRegistered(*this->scheduler, this->State(), aAnnouncement);
        workflow::OnAnnounced(*this->scheduler, worker->number,
                              aAnnouncement.clockMs, now);
        this->RequestCycle();
      });
}

void Controller::OnUnchangedAnnouncement(workflow::WorkerNumber aWorker,
                                         std::int64_t aClockMs) {
  workflow::OnAnnounced(*this->scheduler, aWorker, aClockMs, net::Now());
  if (this->scheduler->dispatchWanted) {
    this->RequestCycle();
  }
}

void Controller::OnForwarded(const ForwardedAnnouncement& aAnnouncement) {
  const auto known = this->State().workers.find(aAnnouncement.worker);
  if (known == this->State().workers.end() ||
      known->second.spec.startedUnixMs != aAnnouncement.startedUnixMs) {
    return;
  }
  workflow::OnUnchanged(*this->scheduler, aAnnouncement.worker,
                        aAnnouncement.sequence);
  this->OnUnchangedAnnouncement(aAnnouncement.worker, aAnnouncement.clockMs);
}

HostId Controller::HostForAnnouncements(const WorkerId& aWorker) {
  const auto gateway =
      this->MayRead() ? this->dispatcher->GatewayOf(aWorker) : std::nullopt;
  return gateway.value_or(this->group->Self());
}

void Controller::Leave(const WorkerId& aWorker, AnswerCallback aCallback) {
  if (!this->MayRead()) {
    aCallback(Answer{AnswerStatus::NotLeader, 0, "not the leader"});
    return;
  }
  const workflow::Worker* const known =
      workflow::FindWorker(this->State(), aWorker.value);
  if (!known) {
    aCallback(Answer{AnswerStatus::Repeated, 0, ""});
    return;
  }
  this->Propose(workflow::RemoveWorker{known->number}, kCallerTimeout,
                [this, isAlive = this->alive, aWorker,
                 callback = std::move(aCallback)](const Answer& aAnswer) {
                  callback(aAnswer);
                  if (!*isAlive || !this->scheduler) {
                    return;
                  }
                  eventlog::Write("worker_left", {{"worker", aWorker.value}});
                  workflow::OnStateChanged(*this->scheduler, this->State(),
                                           net::Now());
                  this->RequestCycle();
                });
}

void Controller::WithScheduler(
    Epoch aEpoch,
    const std::function<workflow::SchedulerActions(workflow::Scheduler&)>&
        aHandle) {
  if (!this->scheduler || this->scheduler->epoch != aEpoch) {
    return;
  }
  this->ExecuteAll(aHandle(*this->scheduler));
  this->RequestCycle();
}

void Controller::ExecuteAll(workflow::SchedulerActions aActions) {
  for (workflow::SchedulerAction& action : aActions) {
    std::visit([this](auto& aOne) { this->Execute(aOne); }, action);
  }
}

void Controller::Execute(workflow::Commit& aCommit) {
  struct Batch {
    workflow::Commit commit;
    std::size_t open = 0;
    bool ok = true;
  };
  auto batch = std::make_shared<Batch>();
  batch->commit = std::move(aCommit);
  batch->open = batch->commit.commands.size();
  const Epoch epoch = this->scheduler->epoch;
  const TimePoint now = net::Now();
  for (const workflow::Command& command : batch->commit.commands) {
    ++this->counters.commits;
    RecordPlaced(this->counters.firstStarts, this->State(), PlacedBy(command),
                 now, this->group->AgreedUnixMs(now));
    this->Propose(
        command, kNoTimeout,
        [this, isAlive = this->alive, batch, epoch](const Answer& aAnswer) {
          if (!*isAlive) {
            return;
          }
          if (aAnswer.status == AnswerStatus::NotLeader ||
              aAnswer.status == AnswerStatus::OutcomeUnknown) {
            batch->ok = false;
            ++this->counters.commitsFailed;
            eventlog::Write("commit_failed", {{"reason", aAnswer.reason}});
          }
          if (--batch->open > 0) {
            return;
          }
          for (const workflow::Command& one : batch->commit.commands) {
            RecordCommitted(this->counters.firstStarts, PlacedBy(one),
                            batch->ok, net::Now());
          }
          this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
            return workflow::OnCommitted(aScheduler, this->State(),
                                         batch->commit, batch->ok, net::Now());
          });
        });
  }
}

const workflow::Worker* Controller::FindWorkerForRequest(
    workflow::WorkerNumber aWorker) const {
  if (!this->MayRead()) {
    return nullptr;
  }
  const auto found = this->State().workers.find(aWorker);
  return found == this->State().workers.end() ? nullptr : &found->second;
}

void Controller::Execute(workflow::SendStart& aStart) {
  ++this->counters.starts;
  const Epoch epoch = this->scheduler->epoch;
  // The copy for the answer leaves out the specification, which may be long and
  // is not needed after sending.
  workflow::SendStart sent;
  sent.worker = aStart.worker;
  sent.task = aStart.task;
  sent.request.task = aStart.request.task;
  sent.request.attempt = aStart.request.attempt;
  const TimePoint sentAt = net::Now();
  auto onAnswer = [this, isAlive = this->alive, epoch, sent,
                   sentAt](const RequestAnswer& aAnswer) {
    if (!*isAlive) {
      return;
    }
    if (aAnswer.outcome == RequestOutcome::Done) {
      this->counters.startLatency.Record(net::Now() - sentAt);
    } else {
      ++this->counters.startsNotDone;
    }
    RecordAnswered(this->counters.firstStarts, sent.task,
                   aAnswer.outcome == RequestOutcome::Done, net::Now());
    this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
      return workflow::OnStartAnswer(aScheduler, this->State(), sent, aAnswer,
                                     net::Now());
    });
  };
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aStart.worker);
  if (!worker) {
    asio::post(this->context, [onAnswer] { onAnswer(NotSentAnswer()); });
    return;
  }
  this->RecordFirstStart(aStart, sentAt);
  RecordSent(this->counters.firstStarts, aStart.task, sentAt);
  eventlog::Write("start_sent",
                  {{"job", aStart.request.task.job.value},
                   {"stage", NumberText(aStart.request.task.stage)},
                   {"index", NumberText(aStart.request.task.index)},
                   {"attempt", NumberText(aStart.request.attempt)},
                   {"worker", worker->spec.id.value}});
  this->driver.start(worker->spec, aStart.request, onAnswer);
}

void Controller::RecordFirstStart(const workflow::SendStart& aStart,
                                  TimePoint aNow) {
  const auto job = this->State().jobs.find(aStart.task.job);
  const bool isFirst = aStart.request.attempt == 1 && aStart.task.stage == 0 &&
                       aStart.task.index == 0;
  if (job == this->State().jobs.end() || !isFirst ||
      job->second.spec.repetitions > 0) {
    return;
  }
  const std::int64_t waitedMs =
      this->group->AgreedUnixMs(aNow) - job->second.acceptedUnixMs;
  this->counters.firstStartLatency.Record(Millis(waitedMs));
}

void Controller::Execute(workflow::SendStop& aStop) {
  ++this->counters.stops;
  const Epoch epoch = this->scheduler->epoch;
  auto onAnswer = [this, isAlive = this->alive, epoch,
                   sent = aStop](const RequestAnswer& aAnswer) {
    if (*isAlive) {
      this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
        return workflow::OnStopAnswer(aScheduler, this->State(), sent, aAnswer,
                                      net::Now());
      });
    }
  };
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aStop.worker);
  if (!worker) {
    asio::post(this->context, [onAnswer] { onAnswer(NotSentAnswer()); });
    return;
  }
  this->driver.stop(worker->spec, aStop.request, onAnswer);
}

void Controller::Execute(workflow::SendPace& aPace) {
  ++this->counters.paces;
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aPace.worker);
  if (!worker) {
    return;
  }
  const Epoch epoch = this->scheduler->epoch;
  this->driver.pace(
      worker->spec, aPace.request,
      [this, isAlive = this->alive, epoch, sent = aPace,
       worker = worker->spec.id.value](const RequestAnswer& aAnswer) {
        if (!*isAlive) {
          return;
        }
        if (aAnswer.outcome != RequestOutcome::Done) {
          eventlog::Write("pace_not_done",
                          {{"worker", worker}, {"reason", aAnswer.reason}});
        }
        if (this->scheduler && this->scheduler->epoch == epoch) {
          workflow::OnPaceAnswer(*this->scheduler, this->State(), sent,
                                 aAnswer);
        }
      });
}

void Controller::Execute(workflow::SendLeaseRenewal& aRenewal) {
  ++this->counters.holds;
  const Epoch epoch = this->scheduler->epoch;
  const TimePoint sentAt = net::Now();
  auto onAnswer = [this, isAlive = this->alive, epoch, sent = aRenewal,
                   sentAt](const workflow::RenewLeaseAnswer& aAnswer) {
    if (*isAlive) {
      this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
        return workflow::OnLeaseRenewalAnswer(aScheduler, this->State(), sent,
                                              sentAt, aAnswer, net::Now());
      });
    }
  };
  const workflow::Worker* const worker =
      this->FindWorkerForRequest(aRenewal.worker);
  if (!worker) {
    asio::post(this->context, [onAnswer] {
      workflow::RenewLeaseAnswer answer;
      answer.result = NotSentAnswer();
      onAnswer(answer);
    });
    return;
  }
  this->driver.renewLease(worker->spec, aRenewal.request, onAnswer);
}

void Controller::Execute(workflow::RequestTickets& aRequest) {
  const Epoch epoch = this->scheduler->epoch;
  auto onAnswer = [this, isAlive = this->alive, epoch,
                   sent = aRequest](const workflow::TicketAnswer& aAnswer) {
    if (*isAlive) {
      this->WithScheduler(epoch, [&](workflow::Scheduler& aScheduler) {
        return workflow::OnTicketAnswer(aScheduler, this->State(), sent,
                                        aAnswer, net::Now());
      });
    }
  };
  this->driver.requestTickets(aRequest.request, onAnswer);
}

void Controller::Execute(workflow::DecisionRecord& aDecision) {
  eventlog::Write(aDecision.event, {{"subject", aDecision.subject},
                                    {"detail", aDecision.detail}});
}

void Controller::Stop(Duration aDeadline, std::function<void()> aDone) {
  this->gateway->Close();
  this->group->Stop(aDeadline, std::move(aDone));
}

}  // namespace bramleypath::controller
