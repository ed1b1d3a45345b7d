#include "bramleypath/base/StateChart.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace bramleypath {

namespace {

using Json = nlohmann::json;

void Fail(ChartReason& aReason, ChartError aCode, std::string aDetail) {
  aReason.code = aCode;
  aReason.detail = std::move(aDetail);
}

std::optional<std::size_t> IndexOf(const std::vector<std::string>& aNames,
                                   std::string_view aName) {
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  if (found == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - aNames.begin());
}

bool ReadNames(const Json& aRoot, Chart& aChart, ChartReason& aReason) {
  for (const char* field : {"name", "initial", "events", "states"}) {
    if (!aRoot.contains(field)) {
      Fail(aReason, ChartError::MissingField, field);
      return false;
    }
  }
  if (!aRoot["name"].is_string() || !aRoot["initial"].is_string() ||
      !aRoot["events"].is_array() || !aRoot["states"].is_object()) {
    Fail(aReason, ChartError::MissingField, "a field has the wrong type");
    return false;
  }
  aChart.name = aRoot["name"].get<std::string>();
  for (const Json& event : aRoot["events"]) {
    if (!event.is_string()) {
      Fail(aReason, ChartError::MissingField, "events");
      return false;
    }
    aChart.events.push_back(event.get<std::string>());
  }
  for (const auto& [name, state] : aRoot["states"].items()) {
    aChart.states.push_back(name);
    aChart.finalStates.push_back(state.value("final", false));
  }
  const auto initial =
      IndexOf(aChart.states, aRoot["initial"].get<std::string>());
  if (!initial) {
    Fail(aReason, ChartError::UnknownState, "initial");
    return false;
  }
  aChart.initial = *initial;
  return true;
}

bool AddTransition(const Json& aTarget, const std::string& aGuard,
                   const Chart& aChart, std::vector<Transition>& aOut,
                   ChartReason& aReason) {
  const std::string name =
      aTarget.is_string() ? aTarget.get<std::string>() : std::string();
  const auto target = IndexOf(aChart.states, name);
  if (!target) {
    Fail(aReason, ChartError::UnknownState, name);
    return false;
  }
  aOut.push_back(Transition{aGuard, *target});
  return true;
}

bool ReadTransitions(const Json& aTransitions, const Chart& aChart,
                     std::vector<Transition>& aOut, ChartReason& aReason) {
  if (!aTransitions.is_array()) {
    return AddTransition(aTransitions, "", aChart, aOut, aReason);
  }
  for (const Json& transition : aTransitions) {
    if (!transition.is_object() || !transition.contains("to")) {
      Fail(aReason, ChartError::MissingField, "to");
      return false;
    }
    if (!AddTransition(transition["to"], transition.value("guard", ""), aChart,
                       aOut, aReason)) {
      return false;
    }
  }
  return true;
}

bool ReadState(const Json& aState, StateIndex aIndex, Chart& aChart,
               ChartReason& aReason) {
  auto& row = aChart.transitions[aIndex];
  std::vector<bool> handled(aChart.events.size(), aChart.finalStates[aIndex]);
  const Json transitions = aState.value("on", Json::object());
  for (const auto& [name, transition] : transitions.items()) {
    const auto event = IndexOf(aChart.events, name);
    if (!event) {
      Fail(aReason, ChartError::UnknownEvent, name);
      return false;
    }
    handled[*event] = true;
    if (!ReadTransitions(transition, aChart, row[*event], aReason)) {
      return false;
    }
  }
  for (const Json& name : aState.value("ignore", Json::array())) {
    const auto event = IndexOf(aChart.events, name.get<std::string>());
    if (!event) {
      Fail(aReason, ChartError::UnknownEvent, name.get<std::string>());
      return false;
    }
    handled[*event] = true;
  }
  const auto missing = std::find(handled.begin(), handled.end(), false);
  if (missing != handled.end()) {
    const auto event = static_cast<std::size_t>(missing - handled.begin());
    Fail(aReason, ChartError::UnhandledEvent,
         aChart.states[aIndex] + ": " + aChart.events[event]);
    return false;
  }
  return true;
}

bool CheckReachable(const Chart& aChart, ChartReason& aReason) {
  std::vector<bool> reached(aChart.states.size(), false);
  std::vector<StateIndex> pending{aChart.initial};
  reached[aChart.initial] = true;
  while (!pending.empty()) {
    const StateIndex state = pending.back();
    pending.pop_back();
    for (const auto& transitions : aChart.transitions[state]) {
      for (const Transition& transition : transitions) {
        if (!reached[transition.target]) {
          reached[transition.target] = true;
          pending.push_back(transition.target);
        }
      }
    }
  }
  const auto missing = std::find(reached.begin(), reached.end(), false);
  if (missing != reached.end()) {
    const auto state = static_cast<std::size_t>(missing - reached.begin());
    Fail(aReason, ChartError::UnreachableState, aChart.states[state]);
    return false;
  }
  return true;
}

}  // namespace

std::optional<Chart> LoadChart(std::string_view aText, ChartReason& aReason) {
  const Json root = Json::parse(aText, nullptr, false, true);
  if (root.is_discarded() || !root.is_object()) {
    Fail(aReason, ChartError::NotJson, "the text is not a JSON object");
    return std::nullopt;
  }
  Chart chart;
  if (!ReadNames(root, chart, aReason)) {
    return std::nullopt;
  }
  chart.transitions.assign(
      chart.states.size(),
      std::vector<std::vector<Transition>>(chart.events.size()));
  for (StateIndex index = 0; index < chart.states.size(); ++index) {
    if (!ReadState(root["states"][chart.states[index]], index, chart,
                   aReason)) {
      return std::nullopt;
    }
  }
  if (!CheckReachable(chart, aReason)) {
    return std::nullopt;
  }
  return chart;
}

std::optional<StateIndex> FindState(const Chart& aChart,
                                    std::string_view aName) {
  return IndexOf(aChart.states, aName);
}

std::optional<EventIndex> FindEvent(const Chart& aChart,
                                    std::string_view aName) {
  return IndexOf(aChart.events, aName);
}

std::optional<StateIndex> NextState(const Chart& aChart, StateIndex aState,
                                    EventIndex aEvent,
                                    const GuardEvaluator& aGuards) {
  for (const Transition& transition : aChart.transitions[aState][aEvent]) {
    if (transition.guard.empty() || aGuards(transition.guard)) {
      return transition.target;
    }
  }
  return std::nullopt;
}

std::optional<StateIndex> NextState(const Chart& aChart, StateIndex aState,
                                    EventIndex aEvent) {
  return NextState(aChart, aState, aEvent,
                   [](std::string_view) { return false; });
}

std::string ToMarkdown(const Chart& aChart) {
  std::string text = "## " + aChart.name + "\n\nInitial state: `" +
                     aChart.states[aChart.initial] +
                     "`.\n\n| State | Event | Guard | Next state |\n"
                     "|---|---|---|---|\n";
  for (StateIndex state = 0; state < aChart.states.size(); ++state) {
    if (aChart.finalStates[state]) {
      text += "| " + aChart.states[state] + " | (final) | | |\n";
    }
    for (EventIndex event = 0; event < aChart.events.size(); ++event) {
      for (const Transition& transition : aChart.transitions[state][event]) {
        text += "| " + aChart.states[state] + " | " + aChart.events[event] +
                " | " + transition.guard + " | " +
                aChart.states[transition.target] + " |\n";
      }
    }
  }
  return text;
}

Chart LoadBuiltInChart(std::string_view aName) {
  ChartReason reason;
  auto chart = LoadChart(BuiltInChartText(aName), reason);
  if (!chart) {
    std::fprintf(stderr, "built-in state chart %.*s is invalid: %s\n",
                 static_cast<int>(aName.size()), aName.data(),
                 reason.detail.c_str());
    std::abort();
  }
  return *std::move(chart);
}

}  // namespace bramleypath
