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

// A transition of a state on an event. An empty guard always allows it.
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
// final state ignores all events. States are sorted by name.
struct Chart {
  std::string name;
  StateIndex initial = 0;
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<bool> finalStates;
  // transitions[state][event] holds the transitions in the order in which their
  // guards are evaluated; it is empty when the state ignores the event.
  std::vector<std::vector<std::vector<Transition>>> transitions;
};

// Returns whether the guard with this name allows its transition.
using GuardEvaluator = std::function<bool(std::string_view aGuard)>;

// Reads a chart and checks that every state is known and reachable, and that
// every state handles or explicitly ignores every event. Returns nothing with
// aReason set when it is invalid.
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

// The same for charts without guards; a transition with a guard is never taken.
std::optional<StateIndex> NextState(const Chart& aChart, StateIndex aState,
                                    EventIndex aEvent);

// The chart as a Markdown table: state, event, guard, next state.
std::string ToMarkdown(const Chart& aChart);

// The JSON text of a chart that is compiled into the program, by its file name
// without the extension, such as "task_attempt"; empty when there is none.
std::string_view BuiltInChartText(std::string_view aName);

// The names of all compiled-in charts, sorted.
std::vector<std::string_view> BuiltInChartNames();

// Loads a compiled-in chart. Aborts the program when it is missing or invalid,
// since that is an error in the build.
Chart LoadBuiltInChart(std::string_view aName);

}  // namespace bramleypath
