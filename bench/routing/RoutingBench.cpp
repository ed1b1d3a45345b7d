#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "bench/routing/Costs.h"
#include "bench/routing/SharedQueue.h"
#include "bench/routing/Simulation.h"

namespace bramleypath::bench {

namespace {

using routing::ChoicePolicy;
using routing::LimitPolicy;
using routing::Settings;

const std::vector<std::uint64_t> kSeeds{1, 2, 3};

struct Policy {
  const char* name;
  bool isSharedQueue;  // RunSharedQueue, the reference
  Settings settings;
};

Settings MakeSettings(ChoicePolicy aChoice, LimitPolicy aLimit) {
  Settings settings;
  settings.choice = aChoice;
  settings.limit = aLimit;
  return settings;
}

// The policies with LimitPolicy::None send each call at once; calls above a
// target's slots wait in the target's queue.
std::vector<Policy> AllPolicies() {
  return {
      {"shared queue", true, {}},
      {"bramleypath", false, Settings{}},
      {"own outstanding", false,
       MakeSettings(ChoicePolicy::OwnOutstanding, LimitPolicy::None)},
      {"round robin", false,
       MakeSettings(ChoicePolicy::RoundRobin, LimitPolicy::None)},
      {"random", false, MakeSettings(ChoicePolicy::Random, LimitPolicy::None)},
  };
}

Summary RunPolicy(const Scenario& aScenario, const Policy& aPolicy) {
  const auto calls = MakeCalls(aScenario);
  // With several classes, only the latencies of the first, short one are
  // summarised.
  const int latencyClass = aScenario.deployment.classes.size() > 1 ? 0 : -1;
  if (aPolicy.isSharedQueue) {
    return Summarise(aScenario, calls, RunSharedQueue(aScenario, calls),
                     latencyClass);
  }
  const Outcomes outcomes = RunRouters(aScenario, calls, aPolicy.settings);
  Summary summary = Summarise(aScenario, calls, outcomes.results, latencyClass);
  summary.attemptsPerCall = static_cast<double>(outcomes.attempts) /
                            static_cast<double>(outcomes.calls);
  return summary;
}

struct Spread {
  double mean = 0;
  double min = 0;
  double max = 0;
};

template <typename Read>
Spread ComputeSpread(const std::vector<Summary>& aRuns, Read aRead) {
  Spread spread;
  spread.min = aRead(aRuns.front());
  for (const Summary& run : aRuns) {
    const double value = aRead(run);
    spread.mean += value / static_cast<double>(aRuns.size());
    spread.min = std::min(spread.min, value);
    spread.max = std::max(spread.max, value);
  }
  return spread;
}

std::vector<Summary> RunSeeds(Scenario aScenario, const Policy& aPolicy) {
  std::vector<Summary> runs;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.seed = seed;
    runs.push_back(RunPolicy(aScenario, aPolicy));
  }
  return runs;
}

// Formats the ratio of the 99% quantiles to those of the reference. Under
// overload, the first-come, first-served queue of the reference completes few
// calls in time; the ratio is then meaningless and "-" is returned.
std::string RatioText(const std::vector<Summary>& aRuns,
                      const std::vector<Summary>& aReference) {
  constexpr double kMinGoodputRatio = 0.5;
  std::vector<Summary> ratios;
  for (std::size_t run = 0; run < aRuns.size(); ++run) {
    if (aReference[run].goodput < kMinGoodputRatio * aRuns[run].goodput ||
        aReference[run].goodput < 100 || aReference[run].p99 < 1) {
      return "-";
    }
    Summary ratio;
    ratio.p99 = aRuns[run].p99 / aReference[run].p99;
    ratios.push_back(ratio);
  }
  const Spread ratio =
      ComputeSpread(ratios, [](const Summary& aRun) { return aRun.p99; });
  char text[64];
  std::snprintf(text, sizeof text, "%.2f [%.2f-%.2f]", ratio.mean, ratio.min,
                ratio.max);
  return text;
}

void PrintRow(const std::string& aLabel, const std::vector<Summary>& aRuns,
              const std::vector<Summary>& aReference) {
  const auto mean = [&](auto aRead) {
    return ComputeSpread(aRuns, aRead).mean;
  };
  std::printf(
      "%-52s p50 %6.1f p99 %6.1f p99.9 %6.1f ms  refused %6.2f%%  goodput "
      "%6.0f/s",
      aLabel.c_str(), mean([](const Summary& aRun) { return aRun.p50; }),
      mean([](const Summary& aRun) { return aRun.p99; }),
      mean([](const Summary& aRun) { return aRun.p999; }),
      mean([](const Summary& aRun) { return aRun.refused * 100; }),
      mean([](const Summary& aRun) { return aRun.goodput; }));
  if (aRuns.front().classGoodput.size() > 1) {
    std::printf(" (long %4.0f/s)", mean([](const Summary& aRun) {
                  return aRun.classGoodput.back();
                }));
  }
  std::printf("  attempts %.3f  p99 ratio %s\n",
              mean([](const Summary& aRun) { return aRun.attemptsPerCall; }),
              RatioText(aRuns, aReference).c_str());
  std::fflush(stdout);
}

void Compare(const std::string& aTitle, const Scenario& aScenario,
             const std::vector<Policy>& aPolicies) {
  std::vector<Summary> reference;
  for (const Policy& policy : aPolicies) {
    const auto runs = RunSeeds(aScenario, policy);
    if (reference.empty()) {
      reference = runs;
    }
    PrintRow(aTitle + ", " + policy.name, runs, reference);
  }
}

std::string TitleOf(const Scenario& aScenario, const char* aWhat) {
  char text[128];
  std::snprintf(text, sizeof text, "%s %u hosts %s %.0f%%",
                aScenario.deployment.name.c_str(), aScenario.deployment.hosts,
                aWhat, aScenario.load * 100);
  return text;
}

std::vector<Deployment> AllDeployments() {
  return {HaritAngan(7), HaritAngan(9), Cairnmuir(7), Cairnmuir(9)};
}

void PrintLoads(const std::vector<Policy>& aPolicies) {
  for (const Deployment& deployment : AllDeployments()) {
    std::vector<Summary> full;
    for (const double load : {0.6, 0.85, 1.0, 1.5}) {
      Scenario scenario;
      scenario.deployment = deployment;
      scenario.load = load;
      Compare(TitleOf(scenario, "load"), scenario, aPolicies);
      const auto runs = RunSeeds(scenario, AllPolicies()[1]);
      if (load == 1.0) {
        full = runs;
      }
      if (load > 1.0) {
        const auto read = [](const Summary& aRun) { return aRun.goodput; };
        std::printf(
            "%s %u hosts: goodput at 150%% is %.3f of that at 100%% "
            "(goal 0.95)\n",
            deployment.name.c_str(), deployment.hosts,
            ComputeSpread(runs, read).mean / ComputeSpread(full, read).mean);
      }
    }
  }
}

void PrintDisturbances() {
  const auto policies = AllPolicies();
  for (const Deployment& deployment : {HaritAngan(7), Cairnmuir(9)}) {
    Scenario scenario;
    scenario.deployment = deployment;
    scenario.load = 0.7;
    scenario.disturbance.slow = 0.1;
    Compare(TitleOf(scenario, "slow targets"), scenario, policies);
    scenario.disturbance = Disturbance{};
    scenario.disturbance.waves = true;
    Compare(TitleOf(scenario, "batch waves"), scenario, policies);
    scenario.disturbance = Disturbance{};
    scenario.disturbance.fastFailing = 0.1;
    Compare(TitleOf(scenario, "fast-failing"), scenario, policies);
    scenario.load = 0.5;
    scenario.disturbance = Disturbance{};
    scenario.disturbance.refusing = 1.0 / 3;
    Compare(TitleOf(scenario, "third refuses"), scenario, policies);
  }
}

void PrintLimits() {
  for (const Deployment& deployment : {HaritAngan(3), HaritAngan(7)}) {
    for (const double load : {0.5, 0.7}) {
      Scenario scenario;
      scenario.deployment = deployment;
      scenario.load = load;
      scenario.warmUp = Seconds(4);
      scenario.disturbance.shift = true;
      Settings noLimit;
      noLimit.limit = LimitPolicy::None;
      Settings fixed;
      fixed.limit = LimitPolicy::Share;
      Compare(TitleOf(scenario, "load shift"), scenario,
              {{"shared queue", true, {}},
               {"adaptive limit", false, Settings{}},
               {"fixed limit", false, fixed},
               {"no limit", false, noLimit}});
    }
  }
}

void PrintFairness() {
  Scenario calm;
  calm.deployment = HaritAngan(7);
  calm.clientAccounts = {{"small-1", 1}, {"small-2", 1}, {"small-3", 1}};
  calm.load = 0.45;
  Scenario flood = calm;
  // The largest client account alone offers twice the capacity.
  flood.clientAccounts.push_back({"largest", 2.0 / 0.15});
  flood.load = 2.45;
  const Policy policy = AllPolicies()[1];
  const auto before = RunSeeds(calm, policy);
  const auto after = RunSeeds(flood, policy);
  for (std::size_t clientAccount = 0;
       clientAccount < flood.clientAccounts.size(); ++clientAccount) {
    const auto p99 = [&](const Summary& aRun) {
      return clientAccount < aRun.clientAccountP99.size()
                 ? aRun.clientAccountP99[clientAccount]
                 : 0.0;
    };
    const auto goodput = [&](const Summary& aRun) {
      return clientAccount < aRun.clientAccountGoodput.size()
                 ? aRun.clientAccountGoodput[clientAccount]
                 : 0.0;
    };
    std::printf(
        "fairness, member %s: p99 %.1f ms alone, %.1f ms while the "
        "largest floods; goodput %.0f/s and %.0f/s\n",
        flood.clientAccounts[clientAccount].name.c_str(),
        ComputeSpread(before, p99).mean, ComputeSpread(after, p99).mean,
        ComputeSpread(before, goodput).mean,
        ComputeSpread(after, goodput).mean);
  }
}

bool IsSelected(int aCount, char** aValues, const char* aName) {
  return aCount < 2 || std::strcmp(aValues[1], aName) == 0;
}

}  // namespace

}  // namespace bramleypath::bench

// Runs all parts, or the one given as argument: loads, disturbances, limits,
// fairness or costs. own-loads is loads with the shared queue and bramleypath
// only.
int main(int aCount, char** aValues) {
  using namespace bramleypath::bench;
  if (IsSelected(aCount, aValues, "loads")) {
    PrintLoads(AllPolicies());
  }
  if (aCount > 1 && IsSelected(aCount, aValues, "own-loads")) {
    const auto policies = AllPolicies();
    PrintLoads({policies[0], policies[1]});
  }
  if (IsSelected(aCount, aValues, "disturbances")) {
    PrintDisturbances();
  }
  if (IsSelected(aCount, aValues, "limits")) {
    PrintLimits();
  }
  if (IsSelected(aCount, aValues, "fairness")) {
    PrintFairness();
  }
  if (IsSelected(aCount, aValues, "costs")) {
    PrintCosts();
  }
  return 0;
}
