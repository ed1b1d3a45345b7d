#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "bramleypath/wire/JobMessages.h"
#include "bramleypath/wire/JournalMessages.h"
#include "bramleypath/wire/PeerRequest.h"
#include "bramleypath/wire/TargetMessages.h"
#include "bramleypath/wire/WorkerMessages.h"

using namespace bramleypath;
using namespace bramleypath::wire;

namespace {

cell::AttemptId Attempt(const char* aJob, std::uint32_t aIndex,
                        AttemptNumber aNumber) {
  return {TaskId{JobId(aJob), aIndex}, aNumber};
}

cell::WorkerMessage Message() {
  cell::WorkerMessage message;
  message.worker = WorkerId("w");
  message.incarnation = std::numeric_limits<std::uint64_t>::max();
  message.timestamp = -5;
  message.runningDigest = 0xfedcba9876543210ULL;
  message.runningCount = 2;
  message.statuses.push_back(
      {Attempt("j", 1, 2), cell::RunningState::Checkpointed, "c1"});
  message.confirmations.push_back(
      {Attempt("j", 0, 1), cell::EndEvent::LeaseExpired, ""});
  return message;
}

// Guards against fields that change between encoding and decoding, and against
// accepting malformed input.
class MessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessagesTest);
  CPPUNIT_TEST(testWorkerMessages);
  CPPUNIT_TEST(testCommandBatch);
  CPPUNIT_TEST(testTargets);
  CPPUNIT_TEST(testJobs);
  CPPUNIT_TEST(testPeerMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testWorkerMessages() {
    WireReason reason;
    WorkerAnnounce announce;
    announce.message = Message();
    announce.record.worker = announce.message.worker;
    announce.record.incarnation = announce.message.incarnation;
    announce.record.address = "10.0.0.1:80";
    announce.record.rack = RackId("r");
    announce.record.processorsMilli = 32000;
    const std::string text = ToJson(announce);
    const auto parsed = ParseWorkerAnnounce(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.field + reason.detail, parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(text, ToJson(*parsed));
    CPPUNIT_ASSERT(parsed->message.runningDigest ==
                   announce.message.runningDigest);
    CPPUNIT_ASSERT(parsed->message.confirmations[0].event ==
                   cell::EndEvent::LeaseExpired);

    WorkerReport report;
    report.message = Message();
    report.sampleAgeMs = 12000;
    report.usage.push_back({Attempt("j", 1, 2), 1500, 900, 2500});
    const auto parsedReport = ParseWorkerReport(ToJson(report), reason);
    CPPUNIT_ASSERT(parsedReport);
    CPPUNIT_ASSERT_EQUAL(ToJson(report), ToJson(*parsedReport));

    for (const char* bad :
         {"", "[]", "{}", "null", "{\"worker\":1}",
          "{\"worker\":\"\",\"incarnation\":1,\"stamp\":1,"
          "\"running_digest\":1,\"running_count\":1}",
          "{\"worker\":\"w\",\"incarnation\":-1,\"stamp\":1,"
          "\"running_digest\":1,\"running_count\":1}",
          "{\"worker\":\"w\",\"incarnation\":1,\"stamp\":1,"
          "\"running_digest\":1,\"running_count\":1,\"confirmations\":"
          "[{\"job\":\"j\",\"index\":0,\"attempt\":1,\"event\":\"gone\"}]}"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseWorkerMessage(bad, reason));
    }
  }

  void testCommandBatch() {
    cell::CommandBatch batch;
    batch.epoch = 7;
    batch.worker = WorkerId("w");
    batch.incarnation = 3;
    batch.echoedTimestamp = 99;
    batch.leaseMs = 10000;
    batch.renewAll = true;
    batch.runningDigest = 0xffffffffffffffffULL;
    cell::WorkerCommand start;
    start.kind = cell::CommandKind::Start;
    start.attempt = Attempt("j", 4, 1);
    start.jobKind = cell::JobKind::Service;
    start.resources = {1000, 2000, 1};
    start.checkpoint = "c";
    batch.commands.push_back(start);
    batch.acknowledged.push_back(Attempt("j", 3, 2));
    WireReason reason;
    const auto parsed = ParseCommandBatch(ToJson(batch), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.field + reason.detail, parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(ToJson(batch), ToJson(*parsed));
    CPPUNIT_ASSERT(parsed->commands[0].kind == cell::CommandKind::Start);
    CPPUNIT_ASSERT(parsed->commands[0].resources == start.resources);
  }

  void testTargets() {
    membership::TargetRecord record;
    record.target = TargetId("t");
    record.incarnation = 5;
    record.service = ServiceId("s");
    record.address = "10.0.0.1:8080";
    record.slots = 8;
    record.connections = 60;
    WireReason reason;
    const auto parsed = ParseTargetAnnounce(ToJson(record), reason);
    CPPUNIT_ASSERT(parsed);
    CPPUNIT_ASSERT_EQUAL(ToJson(record), ToJson(*parsed));
    record.slots = 0;
    CPPUNIT_ASSERT(!ParseTargetAnnounce(ToJson(record), reason));
    CPPUNIT_ASSERT_EQUAL(std::string("slots"), reason.field);
    record.slots = 8;
    record.address = "name";
    CPPUNIT_ASSERT(!ParseTargetAnnounce(ToJson(record), reason));
    CPPUNIT_ASSERT_EQUAL(std::string("address"), reason.field);
    CPPUNIT_ASSERT(ParseTargetLeave(
        ToJson(membership::TargetLeft{TargetId("t"), 5}), reason));
    CPPUNIT_ASSERT(!ParseTargetLeave("{\"target\":\"t\"}", reason));
    CPPUNIT_ASSERT_EQUAL(std::string("incarnation"), reason.field);
  }

  void testJobs() {
    WireReason reason;
    const auto job = ParseJobSubmission(
        "{\"request_id\":\"r\",\"job\":{\"job\":\"j\",\"member\":\"m\","
        "\"class\":\"c\",\"tasks\":3,\"processors_milli\":1000,"
        "\"memory_mb\":10}}",
        reason);
    CPPUNIT_ASSERT_MESSAGE(reason.field + reason.detail, job.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, job->spec.taskCount);
    CPPUNIT_ASSERT(!ParseJobSubmission(
        "{\"request_id\":\"r\",\"job\":{\"job\":\"j\",\"member\":\"m\","
        "\"class\":\"c\",\"kind\":\"x\",\"processors_milli\":1,"
        "\"memory_mb\":1}}",
        reason));
    CPPUNIT_ASSERT_EQUAL(std::string("job.kind"), reason.field);
    CPPUNIT_ASSERT(!ParseJobSubmission("{\"request_id\":\"r\"}", reason));
    CPPUNIT_ASSERT_EQUAL(std::string("job"), reason.field);
    CPPUNIT_ASSERT(
        !ParseJobCancellation("{\"request_id\":\"\",\"job\":\"j\"}", reason));
    CPPUNIT_ASSERT_EQUAL(std::string("request_id"), reason.field);
    CPPUNIT_ASSERT(!ParseJobCancellation("{\"request_id\":\"r\"}", reason));
    CPPUNIT_ASSERT_EQUAL(std::string("job"), reason.field);
  }

  void testPeerMessages() {
    PeerRequest request;
    request.id = 9;
    request.method = "POST";
    request.path = "/p";
    request.headers = {{"a", "b"}};
    request.body = {0, 255, 1};
    request.remainingMs = 250;
    const net::Bytes bytes = Encode(request);
    const auto parsed = DecodePeerRequest(bytes);
    CPPUNIT_ASSERT(parsed);
    CPPUNIT_ASSERT(parsed->body == request.body);
    CPPUNIT_ASSERT(Encode(*parsed) == bytes);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CPPUNIT_ASSERT(!DecodePeerRequest(net::Bytes(
          bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(length))));
    }
    CPPUNIT_ASSERT(!DecodePeerAnswer(bytes));
    const auto hello =
        DecodeHostHello(Encode(HostHello{"h/initial", {{"config", 4}}}));
    CPPUNIT_ASSERT(hello && hello->leads.size() == 1 &&
                   hello->leads[0].term == 4);
    const auto journalRequest =
        DecodeJournalRequest(EncodeText(JournalRequest{700, 2, {1, 2}}));
    CPPUNIT_ASSERT(journalRequest && journalRequest->waitMs == 700);
    CPPUNIT_ASSERT(!DecodeJournalAnswer("x"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);

}  // namespace
