#include "tests/cell/CellModel.h"

#include <algorithm>

namespace bramleypath::cell {

namespace {

constexpr std::int64_t kMilli = 1000;
constexpr std::int64_t kSecond = 1000 * 1000;
constexpr std::int64_t kStep = 50 * kMilli;
constexpr std::size_t kHostCount = 4;
constexpr std::size_t kReplicaCount = 3;
const Resources kCapacity{8000, 16000, 1};
const double kClockRates[] = {1.01, 0.99, 1.0, 0.995};

std::string Name(const AttemptId& aAttempt) {
  return aAttempt.task.job.value + "/" + std::to_string(aAttempt.task.index) +
         "#" + std::to_string(aAttempt.number);
}

}  // namespace

CellModel::CellModel(std::uint64_t aSeed)
    : replicas(kReplicaCount), hosts(kHostCount) {
  this->random.state = aSeed;
  for (std::size_t index = 0; index < kReplicaCount; ++index) {
    this->replicas[index].clockRate = kClockRates[kReplicaCount - index];
    // Stands for observed sizes: ten times the declared processors, or a tenth
    // of them.
    this->replicas[index].scheduler.sizeTask = [](const JobSpec& aJob) {
      Resources size = aJob.perTask;
      size.processorsMilli = std::min<std::int64_t>(
          8000, aJob.taskCount % 2 == 0 ? size.processorsMilli * 10
                                        : size.processorsMilli / 10 + 1);
      return size;
    };
  }
  for (std::size_t index = 0; index < kHostCount; ++index) {
    Host& host = this->hosts[index];
    host.agent.worker = WorkerId("w" + std::to_string(index));
    host.agent.capacity = kCapacity;
    host.clockRate = kClockRates[index];
    host.clockOffset = this->RandomBelow(1000) * kSecond;
  }
  this->ElectLeader(0, true);
}

std::int64_t CellModel::RandomBelow(std::int64_t aBound) {
  return static_cast<std::int64_t>(
      NextBelow(this->random, static_cast<std::uint64_t>(aBound)));
}

void CellModel::RecordViolation(const std::string& aText) {
  this->oracle.violations.push_back(std::to_string(this->now / kMilli) +
                                    " ms: " + aText);
}

TimePoint CellModel::LocalTime(const Replica& aReplica) const {
  return TimePoint{static_cast<std::int64_t>(static_cast<double>(this->now) *
                                             aReplica.clockRate)};
}

TimePoint CellModel::LocalTime(const Host& aHost) const {
  return TimePoint{aHost.clockOffset +
                   static_cast<std::int64_t>(static_cast<double>(this->now) *
                                             aHost.clockRate)};
}

// Drops, duplicates and delays messages by up to 20 s, which also reorders
// them.
void CellModel::Transmit(const std::function<void()>& aDeliver) {
  const std::int64_t copies =
      !this->networkBad
          ? 1
          : (this->RandomBelow(5) == 0 ? this->RandomBelow(2) * 2 : 1);
  for (std::int64_t copy = 0; copy < copies; ++copy) {
    std::int64_t delay = kMilli * (1 + this->RandomBelow(5));
    if (this->networkBad && this->RandomBelow(5) == 0) {
      delay =
          kMilli * this->RandomBelow(this->RandomBelow(4) == 0 ? 20000 : 2000);
    }
    this->network.emplace(this->now + delay, aDeliver);
  }
}

void CellModel::Deliver(std::size_t aReplica, const EventBody& aEvent) {
  Replica& replica = this->replicas[aReplica];
  if (replica.paused) {
    replica.inbox.push_back(aEvent);
  } else {
    this->StepReplica(aReplica, aEvent);
  }
}

void CellModel::StepReplica(std::size_t aReplica, const EventBody& aEvent) {
  Replica& replica = this->replicas[aReplica];
  // The lease is held only in the term of the scheduler's last
  // LeadershipGained.
  const bool leads = aReplica == this->leader && !replica.paused &&
                     replica.scheduler.epoch == this->epoch;
  const bool lease =
      leads || (this->ignoreLeaderLease && replica.believesLeading);
  const Actions actions = Step(replica.scheduler, replica.state,
                               Event{lease, aEvent}, this->LocalTime(replica));
  for (const Action& action : actions) {
    if (const auto* proposal = std::get_if<ProposeCommand>(&action)) {
      const auto* start = std::get_if<StartAttempt>(&proposal->command);
      if (this->startBeforeCommit && start != nullptr) {
        WorkerCommand command;
        command.kind = CommandKind::Start;
        command.attempt = start->attempt;
        command.resources = start->resources;
        this->SendToWorker(
            aReplica,
            CommandBatch{this->epoch,
                         start->worker,
                         start->incarnation,
                         replica.scheduler
                             .workers[replica.scheduler.slots[start->worker]]
                             .timestamp,
                         10000,
                         false,
                         0,
                         0,
                         {command},
                         {}});
      }
      if (leads) {
        const std::int64_t after =
            this->proposed.empty() ? this->now : this->proposed.back().commitAt;
        this->proposed.push_back(
            LogEntry{after + kMilli * this->RandomBelow(30), aReplica,
                     proposal->token, proposal->command});
      } else {
        this->network.emplace(this->now + kStep,
                              [this, aReplica, token = proposal->token] {
                                this->Deliver(aReplica, ProposalFailed{token});
                              });
      }
    } else if (const auto* send = std::get_if<SendCommands>(&action)) {
      this->SendToWorker(aReplica, send->batch);
    }
  }
}

void CellModel::SendToWorker(std::size_t aReplica, const CommandBatch& aBatch) {
  this->Transmit([this, aReplica, aBatch] {
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
      Host& host = this->hosts[index];
      if (host.agent.worker == aBatch.worker && host.up && !host.cutOff &&
          host.onlyReplica.value_or(aReplica) == aReplica) {
        this->ExecuteEffects(
            host,
            workeragent::HandleBatch(host.agent, aBatch, this->LocalTime(host)),
            true);
        this->SendToLeader(index, false);
      }
    }
  });
}

// Sends to each replica that believes it leads, so that a deposed leader
// receives the message too.
void CellModel::SendToLeader(std::size_t aHost, bool aAnnounce) {
  Host& host = this->hosts[aHost];
  const WorkerMessage message =
      workeragent::TakeMessage(host.agent, this->LocalTime(host));
  if (host.cutOff) {
    return;
  }
  const EventBody event =
      aAnnounce ? EventBody(WorkerAnnounced{message, kCapacity,
                                            RackId(aHost < 2 ? "r0" : "r1")})
                : EventBody(WorkerReported{message});
  for (std::size_t index = 0; index < this->replicas.size(); ++index) {
    if (this->replicas[index].believesLeading &&
        host.onlyReplica.value_or(index) == index) {
      this->Transmit([this, index, event] { this->Deliver(index, event); });
    }
  }
}

void CellModel::ExecuteEffects(Host& aHost,
                               const std::vector<workeragent::Effect>& aEffects,
                               bool aOnCommand) {
  for (const workeragent::Effect& effect : aEffects) {
    const AttemptId& id = effect.command.attempt;
    if (effect.kind == workeragent::EffectKind::Start) {
      this->StartProcess(aHost, effect.command);
    } else if (effect.kind == workeragent::EffectKind::Checkpoint) {
      aHost.processes[id].checkpointAt = this->now + this->RandomBelow(kSecond);
    } else if (effect.kind == workeragent::EffectKind::Stop) {
      const Attempt* live = FindLiveAttempt(this->committedState, id);
      const Job* job = FindJob(this->committedState, id.task.job);
      const bool expired = std::any_of(
          aHost.agent.ended.begin(), aHost.agent.ended.end(),
          [&id](const auto& aEntry) {
            return aEntry.first == id &&
                   aEntry.second.confirmation.event == EndEvent::LeaseExpired;
          });
      if (aOnCommand && !expired && live != nullptr &&
          live->state == AttemptState::Evicting && job->spec.checkpointable &&
          this->oracle.checkpointed.count(id) == 0) {
        this->RecordViolation(Name(id) + " evicted without a checkpoint");
      }
      this->EndProcess(aHost, id);
    }
  }
}

void CellModel::StartProcess(Host& aHost, const WorkerCommand& aCommand) {
  const AttemptId& id = aCommand.attempt;
  Oracle& seen = this->oracle;
  const auto committed = seen.committedStarts.find(id);
  if (committed == seen.committedStarts.end() ||
      committed->second != aHost.agent.worker) {
    this->RecordViolation(Name(id) + " started without a commit");
  }
  if (seen.running.count(id.task) != 0) {
    this->RecordViolation(Name(id) + " started while " +
                          Name(seen.running[id.task]) + " runs");
  }
  if (!seen.started.insert(id).second) {
    this->RecordViolation(Name(id) + " started twice");
  }
  if (seen.ended.count(id.task) != 0) {
    this->RecordViolation(Name(id) + " started after its task ended");
  }
  if (aCommand.checkpoint != seen.resumeFrom[id.task]) {
    this->RecordViolation(Name(id) + " resumed from " + aCommand.checkpoint);
  }
  Resources& usage = seen.usage[aHost.agent.worker];
  usage = usage + aCommand.resources;
  if (!Fits(usage, kCapacity)) {
    this->RecordViolation(aHost.agent.worker.value + " over its capacity");
  }
  seen.running[id.task] = id;
  Process process;
  process.resources = aCommand.resources;
  const std::int64_t longest = this->RandomBelow(4) == 0 ? 60000 : 8000;
  process.endsAt = this->now + kMilli * (200 + this->RandomBelow(longest));
  aHost.processes[id] = process;
}

void CellModel::EndProcess(Host& aHost, const AttemptId& aAttempt) {
  const auto process = aHost.processes.find(aAttempt);
  if (process == aHost.processes.end()) {
    return;
  }
  Resources& usage = this->oracle.usage[aHost.agent.worker];
  usage = usage - process->second.resources;
  this->oracle.running.erase(aAttempt.task);
  aHost.processes.erase(process);
}

void CellModel::StepHost(std::size_t aHost) {
  Host& host = this->hosts[aHost];
  if (!host.up) {
    return;
  }
  const TimePoint local = this->LocalTime(host);
  this->ExecuteEffects(host, workeragent::Expire(host.agent, local), false);
  const auto processes = host.processes;
  for (const auto& [id, process] : processes) {
    if (process.endsAt <= this->now) {
      const bool fails =
          host.failsEverything || this->failingJobs.count(id.task.job) != 0;
      workeragent::ReportEnd(host.agent, id, !fails, local);
      this->EndProcess(host, id);
    } else if (process.checkpointAt != 0 && process.checkpointAt <= this->now &&
               this->oracle.checkpointed.insert(id).second) {
      workeragent::ReportCheckpoint(host.agent, id, "after " + Name(id));
    }
  }
  if (this->now >= host.nextReport) {
    host.nextReport = this->now + 2 * kSecond;
    this->SendToLeader(aHost, this->RandomBelow(3) == 0);
  }
}

void CellModel::SubmitAsClient(const Command& aCommand) {
  // The request is sent twice; the second one must change nothing.
  for (int copy = 0; copy < 2; ++copy) {
    this->Commit(LogEntry{this->now, this->replicas.size(), 0, aCommand});
  }
}

void CellModel::Commit(const LogEntry& aEntry) {
  LogEntry entry = aEntry;
  entry.command = *DecodeCommand(EncodeCommand(aEntry.command));
  const CellState before = this->committedState;
  const Outcome outcome = Apply(this->committedState, entry.command);
  if (outcome.accepted && !outcome.repeated) {
    this->CheckCommit(entry.command, before);
  }
  this->log.push_back(entry);
  for (std::size_t index = 0; index < this->replicas.size(); ++index) {
    if (!this->replicas[index].paused) {
      this->CatchUp(index);
    }
  }
}

void CellModel::CheckCommit(const Command& aCommand, const CellState& aBefore) {
  std::map<WorkerId, Resources> reserved;
  std::map<ClientAccountId, Resources> used;
  for (const auto& [id, job] : this->committedState.jobs) {
    for (const Task& task : job.tasks) {
      if (task.live) {
        Resources& worker = reserved[task.live->worker];
        worker = worker + task.live->resources;
        used[job.spec.clientAccount] =
            used[job.spec.clientAccount] + task.live->resources;
      }
      if (task.resumptions > task.evictions) {
        this->RecordViolation(id.value + " resumed twice after an eviction");
      }
    }
  }
  for (const auto& [id, sum] : reserved) {
    if (!Fits(sum, this->committedState.workers.at(id).capacity)) {
      this->RecordViolation(id.value + " overcommitted");
    }
  }
  if (const auto* start = std::get_if<StartAttempt>(&aCommand)) {
    const ClientAccountId& clientAccount =
        FindJob(this->committedState, start->attempt.task.job)
            ->spec.clientAccount;
    const auto& quota =
        this->committedState.clientAccounts.at(clientAccount).quota;
    if (quota && !Fits(used[clientAccount], *quota)) {
      this->RecordViolation(clientAccount.value + " above its quota");
    }
    if (!this->oracle.committedStarts.emplace(start->attempt, start->worker)
             .second) {
      this->RecordViolation(Name(start->attempt) + " committed twice");
    }
  }
  if (const auto* end = std::get_if<EndAttempt>(&aCommand)) {
    const TaskId& id = end->attempt.task;
    if (HasEnded(FindTask(aBefore, id)->state)) {
      this->RecordViolation(Name(end->attempt) + " ended twice");
    }
    if (HasEnded(FindTask(this->committedState, id)->state)) {
      this->oracle.ended.insert(id);
    }
    if (end->kind == EndKind::Evicted && !end->checkpoint.empty()) {
      this->oracle.resumeFrom[id] = end->checkpoint;
    }
  }
}

void CellModel::CatchUp(std::size_t aReplica) {
  Replica& replica = this->replicas[aReplica];
  while (replica.applied < this->log.size()) {
    // The entry is copied, since handling the event may append to the log.
    const LogEntry entry = this->log[replica.applied++];
    const Outcome outcome = Apply(replica.state, entry.command);
    const std::uint64_t token = entry.proposer == aReplica ? entry.token : 0;
    this->StepReplica(aReplica,
                      CommandCommitted{token, entry.command, outcome});
  }
}

// A resumed leader handles the events that arrived during the pause before it
// learns what was committed since.
void CellModel::Resume(std::size_t aReplica) {
  Replica& replica = this->replicas[aReplica];
  if (replica.paused) {
    replica.paused = false;
    const std::deque<EventBody> events = std::move(replica.inbox);
    replica.inbox.clear();
    for (const EventBody& event : events) {
      this->StepReplica(aReplica, event);
    }
    this->StepReplica(aReplica, Tick{});
  }
  this->CatchUp(aReplica);
  if (replica.believesLeading && aReplica != this->leader) {
    replica.believesLeading = false;
    this->StepReplica(aReplica, LeadershipLost{});
  }
}

void CellModel::ElectLeader(std::size_t aReplica, bool aNotifyOldLeader) {
  // The new leader commits up to two of the pending proposals; the others fail.
  for (std::int64_t kept = this->RandomBelow(3);
       kept > 0 && !this->proposed.empty(); --kept) {
    const LogEntry entry = this->proposed.front();
    this->proposed.pop_front();
    this->Commit(entry);
  }
  // From here on, no replica holds the lease until the new leader has handled
  // its LeadershipGained.
  const std::size_t old = this->leader;
  this->leader = aReplica;
  ++this->epoch;
  const std::deque<LogEntry> dropped = std::move(this->proposed);
  this->proposed.clear();
  for (const LogEntry& entry : dropped) {
    this->Deliver(entry.proposer, ProposalFailed{entry.token});
  }
  if (old != aReplica && aNotifyOldLeader) {
    this->Resume(old);
  }
  this->Resume(aReplica);
  Replica& replica = this->replicas[aReplica];
  const auto snapshot = TakeSnapshot(this->committedState);
  if (TakeSnapshot(replica.state) != snapshot) {
    this->RecordViolation("the copies of the state differ");
  }
  replica.state = *RestoreSnapshot(snapshot);
  replica.believesLeading = true;
  this->StepReplica(aReplica, LeadershipGained{this->epoch});
}

JobSpec CellModel::MakeJob(std::uint32_t aSelector) {
  JobSpec spec;
  spec.id = JobId("j" + std::to_string(this->submitted++));
  spec.clientAccount = ClientAccountId("m" + std::to_string(aSelector % 2));
  spec.classId = ClassId("c");
  spec.taskCount = 1 + aSelector % 5;
  spec.checkpointable = aSelector % 3 != 0;
  spec.rackSpread = aSelector % 2 == 0;
  spec.evictionBudget = aSelector % 4;
  const std::int64_t processors[] = {700, 1500, 4000, 8000};
  spec.perTask =
      Resources{processors[aSelector / 7 % 4], 1000 + aSelector % 4000,
                aSelector % 11 == 0 ? 1 : 0};
  return spec;
}

void CellModel::RequestMitigation(AttemptMark aMark, std::uint32_t aSelector) {
  for (const auto& [id, job] : this->committedState.jobs) {
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
      if (job.tasks[index].live && (index + aSelector) % 2 == 0) {
        this->Deliver(this->leader,
                      MitigationRequested{TaskId{id, index}, aMark});
      }
    }
  }
}

void CellModel::Inject(const Fault& aFault) {
  const std::uint32_t selector = aFault.selector;
  Host& host = this->hosts[selector % this->hosts.size()];
  const RequestId request("r" + std::to_string(this->submitted));
  JobSpec spec;
  CancelJobs cancel{request, {}};
  switch (aFault.kind) {
    case FaultKind::SubmitJob:
      this->SubmitAsClient(SubmitJob{request, this->MakeJob(selector)});
      break;
    case FaultKind::SubmitUrgent:
      spec = this->MakeJob(selector);
      spec.urgent = true;
      this->SubmitAsClient(SubmitJob{request, spec});
      break;
    case FaultKind::SubmitFailingJob:
      spec = this->MakeJob(selector);
      this->failingJobs.insert(spec.id);
      this->SubmitAsClient(SubmitJob{request, spec});
      break;
    case FaultKind::SubmitImpossible:
      spec = this->MakeJob(selector);
      spec.perTask.processorsMilli = kCapacity.processorsMilli + 1;
      this->SubmitAsClient(SubmitJob{request, spec});
      if (!this->committedState.workers.empty() &&
          FindJob(this->committedState, spec.id) != nullptr) {
        this->RecordViolation("accepted a job that no worker can hold");
      }
      break;
    case FaultKind::CancelHalf:
      ++this->submitted;
      for (const auto& [id, job] : this->committedState.jobs) {
        if ((job.sequence + selector) % 2 == 0) {
          cancel.jobs.push_back(id);
        }
      }
      this->SubmitAsClient(cancel);
      break;
    case FaultKind::CrashWorker:
      while (host.up && !host.processes.empty()) {
        this->EndProcess(host, host.processes.begin()->first);
      }
      host.up = false;
      break;
    case FaultKind::ReturnWorkers:
      for (Host& each : this->hosts) {
        each.cutOff = false;
        each.onlyReplica.reset();
        if (!each.up) {
          each.up = true;
          workeragent::WorkerAgent fresh;
          fresh.worker = each.agent.worker;
          fresh.capacity = each.agent.capacity;
          fresh.incarnation = each.agent.incarnation + 1;
          each.agent = fresh;
        }
      }
      break;
    case FaultKind::CutOffWorker:
      host.cutOff = true;
      break;
    case FaultKind::MakeWorkerBad:
      // Only one host becomes faulty, so that each job has workers left on
      // which it can finish.
      this->hosts[0].failsEverything = true;
      break;
    case FaultKind::ChangeLeader:
      this->ElectLeader(selector % this->replicas.size(), true);
      break;
    case FaultKind::PauseLeader:
      this->replicas[this->leader].paused = true;
      this->ElectLeader((this->leader + 1) % this->replicas.size(), false);
      break;
    case FaultKind::IsolateLeader:
      host.onlyReplica = this->leader;
      this->ElectLeader((this->leader + 1) % this->replicas.size(), false);
      break;
    case FaultKind::ResumeReplicas:
      for (std::size_t index = 0; index < this->replicas.size(); ++index) {
        this->Resume(index);
      }
      break;
    case FaultKind::EvictSome:
      this->RequestMitigation(AttemptMark::Evict, selector);
      break;
    case FaultKind::ThrottleSome:
      this->RequestMitigation(
          selector % 2 == 0 ? AttemptMark::Throttle : AttemptMark::Unthrottle,
          selector);
      break;
    case FaultKind::ChangeQuota:
      this->Deliver(
          this->leader,
          QuotasChanged{{ClientAccountQuota{
              ClientAccountId("m0"),
              Resources{8000 + selector % 9000, 16000 + selector % 9000, 2}}}});
      break;
    case FaultKind::NetworkGood:
    case FaultKind::NetworkBad:
      this->networkBad = aFault.kind == FaultKind::NetworkBad;
      break;
    case FaultKind::None:
    case FaultKind::Last:
      break;
  }
}

void CellModel::Run(std::int64_t aMicros) {
  const std::int64_t until = this->now + aMicros;
  while (this->now < until) {
    this->now += kStep;
    while (!this->network.empty() &&
           this->network.begin()->first <= this->now) {
      const auto deliver = std::move(this->network.begin()->second);
      this->network.erase(this->network.begin());
      deliver();
    }
    while (!this->proposed.empty() &&
           this->proposed.front().commitAt <= this->now) {
      const LogEntry entry = this->proposed.front();
      this->proposed.pop_front();
      this->Commit(entry);
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
      this->StepHost(index);
    }
    for (std::size_t index = 0; index < this->replicas.size(); ++index) {
      if (!this->replicas[index].paused) {
        this->StepReplica(index, Tick{});
      }
    }
  }
}

bool CellModel::RunUntilJobsEnd(std::int64_t aMaxMicros) {
  this->Inject(Fault{FaultKind::ResumeReplicas, 0});
  this->Inject(Fault{FaultKind::ReturnWorkers, 0});
  this->networkBad = false;
  const std::int64_t until = this->now + aMaxMicros;
  while (this->now<until&& this->committedState.liveTasks> 0) {
    this->Run(kSecond);
  }
  return this->committedState.liveTasks == 0;
}

}  // namespace bramleypath::cell
