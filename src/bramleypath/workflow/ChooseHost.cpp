#include "bramleypath/workflow/ChooseHost.h"

#include <algorithm>

#include "bramleypath/workflow/State.h"

namespace bramleypath::workflow {

namespace {

constexpr double kFailurePenalty = 0.6;
constexpr double kInterferenceWeight = 2;
constexpr double kUsedWeight = 0.5;
constexpr double kMinSpeed = 0.05;

// Expected slowdown of the task and of its neighbours; smaller is better.
double Cost(const HostView& aHost, const TaskView& aTask) {
  double cost = 1 / std::max(aHost.speed, kMinSpeed);
  if (!aHost.isDataRack || !aHost.isStageRack) {
    cost *= aTask.farFactor;
  }
  cost += aHost.recentFailures * kFailurePenalty;
  const double capacity =
      std::max<double>(1, static_cast<double>(aHost.capacity.processorsMilli));
  const double used =
      1 - static_cast<double>(aHost.available.processorsMilli) / capacity;
  cost += kUsedWeight * used;
  cost += aHost.interference * kInterferenceWeight;
  return cost;
}

// The host with the lowest cost among those that are avoided or not.
std::optional<std::size_t> ChooseAmong(gsl::span<const HostView> aHosts,
                                       const TaskView& aTask, bool aAvoided) {
  const Resources reserved = Reservation(aTask.demand, aTask.filler);
  std::optional<std::size_t> best;
  double bestCost = 0;
  for (std::size_t index = 0; index < aHosts.size(); ++index) {
    const HostView& host = aHosts[index];
    if (host.excluded || host.avoided != aAvoided ||
        !Fits(reserved, host.available)) {
      continue;
    }
    const double cost = Cost(host, aTask);
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

}  // namespace

std::optional<std::size_t> ChooseHost(gsl::span<const HostView> aHosts,
                                      const TaskView& aTask) {
  const std::optional<std::size_t> best = ChooseAmong(aHosts, aTask, false);
  if (best || !aTask.longRunning) {
    return best;
  }
  return ChooseAmong(aHosts, aTask, true);
}

}  // namespace bramleypath::workflow
