#include "bramleypath/workflow/TailPacing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bramleypath::workflow {

namespace {

// Above the first of these tail levels, fillers are slowed until the second is
// expected. Otherwise they speed up until the third is expected.
constexpr double kSlowDownAboveLevel = 0.04;
constexpr double kSlowDownToLevel = -0.1;
constexpr double kSpeedUpToLevel = -0.05;
// A tail may be over its target for 4 s. After the first limit, fillers are
// slowed even for a small excess; after the second, they are stopped whatever
// their estimated effect.
constexpr Duration kSmallExcessLimit = Millis(1000);
constexpr Duration kExcessLimit = Millis(2000);
constexpr double kFullPace = 100;
constexpr double kSpeedUpStep = 40;
// A filler below this pace makes too little progress for the memory it holds
// and is stopped.
constexpr double kMinPercent = 10;
// Lower bound on the estimate of what a filler adds to a level, so that every
// filler is slowed in the end.
constexpr double kMinAdded = 0.005;
// Fillers may go on if what they plausibly add is at most this share of the
// excess of a serving task, so that it would be over its target without them.
constexpr double kExcusedShare = 0.5;
// A larger excess excuses no more fillers, since effects that add to so high a
// level are hardly known.
constexpr double kMaxExcusingExcess = 0.3;

// Paces and the levels that are expected with them.
struct PacingState {
  gsl::span<const PacedFiller> fillers;
  std::vector<double> levels;
  std::vector<double> percents;
  // By serving task and filler: can't be the cause of the task's excess.
  std::vector<std::vector<bool>> excused;
};

double AddedAt(const PacingState& aPacing, std::size_t aFiller,
               std::size_t aServing) {
  return std::max(kMinAdded, aPacing.fillers[aFiller].added[aServing]) /
         kFullPace;
}

void SetPercent(PacingState& aPacing, std::size_t aFiller, double aPercent) {
  const double change = aPercent - aPacing.percents[aFiller];
  aPacing.percents[aFiller] = aPercent;
  for (std::size_t serving = 0; serving < aPacing.levels.size(); ++serving) {
    aPacing.levels[serving] += change * AddedAt(aPacing, aFiller, serving);
  }
}

// The fillers that together can't be the cause of the excess of a serving task,
// beginning with those that plausibly add least.
std::vector<bool> ExcusedFillers(gsl::span<const PacedFiller> aFillers,
                                 const ServingLevel& aServing,
                                 std::size_t aIndex) {
  std::vector<bool> excused(aFillers.size(), false);
  std::vector<std::size_t> order;
  for (std::size_t filler = 0; filler < aFillers.size(); ++filler) {
    if (aIndex < aFillers[filler].plausible.size()) {
      order.push_back(filler);
    }
  }
  std::sort(order.begin(), order.end(),
            [&](std::size_t aLeft, std::size_t aRight) {
              return aFillers[aLeft].plausible[aIndex] <
                     aFillers[aRight].plausible[aIndex];
            });
  const double excess =
      std::min({aServing.level, aServing.newestLevel, kMaxExcusingExcess});
  double left = kExcusedShare * excess;
  for (const std::size_t filler : order) {
    left -= aFillers[filler].plausible[aIndex];
    if (left < 0) {
      break;
    }
    excused[filler] = true;
  }
  return excused;
}

// Slows the fillers that add most to the level of one serving task.
void SlowFillers(PacingState& aPacing, std::size_t aServing) {
  std::vector<std::size_t> order(aPacing.percents.size());
  std::iota(order.begin(), order.end(), 0);
  const auto addedNow = [&](std::size_t aFiller) {
    return AddedAt(aPacing, aFiller, aServing) * aPacing.percents[aFiller];
  };
  std::sort(order.begin(), order.end(),
            [&](std::size_t aLeft, std::size_t aRight) {
              return addedNow(aLeft) > addedNow(aRight);
            });
  for (const std::size_t filler : order) {
    const double excess = aPacing.levels[aServing] - kSlowDownToLevel;
    if (excess <= 0) {
      return;
    }
    if (aPacing.excused[aServing][filler]) {
      continue;
    }
    const double percent =
        aPacing.percents[filler] - excess / AddedAt(aPacing, filler, aServing);
    SetPercent(aPacing, filler, percent < kMinPercent ? 0 : percent);
  }
}

// The order in which fillers may speed up: by what each adds to the level of
// the serving task with the highest level, smallest first.
std::vector<std::size_t> OrderByAddedLevel(const PacingState& aPacing) {
  std::vector<std::size_t> order(aPacing.percents.size());
  std::iota(order.begin(), order.end(), 0);
  if (aPacing.levels.empty()) {
    return order;
  }
  const auto worst =
      std::max_element(aPacing.levels.begin(), aPacing.levels.end());
  const auto serving = static_cast<std::size_t>(worst - aPacing.levels.begin());
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t aLeft, std::size_t aRight) {
                     return AddedAt(aPacing, aLeft, serving) <
                            AddedAt(aPacing, aRight, serving);
                   });
  return order;
}

void SpeedUp(PacingState& aPacing, std::size_t aFiller) {
  double step = std::min(kSpeedUpStep, kFullPace - aPacing.percents[aFiller]);
  for (std::size_t serving = 0; serving < aPacing.levels.size(); ++serving) {
    if (aPacing.excused[serving][aFiller]) {
      continue;
    }
    const double headroom = kSpeedUpToLevel - aPacing.levels[serving];
    step = std::min(step, headroom / AddedAt(aPacing, aFiller, serving));
  }
  const double percent = aPacing.percents[aFiller] + step;
  if (step > 0 && percent >= kMinPercent) {
    SetPercent(aPacing, aFiller, percent);
  }
}

}  // namespace

bool MustStopFillers(gsl::span<const ServingLevel> aServing) {
  return std::any_of(aServing.begin(), aServing.end(),
                     [](const ServingLevel& aLevel) {
                       return kExcessLimit < aLevel.overTargetFor;
                     });
}

std::vector<std::uint32_t> PaceFillers(gsl::span<const PacedFiller> aFillers,
                                       gsl::span<const ServingLevel> aServing) {
  if (MustStopFillers(aServing)) {
    return std::vector<std::uint32_t>(aFillers.size(), 0);
  }
  PacingState pacing;
  pacing.fillers = aFillers;
  for (std::size_t serving = 0; serving < aServing.size(); ++serving) {
    pacing.levels.push_back(aServing[serving].level);
    pacing.excused.push_back(
        ExcusedFillers(aFillers, aServing[serving], serving));
  }
  for (const PacedFiller& filler : aFillers) {
    pacing.percents.push_back(filler.percent);
  }
  for (std::size_t serving = 0; serving < pacing.levels.size(); ++serving) {
    if (pacing.levels[serving] > kSlowDownAboveLevel ||
        kSmallExcessLimit < aServing[serving].overTargetFor) {
      SlowFillers(pacing, serving);
    }
  }
  for (const std::size_t filler : OrderByAddedLevel(pacing)) {
    if (pacing.percents[filler] < kFullPace) {
      SpeedUp(pacing, filler);
    }
  }
  std::vector<std::uint32_t> percents;
  for (const double percent : pacing.percents) {
    percents.push_back(static_cast<std::uint32_t>(std::lround(percent)));
  }
  return percents;
}

}  // namespace bramleypath::workflow
