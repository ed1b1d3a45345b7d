#include "bramleypath/cell/CellState.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "bramleypath/base/StateChart.h"

namespace bramleypath::cell {

namespace {

const TaskId kTask{JobId("j"), 0};

JobSpec Spec(const char* aId) {
  JobSpec spec;
  spec.id = JobId(aId);
  spec.clientAccount = ClientAccountId("m");
  spec.classId = ClassId("c");
  spec.taskCount = 2;
  spec.checkpointable = true;
  spec.evictionBudget = 1;
  spec.perTask = Resources{1000, 1000, 0};
  return spec;
}

StartAttempt Start(std::uint32_t aIndex, AttemptNumber aNumber) {
  StartAttempt start;
  start.attempt = AttemptId{TaskId{JobId("j"), aIndex}, aNumber};
  start.worker = WorkerId("w");
  start.incarnation = 1;
  start.resources = Resources{1000, 1000, 0};
  return start;
}

EndAttempt End(EndKind aKind, AttemptNumber aNumber = 1) {
  return EndAttempt{AttemptId{kTask, aNumber}, aKind, "", true};
}

MarkAttempt Mark(AttemptMark aMark) {
  return MarkAttempt{AttemptId{kTask, 1}, aMark};
}

// Returns a state with worker w (8 processors), job j of two tasks, and a quota
// of 2.5 processors for client account m.
CellState PreparedState() {
  CellState state;
  Apply(state, RegisterWorker{WorkerId("w"), 1, Resources{8000, 8000, 0},
                              RackId("r")});
  Apply(state, SetQuotas{{ClientAccountQuota{ClientAccountId("m"),
                                             Resources{2500, 9000, 0}}}});
  Apply(state, SubmitJob{RequestId("r1"), Spec("j")});
  return state;
}

}  // namespace

class ApplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApplyTest);
  CPPUNIT_TEST(testChartMatchesEnumeration);
  CPPUNIT_TEST(testRefusals);
  CPPUNIT_TEST(testEachStartGuard);
  CPPUNIT_TEST(testEvictionResumesOnce);
  CPPUNIT_TEST(testRequestsAreAnsweredOnce);
  CPPUNIT_TEST(testFailuresEndABatchTaskOnly);
  CPPUNIT_TEST(testEndedJobsAreSummarised);
  CPPUNIT_TEST(testCodecsRefuseDamagedBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an enumeration that differs from the state chart.
  void testChartMatchesEnumeration() {
    const Chart chart = LoadBuiltInChart("task_attempt");
    const std::vector<std::string> expected = {
        "Active",  "Cancelled", "Cancelling", "Evicted",  "Evicting",
        "Expired", "Failed",    "Finished",   "Proposed", "Throttled"};
    CPPUNIT_ASSERT(chart.states == expected);
    CPPUNIT_ASSERT_EQUAL(static_cast<StateIndex>(AttemptState::Proposed),
                         chart.initial);
  }

  // Guards against commands of a faulty leader or operator being accepted.
  void testRefusals() {
    JobSpec large = Spec("large");
    large.perTask.processorsMilli = 9000;
    large.clientAccount = ClientAccountId("other");
    JobSpec aboveQuota = Spec("quota");
    aboveQuota.perTask.processorsMilli = 3000;
    JobSpec noTasks = Spec("none");
    noTasks.taskCount = 0;
    struct Row {
      const char* label;
      std::vector<Command> before;
      Command command;
      RefusalCode expected;
    };
    const std::vector<Row> rows = {
        {"task count",
         {},
         SubmitJob{RequestId("x"), noTasks},
         RefusalCode::InvalidField},
        {"no request id",
         {},
         SubmitJob{RequestId(""), Spec("n")},
         RefusalCode::InvalidField},
        {"too large",
         {},
         SubmitJob{RequestId("x"), large},
         RefusalCode::NoWorkerLargeEnough},
        {"above quota",
         {},
         SubmitJob{RequestId("x"), aboveQuota},
         RefusalCode::TaskExceedsQuota},
        {"job exists",
         {},
         SubmitJob{RequestId("x"), Spec("j")},
         RefusalCode::JobExists},
        {"unknown job",
         {},
         CancelJobs{RequestId("x"), {JobId("n")}},
         RefusalCode::UnknownJob},
        {"end of no attempt",
         {},
         End(EndKind::Finished),
         RefusalCode::WrongAttempt},
        {"ends twice",
         {Start(0, 1), End(EndKind::Finished)},
         End(EndKind::Finished),
         RefusalCode::WrongAttempt},
        {"stale end",
         {Start(0, 1), End(EndKind::Lost), Start(0, 2)},
         End(EndKind::Finished, 1),
         RefusalCode::WrongAttempt},
        {"evicted without request",
         {Start(0, 1)},
         End(EndKind::Evicted),
         RefusalCode::NotAllowedInState},
        {"stopped without request",
         {Start(0, 1)},
         End(EndKind::Stopped),
         RefusalCode::NotAllowedInState},
        {"budget spent",
         {Start(0, 1), Mark(AttemptMark::Evict), End(EndKind::Evicted),
          Start(0, 2)},
         MarkAttempt{AttemptId{kTask, 2}, AttemptMark::Evict},
         RefusalCode::EvictionBudgetSpent},
        {"unthrottle unthrottled",
         {Start(0, 1)},
         Mark(AttemptMark::Unthrottle),
         RefusalCode::NotAllowedInState},
        {"old incarnation",
         {},
         RegisterWorker{WorkerId("w"), 0, Resources{8000, 8000, 0}, RackId("")},
         RefusalCode::OldIncarnation},
        {"capacity below reservations",
         {Start(0, 1)},
         RegisterWorker{WorkerId("w"), 2, Resources{500, 8000, 0}, RackId("")},
         RefusalCode::CapacityBelowReservations},
        {"worker in use",
         {Start(0, 1)},
         RemoveWorker{WorkerId("w"), 1},
         RefusalCode::WorkerHoldsReservations},
    };
    for (const Row& row : rows) {
      CellState state = PreparedState();
      for (const Command& command : row.before) {
        CPPUNIT_ASSERT_MESSAGE(row.label, Apply(state, command).accepted);
      }
      const auto jobs = state.jobs.size();
      const Outcome outcome = Apply(state, row.command);
      CPPUNIT_ASSERT_MESSAGE(row.label, !outcome.accepted);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          std::string(row.label) + ": " + Describe(outcome.code),
          static_cast<int>(row.expected), static_cast<int>(outcome.code));
      CPPUNIT_ASSERT_EQUAL(jobs, state.jobs.size());
    }
  }

  // Checks each condition of a start separately.
  void testEachStartGuard() {
    struct Row {
      const char* label;
      std::vector<Command> before;
      std::function<void(StartAttempt&)> change;
      RefusalCode expected;
    };
    const std::vector<Row> rows = {
        {"valid", {}, [](StartAttempt&) {}, RefusalCode::None},
        {"live attempt",
         {Start(0, 1)},
         [](StartAttempt& aStart) { aStart.attempt.number = 2; },
         RefusalCode::TaskHasLiveAttempt},
        {"repeated number",
         {Start(0, 1), End(EndKind::Lost)},
         [](StartAttempt&) {},
         RefusalCode::WrongAttempt},
        {"skipped number",
         {},
         [](StartAttempt& aStart) { aStart.attempt.number = 2; },
         RefusalCode::WrongAttempt},
        {"ended task",
         {Start(0, 1), End(EndKind::Finished)},
         [](StartAttempt& aStart) { aStart.attempt.number = 2; },
         RefusalCode::TaskEnded},
        {"cancelled",
         {CancelJobs{RequestId("c"), {JobId("j")}}},
         [](StartAttempt&) {},
         RefusalCode::TaskEnded},
        {"unknown checkpoint",
         {},
         [](StartAttempt& aStart) { aStart.checkpoint = "c"; },
         RefusalCode::WrongCheckpoint},
        {"unknown worker",
         {},
         [](StartAttempt& aStart) { aStart.worker = WorkerId("v"); },
         RefusalCode::UnknownWorker},
        {"old incarnation",
         {},
         [](StartAttempt& aStart) { aStart.incarnation = 0; },
         RefusalCode::OldIncarnation},
        {"no memory left",
         {},
         [](StartAttempt& aStart) { aStart.resources.memoryMb = 8001; },
         RefusalCode::InsufficientResources},
        {"no accelerator",
         {},
         [](StartAttempt& aStart) { aStart.resources.accelerators = 1; },
         RefusalCode::InsufficientResources},
        {"resources reserved",
         {SetQuotas{}, Start(1, 1)},
         [](StartAttempt& aStart) { aStart.resources.processorsMilli = 7001; },
         RefusalCode::InsufficientResources},
        {"quota",
         {Start(1, 1)},
         [](StartAttempt& aStart) { aStart.resources.processorsMilli = 1501; },
         RefusalCode::QuotaExceeded},
    };
    for (const Row& row : rows) {
      CellState state = PreparedState();
      for (const Command& command : row.before) {
        CPPUNIT_ASSERT_MESSAGE(row.label, Apply(state, command).accepted);
      }
      StartAttempt start = Start(0, 1);
      row.change(start);
      const Outcome outcome = Apply(state, start);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, static_cast<int>(row.expected),
                                   static_cast<int>(outcome.code));
    }
  }

  // Guards against a task that is resumed twice after one eviction, or not from
  // its checkpoint.
  void testEvictionResumesOnce() {
    CellState state = PreparedState();
    EndAttempt evicted = End(EndKind::Evicted);
    evicted.checkpoint = "c1";
    CPPUNIT_ASSERT(Apply(state, Start(0, 1)).accepted);
    CPPUNIT_ASSERT(Apply(state, Mark(AttemptMark::Evict)).accepted);
    CPPUNIT_ASSERT(Apply(state, evicted).accepted);
    CPPUNIT_ASSERT(!Apply(state, evicted).accepted);
    CPPUNIT_ASSERT(!Apply(state, Start(0, 2)).accepted);
    StartAttempt resumed = Start(0, 2);
    resumed.checkpoint = "c1";
    CPPUNIT_ASSERT(Apply(state, resumed).accepted);
    CPPUNIT_ASSERT(!Apply(state, resumed).accepted);
    CPPUNIT_ASSERT(!Apply(state, evicted).accepted);
    const Task& task = *FindTask(state, kTask);
    CPPUNIT_ASSERT_EQUAL(1U, task.evictions);
    CPPUNIT_ASSERT_EQUAL(1U, task.resumptions);
  }

  // Guards against a resent request that is executed again.
  void testRequestsAreAnsweredOnce() {
    CellState state = PreparedState();
    const Outcome again = Apply(state, SubmitJob{RequestId("r1"), Spec("j")});
    CPPUNIT_ASSERT(again.accepted && again.repeated);
    const Outcome other = Apply(state, SubmitJob{RequestId("r1"), Spec("k")});
    CPPUNIT_ASSERT(other.code == RefusalCode::RequestIdReused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.jobs.size());
    for (std::size_t count = 0; count < kMaxRequests + 5; ++count) {
      Apply(state, CancelJobs{RequestId("c" + std::to_string(count)),
                              {JobId("unknown")}});
    }
    CPPUNIT_ASSERT_EQUAL(kMaxRequests, state.requests.size());
    CPPUNIT_ASSERT_EQUAL(kMaxRequests, state.requestOrder.size());
  }

  // Guards against a failing batch task that is retried for ever, and against a
  // failing service that is no longer restarted.
  void testFailuresEndABatchTaskOnly() {
    for (const bool service : {false, true}) {
      CellState state = PreparedState();
      state.jobs.at(JobId("j")).spec.kind =
          service ? JobKind::Service : JobKind::Batch;
      for (AttemptNumber number = 1; number <= kMaxFailures; ++number) {
        CPPUNIT_ASSERT(Apply(state, Start(0, number)).accepted);
        CPPUNIT_ASSERT(Apply(state, End(EndKind::Failed, number)).accepted);
      }
      CPPUNIT_ASSERT(FindTask(state, kTask)->state ==
                     (service ? TaskState::Pending : TaskState::Failed));
    }
  }

  // Guards against unbounded memory use by ended jobs.
  void testEndedJobsAreSummarised() {
    CellState state = PreparedState();
    for (std::size_t count = 0; count < kMaxEndedJobs + 3; ++count) {
      const std::string id = "e" + std::to_string(count);
      Apply(state, SubmitJob{RequestId("s" + id), Spec(id.c_str())});
      Apply(state, CancelJobs{RequestId("c" + id), {JobId(id)}});
    }
    CPPUNIT_ASSERT_EQUAL(kMaxEndedJobs + 1, state.jobs.size());
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{6},
        state.clientAccounts.at(ClientAccountId("m")).cancelledTasks);
  }

  // Guards against a crash or a partly read state when the bytes are damaged.
  void testCodecsRefuseDamagedBytes() {
    CellState state = PreparedState();
    Apply(state, Start(0, 1));
    const auto snapshot = TakeSnapshot(state);
    const auto command = EncodeCommand(Start(0, 1));
    CPPUNIT_ASSERT(TakeSnapshot(*RestoreSnapshot(snapshot)) == snapshot);
    CPPUNIT_ASSERT(EncodeCommand(*DecodeCommand(command)) == command);
    for (std::size_t length = 0; length < snapshot.size(); ++length) {
      CPPUNIT_ASSERT(!RestoreSnapshot({snapshot.data(), length}));
    }
    for (std::size_t length = 0; length < command.size(); ++length) {
      CPPUNIT_ASSERT(!DecodeCommand({command.data(), length}));
    }
    // Decoding bytes with flipped bits may succeed or fail, but must not crash.
    for (std::size_t index = 0; index < snapshot.size(); ++index) {
      auto damaged = snapshot;
      damaged[index] ^= 0x41;
      RestoreSnapshot(damaged);
    }
    for (std::size_t index = 0; index < command.size(); ++index) {
      auto damaged = command;
      damaged[index] ^= 0x41;
      DecodeCommand(damaged);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyTest);

}  // namespace bramleypath::cell
