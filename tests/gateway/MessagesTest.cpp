#include "bramleypath/gateway/Messages.h"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace bramleypath::gateway {

namespace {

const workflow::TaskName kTask{JobId("5c0e7a21d94b36f8"), 3, 1, 70000};
constexpr std::int64_t kLargeMs = 1791209022070;

Requests SampleRequests() {
  Requests requests;
  requests.session = 0xfedcba9876543210;
  requests.stamp = Stamp{0x8000000000000001, TimePoint{123456789}};
  requests.stampAgeMs = 250;
  const RequestBody bodies[] = {
      workflow::StartRequest{kTask, 2, std::string(300, 'x'), kLargeMs, 7,
                             "00000bb8", "ticket"},
      workflow::StopRequest{kTask, 3, 8},
      workflow::PaceRequest{kTask, 4, 55, 9},
      workflow::RenewLeaseRequest{-5, 10, 1ULL << 40, 1400},
  };
  std::uint64_t id = 100;
  for (const RequestBody& body : bodies) {
    requests.requests.push_back(
        Request{id++, WorkerId("w1"), "10.0.0.9:8000", 400, body});
  }
  return requests;
}

Answers SampleAnswers() {
  Answers answers;
  answers.session = 4711;
  answers.stamp = Stamp{1, TimePoint{-1}};
  Answer done;
  done.id = 1;
  done.answer.result.outcome = workflow::RequestOutcome::Done;
  done.answer.result.clockMs = kLargeMs;
  done.answer.result.startedUnixMs = -2;
  done.answer.running.push_back({kTask, 5, "c1", 40, 900});
  done.answer.ended.push_back({17, kTask, 6, workflow::EndKind::Broken, "c2"});
  done.answer.endsTruncated = true;
  answers.answers.push_back(done);
  Answer late;
  late.id = 2;
  late.rejected = true;
  late.answer.result.outcome = workflow::RequestOutcome::NotSent;
  late.answer.result.delayedByLeader = true;
  late.answer.result.reason = "too late";
  answers.answers.push_back(late);
  Answer refused;
  refused.id = 3;
  refused.answer.result.outcome = workflow::RequestOutcome::NotSent;
  refused.answer.result.isConnectionRefused = true;
  answers.answers.push_back(refused);
  return answers;
}

}  // namespace

class MessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessagesTest);
  CPPUNIT_TEST(testRequestsAreReadAsWritten);
  CPPUNIT_TEST(testAnswersAreReadAsWritten);
  CPPUNIT_TEST(testSizesAreBounds);
  CPPUNIT_TEST(testCutMessagesAreRefused);
  CPPUNIT_TEST(testChangedBytesAreHandled);
  CPPUNIT_TEST(testMalformedMessagesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is left out or read into another one. The
  // second encoding also covers the fields that are not named here.
  void testRequestsAreReadAsWritten() {
    const Bytes bytes = EncodeRequests(SampleRequests());
    const auto read = DecodeRequests(bytes);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(bytes == EncodeRequests(*read));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, read->requests.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0xfedcba9876543210}, read->session);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{250}, read->stampAgeMs);
    const auto& start =
        std::get<workflow::StartRequest>(read->requests[0].body);
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8"), start.task.job.value);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{70000}, start.task.index);
    CPPUNIT_ASSERT_EQUAL(std::string(300, 'x'), start.specification);
    CPPUNIT_ASSERT_EQUAL(kLargeMs, start.untilWorkerMs);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket"), start.ticket);
    const auto& stop = std::get<workflow::StopRequest>(read->requests[1].body);
    CPPUNIT_ASSERT_EQUAL(Epoch{8}, stop.epoch);
    const auto& pace = std::get<workflow::PaceRequest>(read->requests[2].body);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{55}, pace.percent);
    const auto& renewal =
        std::get<workflow::RenewLeaseRequest>(read->requests[3].body);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-5}, renewal.untilWorkerMs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 40, renewal.lastSeen);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1400}, renewal.waitMs);
  }

  void testAnswersAreReadAsWritten() {
    const Bytes bytes = EncodeAnswers(SampleAnswers());
    const auto read = DecodeAnswers(bytes);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(bytes == EncodeAnswers(*read));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read->answers.size());
    const workflow::RenewLeaseAnswer& done = read->answers[0].answer;
    CPPUNIT_ASSERT(done.result.outcome == workflow::RequestOutcome::Done);
    CPPUNIT_ASSERT_EQUAL(kLargeMs, done.result.clockMs);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{900}, done.running.at(0).load);
    CPPUNIT_ASSERT(done.ended.at(0).kind == workflow::EndKind::Broken);
    CPPUNIT_ASSERT_EQUAL(std::string("c2"), done.ended.at(0).checkpoint);
    CPPUNIT_ASSERT(done.endsTruncated);
    CPPUNIT_ASSERT(!read->answers[0].rejected);
    CPPUNIT_ASSERT(read->answers[1].rejected);
    CPPUNIT_ASSERT(workflow::IsDelayedByLeader(read->answers[1].answer.result));
    CPPUNIT_ASSERT(!read->answers[1].answer.result.isConnectionRefused);
    CPPUNIT_ASSERT(read->answers[2].answer.result.isConnectionRefused);
  }

  // Guards against messages that are larger than their senders expect.
  void testSizesAreBounds() {
    Requests requests;
    for (const Request& request : SampleRequests().requests) {
      requests.requests = {};
      const std::size_t empty = EncodeRequests(requests).size();
      requests.requests = {request};
      CPPUNIT_ASSERT(EncodeRequests(requests).size() - empty <=
                     MaxEncodedBytes(request));
    }
    Answers answers;
    for (const Answer& answer : SampleAnswers().answers) {
      answers.answers = {};
      const std::size_t empty = EncodeAnswers(answers).size();
      answers.answers = {answer};
      CPPUNIT_ASSERT(EncodeAnswers(answers).size() - empty <=
                     MaxEncodedBytes(answer));
    }
  }

  // Guards against reading beyond the end of a message.
  void testCutMessagesAreRefused() {
    const Bytes requests = EncodeRequests(SampleRequests());
    for (std::size_t size = 0; size < requests.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeRequests({requests.data(), size}));
    }
    const Bytes answers = EncodeAnswers(SampleAnswers());
    for (std::size_t size = 0; size < answers.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeAnswers({answers.data(), size}));
    }
  }

  // Guards against a length that makes the reader allocate or loop far beyond
  // the message: every value of every byte is read, and what is accepted is no
  // larger than the message.
  void testChangedBytesAreHandled() {
    const Bytes requests = EncodeRequests(SampleRequests());
    const Bytes answers = EncodeAnswers(SampleAnswers());
    for (unsigned value = 0; value < 256; ++value) {
      for (std::size_t at = 0; at < requests.size(); ++at) {
        Bytes changed = requests;
        changed[at] = static_cast<std::uint8_t>(value);
        const auto read = DecodeRequests(changed);
        CPPUNIT_ASSERT(!read || read->requests.size() <= changed.size());
      }
      for (std::size_t at = 0; at < answers.size(); ++at) {
        Bytes changed = answers;
        changed[at] = static_cast<std::uint8_t>(value);
        const auto read = DecodeAnswers(changed);
        CPPUNIT_ASSERT(!read || read->answers.size() <= changed.size());
      }
    }
  }

  void testMalformedMessagesAreRefused() {
    struct Case {
      const char* name;
      Bytes bytes;
    };
    const Case cases[] = {
        {"empty", {}},
        {"another number of fields", {0x81, 0x01}},
        {"a map", {0xa1, 0x01, 0x02}},
        {"array of indefinite length", {0x9f, 0x01, 0x02, 0x03, 0xff}},
        {"array longer than the message",
         {0x85, 0x01, 0x02, 0x03, 0x04, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff,
          0xff, 0xff, 0xff}},
        {"reserved length", {0x85, 0x1c, 0x02, 0x03, 0x04, 0x80}},
        {"a text for a number", {0x85, 0x61, 'a', 0x02, 0x03, 0x04, 0x80}},
        {"age above 32 bits",
         {0x85, 0x01, 0x02, 0x03, 0x1b, 1, 0, 0, 0, 0, 0, 0, 0, 0x80}},
        {"bytes after the end", {0x85, 0x01, 0x02, 0x03, 0x04, 0x80, 0x00}},
    };
    CPPUNIT_ASSERT(DecodeRequests(Bytes{0x85, 0x01, 0x02, 0x03, 0x04, 0x80}));
    for (const Case& one : cases) {
      CPPUNIT_ASSERT_MESSAGE(one.name, !DecodeRequests(one.bytes));
      CPPUNIT_ASSERT_MESSAGE(one.name, !DecodeAnswers(one.bytes));
      CPPUNIT_ASSERT_MESSAGE(one.name, !DecodeReady(one.bytes));
    }
    // Outcome 5 and end kind 7 don't exist.
    Answers answers = SampleAnswers();
    answers.answers[0].answer.result.outcome =
        static_cast<workflow::RequestOutcome>(5);
    CPPUNIT_ASSERT(!DecodeAnswers(EncodeAnswers(answers)));
    answers = SampleAnswers();
    answers.answers[0].answer.ended[0].kind = static_cast<workflow::EndKind>(7);
    CPPUNIT_ASSERT(!DecodeAnswers(EncodeAnswers(answers)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);

}  // namespace bramleypath::gateway
