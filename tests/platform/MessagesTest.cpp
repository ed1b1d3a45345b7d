#include "platform/Messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "bramleypath/codec/Fields.h"
#include "platform/LayoutMessage.h"

namespace bramleypath::platform {

namespace {

using codec::Json;

Json HeartbeatBody() {
  return Json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"a",
    "slots":8,"state":"ready","capacity":{"cpu":16000,
    "memoryRequestMb":32768,"gpu":1},"labels":["k","r1-3"],"clockMs":482113,
    "sequence":4,"born":1700000000000})");
}

Json LayoutBody() {
  return Json::parse(R"({"version":7,"routes":[{"name":"r","host":"h",
    "pathPrefix":"/p/","timeoutMs":3000,"targetDurationMs":250,"priority":2,
    "service":"s","maxAttempts":4,"stretch":1.5}],"services":[{"name":"s"}],
    "limits":{"maxBodyBytes":262144}})");
}

Json JobBody() {
  return Json::parse(R"({"specification":"text","steps":[{"count":4,"cpu":500,
    "memoryRequestMb":256,"estimatedMs":900,"dataRack":"r1-3"},{"count":20,
    "cpu":2000,"memoryRequestMb":1024,"after":[0],"checkpointing":true,
    "fills":true,"image":"i","targetMs":18,"missAllowance":2}]})");
}

struct ChangeCase {
  const char* pointer;
  Json value;  // discarded: the field is removed
};

const Json kRemoved = Json(Json::value_t::discarded);

Json ApplyChange(Json aBody, const ChangeCase& aCase) {
  if (aCase.value.is_discarded()) {
    const std::string name(aCase.pointer + 1);
    aBody.erase(name);
  } else {
    aBody[Json::json_pointer(aCase.pointer)] = aCase.value;
  }
  return aBody;
}

// Each change makes one field of a heartbeat invalid, as a different program
// might send it.
const ChangeCase kInvalidHeartbeats[] = {
    {"/service", kRemoved},
    {"/service", 7},
    {"/address", "nowhere"},
    {"/address", kRemoved},
    {"/state", "dancing"},
    {"/state", kRemoved},
    {"/capacity", kRemoved},
    {"/capacity/cpu", "many"},
    {"/capacity/cpu", -1},
    {"/labels", "k"},
    {"/labels/0", 5},
    {"/sequence", "four"},
    {"/sequence", kRemoved},
    {"/born", "yesterday"},
    {"/capacity/cpu", 1e300},
    {"/capacity/cpu", 9223372036854775807},
    {"/capacity/memoryRequestMb", 18446744073709551615U},
    {"/capacity/gpu", 1e18},
    {"/capacity/gpu", -1},
    {"/sequence", 9223372036854775807},
    {"/sequence", 18446744073709551615U},
    {"/sequence", 1e300},
    {"/born", 9223372036854775807},
    {"/born", 1e300},
    {"/born", -1},
    {"/address", "10.0.0.9:0"},
    {"/address", "10.0.0.9:65536"},
    {"/address", "10.0.0.9:99999999999"},
    {"/address", "10.0.0.9:-1"},
    {"/address", "10.0.0.9.1:80"},
    {"/address", "10.0.0.256:80"},
    {"/address", "worker:80"},
    {"/service", std::string(100000, 's')},
    {"/labels/0", std::string(100000, 'l')},
    {"/labels", Json::array_t(1000, "l")},
};

// Each level of nesting costs readers that recurse a part of their stack.
constexpr std::size_t kManyLevels = 2000000;

const ChangeCase kInvalidLayouts[] = {
    {"/version", kRemoved},
    {"/version", "7"},
    {"/routes", kRemoved},
    {"/services", 3},
    {"/routes/0/timeoutMs", 0},
    {"/routes/0/service", "unknown"},
    {"/routes/0/name", ""},
    {"/routes/1", Json::parse(R"({"name":"q","host":"h","pathPrefix":"/p/",
       "timeoutMs":1,"service":"s"})")},
    {"/routes/1", Json::parse(R"({"name":"r","host":"h","pathPrefix":"/q/",
       "timeoutMs":1,"service":"s"})")},
    {"/services/1", Json::parse(R"({"name":"s"})")},
    {"/services/0", "s"},
    {"/services/0/name", 5},
    {"/routes/0", "r"},
    {"/routes/0/timeoutMs", -3000},
    {"/routes/0/timeoutMs", 0.5},
    {"/routes/0/timeoutMs", "3000"},
    {"/routes/0/timeoutMs", nullptr},
    {"/routes/0/host", 5},
    {"/routes/0/pathPrefix", nullptr},
    {"/routes/0/priority", "high"},
    {"/routes/0/priority", 1.5},
    {"/routes/0/maxAttempts", "4"},
    {"/routes/0/maxAttempts", -1},
    {"/routes/0/targetDurationMs", "250"},
    {"/routes/0/targetDurationMs", -250},
    {"/routes/0/stretch", "1.5"},
    {"/routes/0/stretch", -1.5},
    {"/routes/0/advice", "yes"},
    {"/limits", 262144},
    {"/limits/maxBodyBytes", "large"},
    {"/limits/maxBodyBytes", -1},
    {"/version", 7.5},
    {"/version", -7},
    {"/version", 9223372036854775807},
    {"/version", 18446744073709551615U},
    {"/version", 1e300},
    {"/routes/0/priority", 18446744073709551615U},
    {"/routes/0/timeoutMs", 1e300},
};

// Bodies that hold more or less than one configuration.
const char* const kUnreadableLayouts[] = {
    "",
    "null",
    "[]",
    R"({"version":7,"routes":[],"services":[]}{})",
    R"({"version":7,"routes":[],"services":[]},)",
    R"({"version":7,"routes":[],"services":[],})",
    R"({"version":NaN,"routes":[],"services":[]})",
    R"({"version":99999999999999999999999,"routes":[],"services":[]})",
};

// Changes after which the configuration is still valid.
const ChangeCase kValidLayouts[] = {
    {"/version", 0},
    {"/version", 4294967296},
    {"/routes", Json::array()},
    {"/limits", kRemoved},
    {"/routes/0/timeoutMs", 3000.0},
    {"/routes/0/stretch", 2},
    {"/routes/0/priority", nullptr},
    {"/routes/0/advice", Json::parse(R"({"decisionMs":20})")},
    {"/routes/0/weight", "a field of a later version"},
    {"/routes/1", Json::parse(R"({"name":"q","host":"h",
       "pathPrefix":"/p/deeper/","timeoutMs":1,"service":"s"})")},
};

const ChangeCase kInvalidJobs[] = {
    {"/steps", kRemoved},
    {"/steps", Json::array()},
    {"/steps/0/count", 0},
    {"/steps/0/count", "four"},
    {"/steps/0/cpu", -5},
    {"/steps/1/after", Json::array({1})},
    {"/steps/1/after", Json::array({"0"})},
    {"/specification", std::string(4001, 'x')},
    {"/steps/0/cpu", 1e300},
    {"/steps/0/cpu", 9223372036854775807},
    {"/steps/0/memoryRequestMb", 18446744073709551615U},
    {"/steps/0/gpu", 1e18},
    {"/steps/0/count", 4294967297},
    {"/steps/0/estimatedMs", 4294967296},
    {"/steps/0/maxPerServer", 4294967297},
    {"/steps/0/targetMs", 1e300},
    {"/steps/0/missAllowance", 4294967296},
    {"/repetitions", 4294967297},
    {"/firstRunMs", 1e300},
    {"/intervalMs", 9223372036854775807},
};

net::ClientResult MakeAnswer(std::uint32_t aStatus, const std::string& aBody) {
  net::ClientResult result;
  result.delivery = net::Delivery::Answered;
  result.response.status = aStatus;
  result.response.body = aBody;
  return result;
}

struct OutcomeCase {
  net::ClientResult result;
  workflow::RequestOutcome expected;
};

}  // namespace

class MessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessagesTest);
  CPPUNIT_TEST(testHeartbeat);
  CPPUNIT_TEST(testInvalidHeartbeats);
  CPPUNIT_TEST(testNestedBodies);
  CPPUNIT_TEST(testLayout);
  CPPUNIT_TEST(testInvalidLayouts);
  CPPUNIT_TEST(testUnreadableLayouts);
  CPPUNIT_TEST(testValidLayouts);
  CPPUNIT_TEST(testTruncatedBodies);
  CPPUNIT_TEST(testJob);
  CPPUNIT_TEST(testInvalidJobs);
  CPPUNIT_TEST(testShortBodyWithManyTasks);
  CPPUNIT_TEST(testTaskNames);
  CPPUNIT_TEST(testOutcomes);
  CPPUNIT_TEST(testRenewLeaseAnswer);
  CPPUNIT_TEST(testRenewLeaseAnswerWithoutLists);
  CPPUNIT_TEST(testTickets);
  CPPUNIT_TEST(testRequestsCarryTheEpoch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testHeartbeat() {
    std::string reason;
    const auto read = DecodeHeartbeat("i-1", HeartbeatBody().dump(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), read->worker.id.value);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), read->worker.rack.value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{16000},
                         read->worker.capacity.processorsMilli);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{482113}, read->clockMs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, read->sequence);
    CPPUNIT_ASSERT(!read->worker.draining);
  }

  void testInvalidHeartbeats() {
    for (const ChangeCase& one : kInvalidHeartbeats) {
      std::string reason;
      CPPUNIT_ASSERT_MESSAGE(
          one.pointer,
          !DecodeHeartbeat("i-1", ApplyChange(HeartbeatBody(), one).dump(),
                           reason));
      CPPUNIT_ASSERT(!reason.empty());
    }
  }

  // Guards against an entry of another writer that ends the process that reads
  // it, or that is read although no worker writes such a one.
  void testNestedBodies() {
    const std::string deep =
        std::string(kManyLevels, '[') + "1" + std::string(kManyLevels, ']');
    Json heartbeat = HeartbeatBody();
    heartbeat["labels"] = Json::array();
    std::string body = heartbeat.dump();
    body.insert(body.find("\"labels\":[") + 10, deep + ",");
    std::string reason;
    CPPUNIT_ASSERT(!DecodeHeartbeat("i-1", body, reason));
    CPPUNIT_ASSERT(!DecodeHeartbeat("i-1", deep, reason));
    CPPUNIT_ASSERT(!DecodeLayout(deep, reason));
    CPPUNIT_ASSERT(!DecodeJob("0a", workflow::QueueId("q"), deep, reason));
  }

  void testLayout() {
    std::string reason;
    const std::string body = LayoutBody().dump();
    const auto read = DecodeLayout(body, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read->version);
    CPPUNIT_ASSERT_EQUAL(1500U, read->queues.at(0).stretchMilli);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{262144}, read->maxJobBytes);
    CPPUNIT_ASSERT_EQUAL(body, read->document);
  }

  // Guards against an invalid configuration that is acknowledged, and against
  // fields that are skipped without a word.
  void testInvalidLayouts() {
    std::string accepted;
    for (const ChangeCase& one : kInvalidLayouts) {
      const std::string body = ApplyChange(LayoutBody(), one).dump();
      std::string reason;
      if (DecodeLayout(body, reason) || reason.empty()) {
        accepted += "\n" + body;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), accepted);
  }

  void testUnreadableLayouts() {
    for (const char* body : kUnreadableLayouts) {
      std::string reason;
      CPPUNIT_ASSERT_MESSAGE(body, !DecodeLayout(body, reason));
      CPPUNIT_ASSERT(!reason.empty());
    }
  }

  // Guards against a check that refuses what operators may send.
  void testValidLayouts() {
    for (const ChangeCase& one : kValidLayouts) {
      const std::string body = ApplyChange(LayoutBody(), one).dump();
      std::string reason;
      const auto read = DecodeLayout(body, reason);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::string(), reason);
      CPPUNIT_ASSERT_MESSAGE(body, read);
      CPPUNIT_ASSERT_EQUAL(body, read->document);
    }
  }

  void testTruncatedBodies() {
    const std::string layout = LayoutBody().dump();
    const std::string job = JobBody().dump();
    std::string reason;
    for (std::size_t length = 0; length < layout.size(); ++length) {
      CPPUNIT_ASSERT(!DecodeLayout(layout.substr(0, length), reason));
    }
    for (std::size_t length = 0; length < job.size(); ++length) {
      CPPUNIT_ASSERT(!DecodeJob("1", workflow::QueueId("q"),
                                job.substr(0, length), reason));
    }
  }

  void testJob() {
    std::string reason;
    const auto read =
        DecodeJob("0a", workflow::QueueId("q"), JobBody().dump(), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->stages.size());
    const workflow::StageSpec& second = read->stages[1];
    CPPUNIT_ASSERT(second.filler && second.checkpoints && !second.longRunning);
    CPPUNIT_ASSERT_EQUAL(18U, second.tailTargetMs);
    CPPUNIT_ASSERT_EQUAL(2U, second.maxUnavailable.value());
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), read->stages[0].dataRack.value);
    CPPUNIT_ASSERT(!read->stages[0].maxUnavailable);
  }

  void testInvalidJobs() {
    for (const ChangeCase& one : kInvalidJobs) {
      std::string reason;
      CPPUNIT_ASSERT_MESSAGE(
          one.pointer, !DecodeJob("0a", workflow::QueueId("q"),
                                  ApplyChange(JobBody(), one).dump(), reason));
      CPPUNIT_ASSERT(!reason.empty());
    }
  }

  // Guards against a short body that takes all memory of the leader.
  void testShortBodyWithManyTasks() {
    Json body = JobBody();
    const Json step = {{"count", 10000}, {"cpu", 500}};
    body["steps"] = Json::array({step, step});
    std::string reason;
    CPPUNIT_ASSERT(
        DecodeJob("0a", workflow::QueueId("q"), body.dump(), reason));
    body["steps"] = Json(Json::array_t(1000, step));
    CPPUNIT_ASSERT(
        !DecodeJob("0a", workflow::QueueId("q"), body.dump(), reason));
    CPPUNIT_ASSERT_EQUAL(std::string("the steps have more than 20000 tasks"),
                         reason);
  }

  void testTaskNames() {
    const auto read = DecodeTaskName("5c0e.3.1.17");
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e.3.1.17"), EncodeTaskName(*read));
    for (const char* text :
         {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a.-1.2.3"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeTaskName(text));
    }
  }

  // An outcome may say that a request was not carried out only where that is
  // certain.
  void testOutcomes() {
    using workflow::RequestOutcome;
    net::ClientResult unknown;
    unknown.delivery = net::Delivery::Unknown;
    net::ClientResult unsent;
    unsent.delivery = net::Delivery::NothingSent;
    const OutcomeCase cases[] = {
        {MakeAnswer(200, "{\"clockMs\":5}"), RequestOutcome::Done},
        {MakeAnswer(200, ""), RequestOutcome::Done},
        {MakeAnswer(409, "{\"reason\":\"late\"}"), RequestOutcome::Refused},
        {MakeAnswer(503, ""), RequestOutcome::Refused},
        {MakeAnswer(421, ""), RequestOutcome::OtherIncarnation},
        {unknown, RequestOutcome::NoAnswer},
        {unsent, RequestOutcome::NotSent},
    };
    for (const OutcomeCase& one : cases) {
      CPPUNIT_ASSERT(DecodeRequestAnswer(one.result).outcome == one.expected);
    }
    CPPUNIT_ASSERT(!DecodeRequestAnswer(unsent).delayedByLeader);
    unsent.delayedLocally = true;
    CPPUNIT_ASSERT(DecodeRequestAnswer(unsent).delayedByLeader);
  }

  void testRenewLeaseAnswer() {
    const auto read = DecodeRenewLeaseAnswer(MakeAnswer(
        200, R"({"clockMs":9,"born":3,"running":[["a.0.0.1",2,"c",41,17]],
          "ended":[[58,"a.0.0.9",1,"done",""],[59,"a.0.0.8",1,"odd",""]]})"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.running.size());
    CPPUNIT_ASSERT_EQUAL(17U, read.running[0].load);
    CPPUNIT_ASSERT_EQUAL(41U, read.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, read.ended[0].number);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, read.result.startedUnixMs);
    // An unreadable row may stand for any attempt, so an attempt that is not
    // listed must not be taken as absent.
    CPPUNIT_ASSERT(read.endsTruncated);
  }

  void testRenewLeaseAnswerWithoutLists() {
    for (const char* body : {"", "{}", "{\"running\":[]}", "[]"}) {
      CPPUNIT_ASSERT(
          DecodeRenewLeaseAnswer(MakeAnswer(200, body)).result.outcome ==
          workflow::RequestOutcome::NoAnswer);
    }
  }

  void testTickets() {
    const auto read = DecodeTicketAnswer(MakeAnswer(
        200, R"({"good":[["i-1","t-1"],["i-2"],7],"validityMs":3000})"));
    CPPUNIT_ASSERT(read.answered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.tickets.size());
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), read.tickets[0].text);
    CPPUNIT_ASSERT_EQUAL(3000U, read.validMs);
    CPPUNIT_ASSERT(!DecodeTicketAnswer(MakeAnswer(429, "")).answered);
    CPPUNIT_ASSERT(!DecodeTicketAnswer(MakeAnswer(200, "{}")).answered);
    const workflow::TicketRequest request{JobId("a"), 0, 1, {WorkerId("i-1")}};
    CPPUNIT_ASSERT_EQUAL(std::string("a.0.1"),
                         Json::parse(EncodeTicketRequest(request))
                             .at("step")
                             .get<std::string>());
  }

  void testRequestsCarryTheEpoch() {
    workflow::StartRequest start;
    start.task = {JobId("a"), 0, 1, 2};
    start.epoch = 7;
    workflow::RenewLeaseRequest renewal;
    renewal.epoch = 7;
    for (const std::string& text :
         {EncodeStart(start), EncodeRenewLease(renewal)}) {
      CPPUNIT_ASSERT_EQUAL(7, Json::parse(text).at("fencingToken").get<int>());
    }
    // A renewal that grants no lease has no untilMs, and a start without a
    // checkpoint no checkpoint field.
    CPPUNIT_ASSERT(!Json::parse(EncodeRenewLease(renewal)).contains("untilMs"));
    CPPUNIT_ASSERT(!Json::parse(EncodeStart(start)).contains("checkpoint"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);

}  // namespace bramleypath::platform
