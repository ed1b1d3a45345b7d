#include "bramleypath/codec/Bounded.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace bramleypath::codec {

namespace {

using nlohmann::json;

struct IntegerCase {
  const char* text;
  IntegerRange range;
  std::optional<std::int64_t> expected;
};

constexpr IntegerRange kAny{-kMaxExactInteger, kMaxExactInteger};

// Each row guards against a number that is cut, wrapped or converted in a way
// that depends on the architecture.
const IntegerCase kIntegers[] = {
    {"7", {0, 7}, 7},
    {"8", {0, 7}, std::nullopt},
    {"-1", {0, 7}, std::nullopt},
    {"6.6", {0, 7}, 7},
    {"7.6", {0, 7}, std::nullopt},
    {"9007199254740991", kAny, kMaxExactInteger},
    {"-9007199254740991", kAny, -kMaxExactInteger},
    {"9007199254740992", kAny, std::nullopt},
    {"9223372036854775807", kAny, std::nullopt},
    {"18446744073709551615", kAny, std::nullopt},
    {"-9223372036854775808", kAny, std::nullopt},
    {"18446744073709551616", kAny, std::nullopt},
    {"1e300", kAny, std::nullopt},
    {"-1e300", kAny, std::nullopt},
    {"1e-300", kAny, 0},
    {"\"7\"", kAny, std::nullopt},
    {"true", kAny, std::nullopt},
    {"null", kAny, std::nullopt},
    {"[7]", kAny, std::nullopt},
};

}  // namespace

class BoundedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedTest);
  CPPUNIT_TEST(testIntegers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testIntegers() {
    for (const IntegerCase& one : kIntegers) {
      CPPUNIT_ASSERT_MESSAGE(one.text, ToInteger(json::parse(one.text),
                                                 one.range) == one.expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedTest);

}  // namespace bramleypath::codec
