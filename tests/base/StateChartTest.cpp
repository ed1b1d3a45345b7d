#include "bramleypath/base/StateChart.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace bramleypath {

class StateChartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateChartTest);
  CPPUNIT_TEST(testRejectsFaultyCharts);
  CPPUNIT_TEST(testBuiltInChartsLoad);
  CPPUNIT_TEST(testGuardDecides);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an invalid chart that is loaded, such as one with a state
  // that neither handles nor ignores an event.
  void testRejectsFaultyCharts() {
    struct Row {
      const char* label;
      const char* text;
      ChartError expected;
    };
    const Row rows[] = {
        {"not JSON", "{", ChartError::NotJson},
        {"no events", R"({"name":"x","initial":"A","states":{}})",
         ChartError::MissingField},
        {"unknown initial state",
         R"({"name":"x","initial":"B","events":[],"states":{"A":{}}})",
         ChartError::UnknownState},
        {"unknown next state",
         R"({"name":"x","initial":"A","events":["e"],
             "states":{"A":{"on":{"e":"B"}}}})",
         ChartError::UnknownState},
        {"unknown event",
         R"({"name":"x","initial":"A","events":[],
             "states":{"A":{"on":{"e":"A"}}}})",
         ChartError::UnknownEvent},
        {"unhandled event",
         R"({"name":"x","initial":"A","events":["e"],"states":{"A":{}}})",
         ChartError::UnhandledEvent},
        {"unreachable state",
         R"({"name":"x","initial":"A","events":[],
             "states":{"A":{},"B":{}}})",
         ChartError::UnreachableState},
    };
    for (const Row& row : rows) {
      ChartReason reason;
      CPPUNIT_ASSERT_MESSAGE(row.label, !LoadChart(row.text, reason));
      CPPUNIT_ASSERT_MESSAGE(row.label, reason.code == row.expected);
    }
  }

  // Guards against a compiled-in chart that is invalid.
  void testBuiltInChartsLoad() {
    for (const std::string_view name : BuiltInChartNames()) {
      ChartReason reason;
      const auto chart = LoadChart(BuiltInChartText(name), reason);
      CPPUNIT_ASSERT_MESSAGE(std::string(name) + ": " + reason.detail,
                             chart.has_value());
    }
  }

  // Guards against a delayed announcement that makes a leaving target serve
  // again.
  void testGuardDecides() {
    const Chart chart = LoadBuiltInChart("target");
    const StateIndex leaving = *FindState(chart, "Leaving");
    const EventIndex announce = *FindEvent(chart, "announce");
    const auto refuse = [](std::string_view) { return false; };
    const auto allow = [](std::string_view) { return true; };
    CPPUNIT_ASSERT(!NextState(chart, leaving, announce, refuse));
    CPPUNIT_ASSERT(NextState(chart, leaving, announce, allow) ==
                   FindState(chart, "Serving"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateChartTest);

}  // namespace bramleypath
