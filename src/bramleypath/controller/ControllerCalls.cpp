#include "bramleypath/controller/Controller.h"

#include <algorithm>
#include <utility>

#include "bramleypath/controller/LogText.h"
#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::controller {

namespace {

using detail::NumberText;
using detail::WholeText;

// Callers wait no longer than this for the outcome of a proposal.
constexpr Duration kCallerTimeout = Millis(2500);

// By how much the time of day of two leaders may differ.
constexpr Duration kMaxClockDifference = Millis(500);

// The class of tasks whose backlog the job waits for.
std::string_view ClassText(const workflow::AdmissionView& aView) {
  if (aView.longRunning) {
    return "long_running";
  }
  return aView.hasFillers ? "filling" : "reserving";
}

std::uint32_t CountTasks(const workflow::JobSpec& aSpec) {
  std::uint32_t tasks = 0;
  for (const workflow::StageSpec& stage : aSpec.stages) {
    tasks += stage.tasks;
  }
  return tasks;
}

}  // namespace

std::optional<Answer> Controller::RefuseForLoad(const JobId& aJob) {
  if (IsAdmitted(this->loadShedder, this->random) ||
      workflow::FindJob(this->State(), aJob.value) ||
      IsOpen(this->openSubmissions, aJob)) {
    return std::nullopt;
  }
  ++this->counters.refused;
  ++this->counters.refusedForLoad;
  Answer answer;
  answer.status = AnswerStatus::Refused;
  answer.retryAfterSeconds = RetryAfterSeconds(this->loadShedder, this->random);
  answer.reason = "the leader has more to do than it has time for";
  eventlog::Write(
      "job_refused_for_load",
      {{"job", aJob.value},
       {"loop_delay_ms", WholeText(this->loadShedder.delayMs)},
       {"refused_share", std::to_string(this->loadShedder.refusedShare)},
       {"retry_after_s", NumberText(answer.retryAfterSeconds)}});
  return answer;
}

std::int64_t Controller::AgreedUnixMs() const {
  return this->group->AgreedUnixMs(net::Now());
}

std::int64_t Controller::LeaderUnixMs() {
  this->latestUnixMs = std::max(this->latestUnixMs, this->AgreedUnixMs());
  return this->latestUnixMs;
}

bool Controller::RefuseOtherTerm(const JobId& aJob, Epoch aTerm) {
  const Epoch current = this->CurrentEpoch();
  if (aTerm == current) {
    return false;
  }
  ++this->counters.ofOtherTerm;
  eventlog::Write("submission_of_other_term",
                  {{"job", aJob.value},
                   {"term", NumberText(aTerm)},
                   {"current_term", NumberText(current)}});
  return true;
}

bool Controller::IsNotStored(std::string_view aPath) const {
  if (!this->MayRead()) {
    return false;
  }
  const std::size_t longest = std::min(aPath.size(), workflow::kMaxJobIdBytes);
  for (std::size_t bytes = 1; bytes <= longest; ++bytes) {
    const std::string_view id = aPath.substr(aPath.size() - bytes);
    if (workflow::FindJob(this->State(), id) ||
        MayBeOpen(this->openSubmissions, JobId(std::string(id)))) {
      return false;
    }
  }
  return true;
}

bool Controller::RefuseExpired(const JobId& aJob, std::int64_t aExpiresUnixMs) {
  const std::int64_t lateMs = this->LeaderUnixMs() - aExpiresUnixMs;
  if (lateMs <= 0) {
    return false;
  }
  ++this->counters.expired;
  eventlog::Write("submission_expired",
                  {{"job", aJob.value}, {"late_ms", std::to_string(lateMs)}});
  return true;
}

bool Controller::HasAcceptedWithin(const std::string& aHost,
                                   const std::string& aPath,
                                   Duration aTime) const {
  const workflow::Job* const job =
      workflow::FindJobOfPath(this->State(), aHost, aPath);
  return job && this->AgreedUnixMs() - job->acceptedUnixMs <=
                    ToMillis(aTime + kMaxClockDifference);
}

void Controller::CountDecision(const workflow::QueueId& aQueue,
                               workflow::AdmissionReason aReason) {
  auto& byQueue = this->counters.decisions;
  if (byQueue.count(aQueue) > 0 || byQueue.size() < kMaxCountedQueues) {
    ++byQueue[aQueue][static_cast<std::size_t>(aReason)];
  }
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
      workflow::ViewForAdmission(*this->scheduler, aSpec, aQueue, now);
  const workflow::AdmissionDecision decision =
      workflow::DecideAdmission(view, this->random);
  this->CountDecision(aQueue.id, decision.reason);
  // An earlier attempt of an open submission was admitted and may be committed.
  // Proposing it again tells its outcome.
  if (!decision.accepted && !IsOpen(this->openSubmissions, aSpec.id)) {
    ++this->counters.refused;
    workflow::RecordRefusal(this->scheduler->refusals, aSpec.id, now);
    eventlog::Write("job_refused",
                    {{"job", aSpec.id.value},
                     {"queue", aSpec.queue.value},
                     {"expected_ms", WholeText(decision.expectedMs)},
                     {"objective_ms", WholeText(view.objectiveMs)},
                     {"retry_after_s", NumberText(decision.retryAfterSeconds)},
                     {"chain_ms", WholeText(view.chainMs)},
                     {"chain_factor", std::to_string(view.chainFactor)},
                     {"class", std::string(ClassText(view))},
                     {"job_work", WholeText(view.jobWork)},
                     {"backlog_work", WholeText(view.backlogWork)},
                     {"class_work", WholeText(view.classWork)},
                     {"level", NumberText(view.level)},
                     {"waited_ms", WholeText(view.waitedMs)},
                     {"short", view.isShort ? "true" : "false"},
                     {"work_ratio", std::to_string(view.workRatio)},
                     {"reason", std::string(workflow::ToText(decision.reason))},
                     {"processors_milli", WholeText(view.capacityMilli)}});
    aCallback(Answer{AnswerStatus::Refused, decision.retryAfterSeconds,
                     "the job could not end in time"});
    return;
  }
  workflow::AcceptJob accept;
  accept.spec = aSpec;
  accept.acceptedUnixMs = this->group->AgreedUnixMs(now);
  const Epoch epoch = this->CurrentEpoch();
  Add(this->openSubmissions, aSpec.id);
  const std::string job = aSpec.id.value;
  const std::string queue = aSpec.queue.value;
  const double expectedMs = decision.expectedMs;
  const workflow::AdmissionReason reason = decision.reason;
  const std::uint32_t tasks = CountTasks(aSpec);
  this->Propose(
      accept, kCallerTimeout,
      [this, isAlive = this->alive, epoch, job, queue, expectedMs, reason, view,
       tasks, callback = std::move(aCallback)](const Answer& aAnswer) {
        if (*isAlive && aAnswer.status != AnswerStatus::OutcomeUnknown) {
          Close(this->openSubmissions, epoch, JobId(job));
        }
        callback(aAnswer);
        if (*isAlive && aAnswer.status == AnswerStatus::Repeated &&
            !aAnswer.reason.empty()) {
          ++this->counters.cancelledEarly;
          eventlog::Write("job_cancelled_on_arrival", {{"job", job}});
        }
        if (!*isAlive || aAnswer.status != AnswerStatus::Done) {
          return;
        }
        ++this->counters.accepted;
        this->loadShedder.waitingTasks += tasks;
        eventlog::Write("job_accepted",
                        {{"job", job},
                         {"queue", queue},
                         {"expected_ms", WholeText(expectedMs)},
                         {"objective_ms", WholeText(view.objectiveMs)},
                         {"chain_ms", WholeText(view.chainMs)},
                         {"chain_factor", std::to_string(view.chainFactor)},
                         {"class", std::string(ClassText(view))},
                         {"job_work", WholeText(view.jobWork)},
                         {"backlog_work", WholeText(view.backlogWork)},
                         {"class_work", WholeText(view.classWork)},
                         {"level", NumberText(view.level)},
                         {"waited_ms", WholeText(view.waitedMs)},
                         {"short", view.isShort ? "true" : "false"},
                         {"work_ratio", std::to_string(view.workRatio)},
                         {"reason", std::string(workflow::ToText(reason))},
                         {"processors_milli", WholeText(view.capacityMilli)}});
        if (this->scheduler) {
          workflow::OnAccepted(*this->scheduler, this->State(), JobId(job),
                               view, expectedMs, net::Now());
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
  if (aJob.value.size() > workflow::kMaxJobIdBytes) {
    aCallback(Answer{AnswerStatus::Unknown, 0, "no job has so long an id"});
    return;
  }
  workflow::CancelJob cancel;
  cancel.job = aJob;
  if (!workflow::FindJob(this->State(), aJob.value)) {
    cancel.proposedUnixMs = this->AgreedUnixMs();
  }
  this->Propose(
      cancel, kCallerTimeout,
      [this, isAlive = this->alive, aJob,
       callback = std::move(aCallback)](const Answer& aAnswer) {
        callback(aAnswer);
        if (*isAlive && aAnswer.status == AnswerStatus::Unknown) {
          eventlog::Write("cancel_of_unknown_job", {{"job", aJob.value}});
        }
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

void Controller::SetDrain(const workflow::SetDrain& aOrder,
                          TimePoint aReceivedAt, AnswerCallback aCallback) {
  if (WasPausedLately(this->pauseRecord, net::Now())) {
    aCallback(Answer{AnswerStatus::Refused, 0, "this host was paused"});
    return;
  }
  this->drainService->Set(aOrder, aReceivedAt, std::move(aCallback));
}

Knowledge Controller::KnowledgeOf(const DataCentreId& aDataCentre) const {
  const workflow::State& state = this->State();
  const bool hasWorker = std::any_of(
      state.workers.begin(), state.workers.end(), [&](const auto& aEntry) {
        return aEntry.second.spec.dataCentre == aDataCentre;
      });
  if (hasWorker || workflow::IsNamed(state.drains, aDataCentre) ||
      this->group->HasHostIn(aDataCentre)) {
    return Knowledge::Known;
  }
  return this->group->HasHeardFromHosts(net::Now()) ? Knowledge::Unknown
                                                    : Knowledge::NotYetKnown;
}

void Controller::ProposeDrain(const workflow::SetDrain& aOrder,
                              AnswerCallback aCallback) {
  this->Propose(aOrder, kCallerTimeout,
                [this, isAlive = this->alive, aOrder,
                 callback = std::move(aCallback)](const Answer& aAnswer) {
                  Answer answer = aAnswer;
                  if (answer.status == AnswerStatus::Refused) {
                    answer.reason = "too many data centres are drained";
                  }
                  if (*isAlive && answer.status == AnswerStatus::Done) {
                    eventlog::Write(
                        "data_centre_drain_set",
                        {{"data_centre", aOrder.dataCentre.value},
                         {"drained", aOrder.drained ? "true" : "false"}});
                  }
                  callback(answer);
                  if (*isAlive && this->scheduler &&
                      answer.status == AnswerStatus::Done) {
                    workflow::OnDrainSet(*this->scheduler);
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
  const TimePoint now = net::Now();
  if (!workflow::IsPlausibleStart(announced, this->group->AgreedUnixMs(now))) {
    eventlog::Write("announcement_implausible",
                    {{"worker", announced.id.value},
                     {"born", std::to_string(announced.startedUnixMs)}});
    aCallback(Answer{AnswerStatus::Refused, 0,
                     "it says that it starts in the future"});
    return;
  }
  const auto changed = workflow::SpecToCommit(*this->scheduler, this->State(),
                                              aAnnouncement, now);
  if (!changed) {
    const workflow::Worker* const known =
        workflow::FindWorker(this->State(), announced.id.value);
    if (workflow::IsOfRegistered(*this->scheduler, *known, aAnnouncement)) {
      this->OnUnchangedAnnouncement(known->number, aAnnouncement.clockMs);
    }
    aCallback(Answer{AnswerStatus::Repeated, 0, ""});
    return;
  }
  const auto before =
      CapacityOf(this->State(), announced.id.value, announced.startedUnixMs);
  this->Propose(
      workflow::RegistrationOf(*this->scheduler, this->State(), *changed, now),
      kCallerTimeout,
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

void Controller::Leave(const WorkerId& aWorker, std::int64_t aStartedUnixMs,
                       AnswerCallback aCallback) {
  if (!this->MayRead()) {
    aCallback(Answer{AnswerStatus::NotLeader, 0, "not the leader"});
    return;
  }
  const workflow::Worker* const known =
      workflow::FindWorker(this->State(), aWorker.value);
  if (!known || workflow::IsOfEarlierIncarnation(*this->scheduler, *known,
                                                 aStartedUnixMs)) {
    eventlog::Write("leave_ignored", {{"worker", aWorker.value},
                                      {"reason", known ? "of an earlier start"
                                                       : "unknown worker"}});
    aCallback(Answer{AnswerStatus::Repeated, 0, ""});
    return;
  }
  const workflow::WorkerNumber number = known->number;
  this->Propose(
      workflow::LeaveWorker{number}, kCallerTimeout,
      [this, isAlive = this->alive, aWorker, number,
       callback = std::move(aCallback)](const Answer& aAnswer) {
        if (aAnswer.status != AnswerStatus::Done || !*isAlive ||
            !this->scheduler) {
          callback(aAnswer);
          return;
        }
        const auto worker = this->State().workers.find(number);
        const std::size_t attempts = worker == this->State().workers.end()
                                         ? 0
                                         : worker->second.attempts.size();
        eventlog::Write("worker_left", {{"worker", aWorker.value},
                                        {"attempts", NumberText(attempts)}});
        const TimePoint now = net::Now();
        this->pendingLeaves.push_back(
            PendingLeave{number, now + kLeaveAnswerTimeout, callback});
        this->AnswerLeaves(now);
        workflow::OnStateChanged(*this->scheduler, this->State(), now);
        workflow::OnLeft(*this->scheduler, number, now);
        this->RequestCycle();
      });
}

void Controller::AnswerLeaves(TimePoint aNow) {
  std::vector<PendingLeave> answered;
  const auto isDue = [&](const PendingLeave& aLeave) {
    return !this->scheduler || aNow >= aLeave.answerBy ||
           this->State().workers.count(aLeave.worker) == 0;
  };
  for (PendingLeave& leave : this->pendingLeaves) {
    if (isDue(leave)) {
      answered.push_back(leave);
    }
  }
  this->pendingLeaves.erase(std::remove_if(this->pendingLeaves.begin(),
                                           this->pendingLeaves.end(), isDue),
                            this->pendingLeaves.end());
  // The leave is committed, so that it is acknowledged whoever leads now.
  for (const PendingLeave& leave : answered) {
    leave.callback(Answer{AnswerStatus::Done, 0, ""});
  }
}

}  // namespace bramleypath::controller
