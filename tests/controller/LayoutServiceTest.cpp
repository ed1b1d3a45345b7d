#include "bramleypath/controller/LayoutService.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/workflow/Codec.h"
#include "tests/controller/VirtualHosts.h"

namespace bramleypath::controller {

namespace {

using controller_test::VirtualHosts;
using workflow::Layout;

const std::vector<HostId> kHosts = {HostId("10.0.0.1"), HostId("10.0.0.2"),
                                    HostId("10.0.0.3")};
// How long operators wait for an answer.
constexpr Duration kOperatorWait = Seconds(1);

Layout MakeLayout(std::uint64_t aVersion) {
  Layout layout;
  layout.version = aVersion;
  layout.document = "version " + std::to_string(aVersion);
  return layout;
}

// Hosts with a log of configurations. A leader commits after commitTime; the
// others apply what is committed after applyLag.
struct Group {
  VirtualHosts hosts;
  HostId leader = kHosts[0];  // empty: no host holds the lease
  std::optional<Layout> committed;
  std::map<HostId, std::optional<Layout>> applied;
  std::map<HostId, std::unique_ptr<LayoutService>> services;
  Duration commitTime = Millis(20);
  std::function<Duration()> applyLag = [] { return Millis(10); };
  std::uint64_t proposals = 0;

  Group() {
    std::uint64_t firstId = 1;
    for (const HostId& host : kHosts) {
      this->hosts.knownLeader[host] = this->leader;
      constexpr std::uint64_t kIdsOfAHost = 1000000;
      this->services[host] =
          std::make_unique<LayoutService>(this->MakeEnvironment(host), firstId);
      firstId += kIdsOfAHost;
    }
    this->hosts.deliver = [this](const VirtualHosts::Frame& aFrame) {
      LayoutService& service = *this->services[aFrame.to];
      if (aFrame.kind == kLayoutCallKind) {
        service.OnCall(aFrame.from, aFrame.payload);
      } else {
        service.OnAnswer(aFrame.payload);
      }
    };
  }

  LayoutEnvironment MakeEnvironment(const HostId& aHost) {
    LayoutEnvironment environment;
    environment.host = this->hosts.MakeEnvironment(aHost);
    environment.mayRead = [this, aHost] { return this->leader == aHost; };
    environment.layout = [this, aHost]() -> const Layout* {
      const auto& layout = this->applied[aHost];
      return layout ? &*layout : nullptr;
    };
    environment.propose = [this, aHost](std::uint64_t /*aVersion*/,
                                        gateway::Bytes aCommand,
                                        AnswerCallback aCallback) {
      this->Propose(aHost, aCommand, std::move(aCallback));
    };
    return environment;
  }

  void Propose(const HostId& aHost, const gateway::Bytes& aCommand,
               AnswerCallback aCallback) {
    ++this->proposals;
    std::string reason;
    const auto command = workflow::Decode(aCommand, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, command);
    const Layout layout = std::get<workflow::SetLayout>(*command).layout;
    this->hosts.After(this->commitTime, [this, aHost, layout, aCallback] {
      Answer answer;
      if (this->leader != aHost) {
        answer.status = AnswerStatus::OutcomeUnknown;
      } else if (this->committed &&
                 this->committed->version >= layout.version) {
        answer.status = AnswerStatus::Repeated;
      } else {
        answer.status = AnswerStatus::Done;
        this->committed = layout;
        this->applied[aHost] = layout;
        this->Replicate();
      }
      aCallback(answer);
    });
  }

  void Replicate() {
    for (const HostId& host : kHosts) {
      this->hosts.After(this->applyLag(),
                        [this, host, layout = this->committed] {
                          auto& known = this->applied[host];
                          if (!known || known->version < layout->version) {
                            known = layout;
                          }
                        });
    }
  }

  // The next leader has applied all that is committed when it gains its lease.
  void SetLeader(const HostId& aHost) {
    this->leader = aHost;
    if (!aHost.empty()) {
      this->applied[aHost] = this->committed;
    }
    for (auto& [host, known] : this->hosts.knownLeader) {
      known = aHost;
    }
  }

  std::optional<Answer> Set(const HostId& aHost, std::uint64_t aVersion) {
    auto answer = std::make_shared<std::optional<Answer>>();
    this->services[aHost]->Set(
        MakeLayout(aVersion),
        [answer](const Answer& aAnswer) { *answer = aAnswer; });
    this->hosts.Run(kOperatorWait);
    return *answer;
  }

  std::optional<LayoutAnswer> Read(const HostId& aHost) {
    auto answer = std::make_shared<std::optional<LayoutAnswer>>();
    this->services[aHost]->Read(
        [answer](const LayoutAnswer& aAnswer) { *answer = aAnswer; });
    this->hosts.Run(kOperatorWait);
    return *answer;
  }
};

void CheckDone(const std::optional<Answer>& aAnswer,
               const std::string& aContext) {
  CPPUNIT_ASSERT_MESSAGE(aContext + ": no answer", aAnswer);
  CPPUNIT_ASSERT_MESSAGE(aContext + ": " + aAnswer->reason,
                         aAnswer->status == AnswerStatus::Done ||
                             aAnswer->status == AnswerStatus::Repeated);
}

void CheckRead(const std::optional<LayoutAnswer>& aRead, std::uint64_t aVersion,
               const std::string& aContext) {
  CPPUNIT_ASSERT_MESSAGE(aContext + ": no answer", aRead);
  CPPUNIT_ASSERT_MESSAGE(aContext + ": " + aRead->answer.reason,
                         aRead->answer.status == AnswerStatus::Done);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aContext, aVersion, aRead->version);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aContext, MakeLayout(aVersion).document,
                               aRead->document);
}

}  // namespace

class LayoutServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LayoutServiceTest);
  CPPUNIT_TEST(testEveryHostAnswersOperators);
  CPPUNIT_TEST(testReadWithoutAConfiguration);
  CPPUNIT_TEST(testRepeatedChangeNeedsNoCommit);
  CPPUNIT_TEST(testLostFramesAreSentAgain);
  CPPUNIT_TEST(testCallsOutliveAChangeOfLeader);
  CPPUNIT_TEST(testCallWithoutALeaderEndsInTime);
  CPPUNIT_TEST(testReadsAreNeverOlderThanAcknowledgedChanges);
  CPPUNIT_TEST(testChangeTooLargeForAFrameIsLeftToTheLeader);
  CPPUNIT_TEST(testUnreadableFramesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against operators that have to open a connection to a loaded leader.
  void testEveryHostAnswersOperators() {
    for (const HostId& host : kHosts) {
      Group group;
      CheckDone(group.Set(host, 7), host.value);
      for (const HostId& reader : kHosts) {
        CheckRead(group.Read(reader), 7, host.value + " " + reader.value);
      }
    }
  }

  void testReadWithoutAConfiguration() {
    for (const HostId& host : kHosts) {
      Group group;
      const auto read = group.Read(host);
      CPPUNIT_ASSERT(read);
      CPPUNIT_ASSERT(read->answer.status == AnswerStatus::Unknown);
    }
  }

  // Guards against repetitions that wait for a commit each and keep a loaded
  // leader from answering the first one.
  void testRepeatedChangeNeedsNoCommit() {
    for (const HostId& host : kHosts) {
      Group group;
      CheckDone(group.Set(host, 7), "first");
      CheckDone(group.Set(host, 7), "again");
      CheckDone(group.Set(host, 5), "older");
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, group.proposals);
      CheckRead(group.Read(host), 7, host.value);
    }
  }

  void testLostFramesAreSentAgain() {
    struct Row {
      const char* kind;
      int lost;
    };
    for (const Row& row :
         {Row{kLayoutCallKind, 1}, Row{kLayoutCallKind, 2},
          Row{kLayoutAnswerKind, 1}, Row{kLayoutAnswerKind, 2}}) {
      Group group;
      int left = row.lost;
      group.hosts.isLost = [&](const VirtualHosts::Frame& aFrame) {
        return aFrame.kind == row.kind && left-- > 0;
      };
      const std::string context =
          std::string(row.kind) + " " + std::to_string(row.lost);
      CheckDone(group.Set(kHosts[1], 7), context);
      left = row.lost;
      CheckRead(group.Read(kHosts[1]), 7, context);
    }
  }

  // Guards against calls that are lost with the leader that they were sent to,
  // at any moment between the call and its answer.
  void testCallsOutliveAChangeOfLeader() {
    for (std::int64_t ms = 0; ms <= 60; ms += 3) {
      for (const HostId& host : {kHosts[1], kHosts[2]}) {
        const std::string context =
            host.value + ", leader lost after " + std::to_string(ms) + " ms";
        Group group;
        group.hosts.frameDelay = [](const VirtualHosts::Frame&) {
          return Millis(15);
        };
        const auto change = [&group] {
          group.hosts.After(Millis(100),
                            [&group] { group.SetLeader(kHosts[1]); });
          group.SetLeader(HostId());
        };
        group.hosts.After(Millis(ms), change);
        CheckDone(group.Set(host, 7), context);
        CheckRead(group.Read(host), 7, context);
      }
    }
  }

  void testCallWithoutALeaderEndsInTime() {
    Group group;
    CheckDone(group.Set(kHosts[0], 7), "first");
    group.SetLeader(HostId());
    for (const HostId& host : kHosts) {
      const auto change = group.Set(host, 9);
      CPPUNIT_ASSERT(change);
      CPPUNIT_ASSERT(change->status == AnswerStatus::NotLeader);
      const auto read = group.Read(host);
      CPPUNIT_ASSERT(read);
      CPPUNIT_ASSERT(read->answer.status == AnswerStatus::NotLeader);
    }
  }

  // Guards against a configuration that comes back older: replicas that lag,
  // leaders that change, late frames, and changes by two operators.
  void testReadsAreNeverOlderThanAcknowledgedChanges() {
    constexpr unsigned kSeeds = 200;
    constexpr int kSteps = 60;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      std::mt19937 random(seed);
      const auto below = [&random](int aLimit) {
        return static_cast<int>(random() % static_cast<unsigned>(aLimit));
      };
      Group group;
      group.hosts.frameDelay = [&](const VirtualHosts::Frame&) {
        return Millis(1 + below(300));
      };
      group.hosts.isLost = [&](const VirtualHosts::Frame&) {
        return below(10) == 0;
      };
      group.applyLag = [&] { return Millis(below(2000)); };
      std::uint64_t newest = 0;
      std::uint64_t acknowledged = 0;
      for (int step = 0; step < kSteps; ++step) {
        const HostId& host = kHosts[static_cast<std::size_t>(below(3))];
        LayoutService& service = *group.services[host];
        const int what = below(10);
        if (what < 4) {
          const std::uint64_t version = ++newest;
          service.Set(MakeLayout(version), [&, version](const Answer& aAnswer) {
            if (aAnswer.status == AnswerStatus::Done ||
                aAnswer.status == AnswerStatus::Repeated) {
              acknowledged = std::max(acknowledged, version);
            }
          });
        } else if (what < 9) {
          service.Read([&, expected = acknowledged,
                        seed](const LayoutAnswer& aRead) {
            if (aRead.answer.status != AnswerStatus::Done) {
              CPPUNIT_ASSERT(expected == 0 ||
                             aRead.answer.status == AnswerStatus::NotLeader);
              return;
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   aRead.version >= expected);
            CPPUNIT_ASSERT_EQUAL(MakeLayout(aRead.version).document,
                                 aRead.document);
          });
        } else {
          group.SetLeader(below(3) == 0 ? HostId() : host);
        }
        group.hosts.Run(Millis(below(200)));
      }
      group.hosts.Run(Seconds(5));
      CPPUNIT_ASSERT(acknowledged == 0 ||
                     group.committed->version >= acknowledged);
    }
  }

  void testChangeTooLargeForAFrameIsLeftToTheLeader() {
    Group group;
    Layout layout = MakeLayout(7);
    constexpr std::size_t kLongerThanAFrame = 2 * 1024 * 1024;
    layout.document.assign(kLongerThanAFrame, 'x');
    std::optional<Answer> answer;
    group.services[kHosts[1]]->Set(
        layout, [&answer](const Answer& aAnswer) { answer = aAnswer; });
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->status == AnswerStatus::NotLeader);
    CPPUNIT_ASSERT(group.hosts.sent.empty());
  }

  void testUnreadableFramesAreIgnored() {
    Group group;
    const std::vector<gateway::Bytes> frames = {
        {}, {0x00}, {0x84, 0x01}, {0x85, 0x01, 0x18, 0xff}, {0xff, 0xff}};
    for (const gateway::Bytes& frame : frames) {
      group.services[kHosts[0]]->OnCall(kHosts[1], frame);
      group.services[kHosts[1]]->OnAnswer(frame);
    }
    CPPUNIT_ASSERT(group.hosts.sent.empty());
    CheckDone(group.Set(kHosts[1], 7), "after unreadable frames");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LayoutServiceTest);

}  // namespace bramleypath::controller
