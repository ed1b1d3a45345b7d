#include "bramleypath/gateway/Dispatcher.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/gateway/Gateway.h"

namespace bramleypath::gateway {

namespace {

using workflow::RequestAnswer;
using workflow::RequestOutcome;

const HostId kLeader("10.0.0.1");
const std::vector<HostId> kHosts = {HostId("10.0.0.2"), HostId("10.0.0.3"),
                                    HostId("10.0.0.4")};
constexpr std::size_t kManyWorkers = 490;
constexpr Duration kStep = Millis(10);

struct Frame {
  HostId from;
  HostId to;
  std::string kind;
  Bytes payload;
};

// A request as a worker receives it.
struct Received {
  HostId sender;
  WorkerId worker;
  TimePoint at;
};

RequestAnswer MakeDone() {
  RequestAnswer done;
  done.outcome = RequestOutcome::Done;
  return done;
}

// A leader and three gateways on one clock, joined by a network that takes one
// step. Hosts that stand still keep their frames.
struct Group {
  TimePoint now{Seconds(100).micros};
  std::deque<std::function<void()>> posted;
  std::deque<Frame> frames;
  std::set<HostId> suspended;
  std::set<HostId> disconnected;
  // Hosts of a version without gateways.
  std::set<HostId> withoutGateway;
  // The leader that the gateways know.
  HostId knownLeader = kLeader;
  std::size_t workers = kManyWorkers;
  std::function<bool(const Frame&)> isLost = [](const Frame&) { return false; };
  std::function<bool(const Frame&)> isDuplicated = isLost;
  std::vector<Received> received;
  // Workers answer after this long.
  Duration workerDelay = Millis(20);
  RequestAnswer workerAnswer = MakeDone();
  std::vector<std::pair<TimePoint, std::function<void()>>> timers;
  std::map<HostId, std::unique_ptr<Gateway>> gateways;
  std::unique_ptr<Dispatcher> dispatcher;
  workflow::WorkerDriver driver;

  Group() {
    for (const HostId& host : kHosts) {
      this->StartGateway(host, host.value.back());
    }
    this->StartLeader(1);
    this->Run(Millis(500));
  }

  void StartGateway(const HostId& aHost, std::uint64_t aProcess) {
    this->gateways[aHost] = std::make_unique<Gateway>(
        this->MakeEnvironment(aHost), aProcess, this->MakeDirect(aHost));
  }

  void StartLeader(std::uint64_t aSession) {
    this->dispatcher = std::make_unique<Dispatcher>(
        this->MakeEnvironment(kLeader), aSession,
        [this] { return this->workers; }, this->MakeDirect(kLeader));
    this->driver = this->dispatcher->MakeDriver();
  }

  Environment MakeEnvironment(const HostId& aSelf) {
    Environment environment;
    environment.now = [this] { return this->now; };
    environment.post = [this](std::function<void()> aFunction) {
      this->posted.push_back(std::move(aFunction));
    };
    environment.postAfter = [this](Duration aTime,
                                   std::function<void()> aFunction) {
      this->timers.emplace_back(this->now + aTime, std::move(aFunction));
    };
    environment.peers = [] { return kHosts; };
    environment.isConnected = [this](const HostId& aHost) {
      return this->disconnected.count(aHost) == 0;
    };
    environment.send = [this, aSelf](const HostId& aHost,
                                     const std::string& aKind, Bytes aPayload) {
      const Frame frame{aSelf, aHost, aKind, std::move(aPayload)};
      if (this->disconnected.count(aHost) != 0 || this->isLost(frame)) {
        return;
      }
      if (this->isDuplicated(frame)) {
        this->frames.push_back(frame);
      }
      this->frames.push_back(frame);
    };
    environment.leader = [this] { return this->knownLeader; };
    return environment;
  }

  // The driver of a host, and the workers behind it.
  workflow::WorkerDriver MakeDirect(const HostId& aHost) {
    const auto answer = [this, aHost](
                            const workflow::WorkerSpec& aWorker,
                            std::function<void(RequestAnswer)> aDone) {
      this->received.push_back({aHost, aWorker.id, this->now});
      this->timers.emplace_back(this->now + this->workerDelay,
                                [this, aDone] { aDone(this->workerAnswer); });
    };
    workflow::WorkerDriver direct;
    direct.start = [answer](const auto& aWorker, const auto&, auto aDone) {
      answer(aWorker, aDone);
    };
    direct.stop = [answer](const auto& aWorker, const auto&, auto aDone) {
      answer(aWorker, aDone);
    };
    direct.pace = [answer](const auto& aWorker, const auto&, auto aDone) {
      answer(aWorker, aDone);
    };
    direct.renewLease = [answer](const auto& aWorker, const auto&, auto aDone) {
      answer(aWorker, [aDone](RequestAnswer aAnswer) {
        workflow::RenewLeaseAnswer renewed;
        renewed.result = std::move(aAnswer);
        aDone(renewed);
      });
    };
    return direct;
  }

  void Deliver(const Frame& aFrame) {
    if (aFrame.to == kLeader) {
      if (aFrame.kind == kReadyKind) {
        this->dispatcher->OnReady(aFrame.from, aFrame.payload);
      } else if (aFrame.kind == kAnswersKind) {
        this->dispatcher->OnAnswers(aFrame.from, aFrame.payload);
      }
    } else if (this->withoutGateway.count(aFrame.to) == 0) {
      Gateway& gateway = *this->gateways.at(aFrame.to);
      if (aFrame.kind == kProbeKind) {
        gateway.OnProbe(aFrame.from);
      } else if (aFrame.kind == kRequestsKind) {
        gateway.OnRequests(aFrame.from, aFrame.payload);
      }
    }
  }

  void RunPosted() {
    while (!this->posted.empty()) {
      const auto function = std::move(this->posted.front());
      this->posted.pop_front();
      function();
    }
  }

  void Step() {
    this->RunPosted();
    this->now = this->now + kStep;
    const auto arrived = std::exchange(this->frames, {});
    for (const Frame& frame : arrived) {
      if (this->suspended.count(frame.to) != 0) {
        this->frames.push_back(frame);
      } else {
        this->Deliver(frame);
      }
    }
    auto waiting = std::exchange(this->timers, {});
    for (auto& one : waiting) {
      if (this->now < one.first) {
        this->timers.push_back(std::move(one));
      } else {
        one.second();
      }
    }
    if (this->suspended.count(kLeader) == 0) {
      this->dispatcher->Tick(true);
    }
  }

  void Run(Duration aTime) {
    const TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->Step();
    }
    this->RunPosted();
  }

  // The host that sent the worker's last request; empty: none.
  HostId LastSender(const WorkerId& aWorker) const {
    HostId sender;
    for (const Received& one : this->received) {
      if (one.worker == aWorker) {
        sender = one.sender;
      }
    }
    return sender;
  }
};

workflow::WorkerSpec MakeWorker(std::size_t aIndex) {
  workflow::WorkerSpec worker;
  worker.id = WorkerId("worker-" + std::to_string(aIndex));
  worker.address = "10.1.0." + std::to_string(aIndex) + ":8000";
  return worker;
}

struct Outcomes {
  std::vector<std::vector<RequestAnswer>> answers;
  std::size_t Count(RequestOutcome aOutcome) const {
    std::size_t count = 0;
    for (const auto& list : this->answers) {
      for (const RequestAnswer& answer : list) {
        count += answer.outcome == aOutcome ? 1 : 0;
      }
    }
    return count;
  }
};

// Sends one request of each kind in turn, aCount in all, and checks that no
// callback is called before its function returns.
std::shared_ptr<Outcomes> SendAll(Group& aGroup, std::size_t aCount) {
  constexpr std::size_t kKinds = 4;
  auto outcomes = std::make_shared<Outcomes>();
  outcomes->answers.resize(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto onAnswer = [outcomes, i](const RequestAnswer& aAnswer) {
      outcomes->answers[i].push_back(aAnswer);
    };
    const workflow::WorkerSpec worker = MakeWorker(i);
    switch (i % kKinds) {
      case 0:
        aGroup.driver.start(worker, workflow::StartRequest(), onAnswer);
        break;
      case 1:
        aGroup.driver.stop(worker, workflow::StopRequest(), onAnswer);
        break;
      case 2:
        aGroup.driver.pace(worker, workflow::PaceRequest(), onAnswer);
        break;
      default:
        aGroup.driver.renewLease(
            worker, workflow::RenewLeaseRequest(),
            [onAnswer](const workflow::RenewLeaseAnswer& aAnswer) {
              onAnswer(aAnswer.result);
            });
        break;
    }
    CPPUNIT_ASSERT(outcomes->answers[i].empty());
  }
  return outcomes;
}

}  // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(testEachRequestIsAnsweredOnce);
  CPPUNIT_TEST(testRequestsAreSpreadInOneFrameEach);
  CPPUNIT_TEST(testFramesAreBounded);
  CPPUNIT_TEST(testWorkerStaysAtItsGateway);
  CPPUNIT_TEST(testSilentGatewayIsNotUsedForSeconds);
  CPPUNIT_TEST(testSuspendedGatewayDoesNotSendLate);
  CPPUNIT_TEST(testSuspendedLeaderDoesNotSendLate);
  CPPUNIT_TEST(testSuspendedLeaderReadsAnswersFirst);
  CPPUNIT_TEST(testFormerLeaderIsRejected);
  CPPUNIT_TEST(testStoppingGatewayRejects);
  CPPUNIT_TEST(testUnsentRequestKeepsGatewayInUse);
  CPPUNIT_TEST(testRequestsForAnEarlierProcessAreRejected);
  CPPUNIT_TEST(testAnswersToAnEarlierProcessAreIgnored);
  CPPUNIT_TEST(testAnswersOfAnotherHostAreIgnored);
  CPPUNIT_TEST(testAllGoDirectlyWithoutGateways);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that end twice or never, which would leave an
  // attempt of unknown outcome for ever.
  void testEachRequestIsAnsweredOnce() {
    struct Case {
      const char* name;
      std::function<void(Group&)> before;
      // With the requests handed to the dispatcher, before the first step.
      std::function<void(Group&)> after;
      bool allDone;
    };
    const auto nothing = [](Group&) {};
    const auto loseKind = [](const char* aKind) {
      return [aKind](Group& aGroup) {
        aGroup.isLost = [aKind](const Frame& aFrame) {
          return aFrame.kind == aKind;
        };
      };
    };
    const Case cases[] = {
        {"sound", nothing, nothing, true},
        {"requests lost", loseKind(kRequestsKind), nothing, false},
        {"answers lost", loseKind(kAnswersKind), nothing, false},
        {"probes lost", loseKind(kReadyKind), nothing, true},
        {"one gateway's answers lost",
         [](Group& aGroup) {
           aGroup.isLost = [](const Frame& aFrame) {
             return aFrame.from == kHosts[0] && aFrame.kind == kAnswersKind;
           };
         },
         nothing, false},
        {"answers twice",
         [](Group& aGroup) {
           aGroup.isDuplicated = [](const Frame& aFrame) {
             return aFrame.kind == kAnswersKind;
           };
         },
         nothing, true},
        {"gateway stops", nothing,
         [](Group& aGroup) { aGroup.suspended.insert(kHosts[1]); }, false},
        {"link lost before the frame", nothing,
         [](Group& aGroup) { aGroup.disconnected.insert(kHosts[1]); }, true},
        {"links lost after the frame", nothing,
         [](Group& aGroup) {
           aGroup.RunPosted();
           aGroup.disconnected.insert(kHosts.begin(), kHosts.end());
         },
         true},
        {"gateway starts anew", nothing,
         [](Group& aGroup) {
           aGroup.Step();
           aGroup.StartGateway(kHosts[2], 99);
         },
         false},
        {"workers answer late",
         [](Group& aGroup) { aGroup.workerDelay = Seconds(5); }, nothing,
         false},
    };
    constexpr std::size_t kRequests = 200;
    for (const Case& one : cases) {
      Group group;
      one.before(group);
      const auto outcomes = SendAll(group, kRequests);
      one.after(group);
      group.Run(Seconds(8));
      for (const auto& list : outcomes->answers) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t{1}, list.size());
      }
      const bool allDone = outcomes->Count(RequestOutcome::Done) == kRequests;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.allDone, allDone);
      // A request that ended as not sent was received by no worker.
      std::set<WorkerId> receivers;
      for (const Received& request : group.received) {
        CPPUNIT_ASSERT_MESSAGE(one.name,
                               receivers.insert(request.worker).second);
      }
      for (std::size_t i = 0; i < kRequests; ++i) {
        const bool isNotSent =
            outcomes->answers[i][0].outcome == RequestOutcome::NotSent;
        CPPUNIT_ASSERT_MESSAGE(
            one.name, !isNotSent || receivers.count(MakeWorker(i).id) == 0);
      }
    }
  }

  // Guards against a frame for each request or answer, which would cost the
  // leader as much as the requests themselves.
  void testRequestsAreSpreadInOneFrameEach() {
    Group group;
    std::map<HostId, std::size_t> framesTo;
    std::map<HostId, std::size_t> framesFrom;
    group.isLost = [&](const Frame& aFrame) {
      framesTo[aFrame.to] += aFrame.kind == kRequestsKind ? 1 : 0;
      framesFrom[aFrame.from] += aFrame.kind == kAnswersKind ? 1 : 0;
      return false;
    };
    SendAll(group, 90);
    group.Run(Millis(100));
    std::map<HostId, std::size_t> sentBy;
    for (const Received& one : group.received) {
      ++sentBy[one.sender];
    }
    for (const HostId& host : kHosts) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, framesTo[host]);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, framesFrom[host]);
      CPPUNIT_ASSERT(sentBy[host] >= 15);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sentBy[kLeader]);
  }

  // Guards against a frame above the limit of the links, 2 MiB, which closes
  // the connection. A request that is too large for a frame goes directly.
  void testFramesAreBounded() {
    Group group;
    std::size_t largest = 0;
    group.isLost = [&largest](const Frame& aFrame) {
      largest = std::max(largest, aFrame.payload.size());
      return false;
    };
    std::size_t answered = 0;
    const auto onAnswer = [&answered](const RequestAnswer& aAnswer) {
      answered += aAnswer.outcome == RequestOutcome::Done ? 1 : 0;
    };
    constexpr std::size_t kRequests = 200;
    workflow::StartRequest request;
    request.specification = std::string(100 * 1000, 'x');
    for (std::size_t i = 0; i < kRequests; ++i) {
      group.driver.start(MakeWorker(i), request, onAnswer);
    }
    request.specification = std::string(3 * 1000 * 1000, 'x');
    group.driver.start(MakeWorker(kRequests), request, onAnswer);
    group.Run(Millis(200));
    CPPUNIT_ASSERT_EQUAL(kRequests + 1, answered);
    CPPUNIT_ASSERT(largest < 1024 * 1024);
    CPPUNIT_ASSERT(group.LastSender(MakeWorker(kRequests).id) == kLeader);
  }

  // Guards against hosts that take turns at one worker.
  void testWorkerStaysAtItsGateway() {
    Group group;
    std::map<WorkerId, HostId> senders;
    for (int round = 0; round < 20; ++round) {
      SendAll(group, 40);
      group.Run(Millis(500));
      for (const Received& one : group.received) {
        CPPUNIT_ASSERT(senders.emplace(one.worker, one.sender).first->second ==
                       one.sender);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{800}, group.received.size());
  }

  // Guards against a gateway that loses each batch and is given the next one.
  // Only its own workers change to another host, and they return to it.
  void testSilentGatewayIsNotUsedForSeconds() {
    Group group;
    const HostId& silent = kHosts[0];
    SendAll(group, 40);
    group.Run(Millis(200));
    std::map<WorkerId, HostId> before;
    for (const Received& one : group.received) {
      before[one.worker] = one.sender;
    }
    group.isLost = [silent](const Frame& aFrame) {
      return aFrame.from == silent && aFrame.kind == kAnswersKind;
    };
    SendAll(group, 40);
    group.Run(Millis(2300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group.dispatcher->GatewaysInUse());
    group.isLost = [](const Frame&) { return false; };
    SendAll(group, 40);
    group.Run(Millis(200));
    for (const auto& [worker, sender] : before) {
      const HostId last = group.LastSender(worker);
      CPPUNIT_ASSERT(sender == silent ? last != silent : last == sender);
    }
    group.Run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.dispatcher->GatewaysInUse());
    SendAll(group, 40);
    group.Run(Millis(200));
    for (const auto& [worker, sender] : before) {
      CPPUNIT_ASSERT(group.LastSender(worker) == sender);
    }
  }

  // Guards against requests that a gateway reads after it stood still, when
  // another leader may long be at work. The answer shows that the worker did
  // not get them.
  void testSuspendedGatewayDoesNotSendLate() {
    struct Case {
      Duration standstill;
      bool isSent;
    };
    const Case cases[] = {{Millis(100), true},
                          {Millis(600), false},
                          {Millis(1500), false},
                          {Seconds(20), false}};
    for (const Case& one : cases) {
      Group group;
      group.suspended = {kHosts.begin(), kHosts.end()};
      const auto outcomes = SendAll(group, 30);
      const TimePoint sentAt = group.now;
      group.Run(one.standstill);
      group.suspended.clear();
      group.Run(Seconds(5));
      CPPUNIT_ASSERT_EQUAL(one.isSent, !group.received.empty());
      for (const Received& request : group.received) {
        CPPUNIT_ASSERT(request.at <= sentAt + Millis(500));
      }
      for (const auto& list : outcomes->answers) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
        if (!one.isSent && one.standstill < Seconds(1)) {
          CPPUNIT_ASSERT(workflow::IsDelayedByLeader(list[0]));
        }
      }
    }
  }

  // Guards against requests that wait in the leader while it stands still.
  void testSuspendedLeaderDoesNotSendLate() {
    Group group;
    const auto outcomes = SendAll(group, 30);
    group.now = group.now + Seconds(2);
    group.Run(Millis(200));
    CPPUNIT_ASSERT(group.received.empty());
    for (const auto& list : outcomes->answers) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.size());
      CPPUNIT_ASSERT(workflow::IsDelayedByLeader(list[0]));
    }
  }

  // Guards against a leader that stood still and takes the answers that wait to
  // be read for missing ones. It has no recent news of a gateway, so that new
  // requests go directly.
  void testSuspendedLeaderReadsAnswersFirst() {
    Group group;
    const auto outcomes = SendAll(group, 30);
    group.RunPosted();
    group.suspended = {kLeader};
    group.Run(Seconds(3));
    group.suspended.clear();
    group.received.clear();
    SendAll(group, 30);
    group.RunPosted();
    for (const Received& one : group.received) {
      CPPUNIT_ASSERT(one.sender == kLeader);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, group.received.size());
    group.dispatcher->Tick(true);
    group.Run(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{30},
                         outcomes->Count(RequestOutcome::Done));
  }

  void testFormerLeaderIsRejected() {
    Group group;
    group.knownLeader = HostId("10.0.0.9");
    const auto outcomes = SendAll(group, 30);
    group.Run(Millis(200));
    CPPUNIT_ASSERT(group.received.empty());
    for (const auto& list : outcomes->answers) {
      CPPUNIT_ASSERT(workflow::IsDelayedByLeader(list.at(0)));
    }
  }

  // Guards against requests that are lost with a host that stops as planned.
  void testStoppingGatewayRejects() {
    Group group;
    for (const HostId& host : kHosts) {
      group.gateways.at(host)->Close();
    }
    const auto outcomes = SendAll(group, 30);
    group.Run(Millis(200));
    CPPUNIT_ASSERT(group.received.empty());
    for (const auto& list : outcomes->answers) {
      CPPUNIT_ASSERT(workflow::IsDelayedByLeader(list.at(0)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.dispatcher->GatewaysInUse());
  }

  // Guards against taking out all gateways when workers are cut off: requests
  // that wait for a worker's connections end as not sent by the sender's delay.
  void testUnsentRequestKeepsGatewayInUse() {
    Group group;
    group.workerAnswer.outcome = RequestOutcome::NotSent;
    group.workerAnswer.delayedByLeader = true;
    const auto outcomes = SendAll(group, 30);
    group.Run(Millis(200));
    for (const auto& list : outcomes->answers) {
      CPPUNIT_ASSERT(workflow::IsDelayedByLeader(list.at(0)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.dispatcher->GatewaysInUse());
  }

  // Guards against a stamp of the clock before a restart of the host, by which
  // late requests would look early.
  void testRequestsForAnEarlierProcessAreRejected() {
    Group group;
    for (const HostId& host : kHosts) {
      group.StartGateway(host, 1000);
    }
    const auto outcomes = SendAll(group, 30);
    group.Run(Millis(200));
    CPPUNIT_ASSERT(group.received.empty());
    for (const auto& list : outcomes->answers) {
      CPPUNIT_ASSERT(workflow::IsDelayedByLeader(list.at(0)));
    }
  }

  // Guards against an answer to a request of the same id that an earlier
  // process of the leader sent.
  void testAnswersToAnEarlierProcessAreIgnored() {
    Group group;
    group.workerDelay = Millis(300);
    SendAll(group, 30);
    group.Run(Millis(50));
    group.StartLeader(2);
    group.Run(Millis(150));
    group.workerDelay = Millis(600);
    const auto outcomes = SendAll(group, 30);
    group.Run(Millis(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcomes->Count(RequestOutcome::Done));
    group.Run(Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{30},
                         outcomes->Count(RequestOutcome::Done));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                         group.dispatcher->Counters().throughGateway);
  }

  // Guards against the answer of a host that did not get the request.
  void testAnswersOfAnotherHostAreIgnored() {
    Group group;
    const auto outcomes = SendAll(group, 1);
    group.RunPosted();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group.frames.size());
    const auto sent = DecodeRequests(group.frames[0].payload);
    CPPUNIT_ASSERT(sent);
    Answers forged{sent->session, sent->stamp, {}};
    forged.answers.push_back(Answer{sent->requests.at(0).id, false, {}});
    for (const HostId& host : kHosts) {
      if (host != group.frames[0].to) {
        group.dispatcher->OnAnswers(host, EncodeAnswers(forged));
      }
    }
    CPPUNIT_ASSERT(outcomes->answers[0].empty());
    group.Run(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes->Count(RequestOutcome::Done));
  }

  // Guards against a small group that pays for the detour, and against requests
  // to hosts of a version that ignores them.
  void testAllGoDirectlyWithoutGateways() {
    struct Case {
      const char* name;
      std::function<void(Group&)> change;
    };
    const Case cases[] = {
        {"few workers", [](Group& aGroup) { aGroup.workers = 127; }},
        {"hosts without gateway",
         [](Group& aGroup) {
           aGroup.withoutGateway = {kHosts.begin(), kHosts.end()};
         }},
        {"no links",
         [](Group& aGroup) {
           aGroup.disconnected = {kHosts.begin(), kHosts.end()};
         }},
    };
    for (const Case& one : cases) {
      Group group;
      one.change(group);
      group.Run(Seconds(2));
      const auto outcomes = SendAll(group, 40);
      group.Run(Millis(100));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t{40},
                                   outcomes->Count(RequestOutcome::Done));
      for (const Received& request : group.received) {
        CPPUNIT_ASSERT_MESSAGE(one.name, request.sender == kLeader);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace bramleypath::gateway
