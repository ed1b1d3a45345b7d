#include "bramleypath/controller/Controller.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "bramleypath/controller/LogText.h"
#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::controller {

namespace {

using detail::NumberText;
using workflow::ApplyResult;

constexpr Duration kCycleInterval = Millis(100);
constexpr Duration kMinTimerWait = Micros(200);
// A cycle that takes this long delays heartbeats and lease renewals.
constexpr Duration kSlowCycle = Millis(100);
// An operator's call passes several turns of the loop and waits one second for
// its answer.
constexpr Duration kLongLoopDelay = Millis(100);
constexpr Duration kSummaryInterval = Seconds(2);

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
    case ApplyResult::CancelledBefore:
      answer.status = AnswerStatus::Repeated;
      answer.reason = "the job was cancelled before it arrived";
      break;
    case ApplyResult::Full:
      answer.status = AnswerStatus::Refused;
      answer.retryAfterSeconds = 1;
      answer.reason = "too many cancels of unknown jobs";
      break;
  }
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
  this->drainService = std::make_unique<DrainService>(
      this->MakeDrainEnvironment(), NextRandom(this->random));
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

DrainEnvironment Controller::MakeDrainEnvironment() {
  DrainEnvironment environment;
  environment.host = this->MakeGatewayEnvironment();
  environment.mayRead = [this] { return this->MayRead(); };
  environment.epoch = [this] { return this->CurrentEpoch(); };
  environment.knowledge = [this](const DataCentreId& aDataCentre) {
    return this->KnowledgeOf(aDataCentre);
  };
  environment.propose = [this](const workflow::SetDrain& aOrder,
                               AnswerCallback aCallback) {
    this->ProposeDrain(aOrder, std::move(aCallback));
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
  } else if (aFrame.kind == kDrainCallKind) {
    this->drainService->OnCall(aFrame.from, aFrame.payload);
  } else if (aFrame.kind == kDrainAnswerKind) {
    this->drainService->OnAnswer(aFrame.from, aFrame.payload);
  } else if (aFrame.kind == kAnnouncementsKind) {
    this->announcementForwarder->OnAnnouncements(aFrame.from, this->MayRead(),
                                                 aFrame.payload);
  } else if (aFrame.kind == kAnnouncementsConfirmedKind) {
    this->announcementForwarder->OnConfirmed(aFrame.from);
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
  this->loadShedder = LoadShedder();
  Begin(this->openSubmissions, aEpoch);
  this->latestUnixMs = 0;
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
    this->counters.startsKeptOffDrained +=
        std::exchange(this->scheduler->startsKeptOffDrained, 0);
    const TimePoint end = net::Now();
    workflow::OnCycleMeasured(*this->scheduler, end - now, end);
  }
  this->AnswerLeaves(now);
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
  const TimePoint now = net::Now();
  OnLoopDelay(this->loadShedder, aDelay, now);
  RecordSample(this->pauseRecord, aDelay, net::kLoopSampleInterval, now);
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

double Controller::ChainFactorOf(const workflow::QueueId& aQueue) const {
  return this->scheduler ? workflow::FactorOf(this->scheduler->promises, aQueue)
                         : 1;
}

void Controller::LogSummary(TimePoint aNow) {
  if (!this->scheduler || aNow < this->summaryAt) {
    return;
  }
  this->summaryAt = aNow + kSummaryInterval;
  const workflow::CellSummary cell =
      workflow::Summarise(*this->scheduler, this->State(), aNow);
  this->loadShedder.waitingTasks = cell.waitingTasks;
  eventlog::Write(
      "cell_summary",
      {{"jobs", NumberText(cell.activeJobs)},
       {"loop_delay_ms", std::to_string(this->loadShedder.delayMs)},
       {"refused_share", std::to_string(this->loadShedder.refusedShare)},
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

void Controller::Stop(Duration aDeadline, std::function<void()> aDone) {
  this->gateway->Close();
  this->group->Stop(aDeadline, std::move(aDone));
}

}  // namespace bramleypath::controller
