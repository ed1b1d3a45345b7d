#include "bramleypath/daemon/HeartbeatBatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bramleypath;
using namespace bramleypath::daemon;

namespace {

const HostId kLeader("leith-1");
constexpr TimePoint kStart{1000000};

wire::WorkerAnnounce Announce() {
  wire::WorkerAnnounce announce;
  announce.record.worker = WorkerId("w1");
  announce.record.incarnation = 7;
  announce.record.address = "127.0.0.1:1";
  announce.message.worker = announce.record.worker;
  announce.message.incarnation = 7;
  announce.message.timestamp = 42;
  announce.message.runningDigest = 0xffffffffffffffff;
  announce.message.runningCount = 3;
  return announce;
}

// Guards against a change that never reaches the leader because its
// announcement was replaced by a heartbeat, and against a new leader that never
// gets a worker's full announcement.
class HeartbeatBatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeartbeatBatcherTest);
  CPPUNIT_TEST(testWhatIsForwardedInFull);
  CPPUNIT_TEST(testBatchIsSentOnce);
  CPPUNIT_TEST(testCodec);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testWhatIsForwardedInFull() {
    struct Row {
      const char* label;
      void (*change)(HeartbeatBatcher&, wire::WorkerAnnounce&);
      const char* leader;
      Duration later;
      bool heartbeat;
    };
    const Row rows[] = {
        {"no change", [](auto&, auto&) {}, "leith-1", Seconds(1), true},
        {"another leader", [](auto&, auto&) {}, "leith-2", Seconds(1), false},
        {"interval has ended", [](auto&, auto&) {}, "leith-1",
         kFullAnnounceInterval, false},
        {"a new address",
         [](auto&, auto& aOne) { aOne.record.address = "127.0.0.1:2"; },
         "leith-1", Seconds(1), false},
        {"a restart", [](auto&, auto& aOne) { aOne.record.incarnation = 8; },
         "leith-1", Seconds(1), false},
        {"a confirmation",
         [](auto&, auto& aOne) { aOne.message.confirmations.emplace_back(); },
         "leith-1", Seconds(1), false},
        {"a status",
         [](auto&, auto& aOne) { aOne.message.statuses.emplace_back(); },
         "leith-1", Seconds(1), false},
        {"unknown to the leader",
         [](auto& aBatcher, auto&) {
           ForgetWorkers(aBatcher, {WorkerId("w1")});
         },
         "leith-1", Seconds(1), false},
    };
    for (const Row& row : rows) {
      HeartbeatBatcher batcher;
      wire::WorkerAnnounce announce = Announce();
      CPPUNIT_ASSERT(!AddHeartbeat(batcher, kLeader, announce, kStart));
      RecordForwardedAnnounce(batcher, kLeader, announce.record, kStart);
      row.change(batcher, announce);
      CPPUNIT_ASSERT_MESSAGE(
          row.label,
          row.heartbeat == AddHeartbeat(batcher, HostId(row.leader), announce,
                                        kStart + row.later));
    }
  }

  void testBatchIsSentOnce() {
    HeartbeatBatcher batcher;
    RecordForwardedAnnounce(batcher, kLeader, Announce().record, kStart);
    CPPUNIT_ASSERT(AddHeartbeat(batcher, kLeader, Announce(), kStart));
    CPPUNIT_ASSERT(TakeDueHeartbeats(batcher, kStart).empty());
    const TimePoint due = kStart + kHeartbeatFlushInterval;
    CPPUNIT_ASSERT(TakeDueHeartbeats(batcher, due).size() == 1);
    CPPUNIT_ASSERT(TakeDueHeartbeats(batcher, due + Seconds(1)).empty());
  }

  void testCodec() {
    HeartbeatBatcher batcher;
    RecordForwardedAnnounce(batcher, kLeader, Announce().record, kStart);
    AddHeartbeat(batcher, kLeader, Announce(), kStart);
    const std::string bytes = wire::EncodeHeartbeats(batcher.pending);
    const auto decoded = wire::DecodeHeartbeats(bytes);
    CPPUNIT_ASSERT(decoded && decoded->size() == 1);
    CPPUNIT_ASSERT(decoded->front().worker == WorkerId("w1"));
    CPPUNIT_ASSERT_EQUAL(cell::WorkerTimestamp{42}, decoded->front().timestamp);
    CPPUNIT_ASSERT(decoded->front().runningDigest == 0xffffffffffffffff);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CPPUNIT_ASSERT(!wire::DecodeHeartbeats(bytes.substr(0, length)));
    }
    const auto names =
        wire::DecodeWorkerNames(wire::EncodeWorkerNames({WorkerId("w1")}));
    CPPUNIT_ASSERT(names && *names == std::vector<WorkerId>{WorkerId("w1")});
    CPPUNIT_ASSERT(!wire::DecodeWorkerNames("x"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeartbeatBatcherTest);

}  // namespace
