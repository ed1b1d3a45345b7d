#include "bramleypath/workflow/Refusals.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::workflow {

namespace {

constexpr std::size_t kMaxRefusals = 4096;
// A caller makes at most four retries of up to kMaxRetryMs each.
constexpr Duration kMaxAge = Seconds(60);
constexpr double kMaxRetryMs = 8000;
constexpr double kMsPerSecond = 1000;
constexpr double kMicrosPerMilli = 1000;

void ForgetOldest(Refusals& aRefusals) {
  aRefusals.firstAt.erase(aRefusals.order.front());
  aRefusals.order.pop_front();
}

}  // namespace

void ForgetOldRefusals(Refusals& aRefusals, TimePoint aNow) {
  while (!aRefusals.order.empty() &&
         kMaxAge < aNow - aRefusals.firstAt.at(aRefusals.order.front())) {
    ForgetOldest(aRefusals);
  }
}

void RecordRefusal(Refusals& aRefusals, const JobId& aJob, TimePoint aNow) {
  ForgetOldRefusals(aRefusals, aNow);
  if (!aRefusals.firstAt.emplace(aJob.value, aNow).second) {
    return;
  }
  aRefusals.order.push_back(aJob.value);
  if (aRefusals.order.size() > kMaxRefusals) {
    ForgetOldest(aRefusals);
  }
}

double MsSinceRefusal(const Refusals& aRefusals, const JobId& aJob,
                      TimePoint aNow) {
  const auto found = aRefusals.firstAt.find(aJob.value);
  return found == aRefusals.firstAt.end() || kMaxAge < aNow - found->second
             ? 0
             : static_cast<double>((aNow - found->second).micros) /
                   kMicrosPerMilli;
}

std::uint32_t RetryAfterSeconds(const RetryView& aView, Random& aRandom) {
  const double leftMs =
      std::max(0.0, aView.usefulMs - aView.waitedMs - aView.ownMs);
  const double latestMs = std::min(leftMs, kMaxRetryMs);
  const double roomMs = std::max(aView.roomMs, kMsPerSecond);
  const double firstMs = std::min(roomMs, latestMs / 2);
  const double lastMs = std::min(2 * roomMs, latestMs);
  // 1 for a new caller, 0 for one whose useful time is over.
  const double newness =
      aView.usefulMs <= 0
          ? 0
          : std::clamp(1 - aView.waitedMs / aView.usefulMs, 0.0, 1.0);
  const double delayMs =
      firstMs + (lastMs - firstMs) * newness * NextUnit(aRandom);
  const double seconds = std::floor(delayMs / kMsPerSecond);
  return static_cast<std::uint32_t>(std::max(1.0, seconds));
}

}  // namespace bramleypath::workflow
