#include "bramleypath/controller/AnnouncementForwarder.h"

#include <functional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "tests/controller/VirtualHosts.h"

namespace bramleypath::controller {

namespace {

using controller_test::VirtualHosts;
using workflow::Announcement;

const HostId kLeader("10.0.0.1");
const HostId kOther("10.0.0.2");
const HostId kNextLeader("10.0.0.3");

Announcement MakeAnnouncement(std::uint64_t aSequence) {
  Announcement announcement;
  announcement.worker.id = WorkerId("w1");
  announcement.worker.startedUnixMs = 1000;
  announcement.worker.address = "10.0.1.1:80";
  announcement.worker.service = ServiceId("s");
  announcement.worker.capacity = Resources{32000, 1000, 0};
  announcement.sequence = aSequence;
  announcement.clockMs = static_cast<std::int64_t>(aSequence) * 1500;
  return announcement;
}

// A host that forwards, and two hosts of which one may lead.
struct Group {
  VirtualHosts hosts;
  workflow::State state;
  std::vector<ForwardedAnnouncement> taken;
  // The host that leads with a lease.
  HostId leader = kLeader;
  bool doesLeaderConfirm = true;
  AnnouncementForwarder forwarder;
  AnnouncementForwarder atLeader;
  AnnouncementForwarder atNextLeader;

  Group()
      : forwarder(this->hosts.MakeEnvironment(kOther), this->MakeTake()),
        atLeader(this->hosts.MakeEnvironment(kLeader), this->MakeTake()),
        atNextLeader(this->hosts.MakeEnvironment(kNextLeader),
                     this->MakeTake()) {
    this->hosts.knownLeader[kOther] = kLeader;
    workflow::Apply(this->state,
                    workflow::RegisterWorker{MakeAnnouncement(1).worker});
    this->hosts.deliver = [this](const VirtualHosts::Frame& aFrame) {
      this->Deliver(aFrame);
    };
    this->Tick();
  }

  std::function<void(const ForwardedAnnouncement&)> MakeTake() {
    return [this](const ForwardedAnnouncement& aOne) {
      this->taken.push_back(aOne);
    };
  }

  void Deliver(const VirtualHosts::Frame& aFrame) {
    if (aFrame.kind == kAnnouncementsConfirmedKind) {
      this->forwarder.OnConfirmed(aFrame.from);
    } else if (this->doesLeaderConfirm) {
      AnnouncementForwarder& receiver =
          aFrame.to == kLeader ? this->atLeader : this->atNextLeader;
      receiver.OnAnnouncements(aFrame.from, aFrame.to == this->leader,
                               aFrame.payload);
    }
  }

  void Tick() {
    this->forwarder.Tick(false);
    this->hosts.Run(Millis(100));
  }
};

}  // namespace

class AnnouncementForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementForwarderTest);
  CPPUNIT_TEST(testUnchangedAnnouncementsShareAFrame);
  CPPUNIT_TEST(testChangedAnnouncementsAreLeftToTheLeader);
  CPPUNIT_TEST(testOnlyALeaderThatConfirmsIsUsed);
  CPPUNIT_TEST(testUnreadableFramesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a connection to the leader for each announcement.
  void testUnchangedAnnouncementsShareAFrame() {
    Group group;
    const std::size_t sentBefore = group.hosts.sent.size();
    for (std::uint64_t sequence = 2; sequence < 12; ++sequence) {
      CPPUNIT_ASSERT(
          group.forwarder.Forward(group.state, MakeAnnouncement(sequence)));
    }
    group.hosts.Run(Millis(100));
    // One frame and its confirmation.
    CPPUNIT_ASSERT_EQUAL(sentBefore + 2, group.hosts.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, group.taken.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, group.taken.back().sequence);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{16500}, group.taken.back().clockMs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, group.taken.back().startedUnixMs);
  }

  // Guards against an acknowledged announcement whose change is never
  // committed.
  void testChangedAnnouncementsAreLeftToTheLeader() {
    struct Row {
      const char* name;
      std::function<void(workflow::WorkerSpec&)> change;
    };
    const std::vector<Row> rows = {
        {"unknown", [](auto& aSpec) { aSpec.id = WorkerId("w2"); }},
        {"restarted", [](auto& aSpec) { aSpec.startedUnixMs = 2000; }},
        {"earlier", [](auto& aSpec) { aSpec.startedUnixMs = 500; }},
        {"moved", [](auto& aSpec) { aSpec.address = "10.0.1.2:80"; }},
        {"grown", [](auto& aSpec) { aSpec.capacity.memoryMb = 2000; }},
        {"shrunk", [](auto& aSpec) { aSpec.capacity.processorsMilli = 1; }},
        {"labelled", [](auto& aSpec) { aSpec.labels = {"a"}; }},
        {"draining", [](auto& aSpec) { aSpec.draining = true; }},
    };
    for (const Row& row : rows) {
      Group group;
      Announcement announcement = MakeAnnouncement(2);
      row.change(announcement.worker);
      CPPUNIT_ASSERT_MESSAGE(
          row.name, !group.forwarder.Forward(group.state, announcement));
    }
  }

  // Guards against announcements that are acknowledged and reach nobody: at a
  // leader of an earlier version, one that is cut off, and a former one.
  void testOnlyALeaderThatConfirmsIsUsed() {
    Group group;
    const auto forward = [&group] {
      return group.forwarder.Forward(group.state, MakeAnnouncement(2));
    };
    CPPUNIT_ASSERT(forward());
    group.doesLeaderConfirm = false;
    for (int tick = 0; tick < 40; ++tick) {
      group.Tick();
    }
    CPPUNIT_ASSERT(!forward());
    group.doesLeaderConfirm = true;
    for (int tick = 0; tick < 6; ++tick) {
      group.Tick();
    }
    CPPUNIT_ASSERT(forward());
    group.hosts.knownLeader[kOther] = kNextLeader;
    CPPUNIT_ASSERT(!forward());
    // The next leader has no lease yet.
    for (int tick = 0; tick < 6; ++tick) {
      group.Tick();
    }
    CPPUNIT_ASSERT(!forward());
    group.leader = kNextLeader;
    for (int tick = 0; tick < 6; ++tick) {
      group.Tick();
    }
    CPPUNIT_ASSERT(forward());
  }

  void testUnreadableFramesAreIgnored() {
    Group group;
    const std::vector<gateway::Bytes> frames = {
        {}, {0x00}, {0x81, 0x01}, {0x81, 0x84, 0x01}, {0xff}};
    for (const gateway::Bytes& frame : frames) {
      group.atLeader.OnAnnouncements(kOther, true, frame);
    }
    CPPUNIT_ASSERT(group.taken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementForwarderTest);

}  // namespace bramleypath::controller
