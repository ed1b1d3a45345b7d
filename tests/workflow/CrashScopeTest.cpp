#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "bramleypath/workflow/internal/CrashScope.h"
#include "tests/workflow/Samples.h"

namespace bramleypath::workflow {

namespace {

constexpr TimePoint kSentAt{100 * 1000 * 1000};
constexpr Duration kLongAfter = Seconds(4);

// Another worker, and what is known of it. Times are counted from the start
// that was not answered.
struct Other {
  bool isOfRack = false;
  std::int64_t heardMs = 0;
  std::optional<std::int64_t> missedMs = std::nullopt;  // a request failed
  bool isRemoved = false;                               // as crashed
  bool drains = false;
};

struct ScopeCase {
  const char* name = "";
  std::vector<Other> others;
  Duration age;  // of the start
  detail::CrashScope expected = detail::CrashScope::Unknown;
};

constexpr bool kOfRack = true;
constexpr bool kElsewhere = false;
constexpr auto kAlone = detail::CrashScope::Alone;
constexpr auto kCorrelated = detail::CrashScope::Correlated;
constexpr auto kUnknown = detail::CrashScope::Unknown;

const std::vector<ScopeCase> kScopeCases = {
    {"no other worker", {}, kLongAfter, kAlone},
    {"all others heard since",
     {{kOfRack, 600}, {kElsewhere, 900}},
     Seconds(1),
     kAlone},
    {"one of the rack not yet heard", {{kOfRack, -400}}, Seconds(1), kUnknown},
    {"heard, but maybe before the crash",
     {{kOfRack, 300}},
     Seconds(1),
     kUnknown},
    {"one of the rack silent for good",
     {{kOfRack, -400}},
     kLongAfter,
     kCorrelated},
    {"one of the rack fails", {{kOfRack, -400, 700}}, Seconds(1), kCorrelated},
    {"one of the rack removed",
     {{kOfRack, -400, 700, true}},
     Seconds(1),
     kCorrelated},
    {"one elsewhere fails", {{kElsewhere, -400, 700}}, Seconds(1), kAlone},
    {"two elsewhere fail",
     {{kElsewhere, -400, 700}, {kElsewhere, -9, 800}},
     Seconds(1),
     kCorrelated},
    {"two elsewhere, one not yet heard",
     {{kElsewhere, -400, 700}, {kElsewhere, -9}},
     Seconds(1),
     kUnknown},
    {"one of the rack lost long before",
     {{kOfRack, -5000}},
     kLongAfter,
     kAlone},
    {"one of the rack crashed before",
     {{kOfRack, -700, -200, true}},
     kLongAfter,
     kAlone},
    {"one of the rack crashed after",
     {{kOfRack, 600, 900, true}},
     kLongAfter,
     kAlone},
    {"one of the rack drains and ends",
     {{kOfRack, -400, 700, false, true}},
     kLongAfter,
     kAlone},
};

detail::CrashScope ScopeIn(const ScopeCase& aCase) {
  State state;
  WorkerSpec crashed = MakeNumberedWorker(0);
  Apply(state, RegisterWorker{crashed});
  for (std::size_t index = 0; index < aCase.others.size(); ++index) {
    WorkerSpec other = MakeNumberedWorker(index + 1);
    other.rack = aCase.others[index].isOfRack ? crashed.rack : RackId("r2");
    other.draining = aCase.others[index].drains;
    Apply(state, RegisterWorker{other});
  }
  Scheduler scheduler = MakeScheduler(SchedulerSettings(), 1, state,
                                      LeaseEnds(), 1, kSentAt - Seconds(60));
  for (std::size_t index = 0; index < aCase.others.size(); ++index) {
    const Other& other = aCase.others[index];
    const Worker worker =
        *FindWorker(state, MakeNumberedWorker(index + 1).id.value);
    WorkerSession& session = scheduler.sessions.at(worker.number);
    session.lastMessageAt = kSentAt + Millis(other.heardMs);
    if (other.missedMs) {
      detail::RecordMiss(session, kSentAt + Millis(*other.missedMs));
    }
    if (other.isRemoved) {
      detail::RecordLostWorker(scheduler, state, worker, kSentAt + kLongAfter);
      Apply(state, RemoveWorker{worker.number, true});
      OnStateChanged(scheduler, state, kSentAt + kLongAfter);
    }
  }
  return detail::ScopeOfCrash(scheduler, state,
                              *FindWorker(state, crashed.id.value), kSentAt,
                              kSentAt + aCase.age);
}

}  // namespace

class CrashScopeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashScopeTest);
  CPPUNIT_TEST(testScopeFollowsFromTheSilenceOfOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A start that was lost with a rack looked like one that ended its worker.
  void testScopeFollowsFromTheSilenceOfOthers() {
    for (const ScopeCase& one : kScopeCases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name,
                                   std::string(detail::ToText(one.expected)),
                                   std::string(detail::ToText(ScopeIn(one))));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashScopeTest);

}  // namespace bramleypath::workflow
