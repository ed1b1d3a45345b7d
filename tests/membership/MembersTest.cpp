#include "bramleypath/membership/Members.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/membership/Network.h"

namespace bramleypath::membership {

class MembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembersTest);
  CPPUNIT_TEST(testStaysServingBehindALoadBalancer);
  CPPUNIT_TEST(testLeaveSpreadsAtOnceAndStays);
  CPPUNIT_TEST(testDrainHoldsForTheIncarnation);
  CPPUNIT_TEST(testLeaveBeforeFirstAnnouncement);
  CPPUNIT_TEST(testLateGossipExpiresOnTime);
  CPPUNIT_TEST(testLiveHostsFollowFailuresAndStops);
  CPPUNIT_TEST(testOwnPauseExpiresNothing);
  CPPUNIT_TEST(testPeerLoadsAndSummaries);
  CPPUNIT_TEST(testTablesAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the expiry of a target whose announcements go to different
  // entry hosts in turn, as through a load balancer.
  void testStaysServingBehindALoadBalancer() {
    Network network = MakeNetwork(1);
    for (int step = 0; step < 400; ++step) {
      if (step % 10 == 0) {
        Apply(network, static_cast<std::size_t>(step / 10) % 3,
              TargetAnnounced{MakeTarget("t")});
      }
      AdvanceTime(network);
      for (std::size_t host = 0; host < 3 && step > 4; ++host) {
        CPPUNIT_ASSERT(IsServing(network, host, "t"));
      }
    }
    CPPUNIT_ASSERT(!IsServing(network, 3, "t"));
    CPPUNIT_ASSERT(LoggedActions<TargetGone>(network, 1).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         LoggedActions<TargetUp>(network, 1).size());
  }

  // Guards P7: a departure reaches all hosts without waiting for the next
  // gossip round, and late announcements do not revive the target.
  void testLeaveSpreadsAtOnceAndStays() {
    Network network = MakeNetwork(1);
    Apply(network, 0, TargetAnnounced{MakeTarget("t")});
    AdvanceTime(network);
    AdvanceTime(network);
    CPPUNIT_ASSERT(IsServing(network, 2, "t"));
    Apply(network, 1, TargetLeft{TargetId("t"), 1});
    network.now = network.now + Millis(2);
    DeliverDue(network);
    for (std::size_t host = 0; host < 3; ++host) {
      CPPUNIT_ASSERT(!IsServing(network, host, "t"));
    }
    for (int step = 0; step < 100; ++step) {
      Apply(network, static_cast<std::size_t>(step) % 3,
            TargetAnnounced{MakeTarget("t")});
      AdvanceTime(network);
      CPPUNIT_ASSERT(!IsServing(network, 0, "t") &&
                     !IsServing(network, 1, "t"));
    }
    Apply(network, 0, TargetAnnounced{MakeTarget("t", 2)});
    AdvanceTime(network);
    AdvanceTime(network);
    CPPUNIT_ASSERT(IsServing(network, 0, "t") && IsServing(network, 2, "t"));
  }

  void testDrainHoldsForTheIncarnation() {
    Network network = MakeNetwork(1);
    Apply(network, 0, TargetAnnounced{MakeTarget("t")});
    AdvanceTime(network);
    AdvanceTime(network);
    Apply(network, 2, TargetDrained{TargetId("t")});
    AdvanceTime(network);
    Apply(network, 0, TargetAnnounced{MakeTarget("t")});
    CPPUNIT_ASSERT(!IsServing(network, 0, "t"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         LoggedActions<TargetLeaving>(network, 0).size());
  }

  // Guards against a departure that overtakes the announcement of the same
  // incarnation, which must not make the target serve.
  void testLeaveBeforeFirstAnnouncement() {
    Network network = MakeNetwork(1);
    Apply(network, 0, TargetLeft{TargetId("t"), 5});
    Apply(network, 0, TargetAnnounced{MakeTarget("t", 5)});
    CPPUNIT_ASSERT(!IsServing(network, 0, "t"));
    Apply(network, 0, TargetAnnounced{MakeTarget("t", 6)});
    CPPUNIT_ASSERT(IsServing(network, 0, "t"));
  }

  // Guards against delayed gossip that extends the expiry of a dead target by
  // another 2 s.
  void testLateGossipExpiresOnTime() {
    Network network = MakeNetwork(1);
    for (int step = 0; step < 20; ++step) {
      Apply(network, 0, TargetAnnounced{MakeTarget("t")});
      AdvanceTime(network);
    }
    const TimePoint last = network.now;
    // Delays everything sent from now on by 1.9 s.
    AdvanceTime(network);
    for (MessageInTransit& message : network.inTransit) {
      message.arrivesAt = last + Millis(1900);
    }
    while (network.now < last + Millis(2150)) {
      AdvanceTime(network);
    }
    CPPUNIT_ASSERT(!IsServing(network, 1, "t") && !IsServing(network, 2, "t"));
  }

  void testLiveHostsFollowFailuresAndStops() {
    Network network = MakeNetwork(1);
    AdvanceTime(network);
    AdvanceTime(network);
    const auto hosts = [&] { return network.members[0].localHosts.size(); };
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hosts());
    network.running[2] = false;
    for (int step = 0; step < 24; ++step) {
      AdvanceTime(network);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hosts());
    StartHost(network, 2);
    AdvanceTime(network);
    AdvanceTime(network);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hosts());
    Apply(network, 1, StopAnnounced{});
    AdvanceTime(network);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hosts());
    CPPUNIT_ASSERT(IsHostLive(network.members[0], HostId("e2")));
  }

  // Guards against a host that was paused and takes all targets and hosts as
  // gone before it reads the messages that wait in its sockets.
  void testOwnPauseExpiresNothing() {
    constexpr std::size_t kPaused = 1;
    constexpr Duration kPause = Seconds(60);
    Network network = MakeNetwork(1);
    Apply(network, 0, TargetAnnounced{MakeTarget("t")});
    for (int step = 0; step < 5; ++step) {
      AdvanceTime(network);
    }
    CPPUNIT_ASSERT(IsServing(network, kPaused, "t"));
    network.log[kPaused].clear();
    network.now = network.now + kPause;
    Apply(network, kPaused, Tick{});
    CPPUNIT_ASSERT(LoggedActions<TargetGone>(network, kPaused).empty());
    CPPUNIT_ASSERT(LoggedActions<LocalHostsChanged>(network, kPaused).empty());
    // Without any message they are gone soon after.
    for (int step = 0; step < 10; ++step) {
      network.now = network.now + Millis(100);
      Apply(network, kPaused, Tick{});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         LoggedActions<TargetGone>(network, kPaused).size());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        LoggedActions<LocalHostsChanged>(network, kPaused).size());
  }

  void testPeerLoadsAndSummaries() {
    Network network = MakeNetwork(1);
    Apply(network, 0, TargetAnnounced{MakeTarget("t")});
    for (int step = 0; step < 4; ++step) {
      AdvanceTime(network);
    }
    Apply(network, 1, LocalLoads{{{TargetId("t"), 3}}});
    for (int step = 0; step < 30; ++step) {
      Apply(network, 0, TargetAnnounced{MakeTarget("t")});
      AdvanceTime(network);
    }
    const auto loads = LoggedActions<PeerLoads>(network, 0);
    bool seen = false;
    for (const PeerLoads& report : loads) {
      seen = seen || (report.host == HostId("e2") && report.loads.size() == 1 &&
                      report.loads[0].outstanding == 3);
    }
    CPPUNIT_ASSERT(seen);
    const auto summaries = LoggedActions<SummaryChanged>(network, 3);
    CPPUNIT_ASSERT(!summaries.empty());
    const DataCentreSummary& last = summaries.back().summary;
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, last.hosts.size());
    CPPUNIT_ASSERT_EQUAL(5U, last.services.at(0).freeSlots);
    CPPUNIT_ASSERT_EQUAL(3U, last.services.at(0).outstanding);
  }

  // Guards against unbounded memory under a flood of announcements and
  // departures.
  void testTablesAreBounded() {
    Settings settings;
    settings.maxTargets = 10;
    settings.maxDepartures = 5;
    const HostInfo self{HostId("e1"), DataCentreId("d")};
    Members members = MakeMembers(self, {self}, settings, 1, TimePoint{});
    for (int count = 0; count < 100; ++count) {
      const std::string name = "t" + std::to_string(count);
      Step(members, TargetAnnounced{MakeTarget(name)}, TimePoint{});
      Step(members, TargetLeft{TargetId("x" + name), 1}, TimePoint{});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, members.targets.size());
    Step(members, TargetAnnounced{MakeTarget(std::string(300, 'a'))},
         TimePoint{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, members.targets.size());
    CPPUNIT_ASSERT(members.counters.recordsRefused >= 91);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembersTest);

}  // namespace bramleypath::membership
