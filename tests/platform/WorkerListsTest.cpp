#include "platform/WorkerLists.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "platform/Messages.h"

namespace {

std::atomic<std::size_t> allocations{0};

}  // namespace

// Counts the allocations of this test program.
void* operator new(std::size_t aSize) {
  ++allocations;
  if (void* const memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}
void operator delete(void* aMemory) noexcept { std::free(aMemory); }
void operator delete(void* aMemory, std::size_t /*aSize*/) noexcept {
  std::free(aMemory);
}

namespace bramleypath::platform {

namespace {

net::ClientResult AnswerOf(std::string aBody) {
  net::ClientResult result;
  result.delivery = net::Delivery::Answered;
  result.response.status = 200;
  result.response.body = std::move(aBody);
  return result;
}

struct ListCase {
  const char* body;
  bool hasLists;
  std::size_t running;
  std::size_t ended;
  std::size_t unreadable;
};

}  // namespace

class WorkerListsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerListsTest);
  CPPUNIT_TEST(testRowsOfAnyShape);
  CPPUNIT_TEST(testFieldsOfAnyType);
  CPPUNIT_TEST(testNumbersOutOfRange);
  CPPUNIT_TEST(testRowCostsFewAllocations);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an attempt that counts as absent because its row has another
  // shape, and against an answer without lists that counts as one with empty
  // lists.
  void testRowsOfAnyShape() {
    const ListCase cases[] = {
        {R"({"running":[],"ended":[]})", true, 0, 0, 0},
        {R"({"running":[["a.0.0.1",1,"",5]],"ended":[]})", true, 1, 0, 0},
        {R"({"running":[["a.0.0.1",1,"",5,7,[1,[2]],{"x":[]}]],"ended":[]})",
         true, 1, 0, 0},
        {R"({"running":[["a.0.0.1",1,""]],"ended":[]})", true, 0, 0, 1},
        {R"({"running":[["a",1,"",5]],"ended":[]})", true, 0, 0, 1},
        {R"({"running":[[[],1,"",5],[{},1,"",5]],"ended":[]})", true, 0, 0, 2},
        {R"({"running":[7,"x",null,true,1.5,{"a":[]}],"ended":[]})", true, 0, 0,
         6},
        {R"({"running":[[]],"ended":[[]]})", true, 0, 0, 2},
        {R"({"running":[],"ended":[[1,"a.0.0.1",1,"done",""]]})", true, 0, 1,
         0},
        {R"({"running":[],"ended":[[1,"a.0.0.1",1,"done"]]})", true, 0, 0, 1},
        {R"({"running":[],"ended":[[1,"a.0.0.1",1,"odd",""],3]})", true, 0, 0,
         2},
        {R"({"running":[],"ended":[["a.0.0.1",1,"",5]]})", true, 0, 0, 1},
        // A number that is cut could be that of another attempt or end.
        {R"({"running":[["a.0.0.1",4294967297,"",5]],"ended":[]})", true, 0, 0,
         1},
        {R"({"running":[["a.0.0.1",1e300,"",5]],"ended":[]})", true, 0, 0, 1},
        {R"({"running":[],"ended":[[1,"a.0.0.1",4294967297,"done",""]]})", true,
         0, 0, 1},
        {R"({"running":[],"ended":[[18446744073709551615,"a.0.0.1",1,"done",
          ""]]})",
         true, 0, 0, 1},
        {R"({"running":[],"ended":[[1e300,"a.0.0.1",1,"done",""]]})", true, 0,
         0, 1},
        {R"({"running":[["a.0.0.1",1,"",1e300,-1e300]],"ended":[]})", true, 1,
         0, 0},
        {R"({"running":[3],"running":[],"ended":[]})", true, 0, 0, 0},
        {R"({"running":[],"running":{},"ended":[]})", false, 0, 0, 0},
        {R"({"running":{"running":[]},"ended":[]})", false, 0, 0, 0},
        {R"({"x":{"running":[],"ended":[]}})", false, 0, 0, 0},
        {R"({"running":[]})", false, 0, 0, 0},
        {R"([{"running":[],"ended":[]}])", false, 0, 0, 0},
        {R"({"running":[["a.0.0.1",1,"",5]],"ended":[])", false, 0, 0, 0},
        {R"({"running":[],"ended":[]}{})", false, 0, 0, 0},
        {"7", false, 0, 0, 0},
        {"", false, 0, 0, 0},
    };
    for (const ListCase& one : cases) {
      const WorkerLists read = ReadWorkerLists(one.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body, one.hasLists, read.hasLists);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body, one.running, read.running.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body, one.ended, read.ended.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body, one.unreadable, read.unreadable);
    }
  }

  void testFieldsOfAnyType() {
    const WorkerLists read = ReadWorkerLists(
        R"({"clockMs":8.6,"born":"x","reason":"room","running":
          [["a.0.0.1",-2,7,41.9,null]],
          "ended":[[-1,"a.0.0.2",3,"stopped","c"]]})");
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), read.clockMs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), read.startedUnixMs);
    CPPUNIT_ASSERT_EQUAL(std::string("room"), read.reason);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.running.size());
    CPPUNIT_ASSERT_EQUAL(0U, read.running[0].attempt);
    CPPUNIT_ASSERT_EQUAL(std::string(), read.running[0].checkpoint);
    CPPUNIT_ASSERT_EQUAL(41U, read.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(0U, read.running[0].load);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.ended.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), read.ended[0].number);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), read.ended[0].checkpoint);
    CPPUNIT_ASSERT(workflow::EndKind::Stopped == read.ended[0].kind);
  }

  // Guards against numbers that are cut, which depends on the architecture.
  void testNumbersOutOfRange() {
    const WorkerLists read = ReadWorkerLists(
        R"({"clockMs":1e300,"born":9223372036854775808,"running":
          [["a.0.0.1",1,"",1e300,4294967299]],"ended":[]})");
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), read.clockMs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), read.startedUnixMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.running.size());
    CPPUNIT_ASSERT_EQUAL(0U, read.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(4294967295U, read.running[0].load);
  }

  // Guards against a leader that builds a JSON value for each list of a worker,
  // which took an eighth of its processor time with 490 workers.
  void testRowCostsFewAllocations() {
    // The texts of a row and the growth of the list.
    constexpr std::size_t kMaxPerRow = 4;
    constexpr std::size_t kRows = 64;
    std::string body = R"({"clockMs":9,"ended":[],"running":[)";
    for (std::size_t row = 0; row < kRows; ++row) {
      body += row > 0 ? "," : "";
      body += R"(["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,17])";
    }
    const net::ClientResult answer = AnswerOf(body + "]}");
    const std::size_t before = allocations;
    const workflow::RenewLeaseAnswer read = DecodeRenewLeaseAnswer(answer);
    const std::size_t used = allocations - before;
    CPPUNIT_ASSERT_EQUAL(kRows, read.running.size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(used) + " allocations",
                           used <= kMaxPerRow * kRows);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerListsTest);

}  // namespace bramleypath::platform
