#include "bramleypath/cellplacement/Advisor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace bramleypath::cellplacement {

namespace {

constexpr double kQuietTailMicros = 10000;

// A cell with two workers, each running a task of the same service.
struct AdvisorFixture {
  cell::CellState state;
  Advisor advisor = MakeAdvisor(AdvisorSettings{});
  TimePoint now{1000000000};
  int jobs = 0;

  AdvisorFixture() {
    for (const char* worker : {"w1", "w2"}) {
      cell::RegisterWorker command;
      command.worker = WorkerId(worker);
      command.incarnation = 1;
      command.capacity = cell::Resources{32000, 125000, 0};
      command.rack = RackId("r1");
      this->ApplyCommand(command);
      this->Start("planning", cell::JobKind::Service, worker);
    }
  }

  void ApplyCommand(const cell::Command& aCommand) {
    const cell::Outcome outcome = cell::Apply(this->state, aCommand);
    CPPUNIT_ASSERT_MESSAGE(outcome.detail, outcome.accepted);
  }

  cell::AttemptId Start(const char* aClass, cell::JobKind aKind,
                        const char* aWorker) {
    cell::SubmitJob submit;
    submit.spec.id = JobId("job-" + std::to_string(++this->jobs));
    submit.request = RequestId(submit.spec.id.value);
    submit.spec.clientAccount = ClientAccountId("harit-angan");
    submit.spec.classId = ClassId(aClass);
    submit.spec.kind = aKind;
    submit.spec.checkpointable = true;
    submit.spec.evictionBudget = 2;
    submit.spec.perTask = cell::Resources{4000, 8000, 0};
    submit.spec.declaredRunMs = 60000;
    this->ApplyCommand(submit);
    cell::StartAttempt start;
    start.attempt = cell::AttemptId{TaskId{submit.spec.id, 0}, 1};
    start.worker = WorkerId(aWorker);
    start.incarnation = 1;
    start.resources = submit.spec.perTask;
    this->ApplyCommand(start);
    OnWorkerChanged(this->advisor, this->state, start.worker, this->now);
    return start.attempt;
  }

  std::vector<cell::MitigationRequested> Report(const char* aWorker,
                                                const cell::AttemptId& aService,
                                                double aTail) {
    this->now = this->now + Seconds(60);
    const std::vector<UsageSample> samples{{aService, 1000, 4000, aTail}};
    return OnUsage(this->advisor, WorkerId(aWorker), samples,
                   this->now - Seconds(20), this->now);
  }

  // Reports undisturbed samples of both services until there is a baseline.
  void LearnBaseline() {
    for (std::size_t i = 0; i < kMinBaselineSamples; ++i) {
      this->Report("w1", this->ServiceOn(1), kQuietTailMicros);
      this->Report("w2", this->ServiceOn(2), kQuietTailMicros);
    }
  }

  cell::AttemptId ServiceOn(int aWorker) const {
    return cell::AttemptId{TaskId{JobId("job-" + std::to_string(aWorker)), 0},
                           1};
  }
};

}  // namespace

class AdvisorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdvisorTest);
  CPPUNIT_TEST(testLearnsThePairAndAvoidsIt);
  CPPUNIT_TEST(testRequestsMitigationsInOrder);
  CPPUNIT_TEST(testCorrectedMemoryStillFitsAWorker);
  CPPUNIT_TEST(testPresetLimitsBatchWork);
  CPPUNIT_TEST(testForgetsARemovedWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against usage reports that have no effect on placement.
  void testLearnsThePairAndAvoidsIt() {
    AdvisorFixture fixture;
    fixture.LearnBaseline();
    const auto noisy = fixture.Start("report", cell::JobKind::Batch, "w1");
    CPPUNIT_ASSERT(noisy.number == 1);
    for (int i = 0; i < 10; ++i) {
      fixture.Report("w1", fixture.ServiceOn(1), kQuietTailMicros * 1.4);
    }
    const auto pairs = DescribeWorstPairs(fixture.advisor, fixture.state, 1);
    CPPUNIT_ASSERT(pairs.size() == 1);
    CPPUNIT_ASSERT(pairs[0].victim == ClassId("planning"));
    CPPUNIT_ASSERT(pairs[0].aggressor == ClassId("report"));
    CPPUNIT_ASSERT(pairs[0].slowdown > 1.2);
    CPPUNIT_ASSERT(
        pairs[0].clientAccounts ==
        std::vector<ClientAccountId>{ClientAccountId("harit-angan")});

    std::vector<cell::WorkerCandidate> candidates(2);
    candidates[0].worker = WorkerId("w1");
    candidates[1].worker = WorkerId("w2");
    for (cell::WorkerCandidate& candidate : candidates) {
      candidate.capacity = cell::Resources{32000, 125000, 0};
      candidate.available = cell::Resources{20000, 80000, 0};
      candidate.excluded = false;
    }
    candidates[0].available.processorsMilli = 8000;
    cell::JobSpec spec;
    spec.classId = ClassId("report");
    spec.perTask = cell::Resources{4000, 8000, 0};
    cell::PlacementRequest request;
    request.job = &spec;
    request.demand = spec.perTask;
    cell::WaitReason reason = cell::WaitReason::None;
    const auto chosen =
        MakeChooser(fixture.advisor)(candidates, request, reason);
    CPPUNIT_ASSERT_MESSAGE(
        "the worker without a noisy task, although it has more free resources",
        chosen && *chosen == 1);
  }

  void testRequestsMitigationsInOrder() {
    AdvisorFixture fixture;
    fixture.LearnBaseline();
    fixture.Start("report", cell::JobKind::Batch, "w1");
    std::vector<cell::AttemptMark> marks;
    for (int i = 0; i < 6; ++i) {
      for (const auto& request :
           fixture.Report("w1", fixture.ServiceOn(1), kQuietTailMicros * 2.5)) {
        marks.push_back(request.mark);
      }
    }
    CPPUNIT_ASSERT(marks.size() >= 2);
    CPPUNIT_ASSERT(marks[0] == cell::AttemptMark::Throttle);
    CPPUNIT_ASSERT(marks[1] == cell::AttemptMark::Evict);
  }

  // Guards against a correction that makes a declared job impossible to place.
  void testCorrectedMemoryStillFitsAWorker() {
    AdvisorFixture fixture;
    fixture.advisor.largestMemoryMb = 125000;
    for (int i = 0; i < 50; ++i) {
      placement::CorrectionFactors ratios;
      ratios.memory = 10;
      placement::ObserveAttempt(
          fixture.advisor.sizes,
          IndexOf(fixture.advisor.classes, ClassId("big")), ratios);
    }
    struct Row {
      std::int64_t declared;
      std::int64_t expected;
    };
    const Row rows[] = {{2000, 20000}, {20000, 62500}, {100000, 100000}};
    for (const Row& row : rows) {
      cell::JobSpec spec;
      spec.classId = ClassId("big");
      spec.perTask.memoryMb = row.declared;
      CPPUNIT_ASSERT_EQUAL(
          row.expected, MakeSizeTaskFunction(fixture.advisor)(spec).memoryMb);
    }
  }

  // Guards against a maintenance preset that still starts batch work.
  void testPresetLimitsBatchWork() {
    struct Row {
      std::uint32_t percent;
      cell::JobKind kind;
      bool urgent;
      bool placed;
    };
    const Row rows[] = {{100, cell::JobKind::Batch, false, true},
                        {50, cell::JobKind::Batch, false, true},
                        {0, cell::JobKind::Batch, false, false},
                        {0, cell::JobKind::Batch, true, true},
                        {0, cell::JobKind::Service, false, true}};
    AdvisorFixture fixture;
    std::vector<cell::WorkerCandidate> candidates(1);
    candidates[0].worker = WorkerId("w1");
    candidates[0].capacity = cell::Resources{32000, 125000, 0};
    candidates[0].available = cell::Resources{28000, 100000, 0};
    candidates[0].excluded = false;
    for (const Row& row : rows) {
      fixture.advisor.batchUtilisationPercent = row.percent;
      cell::JobSpec spec;
      spec.kind = row.kind;
      spec.urgent = row.urgent;
      spec.perTask = cell::Resources{4000, 8000, 0};
      cell::PlacementRequest request;
      request.job = &spec;
      request.demand = spec.perTask;
      cell::WaitReason reason = cell::WaitReason::None;
      const auto chosen =
          MakeChooser(fixture.advisor)(candidates, request, reason);
      CPPUNIT_ASSERT_EQUAL(row.placed, chosen.has_value());
      // After InsufficientResources, the placement pass would also skip
      // services with larger demands.
      CPPUNIT_ASSERT(row.placed || reason == cell::WaitReason::PresetLimit);
    }
  }

  void testForgetsARemovedWorker() {
    AdvisorFixture fixture;
    CPPUNIT_ASSERT(fixture.advisor.workers.size() == 2);
    fixture.state.workers.erase(WorkerId("w2"));
    OnWorkerChanged(fixture.advisor, fixture.state, WorkerId("w2"),
                    fixture.now);
    CPPUNIT_ASSERT(fixture.advisor.workers.size() == 1);
    CPPUNIT_ASSERT(
        fixture.Report("w2", fixture.ServiceOn(2), kQuietTailMicros).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdvisorTest);

}  // namespace bramleypath::cellplacement
