#include "bramleypath/workeragent/WorkerAgent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace bramleypath::workeragent {

namespace {

using cell::AttemptId;
using cell::CommandBatch;
using cell::CommandKind;
using cell::WorkerCommand;

const AttemptId kAttempt{TaskId{JobId("j"), 0}, 1};
constexpr TimePoint kStart{1000000};

WorkerAgent Agent() {
  WorkerAgent agent;
  agent.worker = WorkerId("w");
  return agent;
}

CommandBatch Batch(CommandKind aKind, TimePoint aTimestamp, Epoch aEpoch = 5) {
  CommandBatch batch;
  batch.epoch = aEpoch;
  batch.worker = WorkerId("w");
  batch.incarnation = 1;
  batch.echoedTimestamp = aTimestamp.micros;
  batch.leaseMs = 10000;
  WorkerCommand command;
  command.kind = aKind;
  command.attempt = kAttempt;
  batch.commands.push_back(command);
  return batch;
}

}  // namespace

class WorkerAgentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerAgentTest);
  CPPUNIT_TEST(testLeaseCountsFromTheEchoedTimestamp);
  CPPUNIT_TEST(testRefusesOthersCommands);
  CPPUNIT_TEST(testEndedAttemptIsNotStartedAgain);
  CPPUNIT_TEST(testStopBeforeStart);
  CPPUNIT_TEST(testRenewAllNeedsTheSameAttempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a delayed renewal extending a lease beyond what the leader
  // counts with.
  void testLeaseCountsFromTheEchoedTimestamp() {
    WorkerAgent agent = Agent();
    HandleBatch(agent, Batch(CommandKind::Start, kStart), kStart + Seconds(2));
    CPPUNIT_ASSERT(NextDeadline(agent) == kStart + Seconds(10));
    HandleBatch(agent, Batch(CommandKind::Renew, kStart), kStart + Seconds(9));
    CPPUNIT_ASSERT(NextDeadline(agent) == kStart + Seconds(10));
    CPPUNIT_ASSERT(Expire(agent, kStart + Millis(9999)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Expire(agent, kStart + Seconds(10)).size());
    WorkerAgent late = Agent();
    CPPUNIT_ASSERT(HandleBatch(late, Batch(CommandKind::Start, kStart),
                               kStart + Seconds(11))
                       .empty());
  }

  // Guards against commands of a deposed leader or to an earlier process.
  void testRefusesOthersCommands() {
    WorkerAgent agent = Agent();
    HandleBatch(agent, Batch(CommandKind::Start, kStart, 5), kStart);
    CPPUNIT_ASSERT(
        HandleBatch(agent, Batch(CommandKind::Stop, kStart, 4), kStart)
            .empty());
    CommandBatch earlier = Batch(CommandKind::Stop, kStart, 9);
    earlier.incarnation = 0;
    CPPUNIT_ASSERT(HandleBatch(agent, earlier, kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.running.size());
    CPPUNIT_ASSERT_EQUAL(Epoch{5}, agent.highestEpoch);
  }

  // Guards against a repeated start running an attempt twice, and against a
  // confirmation that was lost being lost for good.
  void testEndedAttemptIsNotStartedAgain() {
    WorkerAgent agent = Agent();
    HandleBatch(agent, Batch(CommandKind::Start, kStart), kStart);
    ReportEnd(agent, kAttempt, true, kStart + Seconds(1));
    for (int repeat = 0; repeat < 3; ++repeat) {
      CPPUNIT_ASSERT(HandleBatch(agent, Batch(CommandKind::Start, kStart),
                                 kStart + Seconds(2))
                         .empty());
      const auto message = TakeMessage(agent, kStart + Seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, message.confirmations.size());
      CPPUNIT_ASSERT(message.confirmations[0].event ==
                     cell::EndEvent::Finished);
    }
    CommandBatch batch = Batch(CommandKind::Start, kStart + Seconds(3));
    batch.acknowledged = {kAttempt};
    HandleBatch(agent, batch, kStart + Seconds(3));
    CPPUNIT_ASSERT(
        TakeMessage(agent, kStart + Seconds(4)).confirmations.empty());
    // Remembered until the lease of any earlier start is over.
    CPPUNIT_ASSERT(HandleBatch(agent,
                               Batch(CommandKind::Start, kStart + Seconds(3)),
                               kStart + Millis(12900))
                       .empty());
    TakeMessage(agent, kStart + Millis(13001));
    CPPUNIT_ASSERT(agent.ended.empty());
  }

  // Guards against a start that overtakes nothing but arrives after its stop.
  void testStopBeforeStart() {
    WorkerAgent agent = Agent();
    HandleBatch(agent, Batch(CommandKind::Stop, kStart), kStart);
    CPPUNIT_ASSERT(
        HandleBatch(agent, Batch(CommandKind::Start, kStart), kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         TakeMessage(agent, kStart).confirmations.size());
  }

  // Guards against renewing attempts that the leader no longer counts on.
  void testRenewAllNeedsTheSameAttempts() {
    WorkerAgent agent = Agent();
    HandleBatch(agent, Batch(CommandKind::Start, kStart), kStart);
    CommandBatch batch = Batch(CommandKind::Renew, kStart + Seconds(5));
    batch.commands.clear();
    batch.renewAll = true;
    batch.runningCount = 1;
    HandleBatch(agent, batch, kStart + Seconds(5));
    CPPUNIT_ASSERT(NextDeadline(agent) == kStart + Seconds(10));
    batch.runningDigest = cell::DigestOf(kAttempt);
    HandleBatch(agent, batch, kStart + Seconds(5));
    CPPUNIT_ASSERT(NextDeadline(agent) == kStart + Seconds(15));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerAgentTest);

}  // namespace bramleypath::workeragent
