#include "platform/Messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

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

}  // namespace

class WorkerListsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerListsTest);
  CPPUNIT_TEST(testRowCostsFewAllocations);
  CPPUNIT_TEST_SUITE_END();

 public:
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
