#include "bramleypath/controller/FirstStarts.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/workflow/Samples.h"

namespace bramleypath::controller {

namespace {

using workflow::AcceptJob;
using workflow::PlacedTask;
using workflow::TaskKey;

constexpr std::int64_t kAcceptedUnixMs = 5000;
const TimePoint kStart{1000 * 1000};

std::uint64_t CountOf(const metrics::LatencyHistogram& aHistogram) {
  return aHistogram.Buckets().back().cumulative;
}

}  // namespace

class FirstStartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstStartsTest);
  CPPUNIT_TEST(testEachStepCountsOnce);
  CPPUNIT_TEST(testOtherStartsDoNotCount);
  CPPUNIT_TEST(testFailedStepEndsTheWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    workflow::JobSpec once = workflow::MakeJob("once");
    workflow::JobSpec repeating = workflow::MakeJob("repeating");
    repeating.repetitions = 3;
    workflow::Apply(this->state, workflow::SetLayout{workflow::MakeLayout(1)});
    workflow::Apply(this->state, AcceptJob{once, kAcceptedUnixMs});
    workflow::Apply(this->state, AcceptJob{repeating, kAcceptedUnixMs});
    this->starts = std::make_unique<FirstStarts>();
  }

  // Guards against a step that includes the time of another one.
  void testEachStepCountsOnce() {
    const std::vector<PlacedTask> placed = {{kTask, 1, 1}};
    this->Place(placed);
    RecordCommitted(*this->starts, placed, true, kStart + Millis(20));
    RecordSent(*this->starts, kTask, kStart + Millis(50));
    RecordAnswered(*this->starts, kTask, true, kStart + Millis(90));
    // A second answer, as of a later attempt, isn't a first start.
    RecordAnswered(*this->starts, kTask, true, kStart + Millis(500));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, this->starts->untilPlaced.SumSeconds(),
                                 kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.02, this->starts->untilCommitted.SumSeconds(), kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.03, this->starts->untilSent.SumSeconds(),
                                 kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.04, this->starts->untilAnswered.SumSeconds(),
                                 kTolerance);
  }

  // Guards against later attempts, other tasks and jobs that repeat, which wait
  // for other reasons.
  void testOtherStartsDoNotCount() {
    const std::vector<PlacedTask> cases[] = {
        {{kTask, 2, 1}},
        {{TaskKey{1, 0, 0, 1}, 1, 1}},
        {{TaskKey{1, 0, 1, 0}, 1, 1}},
        {{TaskKey{2, 0, 0, 0}, 1, 1}},
        {{TaskKey{9, 0, 0, 0}, 1, 1}},
    };
    for (const std::vector<PlacedTask>& placed : cases) {
      this->Place(placed);
      RecordCommitted(*this->starts, placed, true, kStart);
      RecordSent(*this->starts, placed[0].task, kStart);
      RecordAnswered(*this->starts, placed[0].task, true, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), CountOf(this->starts->untilPlaced));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         CountOf(this->starts->untilAnswered));
  }

  // Guards against a wait that goes on after the step failed, and so counts
  // later starts.
  void testFailedStepEndsTheWait() {
    const std::vector<PlacedTask> placed = {{kTask, 1, 1}};
    this->Place(placed);
    RecordCommitted(*this->starts, placed, false, kStart + Millis(20));
    RecordSent(*this->starts, kTask, kStart + Millis(50));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         CountOf(this->starts->untilCommitted));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), CountOf(this->starts->untilSent));
    this->Place(placed);
    RecordCommitted(*this->starts, placed, true, kStart + Millis(20));
    RecordSent(*this->starts, kTask, kStart + Millis(50));
    RecordAnswered(*this->starts, kTask, false, kStart + Millis(90));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), CountOf(this->starts->untilSent));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         CountOf(this->starts->untilAnswered));
    CPPUNIT_ASSERT(this->starts->stepEndedAt.empty());
  }

 private:
  static constexpr double kTolerance = 1e-6;
  const TaskKey kTask{1, 0, 0, 0};

  void Place(const std::vector<PlacedTask>& aPlaced) {
    RecordPlaced(*this->starts, this->state, aPlaced, kStart,
                 kAcceptedUnixMs + 100);
  }

  workflow::State state;
  std::unique_ptr<FirstStarts> starts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstStartsTest);

}  // namespace bramleypath::controller
