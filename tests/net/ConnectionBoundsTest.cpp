#include "bramleypath/net/ConnectionBounds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bramleypath;
using namespace bramleypath::net;

namespace {

using Indices = std::vector<std::size_t>;

constexpr std::uint32_t kFront = 1;
constexpr std::uint32_t kOther = 2;

ConnectionUse Reading(std::size_t aBytes, std::int64_t aProgressMs) {
  ConnectionUse use;
  use.listener = kFront;
  use.received = aBytes;
  use.progressAt = TimePoint() + Millis(aProgressMs);
  return use;
}

ConnectionUse Writing(std::size_t aBytes, std::int64_t aProgressMs) {
  ConnectionUse use = Reading(0, aProgressMs);
  use.unsent = aBytes;
  return use;
}

ConnectionUse Idle(std::int64_t aProgressMs) { return Reading(0, aProgressMs); }

ConnectionUse Handling(std::int64_t aProgressMs) {
  ConnectionUse use = Idle(aProgressMs);
  use.handling = true;
  return use;
}

ConnectionUse Closing(const ConnectionUse& aUse) {
  ConnectionUse use = aUse;
  use.closing = true;
  return use;
}

ConnectionUse Elsewhere(const ConnectionUse& aUse) {
  ConnectionUse use = aUse;
  use.listener = kOther;
  return use;
}

std::string Text(const Indices& aIndices) {
  std::string text;
  for (const std::size_t index : aIndices) {
    text += std::to_string(index) + " ";
  }
  return text;
}

struct Row {
  const char* what;
  std::vector<ConnectionUse> uses;
  std::size_t limit;  // bytes or connections
  Indices expected;
};

}  // namespace

// Guards against clients that stand still and keep others out, and against the
// close of a connection whose request is being handled.
class ConnectionBoundsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionBoundsTest);
  CPPUNIT_TEST(testMemory);
  CPPUNIT_TEST(testCount);
  CPPUNIT_TEST(testDescriptors);
  CPPUNIT_TEST(testStalled);
  CPPUNIT_TEST(testAdmission);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testMemory() {
    const Row rows[] = {
        {"within the bound", {Reading(400, 1), Reading(400, 2)}, 800, {}},
        {"an eighth is freed", {Reading(500, 1), Reading(400, 2)}, 800, {0}},
        {"longest without progress first",
         {Reading(300, 3), Reading(300, 1), Reading(300, 2)},
         800,
         {1}},
        {"several go",
         {Reading(90, 2), Reading(90, 1), Reading(90, 3)},
         200,
         {1, 0}},
        {"unread responses count too",
         {Writing(500, 1), Reading(400, 2)},
         800,
         {0}},
        {"idle ones free nothing", {Idle(1), Reading(900, 2)}, 800, {1}},
        {"handled ones stay", {Handling(1), Reading(900, 2)}, 800, {1}},
        {"closing ones are not chosen again",
         {Closing(Reading(900, 1)), Reading(900, 2)},
         800,
         {1}},
        {"one alone over the bound", {Reading(900, 1)}, 800, {0}},
    };
    for (const Row& row : rows) {
      std::size_t held = 0;
      for (const ConnectionUse& use : row.uses) {
        held += use.closing ? 0 : use.received + use.unsent;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.what, Text(row.expected),
          Text(ChooseForMemory(row.uses, held, row.limit)));
    }
  }

  void testCount() {
    const Row rows[] = {
        {"within the limit", {Idle(1), Idle(2)}, 2, {}},
        {"idle longest first", {Idle(2), Idle(1), Idle(3)}, 2, {1}},
        {"idle before unfinished", {Reading(1, 1), Idle(2)}, 1, {1}},
        {"idle before unread", {Writing(1, 1), Idle(2)}, 1, {1}},
        {"unfinished by progress",
         {Reading(1, 2), Reading(1, 1), Handling(0)},
         1,
         {1, 0}},
        {"handled ones stay", {Handling(1), Handling(2)}, 1, {}},
        {"other listeners don't count", {Elsewhere(Idle(1)), Idle(2)}, 1, {}},
        {"closing ones don't count", {Closing(Idle(1)), Idle(2)}, 1, {}},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.what, Text(row.expected),
          Text(ChooseForCount(row.uses, kFront, row.limit)));
    }
  }

  void testDescriptors() {
    const std::vector<ConnectionUse> uses = {Idle(3), Elsewhere(Idle(1)),
                                             Handling(0)};
    CPPUNIT_ASSERT_EQUAL(std::string("1 "),
                         Text(ChooseForCount(uses, std::nullopt, 2)));
    CPPUNIT_ASSERT_EQUAL(std::string("1 0 "),
                         Text(ChooseForCount(uses, std::nullopt, 0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ExcessDescriptors(99, 100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ExcessDescriptors(100, 100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, ExcessDescriptors(105, 100));
  }

  void testStalled() {
    const std::vector<ConnectionUse> uses = {Reading(1, 0), Reading(1, 2),
                                             Idle(0), Handling(0),
                                             Closing(Reading(1, 0))};
    const TimePoint late = TimePoint() + kMaxStall + Millis(1);
    CPPUNIT_ASSERT_EQUAL(std::string("0 "), Text(ChooseStalled(uses, late)));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Text(ChooseStalled(uses, TimePoint() + kMaxStall)));
  }

  void testAdmission() {
    CPPUNIT_ASSERT(AdmitsRequest(0, 900, 800));
    CPPUNIT_ASSERT(AdmitsRequest(400, 400, 800));
    CPPUNIT_ASSERT(!AdmitsRequest(400, 401, 800));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBoundsTest);
