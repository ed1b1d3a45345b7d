#pragma once

#include <cstddef>
#include <cstdint>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::routing {

// How the next target is chosen among those with a free slot.
enum class ChoicePolicy {
  // The less loaded of two random targets, by own outstanding calls and
  // gossiped load per slot.
  TwoChoices,
  OwnOutstanding,  // as TwoChoices, without the gossiped load
  RoundRobin,
  Random
};

// What limits the calls that this entry host has outstanding at a target.
enum class LimitPolicy {
  Adaptive,  // the host's share of the slots, lowered by the latency gradient
  Share,     // the host's share of the slots
  None
};

struct Settings {
  ChoicePolicy choice = ChoicePolicy::TwoChoices;
  LimitPolicy limit = LimitPolicy::Adaptive;

  std::size_t maxCalls = 20000;
  std::size_t maxTargets = 4096;
  std::size_t maxServices = 256;
  std::size_t maxFlows = 4096;  // one per service, client account and class
  std::size_t maxClassesPerService = 64;
  std::size_t keptRefusals = 256;
  std::size_t maxPendingGrants = 20000;

  Duration connectTimeout = Millis(500);
  // The slot of an abandoned attempt counts as used until its answer or the
  // loss of its connection is reported, and for this long at most.
  Duration abandonTimeout = Seconds(10);

  // Retry tokens gained per completed call, and the most that accumulate.
  double retryBudgetRatio = 0.1;
  double retryBudgetMax = 50.0;
  // Retry tokens at the start of the process, before any call has completed.
  double retryBudgetInitial = 5.0;

  // A target is ejected when at least this part of its recent samples are
  // failures.
  double ejectErrorRate = 0.5;
  std::uint32_t ejectMinSamples = 5;
  // Samples lose half their weight in this time.
  Duration ejectHalfLife = Seconds(5);
  // An answer is unusually fast below this part of the 5% quantile of the
  // class. Failures that fast have a greater weight, since a target that fails
  // at once stays lightly loaded and attracts more calls.
  double fastAnswerRatio = 0.5;
  double fastFailureWeight = 3.0;
  // A target is also ejected when at least this part of its successful answers
  // are unusually fast, unless the answers of most targets are.
  double fastAnswerRate = 0.8;
  std::uint32_t fastAnswerMinSamples = 20;
  double maxEjectedShare = 0.4;
  Duration firstEjection = Seconds(1);
  Duration maxEjection = Seconds(30);
  std::uint32_t probesToReadmit = 2;

  // The gossiped load of a target loses half its weight in this time.
  Duration loadHalfLife = Millis(200);

  // The concurrency limit of a target falls when the ratio of its recent
  // latency to the baseline latency of the class exceeds this.
  double gradientTolerance = 1.25;
  double latencyRatioWeight = 0.05;
  double baselineWeight = 0.002;
  // Each answer moves the limit by this weight towards a value that includes
  // limitHeadroom calls of headroom, so that the limit can grow again.
  double limitWeight = 0.2;
  double limitHeadroom = 0.25;
  double minLimit = 0.25;

  // Slots are reserved for a class against classes whose mean service time is
  // at least this many times as long.
  double reserveRatio = 4.0;
  double reserveMaxShare = 0.5;  // of the total limit of the service
  // The reserve is the class's mean load plus this many standard deviations of
  // a Poisson load.
  double reserveDeviations = 2.0;
  // Arrival rates are averaged over this time.
  Duration arrivalWindow = Seconds(10);

  // Part of the free slots in the last summary of another data centre that
  // this entry host may use until the next summary. It may not use all of
  // them, since the other entry hosts see the same slots.
  double forwardShare = 0.25;
  // Without any serving local target, up to this many calls per summary are
  // forwarded even if it shows no free slot; the other data centre queues or
  // refuses them.
  std::uint32_t forwardWithoutLocal = 64;

  // A call is refused when the time left is below the 95% quantile of the
  // class's service time, or below this part of the time that the call had on
  // arrival if that is less. It is always refused below the 5% quantile.
  double minRemainingShare = 0.5;
};

}  // namespace bramleypath::routing
