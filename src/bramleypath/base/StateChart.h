#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bramleypath {

enum class ChartError {
  NotJson,
  MissingField,
  UnknownState,
  UnknownEvent,
  UnreachableState,
  UnhandledEvent
};

// Why a chart could not be loaded.
struct ChartReason {
  ChartError code = ChartError::NotJson;
  std::string detail;
};

// Index of a state or an event in its chart's list.
using StateIndex = std::size_t;
using EventIndex = std::size_t;

// One way out of a state. An empty guard always allows it.
struct Transition {
  std::string guard;
  StateIndex target = 0;
};

// A state chart read from JSON:
//   {"name": "...", "initial": "A", "events": ["e", ...],
//    "states": {"A": {"on": {"e": "B", "f": [{"guard": "g", "to": "A"},
//                                             {"to": "B"}]},
//                     "ignore": ["h"]},
//               "B": {"final": true}}}
// Each state that is not final lists each event under "on" or "ignore"; a
// final state ignores all events. States keep the order of their names.
struct Chart {
  std::string name;
  StateIndex initial = 0;
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<bool> finalStates;
  // transitions[state][event], tried in order; none: the event is ignored.
  std::vector<std::vector<std::vector<Transition>>> transitions;
};

using GuardEvaluator = std::function<bool(std::string_view aGuard)>;

// Reads and checks a chart: every state is known and reachable, and every
// state handles or explicitly ignores every event.
std::optional<Chart> LoadChart(std::string_view aText, ChartReason& aReason);

std::optional<StateIndex> FindState(const Chart& aChart,
                                    std::string_view aName);
std::optional<EventIndex> FindEvent(const Chart& aChart,
                                    std::string_view aName);

// The state after the event, or nothing when the event is ignored or no guard
// allows a transition.
std::optional<StateIndex> NextState(const Chart& aChart, StateIndex aState,
                                    EventIndex aEvent,
                                    const GuardEvaluator& aGuards);

// As above, for charts without guards.
std::optional<StateIndex> NextState(const Chart& aChart, StateIndex aState,
                                    EventIndex aEvent);

// The chart as a Markdown table: state, event, guard, next state.
std::string ToMarkdown(const Chart& aChart);

// The text of a chart compiled into the program, by file name without its
// ending, such as "task_attempt"; empty when there is none.
std::string_view BuiltInChartText(std::string_view aName);

// The names of all compiled-in charts, sorted.
std::vector<std::string_view> BuiltInChartNames();

// A compiled-in chart, loaded. Ends the program when it is missing or wrong,
// since that is a fault of the build.
Chart LoadBuiltInChart(std::string_view aName);

}  // namespace bramleypath
