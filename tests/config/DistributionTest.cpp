#include "bramleypath/config/Distribution.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/config/Codec.h"
#include "tests/config/Samples.h"

namespace bramleypath::config {

namespace {

const std::vector<Peer> kPeers{{HostId{"a1"}, DataCentreId{"a"}},
                               {HostId{"a2"}, DataCentreId{"a"}},
                               {HostId{"b1"}, DataCentreId{"b"}}};

Distribution MakeHostDistribution(const char* aHost, const char* aCentre,
                                  TimePoint aNow = TimePoint{}) {
  return MakeDistribution(HostId{aHost}, DataCentreId{aCentre}, 1, {}, kPeers,
                          aNow);
}

void Receive(Distribution& aTo, const char* aFrom, DistributionMessage aMessage,
             TimePoint aNow) {
  Step(aTo, MessageArrived{HostId{aFrom}, std::move(aMessage), false}, aNow);
}

AppliedReport MakeReport(const char* aHost, const char* aCentre,
                         LogIndex aIndex, Version aVersion) {
  return {HostId{aHost}, DataCentreId{aCentre}, 1, aIndex, aVersion, {}, true};
}

}  // namespace

class DistributionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DistributionTest);
  CPPUNIT_TEST(testCutOffHostWaitsForTheHighestReachableIndex);
  CPPUNIT_TEST(testHostsWithoutAnyConfigurationStayUnready);
  CPPUNIT_TEST(testAnswersToAnEarlierIncarnationDontCount);
  CPPUNIT_TEST(testOlderReportsAndUnknownSendersAreDropped);
  CPPUNIT_TEST(testKeyMoveWaitsForReportsAndTime);
  CPPUNIT_TEST(testKeyMoveSkipsLostDataCentres);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that restarts while it is cut off from the quorum and
  // becomes ready with an older configuration than a reachable peer has.
  void testCutOffHostWaitsForTheHighestReachableIndex() {
    Distribution host = MakeHostDistribution("a1", "a");
    const Bytes old = TakeSnapshot(SampleState());
    ConfigState newer = SampleState();
    Apply(newer, MakeCommand("x", 1, UsePreset{PresetId{"peak"}}));
    Step(host, LocallyRestored{5, old}, TimePoint{});
    for (int millis = 0; millis <= 4000; millis += 200) {
      const TimePoint now = TimePoint{} + Millis(millis);
      Receive(host, "a2", IndexAnswer{1, 6, false}, now);
      Step(host, DistributionTick{}, now);
    }
    CPPUNIT_ASSERT(!host.ready);
    const TimePoint now = TimePoint{} + Millis(4100);
    Receive(host, "a2", StateTransfer{6, TakeSnapshot(newer)}, now);
    CPPUNIT_ASSERT(host.ready);
    CPPUNIT_ASSERT_EQUAL(Version{2}, host.state.version);
  }

  // Guards against hosts without disks that restart together and make each
  // other ready without any configuration.
  void testHostsWithoutAnyConfigurationStayUnready() {
    Distribution host = MakeHostDistribution("a1", "a");
    for (int millis = 0; millis <= 10000; millis += 200) {
      const TimePoint now = TimePoint{} + Millis(millis);
      Receive(host, "a2", IndexAnswer{1, 0, false}, now);
      Step(host, DistributionTick{}, now);
    }
    CPPUNIT_ASSERT(!host.ready);
    // In a new deployment, a quorum confirms that there is no configuration.
    Receive(host, "a2", IndexAnswer{1, 0, true}, TimePoint{} + Seconds(11));
    CPPUNIT_ASSERT(host.ready);
  }

  // Guards against counting a delayed answer to a query that the host sent
  // before it restarted.
  void testAnswersToAnEarlierIncarnationDontCount() {
    Distribution host = MakeHostDistribution("a1", "a");
    Receive(host, "a2", IndexAnswer{0, 0, true}, TimePoint{});
    CPPUNIT_ASSERT(!host.ready);
  }

  // Guards against a delayed digest that replaces a newer report of the same
  // host, and against tables that grow with each unknown sender.
  void testOlderReportsAndUnknownSendersAreDropped() {
    Distribution host = MakeHostDistribution("a1", "a");
    Receive(host, "a2", Digest{MakeReport("a2", "a", 7, 4)}, TimePoint{});
    Receive(host, "a2", Digest{MakeReport("a2", "a", 6, 3)}, TimePoint{});
    Receive(host, "z9", Digest{MakeReport("z9", "a", 9, 9)}, TimePoint{});
    Receive(host, "b1", Digest{MakeReport("a2", "a", 9, 9)}, TimePoint{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.reports.size());
    const auto rows = ListInForce(host, TimePoint{} + Seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, rows.size());
    CPPUNIT_ASSERT_EQUAL(Version{4}, rows[1].version);
    CPPUNIT_ASSERT(rows[1].known && rows[1].stale);
    CPPUNIT_ASSERT(!rows[2].known);
  }

  // Host a1 as the leader, with a pending change that removes data centre b
  // from the key owners.
  static Distribution MakeHostWithPendingMove(std::set<DataCentreId> aLost) {
    Distribution host = MakeHostDistribution("a1", "a");
    Step(host, LocallyRestored{1, TakeSnapshot(SampleState())}, TimePoint{});
    const SetKeyOwners change{
        {DataCentreId{"a"}}, std::move(aLost), kMinMoveWaitMs};
    Step(host, LocallyApplied{2, MakeCommand("move", 1, change), true},
         TimePoint{});
    return host;
  }

  // Guards against a new owner that grants a key while the old owner may still
  // grant it.
  void testKeyMoveWaitsForReportsAndTime() {
    Distribution host = MakeHostWithPendingMove({});
    const TimePoint later = TimePoint{} + Seconds(100000);
    CPPUNIT_ASSERT(!DueKeyMove(host, TimePoint{}));
    CPPUNIT_ASSERT(!DueKeyMove(host, later));
    Receive(host, "b1", Digest{MakeReport("b1", "b", 1, 1)}, later);
    CPPUNIT_ASSERT(!DueKeyMove(host, later));
    Receive(host, "b1", Digest{MakeReport("b1", "b", 2, 2)}, later);
    CPPUNIT_ASSERT(!DueKeyMove(host, later));
    const TimePoint almost = later + Millis(kMinMoveWaitMs - 1);
    CPPUNIT_ASSERT(!DueKeyMove(host, almost));
    // A new leader starts the wait anew.
    ForgetKeyMove(host);
    CPPUNIT_ASSERT(!DueKeyMove(host, later + Millis(kMinMoveWaitMs)));
    const auto command =
        DueKeyMove(host, later + Millis(2 * std::int64_t{kMinMoveWaitMs}));
    CPPUNIT_ASSERT(command.has_value());
    CPPUNIT_ASSERT(Check(host.state, *command).accepted);
  }

  // Guards against keys that stay without an owner because a data centre that
  // is permanently lost can't confirm the change.
  void testKeyMoveSkipsLostDataCentres() {
    Distribution host = MakeHostWithPendingMove({DataCentreId{"b"}});
    CPPUNIT_ASSERT(!DueKeyMove(host, TimePoint{}));
    CPPUNIT_ASSERT(!DueKeyMove(host, TimePoint{} + Millis(kMinMoveWaitMs - 1)));
    CPPUNIT_ASSERT(DueKeyMove(host, TimePoint{} + Millis(kMinMoveWaitMs)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DistributionTest);

}  // namespace bramleypath::config
