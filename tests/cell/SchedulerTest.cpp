#include "bramleypath/cell/Scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace bramleypath::cell {

namespace {

constexpr TimePoint kStart{0};
const AttemptId kFirstAttempt{TaskId{JobId("j"), 0}, 1};

// A scheduler whose proposals commit at once while commitsAtOnce is set.
struct Fixture {
  Scheduler scheduler;
  CellState state;
  std::vector<CommandBatch> sent;
  std::deque<ProposeCommand> proposed;
  bool commitsAtOnce = true;

  void Handle(const EventBody& aBody, TimePoint aNow, bool aLease = true) {
    for (const Action& action :
         Step(this->scheduler, this->state, Event{aLease, aBody}, aNow)) {
      if (const auto* proposal = std::get_if<ProposeCommand>(&action)) {
        this->proposed.push_back(*proposal);
      } else if (const auto* send = std::get_if<SendCommands>(&action)) {
        this->sent.push_back(send->batch);
      }
    }
    while (this->commitsAtOnce && !this->proposed.empty()) {
      const ProposeCommand proposal = this->proposed.front();
      this->proposed.pop_front();
      this->Commit(proposal.command, proposal.token, aNow);
    }
  }

  Outcome Commit(const Command& aCommand, std::uint64_t aToken,
                 TimePoint aNow) {
    Outcome outcome = Apply(this->state, aCommand);
    this->Handle(CommandCommitted{aToken, aCommand, outcome}, aNow);
    return outcome;
  }

  void GainLeadership(TimePoint aNow) {
    this->Handle(LeadershipGained{++this->scheduler.epoch}, aNow);
    this->Handle(Tick{}, aNow);
  }

  WorkerMessage Message(const char* aWorker, TimePoint aNow) {
    WorkerMessage message;
    message.worker = WorkerId(aWorker);
    message.incarnation = 1;
    message.timestamp = aNow.micros;
    return message;
  }

  // Announces the worker twice, since the first announcement only registers it.
  void Announce(const char* aWorker, TimePoint aNow) {
    for (int repeat = 0; repeat < 2; ++repeat) {
      this->Handle(WorkerAnnounced{this->Message(aWorker, aNow),
                                   Resources{8000, 8000, 0}, RackId("r")},
                   aNow);
    }
  }

  // Reports the end of the worker's first attempt, if it has one.
  void EndFirstAttempt(const char* aWorker, EndEvent aEvent, TimePoint aNow) {
    WorkerMessage message = this->Message(aWorker, aNow);
    const auto& reservations =
        this->state.workers.at(message.worker).reservations;
    if (!reservations.empty()) {
      message.confirmations = {
          Confirmation{reservations.begin()->first, aEvent, ""}};
    }
    this->Handle(WorkerReported{message}, aNow);
    this->Handle(Tick{}, aNow);
  }

  Outcome Submit(const JobSpec& aSpec, TimePoint aNow) {
    return this->Commit(SubmitJob{RequestId(aSpec.id.value), aSpec}, 0, aNow);
  }

  std::size_t CountAcknowledged(const AttemptId& aAttempt) const {
    std::size_t count = 0;
    for (const CommandBatch& batch : this->sent) {
      count += static_cast<std::size_t>(std::count(
          batch.acknowledged.begin(), batch.acknowledged.end(), aAttempt));
    }
    return count;
  }

  std::size_t CountSent(CommandKind aKind) const {
    std::size_t count = 0;
    for (const CommandBatch& batch : this->sent) {
      for (const WorkerCommand& command : batch.commands) {
        count += command.kind == aKind ? 1 : 0;
      }
    }
    return count;
  }
};

JobSpec Spec(const char* aId, std::int64_t aProcessorsMilli) {
  JobSpec spec;
  spec.id = JobId(aId);
  spec.clientAccount = ClientAccountId("m");
  spec.classId = ClassId("c");
  spec.checkpointable = true;
  spec.evictionBudget = 1;
  spec.perTask = Resources{aProcessorsMilli, 1000, 0};
  return spec;
}

AttemptStatus Status(const AttemptId& aAttempt, RunningState aState) {
  return AttemptStatus{aAttempt, aState, "c1"};
}

}  // namespace

class SchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerTest);
  CPPUNIT_TEST(testStartFollowsCommit);
  CPPUNIT_TEST(testNothingWithoutLease);
  CPPUNIT_TEST(testLeaseArithmetic);
  CPPUNIT_TEST(testUrgentPreemption);
  CPPUNIT_TEST(testFreedResourcesAreForTheUrgentTask);
  CPPUNIT_TEST(testReasonsAreVisible);
  CPPUNIT_TEST(testLongWaitGetsAWorker);
  CPPUNIT_TEST(testBadWorkerDoesNotEndGoodJobs);
  CPPUNIT_TEST(testBadJobsEndWhenAllWorkersAreSuspect);
  CPPUNIT_TEST(testLeaderChangeKeepsBackOff);
  CPPUNIT_TEST(testFinishOfAnExpiredAttemptIsRecorded);
  CPPUNIT_TEST(testFinishIsNotAcknowledgedBesideALaterAttempt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start command before its commit, of which a new leader
  // would not know.
  void testStartFollowsCommit() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    fixture.commitsAtOnce = false;
    fixture.Submit(Spec("j", 1000), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.proposed.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountSent(CommandKind::Start));
    fixture.commitsAtOnce = true;
    fixture.Handle(Tick{}, kStart + Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountSent(CommandKind::Start));
  }

  // Guards against proposals and commands of a leader that may be deposed.
  void testNothingWithoutLease() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    fixture.Submit(Spec("running", 1000), kStart);
    fixture.sent.clear();
    const Command submit = SubmitJob{RequestId("r"), Spec("j", 1000)};
    const Outcome outcome = Apply(fixture.state, submit);
    fixture.Handle(CommandCommitted{0, submit, outcome}, kStart, false);
    // The running attempt's lease has expired by then, but its end must not be
    // proposed.
    const TimePoint late = kStart + Seconds(20);
    fixture.Handle(Tick{}, late, false);
    fixture.Handle(WorkerReported{fixture.Message("w", late)}, late, false);
    CPPUNIT_ASSERT(fixture.sent.empty());
    CPPUNIT_ASSERT(fixture.state.jobs.at(JobId("running")).tasks[0].live);
    CPPUNIT_ASSERT(fixture.state.jobs.at(JobId("j")).tasks[0].attempts == 0);
  }

  // Guards against a lease that is treated as expired too early, by the leader
  // that renewed it or by a new one.
  void testLeaseArithmetic() {
    for (const bool newLeader : {false, true}) {
      Fixture fixture;
      fixture.GainLeadership(kStart);
      fixture.Announce("w", kStart);
      fixture.Submit(Spec("j", 1000), kStart);
      const TimePoint from = newLeader ? kStart + Seconds(7) : kStart;
      if (newLeader) {
        fixture.GainLeadership(from);
      }
      const AttemptId id{TaskId{JobId("j"), 0}, 1};
      fixture.Handle(Tick{}, from + Millis(11100));
      CPPUNIT_ASSERT(FindLiveAttempt(fixture.state, id) != nullptr);
      fixture.Handle(Tick{}, from + Millis(11101));
      CPPUNIT_ASSERT(FindLiveAttempt(fixture.state, id) == nullptr);
    }
  }

  // Guards against batch work that takes resources freed for an urgent task
  // before enough of them are free, and so is evicted again and again.
  void testFreedResourcesAreForTheUrgentTask() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    JobSpec batch = Spec("batch", 4000);
    batch.taskCount = 3;
    batch.evictionBudget = 10;
    fixture.Submit(batch, kStart);
    const auto report = [&](const AttemptId& aAttempt, RunningState aState) {
      WorkerMessage message = fixture.Message("w", kStart);
      message.statuses = {Status(aAttempt, aState)};
      fixture.Handle(WorkerReported{message}, kStart);
    };
    std::vector<AttemptId> victims;
    for (const auto& [attempt, resources] :
         fixture.state.workers.at(WorkerId("w")).reservations) {
      victims.push_back(attempt);
      report(attempt, RunningState::Running);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, victims.size());
    JobSpec urgent = Spec("urgent", 8000);
    urgent.urgent = true;
    fixture.Submit(urgent, kStart);
    for (const AttemptId& victim : victims) {
      report(victim, RunningState::Throttled);
      report(victim, RunningState::Checkpointed);
    }
    for (const AttemptId& victim : victims) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                           fixture.CountSent(CommandKind::Start));
      WorkerMessage message = fixture.Message("w", kStart);
      message.confirmations = {Confirmation{victim, EndEvent::Stopped, "c1"}};
      fixture.Handle(WorkerReported{message}, kStart);
      fixture.Handle(Tick{}, kStart);
    }
    CPPUNIT_ASSERT(fixture.state.jobs.at(JobId("urgent")).tasks[0].live);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2},
                         fixture.state.jobs.at(JobId("batch")).evictionsUsed);
  }

  // Guards against urgent work waiting behind batch work, and against an
  // eviction that skips a step.
  void testUrgentPreemption() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    fixture.Submit(Spec("batch", 8000), kStart);
    const AttemptId victim{TaskId{JobId("batch"), 0}, 1};
    const auto report = [&](RunningState aState) {
      WorkerMessage message = fixture.Message("w", kStart);
      message.statuses = {Status(victim, aState)};
      fixture.Handle(WorkerReported{message}, kStart);
    };
    report(RunningState::Running);
    JobSpec urgent = Spec("urgent", 1000);
    urgent.urgent = true;
    fixture.Submit(urgent, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.CountSent(CommandKind::Throttle));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         fixture.CountSent(CommandKind::Checkpoint));
    CPPUNIT_ASSERT(
        Explain(fixture.state, fixture.scheduler, JobId("urgent"))->reason ==
        WaitReason::WaitsForEviction);
    report(RunningState::Throttled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         fixture.CountSent(CommandKind::Checkpoint));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountSent(CommandKind::Stop));
    report(RunningState::Checkpointed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountSent(CommandKind::Stop));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountSent(CommandKind::Start));
    WorkerMessage message = fixture.Message("w", kStart);
    message.confirmations = {Confirmation{victim, EndEvent::Stopped, "c1"}};
    fixture.Handle(WorkerReported{message}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.CountSent(CommandKind::Start));
    CPPUNIT_ASSERT(fixture.state.jobs.at(JobId("urgent")).tasks[0].live);
    CPPUNIT_ASSERT_EQUAL(
        std::string("c1"),
        fixture.state.jobs.at(JobId("batch")).tasks[0].checkpoint);
  }

  // Guards against work that waits without a stated reason.
  void testReasonsAreVisible() {
    Fixture fixture;
    fixture.Submit(Spec("a", 8000), kStart);
    const auto reason = [&](const char* aJob) {
      return Explain(fixture.state, fixture.scheduler, JobId(aJob))->reason;
    };
    CPPUNIT_ASSERT(reason("a") == WaitReason::NoLeader);
    fixture.GainLeadership(kStart);
    CPPUNIT_ASSERT(reason("a") == WaitReason::NoWorkers);
    fixture.Announce("w", kStart);
    CPPUNIT_ASSERT(reason("a") == WaitReason::None);
    fixture.Submit(Spec("b", 8000), kStart);
    CPPUNIT_ASSERT(reason("b") == WaitReason::InsufficientResources);
    fixture.Handle(QuotasChanged{{ClientAccountQuota{
                       ClientAccountId("m"), Resources{8000, 8000, 0}}}},
                   kStart);
    fixture.Handle(Tick{}, kStart);
    CPPUNIT_ASSERT(reason("b") == WaitReason::QuotaExceeded);
    CPPUNIT_ASSERT(fixture.Submit(Spec("c", 9000), kStart).code ==
                   RefusalCode::NoWorkerLargeEnough);
    CPPUNIT_ASSERT(!Explain(fixture.state, fixture.scheduler, JobId("c")));
  }

  // Guards against a large task that is starved by small ones.
  void testLongWaitGetsAWorker() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    JobSpec small = Spec("small", 4000);
    small.taskCount = 100;
    fixture.Submit(small, kStart);
    fixture.Submit(Spec("large", 8000), kStart);
    TimePoint now = kStart;
    for (int second = 0; second < 100; ++second) {
      now = now + Seconds(1);
      // One of the running tasks ends each second.
      fixture.EndFirstAttempt("w", EndEvent::Finished, now);
      if (fixture.state.jobs.at(JobId("large")).endedTasks == 1) {
        return;
      }
    }
    CPPUNIT_FAIL("the large task never ran");
  }

  // Guards against a worker that fails everything, and so is always free, using
  // up the failures of a task that waits for another worker.
  void testBadWorkerDoesNotEndGoodJobs() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("good", kStart);
    fixture.Submit(Spec("first", 8000), kStart);
    fixture.Announce("bad", kStart);
    fixture.Submit(Spec("second", 8000), kStart);
    TimePoint now = kStart;
    for (int second = 0; second < 100; ++second) {
      now = now + Seconds(1);
      fixture.Handle(WorkerReported{fixture.Message("good", now)}, now);
      fixture.EndFirstAttempt("bad", EndEvent::Failed, now);
    }
    const Task& task = fixture.state.jobs.at(JobId("second")).tasks[0];
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{1}, task.attempts);
    fixture.EndFirstAttempt("good", EndEvent::Finished, now);
    CPPUNIT_ASSERT(task.live && task.live->worker == WorkerId("good"));
  }

  // Guards against failing jobs that are retried for hours because each of
  // their workers fails other jobs too.
  void testBadJobsEndWhenAllWorkersAreSuspect() {
    const char* workers[] = {"a", "b", "c"};
    Fixture fixture;
    fixture.GainLeadership(kStart);
    for (const char* worker : workers) {
      fixture.Announce(worker, kStart);
    }
    for (const char* job : {"j1", "j2", "j3", "j4"}) {
      fixture.Submit(Spec(job, 8000), kStart);
    }
    TimePoint now = kStart;
    for (int second = 0; second < 1200; ++second) {
      now = now + Seconds(1);
      for (const char* worker : workers) {
        fixture.EndFirstAttempt(worker, EndEvent::Failed, now);
      }
    }
    for (const auto& [id, job] : fixture.state.jobs) {
      CPPUNIT_ASSERT(job.tasks[0].state == TaskState::Failed);
      CPPUNIT_ASSERT(job.tasks[0].failures < kMaxFailures);
    }
  }

  // Guards against a finished task that starts again because its worker could
  // report the end only after the leader had counted the lease as expired.
  void testFinishOfAnExpiredAttemptIsRecorded() {
    struct Row {
      const char* label;
      bool expiryCommitted;
    };
    const Row rows[] = {
        {"after the expiry was committed", true},
        {"while the expiry is being committed", false},
    };
    for (const Row& row : rows) {
      Fixture fixture;
      fixture.GainLeadership(kStart);
      fixture.Announce("w", kStart);
      fixture.Submit(Spec("j", 1000), kStart);
      const TimePoint late = kStart + Seconds(12);
      fixture.commitsAtOnce = row.expiryCommitted;
      fixture.Handle(Tick{}, late);
      fixture.sent.clear();
      WorkerMessage message = fixture.Message("w", late);
      message.confirmations = {
          Confirmation{kFirstAttempt, EndEvent::Finished, ""}};
      fixture.Handle(WorkerReported{message}, late);
      CPPUNIT_ASSERT_MESSAGE(row.label,
                             fixture.CountAcknowledged(kFirstAttempt) == 0);
      fixture.commitsAtOnce = true;
      fixture.Handle(Tick{}, late);
      const Task& task = fixture.state.jobs.at(JobId("j")).tasks[0];
      CPPUNIT_ASSERT_MESSAGE(row.label, task.state == TaskState::Finished);
      CPPUNIT_ASSERT_MESSAGE(row.label, task.attempts == 1);
      fixture.Handle(WorkerReported{message}, late);
      CPPUNIT_ASSERT_MESSAGE(row.label,
                             fixture.CountAcknowledged(kFirstAttempt) > 0);
    }
  }

  // Guards against a finish that is forgotten while a later attempt runs, so
  // that the task starts a third time when that attempt is lost.
  void testFinishIsNotAcknowledgedBesideALaterAttempt() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("first", kStart);
    fixture.Submit(Spec("j", 1000), kStart);
    TimePoint now = kStart + Seconds(12);
    fixture.Announce("second", now);
    const Task& task = fixture.state.jobs.at(JobId("j")).tasks[0];
    fixture.Handle(Tick{}, now);
    CPPUNIT_ASSERT(task.live && task.live->worker == WorkerId("second"));
    WorkerMessage message = fixture.Message("first", now);
    message.confirmations = {
        Confirmation{kFirstAttempt, EndEvent::Finished, ""}};
    fixture.Handle(WorkerReported{message}, now);
    CPPUNIT_ASSERT(fixture.CountAcknowledged(kFirstAttempt) == 0);
    CPPUNIT_ASSERT(task.state == TaskState::Running);
    // The second worker falls silent until its lease has expired.
    now = now + Seconds(12);
    message.timestamp = now.micros;
    fixture.Handle(WorkerReported{message}, now);
    fixture.Handle(Tick{}, now);
    fixture.Handle(WorkerReported{message}, now);
    CPPUNIT_ASSERT(task.state == TaskState::Finished);
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{2}, task.attempts);
  }

  // Guards against a leader change that ends a back-off, so that a task uses up
  // its failures at once on the only live worker.
  void testLeaderChangeKeepsBackOff() {
    Fixture fixture;
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    fixture.Submit(Spec("j", 1000), kStart);
    for (int failure = 0; failure < 3; ++failure) {
      fixture.EndFirstAttempt("w", EndEvent::Failed, kStart);
    }
    fixture.GainLeadership(kStart);
    fixture.Announce("w", kStart);
    CPPUNIT_ASSERT(
        Explain(fixture.state, fixture.scheduler, JobId("j"))->reason ==
        WaitReason::JobBackOff);
    CPPUNIT_ASSERT_EQUAL(AttemptNumber{3},
                         fixture.state.jobs.at(JobId("j")).tasks[0].attempts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

}  // namespace bramleypath::cell
