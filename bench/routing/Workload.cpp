#include "bench/routing/Workload.h"

#include <algorithm>
#include <cmath>

#include "bramleypath/base/Random.h"

namespace bramleypath::bench {

namespace {

double Exponential(Random& aRandom, double aMean) {
  return -aMean * std::log(1.0 - NextUnit(aRandom));
}

template <typename Spec>
std::uint32_t PickWeighted(Random& aRandom, const std::vector<Spec>& aSpecs) {
  double total = 0;
  for (const Spec& spec : aSpecs) {
    total += spec.share;
  }
  double left = NextUnit(aRandom) * total;
  for (std::uint32_t index = 0; index < aSpecs.size(); ++index) {
    left -= aSpecs[index].share;
    if (left < 0) {
      return index;
    }
  }
  return static_cast<std::uint32_t>(aSpecs.size() - 1);
}

double MeanMicros(const Deployment& aDeployment) {
  double mean = 0;
  for (const ClassSpec& spec : aDeployment.classes) {
    mean += spec.share * static_cast<double>(spec.mean.micros);
  }
  return mean;
}

double Quantile(std::vector<double>& aValues, double aPart) {
  if (aValues.empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(
      aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + place, aValues.end());
  return aValues[static_cast<std::size_t>(place)];
}

bool IsInFirstPart(std::uint32_t aTarget, std::uint32_t aCount, double aPart) {
  return aTarget < std::lround(aPart * aCount);
}

}  // namespace

Deployment HaritAngan(std::uint32_t aHosts) {
  Deployment deployment;
  deployment.name = "harit-angan";
  deployment.targets = 50;
  deployment.hosts = aHosts;
  deployment.classes = {{"plan", 1.0, Millis(20), Millis(500)}};
  return deployment;
}

Deployment Cairnmuir(std::uint32_t aHosts) {
  Deployment deployment;
  deployment.name = "cairnmuir";
  deployment.targets = 65;
  deployment.hosts = aHosts;
  deployment.classes = {{"check", 0.97, Millis(20), Millis(500)},
                        {"reconciliation", 0.03, Millis(400), Seconds(10)}};
  return deployment;
}

std::vector<CallSpec> MakeCalls(const Scenario& aScenario) {
  const Deployment& deployment = aScenario.deployment;
  Random random{aScenario.seed};
  const double capacity =
      static_cast<double>(deployment.targets) * deployment.slots;
  const double meanGapMicros =
      MeanMicros(deployment) / (capacity * aScenario.load);
  std::vector<CallSpec> calls;
  double at = 0;
  while (true) {
    at += Exponential(random, meanGapMicros);
    if (at >= static_cast<double>(aScenario.length.micros)) {
      return calls;
    }
    CallSpec call;
    call.at = TimePoint{static_cast<std::int64_t>(at)};
    call.host = static_cast<std::uint32_t>(NextBelow(random, deployment.hosts));
    call.callClass = PickWeighted(random, deployment.classes);
    call.clientAccount = PickWeighted(random, aScenario.clientAccounts);
    const double mean =
        static_cast<double>(deployment.classes[call.callClass].mean.micros);
    call.service =
        Micros(1 + static_cast<std::int64_t>(Exponential(random, mean)));
    calls.push_back(call);
  }
}

Summary Summarise(const Scenario& aScenario,
                  const std::vector<CallSpec>& aCalls,
                  const std::vector<Result>& aResults, int aClass) {
  std::vector<double> all;
  std::vector<std::vector<double>> byClientAccount(
      aScenario.clientAccounts.size());
  std::vector<double> goodByClientAccount(aScenario.clientAccounts.size());
  std::vector<double> goodByClass(aScenario.deployment.classes.size());
  double counted = 0;
  double refused = 0;
  double good = 0;
  for (std::size_t index = 0; index < aCalls.size(); ++index) {
    const CallSpec& call = aCalls[index];
    if (call.at.micros < aScenario.warmUp.micros) {
      continue;
    }
    const Result& result = aResults[index];
    counted += 1;
    refused += result.status == CallStatus::Refused ? 1 : 0;
    if (result.status != CallStatus::Completed) {
      continue;
    }
    good += 1;
    goodByClientAccount[call.clientAccount] += 1;
    goodByClass[call.callClass] += 1;
    if (aClass < 0 || call.callClass == static_cast<std::uint32_t>(aClass)) {
      const double millis = static_cast<double>(result.latency.micros) / 1000;
      all.push_back(millis);
      byClientAccount[call.clientAccount].push_back(millis);
    }
  }
  const double seconds =
      static_cast<double>((aScenario.length.micros - aScenario.warmUp.micros)) /
      1e6;
  Summary summary;
  summary.p50 = Quantile(all, 0.5);
  summary.p99 = Quantile(all, 0.99);
  summary.p999 = Quantile(all, 0.999);
  summary.refused = refused / std::max(1.0, counted);
  summary.goodput = good / seconds;
  for (std::size_t clientAccount = 0; clientAccount < byClientAccount.size();
       ++clientAccount) {
    summary.clientAccountP99.push_back(
        Quantile(byClientAccount[clientAccount], 0.99));
    summary.clientAccountGoodput.push_back(goodByClientAccount[clientAccount] /
                                           seconds);
  }
  for (const double count : goodByClass) {
    summary.classGoodput.push_back(count / seconds);
  }
  return summary;
}

double SlowDownFactor(const Scenario& aScenario, std::uint32_t aTarget,
                      std::uint32_t aBusy, TimePoint aNow) {
  constexpr std::int64_t kWavePeriodMicros = 3000000;
  constexpr std::int64_t kWaveLengthMicros = 1000000;
  constexpr double kThrashingExponent = 1.3;
  const Disturbance& disturbance = aScenario.disturbance;
  const std::uint32_t count = aScenario.deployment.targets;
  double factor = IsInFirstPart(aTarget, count, disturbance.slow) ? 3.0 : 1.0;
  const std::int64_t wave = aNow.micros / kWavePeriodMicros;
  if (disturbance.waves &&
      aNow.micros % kWavePeriodMicros < kWaveLengthMicros) {
    Random random{aScenario.seed * 1000003 + aTarget * 131 +
                  static_cast<std::uint64_t>(wave)};
    factor *= NextBelow(random, 5) == 0 ? 2.0 : 1.0;
  }
  if (disturbance.shift && aTarget % 2 == 0 &&
      aNow.micros > aScenario.length.micros / 3) {
    constexpr double kProcessorsLeft = 3.0;
    const double load = (aBusy + 1) / kProcessorsLeft;
    factor *= load > 1 ? std::pow(load, kThrashingExponent) : 1.0;
  }
  return factor;
}

bool IsRefusing(const Scenario& aScenario, std::uint32_t aTarget) {
  return IsInFirstPart(aTarget, aScenario.deployment.targets,
                       aScenario.disturbance.refusing);
}

bool IsFastFailing(const Scenario& aScenario, std::uint32_t aTarget) {
  return IsInFirstPart(aTarget, aScenario.deployment.targets,
                       aScenario.disturbance.fastFailing);
}

}  // namespace bramleypath::bench
