#include "bramleypath/explain/RequestTimeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace bramleypath::explain {

namespace {

std::vector<LogLine> Parse(const std::vector<const char*>& aTexts) {
  std::vector<LogLine> lines;
  for (const char* text : aTexts) {
    std::string reason;
    const auto line = ParseLine(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, line.has_value());
    lines.push_back(*line);
  }
  return lines;
}

bool HasCause(const RequestTimeline& aTimeline, const std::string& aPart) {
  return std::any_of(aTimeline.causes.begin(), aTimeline.causes.end(),
                     [&](const std::string& aCause) {
                       return aCause.find(aPart) != std::string::npos;
                     });
}

// Collected log lines, and the outcome and causes expected for job j1.
struct TimelineCase {
  const char* name;
  std::vector<const char*> lines;
  JobOutcome outcome;
  std::vector<const char*> causes;
  std::size_t lineCount;  // of the timeline
};

const TimelineCase kTimelineCases[] = {
    {"refused under load",
     {R"({"time_ms":900,"host":"c1","event":"cell_summary","waiting":"70",)"
      R"("backlog_s":"44","workers_in_contact":"5","workers":"6"})",
      R"({"time_ms":1000,"host":"c1","event":"job_refused","job":"j1",)"
      R"("expected_ms":"2683","objective_ms":"604","retry_after_s":"2"})",
      R"({"time_ms":1001,"host":"c1","event":"job_accepted","job":"j12"})"},
     JobOutcome::Refused,
     {"expected to end after 2683 ms", "5 of 6 workers"},
     2},
    {"refused by a leader without time",
     {R"({"time_ms":1000,"host":"c1","event":"job_refused_for_load",)"
      R"("job":"j1","loop_delay_ms":"92","refused_share":"0.700000",)"
      R"("retry_after_s":"4"})"},
     JobOutcome::Refused,
     {"refused by c1: events waited 92 ms", "retry after 4 s"},
     1},
    {"refused first, accepted later, completed",
     {R"({"time_ms":1000,"host":"c1","event":"job_refused","job":"j1"})",
      R"({"time_ms":3000,"host":"c1","event":"job_accepted","job":"j1"})",
      R"({"time_ms":4000,"host":"c1","event":"job_completed","subject":"j1"})"},
     JobOutcome::Completed,
     {},
     3},
    {"late after a failover",
     {R"({"time_ms":1000,"host":"c1","event":"job_accepted","job":"j1"})",
      R"({"time_ms":1010,"host":"c1","event":"start_sent","job":"j1",)"
      R"("worker":"w1"})",
      R"({"time_ms":9000,"host":"c2","event":"job_completed","subject":"j1"})",
      R"({"time_ms":2500,"host":"c2","event":"leadership_gained",)"
      R"("epoch":"8"})",
      R"({"time_ms":7000,"host":"c2","event":"lease_over",)"
      R"("subject":"j1.0.0.0","detail":"attempt=1"})"},
     JobOutcome::Completed,
     {"c2 became leader (epoch 8) 1.5 s", "lease_over: j1.0.0.0 attempt=1"},
     5},
    {"no event of the end",
     {R"({"time_ms":1000,"host":"c1","event":"job_accepted","job":"j1"})",
      R"({"time_ms":1010,"host":"c1","event":"start_sent","job":"j1",)"
      R"("worker":"w1"})",
      R"({"time_ms":1500,"host":"c1","event":"worker_unreachable",)"
      R"("subject":"w2","detail":"refused"})",
      R"({"time_ms":3500,"host":"c1","event":"worker_unreachable",)"
      R"("subject":"w1","detail":"timed out"})"},
     JobOutcome::Open,
     {"worker w1; worker_unreachable timed out"},
     3},
    {"no leader reachable",
     {R"({"time_ms":500,"host":"f1","event":"leader_lost","leader":"c1"})",
      R"({"time_ms":1000,"host":"f1","event":"request_given_up",)"
      R"("path":"/q/j1","status":"503","attempts":"7"})"},
     JobOutcome::NotAccepted,
     {"f1 reached no leader within 7 attempts and answered 503"},
     2},
    {"another job",
     {R"({"time_ms":1000,"host":"c1","event":"job_accepted","job":"j12"})"},
     JobOutcome::NotFound,
     {},
     0},
};

const char* const kUnreadable[] = {"",
                                   "text",
                                   "[]",
                                   R"({"host":"a","event":"b"})",
                                   R"({"time_ms":"1","host":"a","event":"b"})",
                                   R"({"time_ms":1,"host":7,"event":"b"})",
                                   R"({"time_ms":1,"host":"a"})"};

}  // namespace

class RequestTimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestTimelineTest);
  CPPUNIT_TEST(testTimelines);
  CPPUNIT_TEST(testUnreadableLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testTimelines() {
    for (const TimelineCase& timelineCase : kTimelineCases) {
      const RequestTimeline timeline =
          BuildRequestTimeline(Parse(timelineCase.lines), "j1");
      CPPUNIT_ASSERT_MESSAGE(timelineCase.name,
                             timelineCase.outcome == timeline.outcome);
      for (const char* cause : timelineCase.causes) {
        CPPUNIT_ASSERT_MESSAGE(std::string(timelineCase.name) + ": " + cause,
                               HasCause(timeline, cause));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(timelineCase.name, timelineCase.lineCount,
                                   timeline.lines.size());
    }
  }

  void testUnreadableLines() {
    for (const char* text : kUnreadable) {
      std::string reason;
      CPPUNIT_ASSERT_MESSAGE(text, !ParseLine(text, reason));
      CPPUNIT_ASSERT_MESSAGE(text, !reason.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTimelineTest);

}  // namespace bramleypath::explain
