#include "bramleypath/routing/internal/Ejection.h"

#include <algorithm>
#include <cmath>

#include "bramleypath/routing/internal/Shares.h"
#include "bramleypath/routing/internal/Targets.h"
#include "bramleypath/routing/internal/Timers.h"

namespace bramleypath::routing::detail {

namespace {

// Weight of one answer in a class's recent rate of quick answers.
constexpr double kQuickRateWeight = 0.02;

void Decay(FailureWindow& aWindow, Duration aHalfLife, TimePoint aNow) {
  const double age = static_cast<double>((aNow - aWindow.updatedAt).micros);
  const double kept =
      std::exp2(-std::max(0.0, age) / static_cast<double>(aHalfLife.micros));
  aWindow.samples *= kept;
  aWindow.failures *= kept;
  aWindow.answers *= kept;
  aWindow.quick *= kept;
  aWindow.updatedAt = aNow;
}

bool IsQuick(const Router& aRouter, const ClassState& aClass,
             Duration aLatency) {
  return static_cast<double>(aLatency.micros) <
         aClass.quickMicros * aRouter.settings.quickRatio;
}

void AddSample(Router& aRouter, TargetState& aTarget, ClassState& aClass,
               const Sample& aSample, TimePoint aNow) {
  const Settings& settings = aRouter.settings;
  FailureWindow& window = aTarget.window;
  Decay(window, settings.ejectHalfLife, aNow);
  const bool quick = IsQuick(aRouter, aClass, aSample.latency);
  if (aSample.sign == Sign::Good) {
    window.samples += 1;
    window.answers += 1;
    window.quick += quick ? 1 : 0;
    aClass.quickAnswerRate +=
        kQuickRateWeight * ((quick ? 1.0 : 0.0) - aClass.quickAnswerRate);
    return;
  }
  const double weight = quick ? settings.quickFailureWeight : 1.0;
  window.samples += weight;
  window.failures += weight;
  aTarget.lastFailureNotRun = aSample.notRun;
}

bool LooksFaulty(const Router& aRouter, const TargetState& aTarget,
                 const ClassState& aClass, const Sample& aSample) {
  const Settings& settings = aRouter.settings;
  const FailureWindow& window = aTarget.window;
  if (aSample.sign == Sign::Unreachable) {
    return true;
  }
  if (window.samples >= settings.ejectMinSamples &&
      window.failures >= settings.ejectErrorRate * window.samples) {
    return true;
  }
  // When most targets answer quickly, the work has become lighter.
  return window.answers >= settings.quickAnswerMinSamples &&
         window.quick >= settings.quickAnswerRate * window.answers &&
         aClass.quickAnswerRate < settings.quickAnswerRate / 2;
}

bool MayEject(const Router& aRouter, const ServiceState& aService) {
  const double count = aService.serving + aService.ejected;
  return aService.ejected + 1 <= count * aRouter.settings.maxEjectedShare;
}

// Each ejection in a row lasts twice as long as the one before.
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

void OfferProbe(Router& aRouter, TargetIndex aIndex) {
  TargetState& target = aRouter.targets[aIndex];
  if (!target.probeDue) {
    target.probeDue = true;
    aRouter.services[target.service].probeTargets.push_back(aIndex);
  }
}

// The end of a probe, or of an attempt that began before the ejection.
void NoteEjected(Router& aRouter, TargetIndex aIndex, const Sample& aSample,
                 TimePoint aNow, Actions& aActions) {
  TargetState& target = aRouter.targets[aIndex];
  if (aNow < target.ejectedUntil) {
    return;
  }
  if (aSample.sign != Sign::Good) {
    target.ejectedUntil = EjectionEnd(aRouter, target, aNow);
    ++target.ejections;
    target.probesPassed = 0;
    SetTargetTimer(aRouter, aIndex, target.ejectedUntil);
    return;
  }
  ++target.probesPassed;
  if (target.probesPassed < aRouter.settings.probesToReadmit) {
    OfferProbe(aRouter, aIndex);
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

void NoteHealth(Router& aRouter, TargetIndex aIndex, ClassIndex aClass,
                const Sample& aSample, TimePoint aNow, Actions& aActions) {
  TargetState& target = aRouter.targets[aIndex];
  if (target.service == kNoIndex) {
    return;
  }
  ServiceState& service = aRouter.services[target.service];
  ClassState& callClass = service.classes[aClass];
  AddSample(aRouter, target, callClass, aSample, aNow);
  if (target.state == aRouter.chart.ejected) {
    NoteEjected(aRouter, aIndex, aSample, aNow, aActions);
    return;
  }
  if (target.state == aRouter.chart.serving &&
      LooksFaulty(aRouter, target, callClass, aSample) &&
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
    OfferProbe(aRouter, aIndex);
    return;
  }
  UpdateFree(aRouter, aIndex, aNow);
}

std::optional<TargetIndex> TakeProbe(Router& aRouter, ServiceIndex aService,
                                     const Call& aCall) {
  auto& due = aRouter.services[aService].probeTargets;
  for (auto it = due.begin(); it != due.end(); ++it) {
    TargetState& target = aRouter.targets[*it];
    const bool suits = aCall.request.idempotent || target.lastFailureNotRun;
    if (suits && aCall.attempts == 0 && target.outstanding == 0) {
      const TargetIndex index = *it;
      target.probeDue = false;
      due.erase(it);
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace bramleypath::routing::detail
