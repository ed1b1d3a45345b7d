#include "bramleypath/controller/DrainService.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/controller/PauseRecord.h"
#include "tests/controller/VirtualHosts.h"

namespace bramleypath::controller {

namespace {

using controller_test::VirtualHosts;
using workflow::SetDrain;

const std::vector<HostId> kHosts = {HostId("10.0.0.1"), HostId("10.0.0.2"),
                                    HostId("10.0.0.3")};
const DataCentreId kKnown("a");
const DataCentreId kUnknown("x");
// How long operators wait for an answer.
constexpr Duration kOperatorWait = Seconds(1);

// Hosts with a log of drains. Only one of them leads at a time.
struct Group {
  VirtualHosts hosts;
  HostId leader;  // empty: no host holds the lease
  Epoch epoch = 0;
  bool isDrained = false;
  std::uint64_t commits = 0;
  Duration commitTime = Millis(20);
  Knowledge knowledge = Knowledge::Unknown;  // of kUnknown
  std::map<HostId, std::unique_ptr<DrainService>> services;

  Group() {
    std::uint64_t firstId = 1;
    for (const HostId& host : kHosts) {
      constexpr std::uint64_t kIdsOfAHost = 1000000;
      this->services[host] =
          std::make_unique<DrainService>(this->MakeEnvironment(host), firstId);
      firstId += kIdsOfAHost;
    }
    this->hosts.deliver = [this](const VirtualHosts::Frame& aFrame) {
      DrainService& service = *this->services[aFrame.to];
      if (aFrame.kind == kDrainCallKind) {
        service.OnCall(aFrame.from, aFrame.payload);
      } else {
        service.OnAnswer(aFrame.from, aFrame.payload);
      }
    };
    this->SetLeader(kHosts[0]);
  }

  DrainEnvironment MakeEnvironment(const HostId& aHost) {
    DrainEnvironment environment;
    environment.host = this->hosts.MakeEnvironment(aHost);
    environment.mayRead = [this, aHost] { return this->leader == aHost; };
    environment.epoch = [this, aHost] {
      return this->leader == aHost ? this->epoch : 0;
    };
    environment.knowledge = [this](const DataCentreId& aDataCentre) {
      return aDataCentre == kKnown ? Knowledge::Known : this->knowledge;
    };
    environment.propose = [this](const SetDrain& aOrder,
                                 AnswerCallback aCallback) {
      this->Propose(aOrder, std::move(aCallback));
    };
    return environment;
  }

  void Propose(const SetDrain& aOrder, AnswerCallback aCallback) {
    this->hosts.After(this->commitTime,
                      [this, aOrder, aCallback, proposedIn = this->epoch] {
                        Answer answer;
                        if (this->epoch == proposedIn) {
                          answer.status = this->isDrained == aOrder.drained
                                              ? AnswerStatus::Repeated
                                              : AnswerStatus::Done;
                          this->isDrained = aOrder.drained;
                          ++this->commits;
                        }
                        aCallback(answer);
                      });
  }

  void SetLeader(const HostId& aHost) {
    this->leader = aHost;
    ++this->epoch;
    for (const HostId& host : kHosts) {
      this->hosts.knownLeader[host] = aHost;
    }
  }

  // The answer that comes within aWait.
  std::optional<Answer> Order(const HostId& aHost, bool aDrained,
                              const DataCentreId& aDataCentre = kKnown,
                              Duration aWait = kOperatorWait) {
    auto answer = std::make_shared<std::optional<Answer>>();
    this->services[aHost]->Set(
        SetDrain{aDataCentre, aDrained}, this->hosts.now,
        [answer](const Answer& aAnswer) { *answer = aAnswer; });
    const TimePoint end = this->hosts.now + aWait;
    while (!*answer && this->hosts.now < end) {
      this->hosts.Run(Millis(1));
    }
    return *answer;
  }
};

bool IsAcknowledged(const std::optional<Answer>& aAnswer) {
  return aAnswer && (aAnswer->status == AnswerStatus::Done ||
                     aAnswer->status == AnswerStatus::Repeated);
}

}  // namespace

class DrainServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainServiceTest);
  CPPUNIT_TEST(testEachHostTakesOrders);
  CPPUNIT_TEST(testFailuresAreAnsweredInTime);
  CPPUNIT_TEST(testAnswersOfUnknownDataCentres);
  CPPUNIT_TEST(testHeldUpFrameIsNotCarriedOut);
  CPPUNIT_TEST(testLastAcknowledgedOrderHolds);
  CPPUNIT_TEST(testPausesAreNoticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an order that only the leader takes, and against one that is
  // refused or not committed when it comes again.
  void testEachHostTakesOrders() {
    for (const HostId& host : kHosts) {
      Group group;
      for (const bool drained : {true, true, false, false}) {
        CPPUNIT_ASSERT(IsAcknowledged(group.Order(host, drained)));
        CPPUNIT_ASSERT_EQUAL(drained, group.isDrained);
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, group.commits);
    }
  }

  // Guards against an operator that gets no answer within a second.
  void testFailuresAreAnsweredInTime() {
    Group group;
    group.SetLeader(HostId());
    CPPUNIT_ASSERT(group.Order(kHosts[1], true)->status ==
                   AnswerStatus::NotLeader);
    group.SetLeader(kHosts[0]);
    group.hosts.isLost = [](const VirtualHosts::Frame&) { return true; };
    CPPUNIT_ASSERT(group.Order(kHosts[1], true)->status ==
                   AnswerStatus::NotLeader);
    // A frame is lost now and then, and the leader changes.
    group.hosts.isLost = [&](const VirtualHosts::Frame&) {
      return group.hosts.sent.size() % 3 == 0;
    };
    group.hosts.After(Millis(5), [&] { group.SetLeader(kHosts[2]); });
    CPPUNIT_ASSERT(IsAcknowledged(group.Order(kHosts[1], true)));
  }

  void testAnswersOfUnknownDataCentres() {
    struct Case {
      Knowledge knowledge;
      AnswerStatus status;
    };
    for (const Case& one : {Case{Knowledge::Known, AnswerStatus::Done},
                            Case{Knowledge::NotYetKnown, AnswerStatus::Refused},
                            Case{Knowledge::Unknown, AnswerStatus::Unknown}}) {
      for (const HostId& host : kHosts) {
        Group group;
        group.knowledge = one.knowledge;
        CPPUNIT_ASSERT(group.Order(host, true, kUnknown)->status == one.status);
      }
    }
  }

  // Guards against an order that a slow link delivers after its operator has
  // given it up and another one was acknowledged.
  void testHeldUpFrameIsNotCarriedOut() {
    // The first frame asks for the stamp, the second one holds the order.
    for (const std::size_t heldUp : {1, 2}) {
      for (const Duration delay : {Millis(600), Seconds(5)}) {
        Group group;
        std::size_t frames = 0;
        group.hosts.frameDelay = [&](const VirtualHosts::Frame& aFrame) {
          const bool isCall =
              aFrame.kind == kDrainCallKind && aFrame.from == kHosts[1];
          return isCall && ++frames >= heldUp ? delay : Millis(1);
        };
        CPPUNIT_ASSERT(!IsAcknowledged(group.Order(kHosts[1], true)));
        CPPUNIT_ASSERT(IsAcknowledged(group.Order(kHosts[2], true)));
        CPPUNIT_ASSERT(IsAcknowledged(group.Order(kHosts[2], false)));
        group.hosts.Run(Seconds(10));
        CPPUNIT_ASSERT(!group.isDrained);
      }
    }
  }

  // Guards against an earlier order that takes effect after a later one was
  // acknowledged, whatever is lost or delayed and whoever leads.
  void testLastAcknowledgedOrderHolds() {
    constexpr std::uint32_t kSeeds = 300;
    std::uint32_t acknowledged = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      std::mt19937 random(seed);
      const auto isOneIn = [&](std::uint32_t aCount) {
        return random() % aCount == 0;
      };
      Group group;
      group.hosts.isLost = [&](const VirtualHosts::Frame&) {
        return isOneIn(10);
      };
      group.hosts.frameDelay = [&](const VirtualHosts::Frame&) {
        return Millis(isOneIn(5) ? random() % 1500 : random() % 50);
      };
      for (int order = 0; order < 10; ++order) {
        const bool drained = order % 2 == 0;
        group.commitTime = Millis(random() % 300);
        if (isOneIn(3)) {
          group.hosts.After(Millis(random() % 400), [&] {
            group.SetLeader(kHosts[random() % kHosts.size()]);
          });
        }
        bool isDone = false;
        for (int attempt = 0; attempt < 30 && !isDone; ++attempt) {
          isDone = IsAcknowledged(
              group.Order(kHosts[random() % kHosts.size()], drained));
        }
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), isDone);
        ++acknowledged;
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), drained,
                                     group.isDrained);
      }
      group.hosts.Run(Seconds(10));
      CPPUNIT_ASSERT_MESSAGE("late, seed " + std::to_string(seed),
                             !group.isDrained);
    }
    CPPUNIT_ASSERT_EQUAL(kSeeds * 10, acknowledged);
  }

  // Guards against a host that reads what arrived during a pause before it has
  // noticed the pause.
  void testPausesAreNoticed() {
    struct Case {
      std::int64_t pauseMs;
      std::int64_t checkedAfterMs;
      bool isSampled;
      bool isNoticed;
    };
    for (const Case& one :
         {Case{0, 50, true, false}, Case{300, 0, false, false},
          Case{300, 0, true, false}, Case{600, 0, false, true},
          Case{600, 0, true, true}, Case{600, 900, true, true},
          Case{600, 1001, true, false}}) {
      const TimePoint begin{Seconds(9).micros};
      PauseRecord record;
      CPPUNIT_ASSERT(!WasPausedLately(record, begin));
      RecordSample(record, Duration(), Millis(100), begin);
      const TimePoint end = begin + Millis(100 + one.pauseMs);
      if (one.isSampled) {
        // Others follow in time.
        for (TimePoint at = end; at <= end + Millis(one.checkedAfterMs);
             at = at + Millis(100)) {
          RecordSample(record, at == end ? Millis(one.pauseMs) : Duration(),
                       Millis(100), at);
        }
      }
      CPPUNIT_ASSERT_EQUAL(
          one.isNoticed,
          WasPausedLately(record, end + Millis(one.checkedAfterMs)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainServiceTest);

}  // namespace bramleypath::controller
