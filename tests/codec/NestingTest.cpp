#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/codec/CborWriter.h"
#include "bramleypath/codec/Fields.h"

namespace bramleypath::codec {

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::size_t kManyLevels = 2000000;
constexpr std::uint8_t kArrayOfOne = 0x81;
constexpr std::uint8_t kMapOfOne = 0xa1;
constexpr std::uint8_t kOpenText = 0x7f;
constexpr std::uint8_t kTag = 0xc1;

struct DeepCase {
  const char* name;
  std::uint8_t opening;
};

// Initial bytes of items that hold another item.
const DeepCase kDeepItems[] = {
    {"arrays", kArrayOfOne},
    {"maps", kMapOfOne},
    {"open arrays", detail::kCborOpenArray},
    {"open maps", detail::kCborOpenMap},
    {"open texts", kOpenText},
    {"tags", kTag},
};

// So many arrays, each the only item of the one before.
Bytes NestedArrays(std::size_t aLevels) {
  Bytes bytes(aLevels, kArrayOfOne);
  bytes.back() = detail::kCborArray;
  return bytes;
}

std::string NestedText(std::size_t aLevels) {
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

Json NestedMixture() {
  Json value = {{"list", {1, -2, "three", nullptr, true, 0.5}},
                {"bytes", Json::binary({1, 2, 3})}};
  for (int level = 0; level < 20; ++level) {
    value = Json::array({value, {{"inner", value.size()}}});
  }
  return value;
}

}  // namespace

class NestingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NestingTest);
  CPPUNIT_TEST(testDeepCborEndsNoProcess);
  CPPUNIT_TEST(testDeepJsonEndsNoProcess);
  CPPUNIT_TEST(testLimit);
  CPPUNIT_TEST(testWrittenItemsAreRead);
  CPPUNIT_TEST(testAnyBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a message that exhausts the stack of the process that reads
  // it.
  void testDeepCborEndsNoProcess() {
    for (const DeepCase& one : kDeepItems) {
      CPPUNIT_ASSERT_MESSAGE(
          one.name, ParseCbor(Bytes(kManyLevels, one.opening)).is_discarded());
    }
  }

  void testDeepJsonEndsNoProcess() {
    CPPUNIT_ASSERT(ParseJson(NestedText(kManyLevels)).is_discarded());
    CPPUNIT_ASSERT(ParseJson(std::string(kManyLevels, '[')).is_discarded());
  }

  void testLimit() {
    CPPUNIT_ASSERT(!ParseCbor(NestedArrays(kMaxNesting)).is_discarded());
    CPPUNIT_ASSERT(ParseCbor(NestedArrays(kMaxNesting + 1)).is_discarded());
    CPPUNIT_ASSERT(!ParseJson(NestedText(kMaxNesting)).is_discarded());
    CPPUNIT_ASSERT(ParseJson(NestedText(kMaxNesting + 1)).is_discarded());
    // Brackets in texts aren't levels.
    const std::string text = "[\"\\\"" + std::string(kManyLevels, '[') + "\"]";
    CPPUNIT_ASSERT(!ParseJson(text).is_discarded());
  }

  // Guards against a limit that refuses what the product writes.
  void testWrittenItemsAreRead() {
    const Json value = NestedMixture();
    CPPUNIT_ASSERT(ParseCbor(Json::to_cbor(value)) == value);
    Bytes bytes;
    CborWriter writer{bytes};
    writer.OpenMap();
    writer.Text("empty");
    writer.OpenArray();
    writer.Close();
    writer.Text("list");
    writer.OpenArray();
    writer.Signed(-5);
    writer.Array(0);
    writer.Close();
    writer.Close();
    CPPUNIT_ASSERT(ParseCbor(bytes) ==
                   Json({{"empty", Json::array()},
                         {"list", Json::array({-5, Json::array()})}}));
  }

  void testAnyBytes() {
    const bool passed = rc::check("bytes are read or refused", [] {
      const auto bytes =
          *rc::gen::container<Bytes>(rc::gen::element<std::uint8_t>(
              0x00, 0x18, 0x3b, 0x41, 0x5f, 0x61, 0x7f, 0x80, 0x81, 0x9f, 0xa1,
              0xbf, 0xc1, 0xf5, 0xfb, 0xff));
      ParseCbor(bytes);
    });
    CPPUNIT_ASSERT(passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NestingTest);

}  // namespace bramleypath::codec
