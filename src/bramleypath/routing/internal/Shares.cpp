#include "bramleypath/routing/internal/Shares.h"

#include <algorithm>

#include "bramleypath/routing/internal/Timers.h"

namespace bramleypath::routing::detail {

namespace {

constexpr double kNoLimit = 1e9;

double ClampLimit(const Router& aRouter, const TargetState& aTarget,
                  double aWanted) {
  switch (aRouter.settings.limit) {
    case LimitPolicy::None:
      return kNoLimit;
    case LimitPolicy::Share:
      return aTarget.share;
    case LimitPolicy::Adaptive:
      break;
  }
  const double share = aTarget.share;
  return std::min(share, std::max(aRouter.settings.minLimit, aWanted));
}

bool IsServing(const Router& aRouter, const TargetState& aTarget) {
  return aTarget.state == aRouter.chart.serving;
}

void RemoveFromFreeList(Router& aRouter, TargetState& aTarget) {
  auto& list = aRouter.services[aTarget.service].freeTargets;
  const TargetIndex last = list.back();
  list[aTarget.freeListIndex] = last;
  aRouter.targets[last].freeListIndex = aTarget.freeListIndex;
  list.pop_back();
  aTarget.freeListIndex = kNoIndex;
}

// Used when this host's shares of all targets are zero. Otherwise a service
// with fewer slots than entry hosts would be unreachable from some of them; its
// targets refuse the calls that exceed their slots.
void AssignMinimumShares(Router& aRouter, const ServiceState& aService) {
  for (const TargetIndex index : aService.targets) {
    aRouter.targets[index].share = 1;
  }
}

}  // namespace

std::uint32_t ComputeHostShare(std::uint32_t aWhole, std::uint32_t aTargetRank,
                               const std::vector<HostId>& aHosts,
                               const HostId& aSelf) {
  if (aHosts.empty()) {
    return aWhole;
  }
  const auto count = static_cast<std::uint32_t>(aHosts.size());
  const auto found = std::find(aHosts.begin(), aHosts.end(), aSelf);
  const auto rank = static_cast<std::uint32_t>(found - aHosts.begin()) % count;
  const std::uint32_t place = (rank + aTargetRank) % count;
  return aWhole / count + (place < aWhole % count ? 1 : 0);
}

void UpdateShares(Router& aRouter, ServiceIndex aService, TimePoint aNow) {
  ServiceState& service = aRouter.services[aService];
  std::uint32_t total = 0;
  std::uint32_t rank = 0;
  for (const TargetIndex index : service.targets) {
    TargetState& target = aRouter.targets[index];
    const auto& record = target.record;
    // The limit keeps its ratio to the share, so that a change of the entry
    // hosts does not reset the adaptive limit.
    target.limit = target.share == 0 ? 1.0 : target.limit / target.share;
    target.share = std::min(
        ComputeHostShare(record.slots, rank, aRouter.localHosts, aRouter.self),
        ComputeHostShare(record.connections, rank, aRouter.localHosts,
                         aRouter.self));
    ++rank;
    total += target.share;
  }
  if (total == 0) {
    AssignMinimumShares(aRouter, service);
  }
  service.totalShare = 0;
  service.totalLimit = 0;
  for (const TargetIndex index : service.targets) {
    TargetState& target = aRouter.targets[index];
    target.limit = ClampLimit(aRouter, target, target.limit * target.share);
    if (IsServing(aRouter, target)) {
      service.totalShare += target.share;
      service.totalLimit += std::min<double>(target.limit, target.share);
    }
    UpdateFreeList(aRouter, index, aNow);
  }
}

std::uint32_t CurrentSlots(const Router&, const TargetState& aTarget) {
  if (aTarget.share == 0) {
    return 0;
  }
  // A limit below one call delays dispatches instead (pacedUntil).
  return std::max(1U, static_cast<std::uint32_t>(aTarget.limit));
}

void UpdateFreeList(Router& aRouter, TargetIndex aIndex, TimePoint aNow) {
  TargetState& target = aRouter.targets[aIndex];
  const bool slot = IsServing(aRouter, target) &&
                    target.outstanding < CurrentSlots(aRouter, target);
  const bool paced = target.limit < 1.0 && aNow < target.pacedUntil;
  if (IsServing(aRouter, target)) {
    SetTargetTimer(aRouter, aIndex, slot && paced ? target.pacedUntil : kNever);
  }
  const bool free = slot && !paced;
  if (free == (target.freeListIndex != kNoIndex)) {
    return;
  }
  if (!free) {
    RemoveFromFreeList(aRouter, target);
    return;
  }
  auto& list = aRouter.services[target.service].freeTargets;
  target.freeListIndex = static_cast<std::uint32_t>(list.size());
  list.push_back(aIndex);
}

void SetLimit(Router& aRouter, TargetIndex aIndex, double aLimit) {
  TargetState& target = aRouter.targets[aIndex];
  ServiceState& service = aRouter.services[target.service];
  const double before = std::min<double>(target.limit, target.share);
  target.limit = ClampLimit(aRouter, target, aLimit);
  if (IsServing(aRouter, target)) {
    service.totalLimit += std::min<double>(target.limit, target.share) - before;
  }
}

}  // namespace bramleypath::routing::detail
