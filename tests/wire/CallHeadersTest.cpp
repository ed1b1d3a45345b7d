#include "bramleypath/wire/CallHeaders.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bramleypath;
using namespace bramleypath::wire;

namespace {

std::vector<net::Header> Valid() {
  return {{"Bramleypath-Member", "m"},
          {"bramleypath-class", "c"},
          {"Bramleypath-Deadline-Ms", "1500"},
          {"Bramleypath-Idempotent", "false"},
          {"Bramleypath-Key", "k"}};
}

// Guards against accepting malformed headers, and against errors that don't
// name the header.
class CallHeadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallHeadersTest);
  CPPUNIT_TEST(testValid);
  CPPUNIT_TEST(testInvalid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testValid() {
    WireReason reason;
    const auto headers = ParseCallHeaders(Valid(), reason);
    CPPUNIT_ASSERT(headers);
    CPPUNIT_ASSERT_EQUAL(std::string("m"), headers->clientAccount.value);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), headers->callClass.value);
    CPPUNIT_ASSERT(headers->deadline == Millis(1500));
    CPPUNIT_ASSERT(headers->idempotent == false);
    CPPUNIT_ASSERT_EQUAL(std::string("k"), headers->key);
  }

  void testInvalid() {
    struct Row {
      std::size_t index;
      std::string value;  // "-" removes the header
      const char* field;
    };
    const Row rows[] = {
        {0, "-", kClientAccountHeader},
        {0, "", kClientAccountHeader},
        {0, std::string(129, 'x'), kClientAccountHeader},
        {1, "-", kClassHeader},
        {2, "-", kDeadlineHeader},
        {2, "0", kDeadlineHeader},
        {2, "-5", kDeadlineHeader},
        {2, "1.5", kDeadlineHeader},
        {2, "600001", kDeadlineHeader},
        {2, "99999999999999999999", kDeadlineHeader},
        {3, "yes", kIdempotentHeader},
        {4, "", kKeyHeader},
        {4, std::string(257, 'x'), kKeyHeader},
    };
    for (const Row& row : rows) {
      std::vector<net::Header> headers = Valid();
      if (row.value == "-") {
        headers.erase(headers.begin() + static_cast<std::ptrdiff_t>(row.index));
      } else {
        headers[row.index].value = row.value;
      }
      WireReason reason;
      CPPUNIT_ASSERT_MESSAGE(row.value, !ParseCallHeaders(headers, reason));
      CPPUNIT_ASSERT_EQUAL(std::string(row.field), reason.field);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallHeadersTest);

}  // namespace
