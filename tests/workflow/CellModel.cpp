#include "tests/workflow/CellModel.h"

#include <algorithm>
#include <utility>

#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr Duration kStep = Millis(5);
constexpr Duration kNetworkDelay = Millis(1);
constexpr Duration kRequestTimeout = Millis(1200);
constexpr Duration kConnectTimeout = Millis(500);
constexpr Duration kAnnounceInterval = Millis(1500);
constexpr std::int64_t kUnixOriginMs = 1700000000000;

bool IsLater(TimePoint aLeft, TimePoint aRight) { return aRight < aLeft; }

}  // namespace

CellModel::CellModel(std::uint64_t aSeed) {
  this->random.state = aSeed;
  this->now = TimePoint{1000 * 1000};
  constexpr std::size_t kReplicas = 3;
  constexpr std::uint64_t kReplicaSeed = 0x9e3779b97f4a7c15;
  this->replicaRandom.state = aSeed ^ kReplicaSeed;
  this->replicas.resize(kReplicas);
  for (Replica& replica : this->replicas) {
    this->Restart(replica, 0);
  }
  this->ApplyCommand(SetLayout{MakeLayout(1)});
  this->ChangeLeader();
}

void CellModel::AddWorker(const std::string& aId) {
  WorkerModel worker;
  worker.spec = MakeWorker(aId);
  worker.spec.address = aId + ":1";
  // The clock is as slow as the protocol allows, or exact.
  worker.clockRate = NextBelow(this->random, 2) == 0 ? 0.98 : 1.0;
  worker.clockStartedAt = this->now;
  this->workers[aId] = worker;
  this->Announce();
}

std::int64_t CellModel::UnixMs() const {
  return kUnixOriginMs + ToMillis(Duration{this->now.micros});
}

void CellModel::Submit(const JobSpec& aSpec) {
  this->ApplyCommand(AcceptJob{aSpec, this->UnixMs()});
  this->stages[aSpec.id.value] = aSpec.stages;
  if (this->scheduler) {
    this->scheduler->dispatchWanted = true;
  }
}

void CellModel::Cancel(const std::string& aJob) {
  const bool isKnown = FindJob(this->state, aJob) != nullptr;
  this->ApplyCommand(CancelJob{JobId(aJob), isKnown ? 0 : this->UnixMs()});
}

void CellModel::ChangeLeader(LeaderChange aChange) {
  const std::size_t earlier = this->leader;
  this->leader = (earlier + 1 +
                  NextBelow(this->replicaRandom, this->replicas.size() - 1)) %
                 this->replicas.size();
  if (aChange == LeaderChange::Restart) {
    this->Restart(this->replicas[earlier],
                  NextBelow(this->replicaRandom, this->log.size() + 1));
  } else if (aChange == LeaderChange::Replace) {
    this->Restart(this->replicas[earlier], this->log.size());
  }
  ++this->epoch;
  this->Append(std::nullopt);
  SchedulerSettings settings;
  this->scheduler = MakeScheduler(settings, this->epoch, this->state,
                                  this->replicas[this->leader].leaseEnds,
                                  NextRandom(this->random), this->now);
}

void CellModel::RestartFollower() {
  const std::size_t follower =
      (this->leader + 1 +
       NextBelow(this->replicaRandom, this->replicas.size() - 1)) %
      this->replicas.size();
  this->Restart(this->replicas[follower],
                NextBelow(this->replicaRandom, this->log.size() + 1));
}

void CellModel::Append(const std::optional<Command>& aCommand) {
  this->log.push_back(LogEntry{aCommand, this->now});
  this->CatchUp(this->replicas[this->leader], this->log.size());
}

ApplyResult CellModel::ApplyCommand(const Command& aCommand) {
  const ApplyResult result = Apply(this->state, aCommand);
  this->Append(aCommand);
  return result;
}

void CellModel::CatchUp(Replica& aReplica, std::size_t aEnd) {
  for (; aReplica.applied < aEnd; ++aReplica.applied) {
    const std::optional<Command>& command = this->log[aReplica.applied].command;
    if (command) {
      OnApplied(aReplica.leaseEnds, this->state, *command, this->now);
    } else {
      OnTermBegan(aReplica.leaseEnds);
    }
  }
}

void CellModel::AdvanceFollowers() {
  for (Replica& replica : this->replicas) {
    std::size_t end = replica.applied;
    while (end < this->log.size() &&
           this->log[end].committedAt + replica.lag <= this->now) {
      ++end;
    }
    this->CatchUp(replica, end);
  }
}

void CellModel::Restart(Replica& aReplica, std::size_t aSnapshotAt) {
  constexpr std::uint64_t kLongestLagMs = 120;
  OnRestored(aReplica.leaseEnds);
  aReplica.leaseEnds.longestLease = LongestUnknownLease(SchedulerSettings());
  aReplica.applied = aSnapshotAt;
  aReplica.lag = Millis(
      static_cast<std::int64_t>(NextBelow(this->replicaRandom, kLongestLagMs)));
}

void CellModel::StallLog(Duration aLength) {
  this->logStalledUntil = this->now + aLength;
}

void CellModel::CountCrashes(const WorkerModel& aWorker) {
  for (const auto& [task, run] : aWorker.running) {
    ++this->crashesUnder[task];
  }
  for (const EndedAttempt& row : aWorker.ended) {
    ++this->endsLost[TextOf(row.task)];
  }
}

void CellModel::RestartWorker(const std::string& aId) {
  this->endedWorkers.erase(aId);
  this->CountCrashes(this->workers.at(aId));
  workflow::Restart(this->workers.at(aId), this->now);
  // A worker announces itself when it starts.
  this->Announce();
}

void CellModel::CrashWorker(const std::string& aId, Duration aLength) {
  WorkerModel& worker = this->workers.at(aId);
  if (!worker.up) {
    return;
  }
  this->CountCrashes(worker);
  worker.up = false;
  worker.running.clear();
  this->Schedule(this->now + aLength, [this, aId] {
    workflow::Restart(this->workers.at(aId), this->now);
    this->Announce();
  });
}

void CellModel::ReplaceWorker(const std::string& aId, const std::string& aNewId,
                              Duration aLength, StaleConnection aConnection) {
  WorkerModel& worker = this->workers.at(aId);
  this->CountCrashes(worker);
  worker.up = false;
  worker.running.clear();
  this->Schedule(this->now + aLength, [this, aId, aNewId, aConnection] {
    this->replacedWorkers[aId] = aConnection;
    WorkerModel successor = this->workers.at(aId);
    workflow::Restart(successor, this->now);
    successor.spec.id = WorkerId(aNewId);
    this->workers[aNewId] = successor;
    this->AnnounceWorker(aNewId);
  });
}

void CellModel::CrashUnderTask(const std::string& aId) {
  if (this->changesIdAtCrash) {
    this->ReplaceWorker(aId, aId + "'", this->crashedFor);
  } else {
    this->CrashWorker(aId, this->crashedFor);
  }
}

void CellModel::AnnounceGone(const std::string& aGone, const std::string& aId) {
  WorkerModel gone = this->workers.at(aId);
  gone.spec.id = WorkerId(aGone);
  gone.spec.startedUnixMs -= 1;
  gone.up = false;
  gone.running.clear();
  this->workers[aGone] = gone;
  this->replacedWorkers[aGone] = StaleConnection::Closed;
  this->Receive(Announcement{gone.spec, 1, ClockOf(gone, this->now)});
}

void CellModel::RestartWorkerAs(const std::string& aId,
                                const Resources& aCapacity) {
  WorkerModel& worker = this->workers.at(aId);
  workflow::Restart(worker, this->now);
  // Requests name only the id, so that those in flight may be executed here.
  SetCapacity(worker, aCapacity, this->now);
}

void CellModel::Leave(const std::string& aId) {
  const Worker* const known = FindWorker(this->state, aId);
  if (!known) {
    return;
  }
  const WorkerNumber number = known->number;
  this->ApplyCommand(LeaveWorker{number});
  OnStateChanged(*this->scheduler, this->state, this->now);
  OnLeft(*this->scheduler, number, this->now);
}

void CellModel::EndWorker(const std::string& aId) {
  WorkerModel& worker = this->workers.at(aId);
  worker.up = false;
  worker.running.clear();
  this->endedWorkers.insert(aId);
}

void CellModel::SetPartitioned(const std::string& aId, bool aPartitioned) {
  if (aPartitioned) {
    this->partitioned.insert(aId);
  } else {
    this->partitioned.erase(aId);
  }
}

void CellModel::SetLeaderLate(bool aLate) { this->isLeaderLate = aLate; }

void CellModel::PauseLeader(Duration aLength) {
  this->leaderPausedUntil = this->now + aLength;
}

void CellModel::Schedule(TimePoint aAt, std::function<void()> aAction) {
  this->events.push_back(
      Event{aAt, ++this->lastEvent, false, std::move(aAction)});
}

void CellModel::ScheduleOnLeader(TimePoint aAt, std::function<void()> aAction) {
  this->events.push_back(
      Event{aAt, ++this->lastEvent, true, std::move(aAction)});
}

void CellModel::Announce() {
  for (const auto& [id, worker] : this->workers) {
    this->AnnounceWorker(id);
  }
}

void CellModel::AnnounceWorker(const std::string& aId) {
  WorkerModel& worker = this->workers.at(aId);
  if (this->partitioned.count(aId) > 0 || !worker.up) {
    return;
  }
  if (this->faults.announcementLost > 0 &&
      NextUnit(this->random) < this->faults.announcementLost) {
    constexpr Duration kRepeatAfter = Seconds(1);
    this->Schedule(this->now + kRepeatAfter,
                   [this, aId] { this->AnnounceWorker(aId); });
    return;
  }
  const Announcement announcement{worker.spec, ++worker.announcements,
                                  ClockOf(worker, this->now)};
  if (this->faults.announcementLate > 0 &&
      NextUnit(this->random) < this->faults.announcementLate) {
    constexpr std::uint64_t kLongestDelayMs = 4000;
    this->ScheduleOnLeader(
        this->now + Millis(static_cast<std::int64_t>(
                        NextBelow(this->random, kLongestDelayMs))),
        [this, announcement] { this->Receive(announcement); });
    return;
  }
  this->Receive(announcement);
}

void CellModel::Receive(const Announcement& aAnnouncement) {
  const auto changed =
      SpecToCommit(*this->scheduler, this->state, aAnnouncement, this->now);
  if (changed) {
    this->ApplyCommand(
        RegistrationOf(*this->scheduler, this->state, *changed, this->now));
    OnStateChanged(*this->scheduler, this->state, this->now);
    OnRegistered(*this->scheduler, this->state, aAnnouncement);
  }
  const Worker* const known =
      FindWorker(this->state, aAnnouncement.worker.id.value);
  if (known->spec.startedUnixMs == aAnnouncement.worker.startedUnixMs) {
    OnAnnounced(*this->scheduler, known->number, aAnnouncement.clockMs,
                this->now);
  }
}

void CellModel::Run(Duration aLength) {
  const TimePoint end = this->now + aLength;
  while (this->now < end) {
    this->now = this->now + kStep;
    const bool isPaused = this->now < this->leaderPausedUntil;
    if (!isPaused && this->now >= this->announceAt) {
      this->announceAt = this->now + kAnnounceInterval;
      this->Announce();
    }
    std::vector<std::string> crashed;
    for (auto& [id, worker] : this->workers) {
      Advance(worker, this->random, this->now);
      if (CrashesNow(worker, this->now)) {
        crashed.push_back(id);
      }
    }
    for (const std::string& id : crashed) {
      this->CrashUnderTask(id);
    }
    this->RunDueEvents();
    this->AdvanceFollowers();
    if (!isPaused) {
      this->Perform(
          OnTick(*this->scheduler, this->state, this->now, this->UnixMs()));
    }
  }
}

void CellModel::RunDueEvents() {
  const auto startOf = [this](const Event& aEvent) {
    return aEvent.onLeader ? std::max(aEvent.at, this->leaderPausedUntil)
                           : aEvent.at;
  };
  while (true) {
    const auto due = std::min_element(
        this->events.begin(), this->events.end(),
        [&](const Event& aLeft, const Event& aRight) {
          const TimePoint left = startOf(aLeft);
          const TimePoint right = startOf(aRight);
          return left == right ? aLeft.sequence < aRight.sequence
                               : left < right;
        });
    if (due == this->events.end() || IsLater(startOf(*due), this->now)) {
      return;
    }
    const std::function<void()> action = std::move(due->action);
    this->events.erase(due);
    action();
  }
}

void CellModel::Perform(SchedulerActions aActions) {
  for (const SchedulerAction& action : aActions) {
    std::visit([this](const auto& aOne) { this->PerformOne(aOne); }, action);
  }
}

void CellModel::RecordEnds(const Commit& aCommit) {
  for (const Command& command : aCommit.commands) {
    const auto* const ends = std::get_if<EndTasks>(&command);
    if (!ends) {
      continue;
    }
    for (const EndedTask& end : ends->tasks) {
      const auto job = this->state.jobs.find(end.task.job);
      const TaskState* const task = FindTask(this->state, end.task);
      // Apply ignores the end of an attempt that has been ended before.
      const bool taken = task && task->phase == TaskPhase::Placed &&
                         task->attempt == end.attempt;
      if (taken && end.kind == EndKind::Done) {
        this->done.insert(TextOf(TaskName{job->second.id, end.task.occurrence,
                                          end.task.stage, end.task.index}));
      }
    }
  }
}

void CellModel::PerformOne(const Commit& aCommit) {
  const Epoch proposedBy = this->epoch;
  if (this->now < this->logStalledUntil) {
    constexpr Duration kProposeTimeout = Millis(300);
    this->Schedule(this->now + kProposeTimeout, [this, aCommit, proposedBy] {
      if (proposedBy == this->epoch) {
        this->Perform(OnCommitted(*this->scheduler, this->state, aCommit, false,
                                  this->now));
      }
    });
    this->Schedule(this->logStalledUntil, [this, aCommit, proposedBy] {
      if (proposedBy == this->epoch) {
        this->RecordEnds(aCommit);
        for (const Command& command : aCommit.commands) {
          this->ApplyCommand(command);
        }
      }
    });
    return;
  }
  const bool lost = NextUnit(this->random) < this->faults.commitLost;
  this->ScheduleOnLeader(
      this->now + this->commitDelay, [this, aCommit, proposedBy, lost] {
        const bool applied = !lost || NextBelow(this->random, 2) == 0;
        // A command is lost if a new leader takes over before it is committed.
        if (proposedBy != this->epoch) {
          return;
        }
        if (applied) {
          this->RecordEnds(aCommit);
          for (const Command& command : aCommit.commands) {
            this->ApplyCommand(command);
          }
        }
        if (lost) {
          // The leader can't know the outcome and steps down.
          this->ChangeLeader();
          return;
        }
        this->Perform(OnCommitted(*this->scheduler, this->state, aCommit, true,
                                  this->now));
      });
}

WorkerModel* CellModel::FindModel(WorkerNumber aWorker) {
  const auto known = this->state.workers.find(aWorker);
  if (known == this->state.workers.end()) {
    return nullptr;
  }
  return &this->workers.at(known->second.spec.id.value);
}

void CellModel::DeliverTooLate(
    const std::function<void(const RequestAnswer&)>& aOnAnswer) {
  const Epoch sentBy = this->epoch;
  this->ScheduleOnLeader(this->now + kConnectTimeout,
                         [this, sentBy, aOnAnswer] {
                           RequestAnswer notSent;
                           notSent.outcome = RequestOutcome::NotSent;
                           notSent.delayedByLeader = true;
                           if (sentBy == this->epoch) {
                             aOnAnswer(notSent);
                           }
                         });
}

std::optional<RequestAnswer> CellModel::AnswerOfSuccessor(
    const std::string& aId, bool aIsStart) const {
  const auto found = this->replacedWorkers.find(aId);
  if (found == this->replacedWorkers.end()) {
    return std::nullopt;
  }
  RequestAnswer answer;
  if (!aIsStart || found->second == StaleConnection::Closed) {
    answer.outcome = RequestOutcome::OtherIncarnation;
  }
  return answer;
}

void CellModel::Deliver(
    WorkerNumber aWorker,
    const std::function<RequestAnswer(WorkerModel&)>& aExecute,
    const std::function<void(const RequestAnswer&)>& aOnAnswer,
    Duration aExecutionDelay, Duration aAnswerDelay, bool aIsStart) {
  const Epoch sentBy = this->epoch;
  const auto answer = [this, sentBy, aOnAnswer](const RequestAnswer& aAnswer) {
    if (sentBy == this->epoch) {
      aOnAnswer(aAnswer);
    }
  };
  if (this->isLeaderLate ||
      (this->faults.sentTooLate > 0 &&
       NextUnit(this->random) < this->faults.sentTooLate)) {
    this->DeliverTooLate(aOnAnswer);
    return;
  }
  WorkerModel* const model = this->FindModel(aWorker);
  const std::string id = model ? model->spec.id.value : std::string();
  if (this->endedWorkers.count(id) > 0 && this->partitioned.count(id) == 0) {
    this->ScheduleOnLeader(this->now + kNetworkDelay * 2, [answer] {
      RequestAnswer refused;
      refused.outcome = RequestOutcome::NotSent;
      refused.isConnectionRefused = true;
      answer(refused);
    });
    return;
  }
  const auto successor = this->AnswerOfSuccessor(id, aIsStart);
  if (successor && this->partitioned.count(id) == 0) {
    this->misdirectedStarts += aIsStart ? 1 : 0;
    const bool isSilent =
        aIsStart && this->replacedWorkers.at(id) == StaleConnection::Silent;
    this->ScheduleOnLeader(
        this->now + (isSilent ? kRequestTimeout : kNetworkDelay * 2),
        [answer, given = *successor] { answer(given); });
    return;
  }
  const bool lost = !model || this->partitioned.count(id) > 0 || !model->up ||
                    NextUnit(this->random) < this->faults.requestLost;
  const bool late = !lost && NextUnit(this->random) < this->faults.executedLate;
  const bool unanswered =
      late || (!lost && NextUnit(this->random) < this->faults.answerLost);
  if (!lost) {
    constexpr std::int64_t kMinLateDelayMs = 2000;
    constexpr std::uint64_t kMaxExtraDelayMs = 10000;
    const Duration delay =
        late ? Millis(kMinLateDelayMs + static_cast<std::int64_t>(NextBelow(
                                            this->random, kMaxExtraDelayMs)))
             : kNetworkDelay + aExecutionDelay;
    const std::int64_t startedUnixMs = model->spec.startedUnixMs;
    this->Schedule(this->now + delay, [this, id, startedUnixMs, late, aExecute,
                                       answer, unanswered, aAnswerDelay] {
      WorkerModel& worker = this->workers.at(id);
      // A worker refuses a late request that names an earlier incarnation.
      // Requests without a delay reach the new incarnation, since the id
      // alone may not distinguish the two.
      if (!worker.up || (late && worker.spec.startedUnixMs != startedUnixMs)) {
        if (!unanswered) {
          this->ScheduleOnLeader(this->now + kRequestTimeout,
                                 [answer] { answer(RequestAnswer()); });
        }
        return;
      }
      const RequestAnswer given = aExecute(worker);
      const bool isSilent =
          this->crashesSilently && given.outcome == RequestOutcome::NoAnswer;
      if (!unanswered) {
        this->ScheduleOnLeader(
            this->now +
                (isSilent ? kRequestTimeout : kNetworkDelay + aAnswerDelay),
            [answer, given] { answer(given); });
      }
    });
  }
  if (lost || unanswered) {
    this->ScheduleOnLeader(this->now + kRequestTimeout,
                           [answer] { answer(RequestAnswer()); });
  }
}

void CellModel::CheckStart(const WorkerModel& aWorker,
                           const StartRequest& aRequest) {
  const std::string task = TextOf(aRequest.task);
  for (const auto& [id, other] : this->workers) {
    if (&other != &aWorker && other.up && other.running.count(task) > 0) {
      std::string text = task;
      text += " runs on ";
      text += id;
      text += " and on ";
      text += aWorker.spec.id.value;
      this->violations.push_back(std::move(text));
    }
  }
  if (this->done.count(task) > 0) {
    this->violations.push_back(task + " is started after it was done");
  }
  const bool needsTicket = this->state.layout.queues[0].needsTicket;
  if (needsTicket && aRequest.ticket != "ticket of " + aWorker.spec.id.value) {
    this->violations.push_back(task + " starts without its ticket");
  }
  const Job* const job = FindJob(this->state, aRequest.task.job.value);
  if (!job) {
    this->violations.push_back(task + " belongs to no known job");
  }
}

// A capacity that has shrunk counts for a contact window and an announcement
// interval. An order that is executed late counts as of its sending.
void CellModel::CheckCapacity(const WorkerModel& aWorker, TimePoint aSentAt) {
  constexpr Duration kContactWindow = Seconds(3);
  Resources used;
  for (const auto& [name, run] : aWorker.running) {
    // The replicated state forgets the stages of a job that has ended.
    const TaskName& task = aWorker.names.at(name);
    used = used + Reservation(this->stages.at(task.job.value)[task.stage]);
  }
  bool fits = Fits(used, aWorker.spec.capacity);
  for (const WorkerModel::PastCapacity& past : aWorker.pastCapacities) {
    const bool counts =
        aSentAt < past.until + kContactWindow + kAnnounceInterval;
    fits = fits || (counts && Fits(used, past.capacity));
  }
  if (!fits) {
    this->violations.push_back(aWorker.spec.id.value + " is over its capacity");
  }
}

RequestAnswer CellModel::StartOn(WorkerModel& aWorker,
                                 const StartRequest& aRequest,
                                 TimePoint aSentAt) {
  if (this->crashesBeforeStart &&
      this->crashesBeforeStart(aWorker.spec.id.value, aRequest)) {
    return RequestAnswer();
  }
  const std::string task = TextOf(aRequest.task);
  const bool ran = aWorker.running.count(task) > 0;
  const RequestAnswer answer =
      Handle(aWorker, aRequest, this->random, this->now);
  if (answer.outcome != RequestOutcome::Done || ran) {
    return answer;
  }
  ++this->starts;
  ++this->startsOf[task];
  this->CheckStart(aWorker, aRequest);
  this->CheckCapacity(aWorker, aSentAt);
  if (aWorker.crashesBeforeAnswer && RunsDeadlyTask(aWorker)) {
    this->CrashUnderTask(aWorker.spec.id.value);
    return RequestAnswer();
  }
  return answer;
}

void CellModel::PerformOne(const SendStart& aStart) {
  const auto onAnswer = [this, aStart](const RequestAnswer& aAnswer) {
    this->Perform(OnStartAnswer(*this->scheduler, this->state, aStart, aAnswer,
                                this->now));
  };
  if (this->faults.startTooLate > 0 &&
      NextUnit(this->random) < this->faults.startTooLate) {
    this->DeliverTooLate(onAnswer);
    return;
  }
  const bool isLost = this->faults.startLost > 0 &&
                      NextUnit(this->random) < this->faults.startLost;
  this->Deliver(
      isLost ? 0 : aStart.worker,
      [this, aStart, sentAt = this->now](WorkerModel& aWorker) {
        return this->StartOn(aWorker, aStart.request, sentAt);
      },
      onAnswer, this->startDelay, Duration(), true);
}

void CellModel::PerformOne(const SendStop& aStop) {
  this->Deliver(
      aStop.worker,
      [this, aStop](WorkerModel& aWorker) {
        return Handle(aWorker, aStop.request, this->random, this->now);
      },
      [this, aStop](const RequestAnswer& aAnswer) {
        this->Perform(OnStopAnswer(*this->scheduler, this->state, aStop,
                                   aAnswer, this->now));
      });
}

void CellModel::PerformOne(const SendPace& aPace) {
  if (NextUnit(this->random) < this->faults.paceLost) {
    RequestAnswer answer;
    answer.outcome = RequestOutcome::NoAnswer;
    OnPaceAnswer(*this->scheduler, this->state, aPace, answer);
    return;
  }
  this->Deliver(
      aPace.worker,
      [this, aPace](WorkerModel& aWorker) {
        return Handle(aWorker, aPace.request, this->now);
      },
      [this, aPace](const RequestAnswer& aAnswer) {
        OnPaceAnswer(*this->scheduler, this->state, aPace, aAnswer);
      });
}

void CellModel::CheckAcknowledgedEnds(const WorkerModel& aWorker,
                                      std::uint64_t aLastSeen) {
  for (const EndedAttempt& row : aWorker.ended) {
    const Job* const job = FindJob(this->state, row.task.job.value);
    if (row.number > aLastSeen || row.kind != EndKind::Done || !job ||
        job->phase != JobPhase::Active) {
      continue;
    }
    const TaskState* const task =
        FindTask(this->state, TaskKey{job->number, row.task.occurrence,
                                      row.task.stage, row.task.index});
    // An occurrence is removed once all of its tasks are done.
    if (task && task->phase != TaskPhase::Done && !task->doneByEarlierAttempt) {
      this->violations.push_back(TextOf(row.task) +
                                 " is acknowledged as done but not recorded");
    }
  }
}

void CellModel::PerformOne(const SendLeaseRenewal& aRenewal) {
  const TimePoint sentAt = this->now;
  auto lists = std::make_shared<RenewLeaseAnswer>();
  const Duration wait =
      this->renewalsWait ? Millis(aRenewal.request.waitMs) : Duration();
  this->Deliver(
      aRenewal.worker,
      [this, aRenewal, lists](WorkerModel& aWorker) {
        this->CheckAcknowledgedEnds(aWorker, aRenewal.request.lastSeen);
        *lists = Handle(aWorker, aRenewal.request, this->random, this->now);
        return lists->result;
      },
      [this, aRenewal, sentAt, lists, wait](const RequestAnswer& aAnswer) {
        WorkerModel* const model = this->FindModel(aRenewal.worker);
        if (Duration() < wait && model && model->up) {
          *lists = Handle(*model, aRenewal.request, this->random, this->now);
        }
        RenewLeaseAnswer answer;
        if (aAnswer.outcome == RequestOutcome::Done) {
          answer = *lists;
        }
        answer.result = aAnswer;
        this->Perform(OnLeaseRenewalAnswer(*this->scheduler, this->state,
                                           aRenewal, sentAt, answer,
                                           this->now));
      },
      Duration(), wait);
}

void CellModel::PerformOne(const RequestTickets& aRequest) {
  constexpr Duration kDecision = Millis(50);
  constexpr std::uint32_t kValidMs = 3000;
  ++this->ticketRequests;
  TicketAnswer answer;
  answer.answered = true;
  answer.validMs = kValidMs;
  for (const WorkerId& worker : aRequest.request.workers) {
    if (this->allowed.empty() || this->allowed.count(worker.value) > 0) {
      answer.tickets.push_back(Ticket{worker, "ticket of " + worker.value});
    }
  }
  this->ScheduleOnLeader(this->now + kDecision, [this, aRequest, answer] {
    this->Perform(OnTicketAnswer(*this->scheduler, this->state, aRequest,
                                 answer, this->now));
  });
}

void CellModel::PerformOne(const DecisionRecord& aDecision) {
  this->decisions.push_back(aDecision);
}

}  // namespace bramleypath::workflow
