#include "bramleypath/workflow/State.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr TaskKey kFirst{1, 0, 0, 0};
constexpr TaskKey kSecond{1, 0, 0, 1};

State MakeState() {
  State state;
  Apply(state, SetLayout{MakeLayout(1)});
  Apply(state, RegisterWorker{MakeWorker("w")});
  Apply(state, AcceptJob{MakeJob("job"), 0});
  return state;
}

void Place(State& aState, const TaskKey& aKey, AttemptNumber aAttempt = 1,
           WorkerNumber aWorker = 1) {
  Apply(aState, PlaceTasks{{PlacedTask{aKey, aAttempt, aWorker}}});
}

void End(State& aState, const TaskKey& aKey, EndKind aKind,
         AttemptNumber aAttempt = 1, const std::string& aCheckpoint = "") {
  Apply(aState, EndTasks{{EndedTask{aKey, aAttempt, aKind, aCheckpoint}}});
}

JobPhase PhaseOf(const State& aState) { return aState.jobs.at(1).phase; }

struct EndCase {
  EndKind kind;
  bool longRunning;
  TaskPhase expected;
  std::uint16_t failures;
};

// Which kinds of end finish a task, and which count as a failed attempt.
constexpr EndCase kEnds[] = {
    {EndKind::Done, false, TaskPhase::Done, 0},
    {EndKind::Failed, false, TaskPhase::Waiting, 1},
    {EndKind::Stopped, false, TaskPhase::Waiting, 0},
    {EndKind::LeaseExpired, false, TaskPhase::Waiting, 0},
    {EndKind::Broken, false, TaskPhase::Waiting, 0},
    {EndKind::GangIncomplete, false, TaskPhase::Waiting, 0},
    {EndKind::NeverRan, false, TaskPhase::Waiting, 0},
    {EndKind::Done, true, TaskPhase::Waiting, 0},
    {EndKind::Failed, true, TaskPhase::Waiting, 1},
};

struct LateEndCase {
  const char* name;
  EndKind kind;
  bool longRunning;
  // The next attempt has been placed before the end becomes known.
  bool placedAgain;
  TaskPhase expected;
  bool doneByEarlierAttempt;
  std::uint16_t failures;
};

// An attempt was given up as expired, and its worker reports its end later.
constexpr LateEndCase kLateEnds[] = {
    {"done", EndKind::Done, false, false, TaskPhase::Done, false, 0},
    {"done, placed again", EndKind::Done, false, true, TaskPhase::Placed, true,
     0},
    {"failed", EndKind::Failed, false, false, TaskPhase::Waiting, false, 1},
    {"failed, placed again", EndKind::Failed, false, true, TaskPhase::Placed,
     false, 1},
    {"stopped", EndKind::Stopped, false, false, TaskPhase::Waiting, false, 0},
    {"service done", EndKind::Done, true, false, TaskPhase::Waiting, false, 0},
};

struct QueueCase {
  const char* host;
  const char* path;
  const char* expected;  // empty: none
};

constexpr QueueCase kQueues[] = {
    {"a.example", "/checks/1", "checks"},
    {"a.example", "/checks/deep/1", "deep"},
    {"a.example", "/other/1", ""},
    {"b.example", "/checks/1", ""},
};

}  // namespace

class StateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateTest);
  CPPUNIT_TEST(testResentJobIsTheSameJob);
  CPPUNIT_TEST(testEnds);
  CPPUNIT_TEST(testEndOfAnEarlierAttemptKeepsThePlacedOne);
  CPPUNIT_TEST(testLateEnds);
  CPPUNIT_TEST(testTaskIsDoneOnceItsSupersededAttemptEnds);
  CPPUNIT_TEST(testLateDoneEndOfAGangStandsForAllItsTasks);
  CPPUNIT_TEST(testAttemptNumbersRise);
  CPPUNIT_TEST(testJobFailsAfterItsAttempts);
  CPPUNIT_TEST(testCancelledJobIsNotPlaced);
  CPPUNIT_TEST(testDrainingWorkerIsNotGivenTasks);
  CPPUNIT_TEST(testReservationLastsUntilTheEnd);
  CPPUNIT_TEST(testFillerReservesMemoryOnly);
  CPPUNIT_TEST(testGangEndsTogether);
  CPPUNIT_TEST(testStagesWaitForEarlierOnes);
  CPPUNIT_TEST(testOccurrencesRunSeparately);
  CPPUNIT_TEST(testAttemptsFollowARestartedWorker);
  CPPUNIT_TEST(testDelayedAnnouncementOfAnEarlierIncarnation);
  CPPUNIT_TEST(testLowerLayoutChangesNothing);
  CPPUNIT_TEST(testQueueSelection);
  CPPUNIT_TEST(testSnapshotRestoresEverything);
  CPPUNIT_TEST(testMalformedCommandIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testResentJobIsTheSameJob() {
    State state = MakeState();
    CPPUNIT_ASSERT(Apply(state, AcceptJob{MakeJob("job"), 5}) ==
                   ApplyResult::Repeated);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.jobs.size());
  }

  void testEnds() {
    for (const EndCase& one : kEnds) {
      State state = MakeState();
      state.jobs.at(1).spec.stages[0].longRunning = one.longRunning;
      Place(state, kFirst);
      End(state, kFirst, one.kind, 1, "saved");
      const TaskState& task = *FindTask(state, kFirst);
      const std::string name(ToText(one.kind));
      CPPUNIT_ASSERT_MESSAGE(name, task.phase == one.expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, one.failures, task.failures);
      if (task.phase == TaskPhase::Waiting) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("saved"),
                                     task.checkpoint);
      }
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                           state.workers.at(1).reserved.processorsMilli);
    }
  }

  // The end is applied twice, since a worker lists it until it is acknowledged.
  void testLateEnds() {
    for (const LateEndCase& one : kLateEnds) {
      State state = MakeState();
      state.jobs.at(1).spec.stages[0].longRunning = one.longRunning;
      Place(state, kFirst);
      End(state, kFirst, EndKind::LeaseExpired);
      if (one.placedAgain) {
        Place(state, kFirst, 2);
      }
      End(state, kFirst, one.kind);
      End(state, kFirst, one.kind);
      const TaskState& task = *FindTask(state, kFirst);
      CPPUNIT_ASSERT_MESSAGE(one.name, task.phase == one.expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.doneByEarlierAttempt,
                                   task.doneByEarlierAttempt);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.failures, task.failures);
    }
  }

  // The superseded attempt keeps its reservation until it has ended, and how it
  // ends does not matter. The record survives a snapshot.
  void testTaskIsDoneOnceItsSupersededAttemptEnds() {
    State state = MakeState();
    Place(state, kFirst);
    End(state, kFirst, EndKind::LeaseExpired);
    Place(state, kFirst, 2);
    End(state, kFirst, EndKind::Done);
    State restored;
    std::string reason;
    CPPUNIT_ASSERT(DecodeState(EncodeState(state), restored, reason));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                         restored.workers.at(1).reserved.processorsMilli);
    End(restored, kFirst, EndKind::Failed, 2);
    const TaskState& task = *FindTask(restored, kFirst);
    CPPUNIT_ASSERT(task.phase == TaskPhase::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, task.failures);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         restored.workers.at(1).reserved.processorsMilli);
  }

  void testLateDoneEndOfAGangStandsForAllItsTasks() {
    State state = MakeState();
    state.jobs.at(1).spec.stages[0].gang = true;
    for (const TaskKey& key : {kFirst, kSecond}) {
      Place(state, key);
      End(state, key, EndKind::LeaseExpired);
    }
    End(state, kSecond, EndKind::Done);
    CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Completed);
  }

  void testEndOfAnEarlierAttemptKeepsThePlacedOne() {
    State state = MakeState();
    Place(state, kFirst);
    End(state, kFirst, EndKind::Stopped);
    Place(state, kFirst, 2);
    End(state, kFirst, EndKind::Done, 1);
    CPPUNIT_ASSERT(FindTask(state, kFirst)->phase == TaskPhase::Placed);
  }

  void testAttemptNumbersRise() {
    State state = MakeState();
    Place(state, kFirst, 3);
    End(state, kFirst, EndKind::Stopped, 3);
    Place(state, kFirst, 3);
    CPPUNIT_ASSERT(FindTask(state, kFirst)->phase == TaskPhase::Waiting);
  }

  void testJobFailsAfterItsAttempts() {
    State state = MakeState();
    for (AttemptNumber attempt = 1; attempt <= 3; ++attempt) {
      CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Active);
      Place(state, kFirst, attempt);
      End(state, kFirst, EndKind::Failed, attempt);
    }
    CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Failed);
  }

  void testCancelledJobIsNotPlaced() {
    State state = MakeState();
    Place(state, kFirst);
    Apply(state, CancelJob{JobId("job")});
    Place(state, kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, state.jobs.at(1).placed);
    End(state, kFirst, EndKind::Stopped);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, state.jobs.at(1).placed);
    CPPUNIT_ASSERT(state.jobs.at(1).spec.stages.empty());
    CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Cancelled);
  }

  void testDrainingWorkerIsNotGivenTasks() {
    State state = MakeState();
    WorkerSpec worker = MakeWorker("w");
    worker.draining = true;
    Apply(state, RegisterWorker{worker});
    Place(state, kFirst);
    CPPUNIT_ASSERT(FindTask(state, kFirst)->phase == TaskPhase::Waiting);
  }

  void testReservationLastsUntilTheEnd() {
    State state = MakeState();
    Place(state, kFirst);
    Place(state, kSecond);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000},
                         state.workers.at(1).reserved.processorsMilli);
    End(state, kFirst, EndKind::Done);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                         state.workers.at(1).reserved.processorsMilli);
    End(state, kSecond, EndKind::Done);
    CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Completed);
  }

  void testFillerReservesMemoryOnly() {
    State state = MakeState();
    state.jobs.at(1).spec.stages[0].filler = true;
    Place(state, kFirst);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         state.workers.at(1).reserved.processorsMilli);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{100},
                         state.workers.at(1).reserved.memoryMb);
  }

  // The first done end stands for all members; how the others end does not
  // matter. They count on their workers until then, also after a snapshot.
  void testGangEndsTogether() {
    State placed = MakeState();
    placed.jobs.at(1).spec.stages[0].gang = true;
    Place(placed, kFirst);
    Place(placed, kSecond);
    End(placed, kSecond, EndKind::Done);
    for (const EndKind kind : {EndKind::Done, EndKind::Failed, EndKind::Stopped,
                               EndKind::LeaseExpired, EndKind::Broken}) {
      State state;
      std::string reason;
      CPPUNIT_ASSERT(DecodeState(EncodeState(placed), state, reason));
      const Worker& worker = state.workers.at(1);
      CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Active);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, worker.reserved.processorsMilli);
      CPPUNIT_ASSERT_EQUAL(
          std::uint32_t{0},
          state.jobs.at(1).occurrences.at(0).stages[0].waiting);
      End(state, kFirst, kind);
      CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Completed);
      CPPUNIT_ASSERT(worker.attempts.empty());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, worker.reserved.processorsMilli);
    }
  }

  void testStagesWaitForEarlierOnes() {
    State state;
    Apply(state, SetLayout{MakeLayout(1)});
    Apply(state, RegisterWorker{MakeWorker("w")});
    JobSpec spec = MakeJob("job");
    spec.stages.push_back(MakeStage(1, 1000, 500));
    spec.stages[1].after = {0};
    Apply(state, AcceptJob{spec, 0});
    const Job& job = state.jobs.at(1);
    CPPUNIT_ASSERT(!IsStageOpen(job, job.occurrences.at(0), 1));
    for (const TaskKey& key : {kFirst, kSecond}) {
      Place(state, key);
      End(state, key, EndKind::Done);
    }
    CPPUNIT_ASSERT(IsStageOpen(job, job.occurrences.at(0), 1));
    CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Active);
  }

  void testOccurrencesRunSeparately() {
    State state;
    Apply(state, RegisterWorker{MakeWorker("w")});
    JobSpec spec = MakeJob("job");
    spec.repetitions = 2;
    Apply(state, AcceptJob{spec, 0});
    CPPUNIT_ASSERT(state.jobs.at(1).occurrences.empty());
    CPPUNIT_ASSERT(Apply(state, OpenOccurrence{1, 0}) == ApplyResult::Ok);
    CPPUNIT_ASSERT(Apply(state, OpenOccurrence{1, 0}) == ApplyResult::Repeated);
    CPPUNIT_ASSERT(Apply(state, OpenOccurrence{1, 1}) == ApplyResult::Ok);
    for (const std::uint32_t occurrence : {0U, 1U}) {
      CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Active);
      for (const std::uint32_t index : {0U, 1U}) {
        const TaskKey key{1, occurrence, 0, index};
        Place(state, key);
        End(state, key, EndKind::Done);
      }
    }
    CPPUNIT_ASSERT(PhaseOf(state) == JobPhase::Completed);
  }

  // Requests in flight may reach the new incarnation, so that the tasks must
  // not be placed again yet.
  void testAttemptsFollowARestartedWorker() {
    State state = MakeState();
    Place(state, kFirst);
    Apply(state, RegisterWorker{MakeWorker("w", 2)});
    const Worker& worker = *FindWorker(state, "w");
    CPPUNIT_ASSERT_EQUAL(WorkerNumber{2}, worker.number);
    CPPUNIT_ASSERT_EQUAL(WorkerNumber{2}, FindTask(state, kFirst)->worker);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, worker.reserved.processorsMilli);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.workers.size());
    State restored;
    std::string reason;
    CPPUNIT_ASSERT(DecodeState(EncodeState(state), restored, reason));
    CPPUNIT_ASSERT(FindTask(restored, kFirst)->hasWorkerRestarted);
    // The next placement is on an incarnation that has not run the task.
    End(state, kFirst, EndKind::NeverRan, 1, "");
    Apply(state, PlaceTasks{{PlacedTask{kFirst, 2, 2}}});
    CPPUNIT_ASSERT(FindTask(state, kFirst)->phase == TaskPhase::Placed);
    CPPUNIT_ASSERT(!FindTask(state, kFirst)->hasWorkerRestarted);
  }

  void testDelayedAnnouncementOfAnEarlierIncarnation() {
    State state = MakeState();
    Apply(state, RegisterWorker{MakeWorker("w", 5)});
    CPPUNIT_ASSERT(Apply(state, RegisterWorker{MakeWorker("w", 4)}) ==
                   ApplyResult::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5},
                         FindWorker(state, "w")->spec.startedUnixMs);
  }

  void testLowerLayoutChangesNothing() {
    State state = MakeState();
    CPPUNIT_ASSERT(Apply(state, SetLayout{MakeLayout(7)}) == ApplyResult::Ok);
    for (const std::uint64_t version : {7U, 3U}) {
      Layout other = MakeLayout(version);
      other.document = "other";
      CPPUNIT_ASSERT(Apply(state, SetLayout{other}) == ApplyResult::Repeated);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("document 7"), state.layout.document);
  }

  void testQueueSelection() {
    Layout layout = MakeLayout(1);
    QueueSettings deep = layout.queues[0];
    deep.id = QueueId("deep");
    deep.pathPrefix = "/checks/deep/";
    layout.queues.push_back(deep);
    for (const QueueCase& one : kQueues) {
      const QueueSettings* const queue =
          SelectQueue(layout, one.host, one.path);
      CPPUNIT_ASSERT_EQUAL(std::string(one.expected),
                           queue ? queue->id.value : std::string());
    }
  }

  void testSnapshotRestoresEverything() {
    State state = MakeState();
    Place(state, kFirst);
    End(state, kFirst, EndKind::Failed, 1, "saved");
    Place(state, kSecond);
    const std::vector<std::uint8_t> bytes = EncodeState(state);
    State restored;
    std::string reason;
    CPPUNIT_ASSERT(DecodeState(bytes, restored, reason));
    CPPUNIT_ASSERT(bytes == EncodeState(restored));
    CPPUNIT_ASSERT(restored.workers.at(1).attempts.count(kSecond) == 1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                         restored.workers.at(1).reserved.processorsMilli);
    CPPUNIT_ASSERT(FindJob(restored, "job") != nullptr);
    CPPUNIT_ASSERT(FindQueue(restored, QueueId("checks")) != nullptr);
  }

  void testMalformedCommandIsRefused() {
    const std::vector<std::uint8_t> whole = Encode(CancelJob{JobId("job")});
    for (std::size_t length = 0; length < whole.size(); ++length) {
      std::string reason;
      const std::vector<std::uint8_t> cut(whole.begin(),
                                          whole.begin() + length);
      CPPUNIT_ASSERT(!Decode(cut, reason));
      CPPUNIT_ASSERT(!reason.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateTest);

}  // namespace bramleypath::workflow
