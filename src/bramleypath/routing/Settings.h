#pragma once

#include <cstddef>
#include <cstdint>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::routing {

// How the next target is chosen among those with a free slot.
enum class ChoicePolicy {
  TwoChoices,      // lower of two by outstanding and gossiped load per slot
  OwnOutstanding,  // two choices without gossip
  RoundRobin,
  Random
};

enum class LimitPolicy {
  Adaptive,  // the share, lowered by the latency gradient
  Share,     // the share of the slots
  None
};

struct Settings {
  ChoicePolicy choice = ChoicePolicy::TwoChoices;
  LimitPolicy limit = LimitPolicy::Adaptive;

  std::size_t maxCalls = 20000;
  std::size_t maxTargets = 4096;
  std::size_t maxServices = 256;
  std::size_t maxFlows = 4096;  // (service, member, class)
  std::size_t maxClassesPerService = 64;
  std::size_t keptRefusals = 256;
  std::size_t maxPendingGrants = 20000;

  Duration connectTimeout = Millis(500);
  // After an attempt was abandoned its slot is counted as used for this long at
  // most, unless the answer or the loss of the connection is reported.
  Duration abandonTimeout = Seconds(10);

  // Retries allowed per success, and the most that can be saved up.
  double retryBudgetRatio = 0.1;
  double retryBudgetMax = 50.0;
  // A young entry host may retry this often before its first successes.
  double retryBudgetInitial = 5.0;

  // Ejection.
  double ejectErrorRate = 0.5;
  std::uint32_t ejectMinSamples = 5;
  // Samples lose half their weight in this time.
  Duration ejectHalfLife = Seconds(5);
  // Failures quicker than this part of the class's usual quick answer (5%
  // quantile) weigh more, since a target that fails at once draws more calls.
  double quickRatio = 0.5;
  double quickFailureWeight = 3.0;
  // A target most of whose answers are that quick is ejected also when they
  // look like successes.
  double quickAnswerRate = 0.8;
  std::uint32_t quickAnswerMinSamples = 20;
  double maxEjectedShare = 0.4;
  Duration firstEjection = Seconds(1);
  Duration maxEjection = Seconds(30);
  std::uint32_t probesToReadmit = 2;

  // Gossiped load loses half its weight in this time.
  Duration loadHalfLife = Millis(200);

  // Concurrency limit: the recent latency of a target, relative to the usual
  // one of each class, may reach this before the limit falls.
  double gradientTolerance = 1.25;
  double recentWeight = 0.05;
  double usualWeight = 0.002;
  // Weight of one answer in the limit, and what the limit may grow by.
  double limitWeight = 0.2;
  double limitHeadroom = 0.25;
  double minLimit = 0.25;

  // Reserved slots: classes whose mean service time is shorter by this factor
  // keep slots that longer ones can't use.
  double reserveRatio = 4.0;
  double reserveMaxShare = 0.5;
  // Reserve above the mean load, in standard deviations of a Poisson load.
  double reserveDeviations = 2.0;
  // Arrival rates are averaged over this time.
  Duration arrivalWindow = Seconds(10);

  // Part of the free slots of another data centre, as it last reported them,
  // that this entry host may use until the next report: the other entry hosts
  // see the same slots.
  double forwardShare = 0.25;
  // Calls that may be forwarded per report although it shows no free slot, when
  // no local target is left; the other data centre queues or refuses them.
  std::uint32_t forwardWithoutLocal = 64;

  // A call is refused when less time is left than the class's slow answers
  // (95% quantile) take, or this part of what it had at first if that is less.
  double minRemainingShare = 0.5;
};

}  // namespace bramleypath::routing
