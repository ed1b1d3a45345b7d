#include "bramleypath/relay/LeaderSearch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

namespace bramleypath::relay {

namespace {

constexpr TimePoint kStart{5000 * 1000};

struct SearchRow {
  const char* label;
  std::uint32_t rounds;
  std::uint32_t silent;  // of 6
  std::int64_t searchedMs;
  std::int64_t roundAgoMs;
  SearchVerdict expected;
};

const SearchRow kSearches[] = {
    {"no round is complete", 0, 0, 5000, 0, SearchVerdict::Wait},
    {"a change of leader", 3, 1, 1400, 50, SearchVerdict::Wait},
    {"a long change of leader", 4, 1, 1500, 50, SearchVerdict::NoLeader},
    {"two hosts are lost", 2, 2, 900, 50, SearchVerdict::Wait},
    {"half of the hosts are silent", 2, 3, 900, 50, SearchVerdict::Wait},
    {"most hosts are silent", 2, 4, 900, 50, SearchVerdict::MajoritySilent},
    {"all refuse connections, as between two starts", 4, 6, 500, 50,
     SearchVerdict::Wait},
    {"a single silent round", 1, 6, 900, 50, SearchVerdict::Wait},
    {"the last round was long ago", 9, 6, 9000, 1500, SearchVerdict::Wait},
};

struct ContactRow {
  const char* label;
  LeaderContact contact;
  bool expected;
};

const ContactRow kContacts[] = {
    {"named by another host", {false, kStart}, false},
    {"answered just before", {true, kStart - Millis(149)}, true},
    {"answered a while ago", {true, kStart - Millis(150)}, false},
};

}  // namespace

class LeaderSearchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderSearchTest);
  CPPUNIT_TEST(testSearches);
  CPPUNIT_TEST(testContacts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusing requests during a short change of leader, and
  // against holding them during an outage.
  void testSearches() {
    for (const SearchRow& row : kSearches) {
      LeaderSearch search;
      search.startedAt = kStart;
      search.rounds = row.rounds;
      search.asked = 6;
      search.silent = row.silent;
      const TimePoint now = kStart + Millis(row.searchedMs);
      search.roundAt = now - Millis(row.roundAgoMs);
      CPPUNIT_ASSERT_MESSAGE(row.label,
                             JudgeSearch(search, now) == row.expected);
    }
    CPPUNIT_ASSERT(JudgeSearch(LeaderSearch(), kStart) == SearchVerdict::Wait);
  }

  // Guards against sending requests to a leader that has stopped answering.
  void testContacts() {
    for (const ContactRow& row : kContacts) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.expected,
                                   MaySendAtOnce(row.contact, kStart));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderSearchTest);

}  // namespace bramleypath::relay
