#include "bramleypath/routing/internal/Ejection.h"

#include <algorithm>
#include <cmath>

#include "bramleypath/routing/internal/Shares.h"
#include "bramleypath/routing/internal/Targets.h"
#include "bramleypath/routing/internal/Timers.h"

namespace bramleypath::routing::detail {

namespace {

// Weight of one answer in a class's moving rate of unusually fast answers.
constexpr double kFastRateWeight = 0.02;

void Decay(FailureWindow& aWindow, Duration aHalfLife, TimePoint aNow) {
  const double age = static_cast<double>((aNow - aWindow.updatedAt).micros);
  const double decayFactor =
      std::exp2(-std::max(0.0, age) / static_cast<double>(aHalfLife.micros));
  aWindow.samples *= decayFactor;
  aWindow.failures *= decayFactor;
  aWindow.answers *= decayFactor;
  aWindow.fast *= decayFactor;
  aWindow.updatedAt = aNow;
}

bool IsFast(const Router& aRouter, const ClassState& aClass,
            Duration aLatency) {
  return static_cast<double>(aLatency.micros) <
         aClass.p5Micros * aRouter.settings.fastAnswerRatio;
}

void AddSample(Router& aRouter, TargetState& aTarget, ClassState& aClass,
               const HealthSample& aSample, TimePoint aNow) {
  const Settings& settings = aRouter.settings;
  FailureWindow& window = aTarget.window;
  Decay(window, settings.ejectHalfLife, aNow);
  const bool fast = IsFast(aRouter, aClass, aSample.latency);
  if (aSample.health == Health::Good) {
    window.samples += 1;
    window.answers += 1;
    window.fast += fast ? 1 : 0;
    aClass.fastAnswerRate +=
        kFastRateWeight * ((fast ? 1.0 : 0.0) - aClass.fastAnswerRate);
    return;
  }
  const double weight = fast ? settings.fastFailureWeight : 1.0;
  window.samples += weight;
  window.failures += weight;
  aTarget.lastFailureNotRun = aSample.notRun;
}

bool IsFaulty(const Router& aRouter, const TargetState& aTarget,
              const ClassState& aClass, const HealthSample& aSample) {
  const Settings& settings = aRouter.settings;
  const FailureWindow& window = aTarget.window;
  if (aSample.health == Health::Unreachable) {
    return true;
  }
  if (window.samples >= settings.ejectMinSamples &&
      window.failures >= settings.ejectErrorRate * window.samples) {
    return true;
  }
  // Fast answers from most targets mean that the requests have become cheaper,
  // so the rate of the class must be low for this target to be suspect.
  return window.answers >= settings.fastAnswerMinSamples &&
         window.fast >= settings.fastAnswerRate * window.answers &&
         aClass.fastAnswerRate < settings.fastAnswerRate / 2;
}

bool MayEject(const Router& aRouter, const ServiceState& aService) {
  const double count = aService.serving + aService.ejected;
  return aService.ejected + 1 <= count * aRouter.settings.maxEjectedShare;
}

// Each consecutive ejection lasts twice as long as the previous one.
TimePoint EjectionEnd(const Router& aRouter, const TargetState& aTarget,
                      TimePoint aNow) {
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings = std::min(aTarget.ejections, kMaxDoublings);
  const Duration length = aRouter.settings.firstEjection * (1LL << doublings);
  return aNow + (length < aRouter.settings.maxEjection
                     ? length
                     : aRouter.settings.maxEjection);
}

void Eject(Router& aRouter, TargetIndex aIndex, TimePoint aNow,
           Actions& aActions) {
  TargetState& target = aRouter.targets[aIndex];
  ApplyTargetEvent(aRouter, aIndex, aRouter.chart.eject, false, aNow);
  target.ejectedUntil = EjectionEnd(aRouter, target, aNow);
  ++target.ejections;
  target.probesPassed = 0;
  target.probeDue = false;
  target.window = FailureWindow{};
  SetTargetTimer(aRouter, aIndex, target.ejectedUntil);
  ++aRouter.counters.ejections;
  aActions.push_back(TargetEjected{target.record.target, target.ejectedUntil});
}

void MarkProbeDue(Router& aRouter, TargetIndex aIndex) {
  TargetState& target = aRouter.targets[aIndex];
  if (!target.probeDue) {
    target.probeDue = true;
    aRouter.services[target.service].probeTargets.push_back(aIndex);
  }
}

// Handles the end of a probe, or of an attempt that began before the ejection.
void RecordEjectedHealth(Router& aRouter, TargetIndex aIndex,
                         const HealthSample& aSample, TimePoint aNow,
                         Actions& aActions) {
  TargetState& target = aRouter.targets[aIndex];
  if (aNow < target.ejectedUntil) {
    return;
  }
  if (aSample.health == Health::Unknown) {
    MarkProbeDue(aRouter, aIndex);
    return;
  }
  if (aSample.health != Health::Good) {
    target.ejectedUntil = EjectionEnd(aRouter, target, aNow);
    ++target.ejections;
    target.probesPassed = 0;
    SetTargetTimer(aRouter, aIndex, target.ejectedUntil);
    return;
  }
  ++target.probesPassed;
  if (target.probesPassed < aRouter.settings.probesToReadmit) {
    MarkProbeDue(aRouter, aIndex);
    return;
  }
  target.window = FailureWindow{};
  target.ejections = 0;
  target.latencyRatio = 1.0;
  ApplyTargetEvent(aRouter, aIndex, aRouter.chart.probePassed, false, aNow);
  ++aRouter.counters.readmissions;
  aActions.push_back(TargetReadmitted{target.record.target});
}

}  // namespace

void RecordHealth(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                  const HealthSample& aSample, TimePoint aNow,
                  Actions& aActions) {
  TargetState& target = aRouter.targets[aIndex];
  if (target.service == kNoIndex) {
    return;
  }
  ServiceState& service = aRouter.services[target.service];
  ClassState& callClass = service.classes[aClass];
  if (aSample.health != Health::Unknown) {
    AddSample(aRouter, target, callClass, aSample, aNow);
  }
  if (target.state == aRouter.chart.ejected) {
    RecordEjectedHealth(aRouter, aIndex, aSample, aNow, aActions);
    return;
  }
  if (target.state == aRouter.chart.serving &&
      aSample.health != Health::Unknown &&
      IsFaulty(aRouter, target, callClass, aSample) &&
      MayEject(aRouter, service)) {
    Eject(aRouter, aIndex, aNow, aActions);
  }
}

void OnTargetTimer(Router& aRouter, TargetIndex aIndex, TimePoint aNow) {
  TargetState& target = aRouter.targets[aIndex];
  target.timerAt = kNever;
  if (!target.used || target.service == kNoIndex) {
    return;
  }
  if (target.state == aRouter.chart.ejected) {
    MarkProbeDue(aRouter, aIndex);
    return;
  }
  UpdateFreeList(aRouter, aIndex, aNow);
}

std::optional<TargetIndex> ClaimProbeTarget(Router& aRouter,
                                            ServiceIndex aService,
                                            const Call& aCall) {
  auto& due = aRouter.services[aService].probeTargets;
  for (auto it = due.begin(); it != due.end(); ++it) {
    TargetState& target = aRouter.targets[*it];
    const bool suitable = aCall.request.idempotent || target.lastFailureNotRun;
    if (suitable && aCall.attempts == 0 && target.outstanding == 0) {
      const TargetIndex index = *it;
      target.probeDue = false;
      due.erase(it);
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace bramleypath::routing::detail
