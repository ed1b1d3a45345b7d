#include "bramleypath/relay/RefusalProof.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/relay/AttemptHeaders.h"

namespace bramleypath::relay {

namespace {

constexpr std::int64_t kNowMs = 1700000000000;
constexpr std::uint64_t kTerm = 7;

struct ProofRow {
  const char* label;
  std::vector<UnansweredAttempt> attempts;
  std::optional<RefusalStatement> statement;
  RefusalVerdict expected;
  const char* reason;
};

const ProofRow kProofs[] = {
    {"all attempts were answered",
     {},
     std::nullopt,
     RefusalVerdict::Proven,
     "no_unanswered_attempt"},
    {"a leader of the previous version",
     {{kTerm, kNowMs - 1}},
     std::nullopt,
     RefusalVerdict::Unprovable,
     "leader_states_nothing"},
    {"the attempt went to a host of the previous version",
     {{std::nullopt, kNowMs - 60000}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::Unprovable,
     "not_limited_to_a_term"},
    {"another leader, whose clock is behind",
     {{kTerm - 1, kNowMs + 400}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::Proven,
     "earlier_term"},
    {"the same leader, before the time limit",
     {{kTerm, kNowMs + 1}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::NotYet,
     "may_still_arrive"},
    {"the same leader, at the time limit, which is still accepted",
     {{kTerm, kNowMs}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::NotYet,
     "may_still_arrive"},
    {"the same leader, after the time limit",
     {{kTerm, kNowMs - 1}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::Proven,
     "expired"},
    {"the refusal of a former leader, after the time limit",
     {{kTerm + 1, kNowMs - 1}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::NotYet,
     "leader_of_an_earlier_term"},
    {"one of three attempts may still arrive",
     {{kTerm - 1, kNowMs}, {kTerm, kNowMs + 5}, {kTerm, kNowMs - 5}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::NotYet,
     "may_still_arrive"},
    {"one of two attempts has no limit",
     {{std::nullopt, kNowMs - 5}, {kTerm, kNowMs + 5}},
     RefusalStatement{kTerm, kNowMs},
     RefusalVerdict::Unprovable,
     "not_limited_to_a_term"},
};

struct StatementRow {
  const char* label;
  std::vector<net::Header> headers;
  bool isStatement;
};

const StatementRow kStatements[] = {
    {"complete", {{kNotStoredHeader, "7"}, {kGroupTimeHeader, "5"}}, true},
    {"no clock", {{kNotStoredHeader, "7"}}, false},
    {"a leader that says its term only",
     {{kTermHeader, "7"}, {kGroupTimeHeader, "5"}},
     false},
    {"no leader", {{kNotStoredHeader, "0"}, {kGroupTimeHeader, "5"}}, false},
    {"not a number",
     {{kNotStoredHeader, "7x"}, {kGroupTimeHeader, "5"}},
     false},
    {"negative", {{kNotStoredHeader, "-7"}, {kGroupTimeHeader, "5"}}, false},
};

struct OffsetRow {
  const char* label;
  std::optional<std::int64_t> known;
  std::int64_t sentMs;
  std::int64_t receivedMs;
  std::int64_t expected;
};

// The answer says that the time is 1,000 ms.
const OffsetRow kOffsets[] = {
    {"nothing was known", std::nullopt, 100, 150, 900},
    {"a slow answer doesn't loosen the bound", 860, 100, 150, 860},
    {"a bound that is too high is lowered", 950, 100, 150, 900},
    {"the clock has jumped ahead", 800, 100, 150, 900},
    {"the earliest offset still holds", 850, 100, 150, 850},
};

}  // namespace

class RefusalProofTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalProofTest);
  CPPUNIT_TEST(testProofs);
  CPPUNIT_TEST(testStatements);
  CPPUNIT_TEST(testOffsets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against passing on a refusal while an earlier attempt may be carried
  // out, and against withholding one that is certain.
  void testProofs() {
    for (const ProofRow& row : kProofs) {
      const RefusalProof proof = ProveRefusal(row.attempts, row.statement);
      CPPUNIT_ASSERT_MESSAGE(row.label, proof.verdict == row.expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, std::string(row.reason),
                                   std::string(proof.reason));
    }
  }

  // Guards against taking an incomplete or damaged answer for a proof.
  void testStatements() {
    for (const StatementRow& row : kStatements) {
      net::HttpResponse answer;
      answer.headers = row.headers;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.isStatement,
                                   StatementOf(answer).has_value());
    }
  }

  // Guards against time limits that are late by the longest answer so far, so
  // that a refusal is proven late.
  void testOffsets() {
    constexpr std::int64_t kUnixMs = 1000;
    for (const OffsetRow& row : kOffsets) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.label, row.expected,
          TimeOffsetMs(row.known, kUnixMs, row.sentMs, row.receivedMs));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalProofTest);

}  // namespace bramleypath::relay
