#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <vector>

#include "tests/cell/CellModel.h"

namespace bramleypath::cell {

std::ostream& operator<<(std::ostream& aStream, const Fault& aFault) {
  return aStream << "{" << static_cast<int>(aFault.kind) << ","
                 << aFault.selector << "}";
}

}  // namespace bramleypath::cell

namespace rc {

template <>
struct Arbitrary<bramleypath::cell::Fault> {
  // RapidCheck prescribes this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static Gen<bramleypath::cell::Fault> arbitrary() {
    using bramleypath::cell::Fault;
    using bramleypath::cell::FaultKind;
    return gen::build<Fault>(
        gen::set(
            &Fault::kind,
            gen::map(gen::inRange(0, static_cast<int>(FaultKind::Last)),
                     [](int aKind) { return static_cast<FaultKind>(aKind); })),
        gen::set(&Fault::selector, gen::inRange<std::uint32_t>(0, 10000)));
  }
};

}  // namespace rc

namespace bramleypath::cell {

class CellPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellPropertyTest);
  CPPUNIT_TEST(testSafetyAndLiveness);
  CPPUNIT_TEST(testDetectsMissingLeaseCheck);
  CPPUNIT_TEST(testDetectsStartBeforeCommit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against these failures under faults of the network, the workers and
  // the leaders: a task that runs twice at once, an overcommitted worker, an
  // exceeded quota, a second end or resumption, and jobs or workers that are
  // never considered again.
  void testSafetyAndLiveness() {
    const bool holds =
        rc::check("cell under faults",
                  [](std::uint32_t aSeed, const std::vector<Fault>& aFaults) {
                    CellModel model(aSeed);
                    InjectAll(model, aFaults);
                    const bool ended = model.RunUntilJobsEnd(kMaxDrainMicros);
                    LogOutcome(model);
                    RC_ASSERT(ended);
                    RC_ASSERT(model.oracle.violations.empty());
                    CheckNoCollateralFailures(model);
                  });
    CPPUNIT_ASSERT(holds);
  }

  // The oracle must detect a deposed leader that keeps renewing leases.
  void testDetectsMissingLeaseCheck() {
    CPPUNIT_ASSERT(DetectsViolation(
        [](CellModel& aModel) { aModel.ignoreLeaderLease = true; }));
  }

  // The oracle must detect a start command that is sent before its commit.
  void testDetectsStartBeforeCommit() {
    CPPUNIT_ASSERT(DetectsViolation(
        [](CellModel& aModel) { aModel.startBeforeCommit = true; }));
  }

 private:
  static constexpr std::int64_t kSecond = 1000 * 1000;
  static constexpr std::int64_t kMaxDrainMicros = 3600 * kSecond;

  static void InjectAll(CellModel& aModel, const std::vector<Fault>& aFaults) {
    aModel.Run(3 * kSecond);
    for (const Fault& fault : aFaults) {
      aModel.Inject(fault);
      // Some gaps are longer than a lease.
      const std::int64_t gap =
          fault.selector % 8 == 7 ? 13 : fault.selector % 4;
      aModel.Run(kSecond * gap + kSecond / 4);
    }
  }

  static void LogOutcome(const CellModel& aModel) {
    for (const std::string& violation : aModel.oracle.violations) {
      RC_LOG() << violation << "\n";
    }
    const Replica& leader = aModel.replicas[aModel.leader];
    for (const auto& [id, job] : aModel.committedState.jobs) {
      if (!HasEnded(job)) {
        RC_LOG() << id.value << ": "
                 << Explain(aModel.committedState, leader.scheduler, id)->text
                 << "\n";
      }
    }
  }

  // One faulty worker must not make good jobs fail, and failing jobs must not
  // exclude good workers.
  static void CheckNoCollateralFailures(CellModel& aModel) {
    for (const auto& [id, job] : aModel.committedState.jobs) {
      for (const Task& task : job.tasks) {
        RC_ASSERT(task.state != TaskState::Failed ||
                  aModel.failingJobs.count(id) != 0);
        RC_ASSERT(task.resumptions <= task.evictions);
      }
    }
    aModel.Run(65 * kSecond);
    const Scheduler& scheduler = aModel.replicas[aModel.leader].scheduler;
    for (const WorkerCandidate& candidate : scheduler.candidates) {
      RC_ASSERT(!candidate.excluded);
      RC_ASSERT(candidate.available == candidate.capacity);
    }
  }

  // Returns true when the oracle reports a violation in one of 20 runs with
  // fixed seeds.
  template <typename Function>
  static bool DetectsViolation(Function aMutate) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CellModel model(seed);
      aMutate(model);
      std::vector<Fault> faults;
      for (std::uint32_t step = 0; step < 40; ++step) {
        const std::uint64_t number = NextRandom(model.random);
        const auto kind = static_cast<FaultKind>(
            number % static_cast<std::uint64_t>(FaultKind::Last));
        faults.push_back(Fault{kind, static_cast<std::uint32_t>(number >> 40)});
      }
      InjectAll(model, faults);
      if (!model.oracle.violations.empty()) {
        return true;
      }
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellPropertyTest);

}  // namespace bramleypath::cell
