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

WorkerAgent MakeAgent() {
  WorkerAgent agent;
  agent.worker = WorkerId("w");
  return agent;
}

CommandBatch MakeBatch(CommandKind aKind, TimePoint aTimestamp,
                       Epoch aEpoch = 5) {
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
  CPPUNIT_TEST(testWaitingRenewalCountsBeforeExpiry);
  CPPUNIT_TEST(testRefusesStaleCommands);
  CPPUNIT_TEST(testEndedAttemptIsNotStartedAgain);
  CPPUNIT_TEST(testStopBeforeStart);
  CPPUNIT_TEST(testRenewAllNeedsTheSameAttempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a delayed renewal that extends a lease beyond the time at
  // which the leader assumes it to be over.
  void testLeaseCountsFromTheEchoedTimestamp() {
    WorkerAgent agent = MakeAgent();
    HandleBatch(agent, MakeBatch(CommandKind::Start, kStart),
                kStart + Seconds(2));
    CPPUNIT_ASSERT(NextDeadline(agent) == kStart + Seconds(10));
    HandleBatch(agent, MakeBatch(CommandKind::Renew, kStart),
                kStart + Seconds(9));
    CPPUNIT_ASSERT(NextDeadline(agent) == kStart + Seconds(10));
    CPPUNIT_ASSERT(Expire(agent, kStart + Millis(9999)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Expire(agent, kStart + Seconds(10)).size());
    WorkerAgent late = MakeAgent();
    CPPUNIT_ASSERT(HandleBatch(late, MakeBatch(CommandKind::Start, kStart),
                               kStart + Seconds(11))
                       .empty());
  }

  // Guards against a worker that was paused and stops an attempt although its
  // renewal was granted in time and waited in the socket.
  void testWaitingRenewalCountsBeforeExpiry() {
    struct Row {
      const char* label;
      bool renewAll;
      Duration handledAfter;
      bool runs;
    };
    const Row rows[] = {
        {"renewed by name", false, Seconds(12), true},
        {"all renewed", true, Seconds(12), true},
        {"the renewed lease is over too", false, Seconds(19), false},
    };
    for (const Row& row : rows) {
      WorkerAgent agent = MakeAgent();
      HandleBatch(agent, MakeBatch(CommandKind::Start, kStart), kStart);
      CommandBatch batch = MakeBatch(CommandKind::Renew, kStart + Seconds(9));
      if (row.renewAll) {
        batch.commands.clear();
        batch.renewAll = true;
        batch.runningCount = 1;
        batch.runningDigest = cell::DigestOf(kAttempt);
      }
      const auto effects = HandleBatch(agent, batch, kStart + row.handledAfter);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.runs, effects.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.runs,
                                   agent.running.count(kAttempt) == 1);
    }
  }

  // Guards against executing commands of a deposed leader, or those meant for
  // an earlier process of the worker.
  void testRefusesStaleCommands() {
    WorkerAgent agent = MakeAgent();
    HandleBatch(agent, MakeBatch(CommandKind::Start, kStart, 5), kStart);
    CPPUNIT_ASSERT(
        HandleBatch(agent, MakeBatch(CommandKind::Stop, kStart, 4), kStart)
            .empty());
    CommandBatch earlier = MakeBatch(CommandKind::Stop, kStart, 9);
    earlier.incarnation = 0;
    CPPUNIT_ASSERT(HandleBatch(agent, earlier, kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.running.size());
    CPPUNIT_ASSERT_EQUAL(Epoch{5}, agent.highestEpoch);
  }

  // Guards against a repeated start that runs an attempt twice, and against a
  // confirmation that is not repeated after its message was lost.
  void testEndedAttemptIsNotStartedAgain() {
    WorkerAgent agent = MakeAgent();
    HandleBatch(agent, MakeBatch(CommandKind::Start, kStart), kStart);
    ReportEnd(agent, kAttempt, true, kStart + Seconds(1));
    for (int repeat = 0; repeat < 3; ++repeat) {
      CPPUNIT_ASSERT(HandleBatch(agent, MakeBatch(CommandKind::Start, kStart),
                                 kStart + Seconds(2))
                         .empty());
      const auto message = TakeMessage(agent, kStart + Seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, message.confirmations.size());
      CPPUNIT_ASSERT(message.confirmations[0].event ==
                     cell::EndEvent::Finished);
    }
    CommandBatch batch = MakeBatch(CommandKind::Start, kStart + Seconds(3));
    batch.acknowledged = {kAttempt};
    HandleBatch(agent, batch, kStart + Seconds(3));
    CPPUNIT_ASSERT(
        TakeMessage(agent, kStart + Seconds(4)).confirmations.empty());
    // The attempt is remembered until the lease of any earlier start has
    // expired.
    CPPUNIT_ASSERT(
        HandleBatch(agent, MakeBatch(CommandKind::Start, kStart + Seconds(3)),
                    kStart + Millis(12900))
            .empty());
    TakeMessage(agent, kStart + Millis(13001));
    CPPUNIT_ASSERT(agent.ended.empty());
  }

  // Guards against running an attempt whose start arrives after its stop.
  void testStopBeforeStart() {
    WorkerAgent agent = MakeAgent();
    HandleBatch(agent, MakeBatch(CommandKind::Stop, kStart), kStart);
    CPPUNIT_ASSERT(
        HandleBatch(agent, MakeBatch(CommandKind::Start, kStart), kStart)
            .empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         TakeMessage(agent, kStart).confirmations.size());
  }

  // Guards against renewing all leases while the worker runs other attempts
  // than the leader assumes.
  void testRenewAllNeedsTheSameAttempts() {
    WorkerAgent agent = MakeAgent();
    HandleBatch(agent, MakeBatch(CommandKind::Start, kStart), kStart);
    CommandBatch batch = MakeBatch(CommandKind::Renew, kStart + Seconds(5));
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
