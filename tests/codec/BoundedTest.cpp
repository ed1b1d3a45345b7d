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
  CPPUNIT_TEST(testValues);
  CPPUNIT_TEST(testTreeOfManyValuesIsNotBuilt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testValues() {
    struct Row {
      const char* text;
      std::size_t values;  // the least limit that the text keeps
    };
    const Row rows[] = {{"", 1},          {"7", 1},
                        {"[1,2,3]", 4},   {"{\"a\":1,\"b\":[2]}", 4},
                        {"\"a,b,[\"", 1}, {"[\"\\\",\",1]", 3},
                        {"[[],[],{}]", 7}};
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_MESSAGE(row.text, HasValuesWithin(row.text, row.values));
      CPPUNIT_ASSERT_MESSAGE(row.text,
                             !HasValuesWithin(row.text, row.values - 1));
    }
  }

  // Guards against a body of legal size whose tree takes fifty times its size.
  void testTreeOfManyValuesIsNotBuilt() {
    const auto list = [](std::size_t aValues) {
      std::string text = "[0";
      for (std::size_t value = 1; value < aValues; ++value) {
        text += ",0";
      }
      return text + "]";
    };
    CPPUNIT_ASSERT(!ParseJson(list(kMaxValues - 1)).is_discarded());
    CPPUNIT_ASSERT(ParseJson(list(kMaxValues)).is_discarded());
  }

  void testIntegers() {
    for (const IntegerCase& one : kIntegers) {
      CPPUNIT_ASSERT_MESSAGE(one.text, ToInteger(json::parse(one.text),
                                                 one.range) == one.expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedTest);

}  // namespace bramleypath::codec
