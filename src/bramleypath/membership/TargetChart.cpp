#include "bramleypath/membership/TargetChart.h"

#include <cstdio>
#include <cstdlib>

namespace bramleypath::membership {

namespace {

// Aborts if the chart lacks a name. The chart is compiled in, so this is a
// defect of the build, as in LoadBuiltInChart.
std::size_t Require(std::optional<std::size_t> aIndex, const char* aName) {
  if (!aIndex) {
    std::fprintf(stderr, "state chart target lacks %s\n", aName);
    std::abort();
  }
  return *aIndex;
}

}  // namespace

TargetChart LoadTargetChart() {
  TargetChart loaded;
  loaded.chart = LoadBuiltInChart("target");
  const Chart& chart = loaded.chart;
  const auto state = [&](const char* aName) {
    return Require(FindState(chart, aName), aName);
  };
  const auto event = [&](const char* aName) {
    return Require(FindEvent(chart, aName), aName);
  };
  loaded.absent = state("Absent");
  loaded.serving = state("Serving");
  loaded.ejected = state("Ejected");
  loaded.leaving = state("Leaving");
  loaded.departed = state("Departed");
  loaded.announce = event("announce");
  loaded.leave = event("leave");
  loaded.expire = event("expire");
  loaded.eject = event("eject");
  loaded.probePassed = event("probe_passed");
  loaded.drain = event("drain");
  loaded.forget = event("forget");
  return loaded;
}

StateIndex NextTargetState(const TargetChart& aChart, StateIndex aState,
                           EventIndex aEvent, bool aNewerIncarnation) {
  const auto next =
      NextState(aChart.chart, aState, aEvent, [&](std::string_view aGuard) {
        return aGuard == "newer_incarnation" && aNewerIncarnation;
      });
  return next.value_or(aState);
}

}  // namespace bramleypath::membership
