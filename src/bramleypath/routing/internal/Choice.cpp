#include "bramleypath/routing/internal/Choice.h"

#include <algorithm>
#include <cmath>

namespace bramleypath::routing::detail {

namespace {

double PeerLoad(const Router& aRouter, const TargetState& aTarget,
                TimePoint aNow) {
  if (aTarget.peerLoad == 0 ||
      aRouter.settings.choice == ChoicePolicy::OwnOutstanding) {
    return 0;
  }
  const double age = static_cast<double>((aNow - aTarget.peerLoadAt).micros);
  const auto halfLife =
      static_cast<double>(aRouter.settings.loadHalfLife.micros);
  return aTarget.peerLoad * std::exp2(-std::max(0.0, age) / halfLife);
}

double Score(const Router& aRouter, const TargetState& aTarget,
             TimePoint aNow) {
  const double load =
      aTarget.outstanding + 1.0 + PeerLoad(aRouter, aTarget, aNow);
  return load / aTarget.record.slots * aTarget.latencyRatio;
}

TargetIndex PickRandom(Router& aRouter, const std::vector<TargetIndex>& aList) {
  return aList[NextBelow(aRouter.random, aList.size())];
}

TargetIndex BetterOfTwo(Router& aRouter, const std::vector<TargetIndex>& aList,
                        TargetIndex aAvoid, TimePoint aNow) {
  const std::size_t size = aList.size();
  const std::size_t first = NextBelow(aRouter.random, size);
  const std::size_t second =
      (first + 1 + NextBelow(aRouter.random, size - 1)) % size;
  const TargetIndex one = aList[first];
  const TargetIndex two = aList[second];
  if (one == aAvoid || two == aAvoid) {
    return one == aAvoid ? two : one;
  }
  return Score(aRouter, aRouter.targets[one], aNow) <=
                 Score(aRouter, aRouter.targets[two], aNow)
             ? one
             : two;
}

// The number of calls that may still be forwarded to the data centre before its
// next summary.
std::uint32_t RemainingForwards(const Router& aRouter,
                                const RemoteDataCentre& aRemote,
                                const ServiceState& aService) {
  for (const auto& summary : aRemote.summary.services) {
    if (summary.service != aService.id) {
      continue;
    }
    const bool noLocalTarget = aService.serving == 0;
    const double part = summary.freeSlots * aRouter.settings.forwardShare;
    auto allowed = static_cast<std::uint32_t>(std::ceil(part));
    if (noLocalTarget) {
      allowed = std::max(allowed, aRouter.settings.forwardWithoutLocal);
    }
    const auto used = aRemote.forwardedSinceSummary.find(aService.id);
    const std::uint32_t sent =
        used == aRemote.forwardedSinceSummary.end() ? 0 : used->second;
    return allowed - std::min(allowed, sent);
  }
  return 0;
}

}  // namespace

std::optional<TargetIndex> ChooseTarget(Router& aRouter, ServiceIndex aService,
                                        TargetIndex aAvoid, TimePoint aNow) {
  ServiceState& service = aRouter.services[aService];
  const auto& list = service.freeTargets;
  if (list.empty()) {
    return std::nullopt;
  }
  if (list.size() == 1) {
    return list.front();
  }
  switch (aRouter.settings.choice) {
    case ChoicePolicy::Random:
      return PickRandom(aRouter, list);
    case ChoicePolicy::RoundRobin:
      return list[service.nextRoundRobin++ % list.size()];
    case ChoicePolicy::TwoChoices:
    case ChoicePolicy::OwnOutstanding:
      break;
  }
  return BetterOfTwo(aRouter, list, aAvoid, aNow);
}

std::optional<RemoteChoice> ChooseRemote(Router& aRouter,
                                         const ServiceState& aService) {
  const RemoteDataCentre* best = nullptr;
  DataCentreId bestId;
  std::uint32_t most = 0;
  for (const auto& [id, remote] : aRouter.remotes) {
    const std::uint32_t allowance =
        RemainingForwards(aRouter, remote, aService);
    if (!remote.summary.hosts.empty() && allowance > most) {
      best = &remote;
      bestId = id;
      most = allowance;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const auto& hosts = best->summary.hosts;
  return RemoteChoice{bestId, hosts[NextBelow(aRouter.random, hosts.size())]};
}

bool HasRemote(const Router& aRouter, const ServiceId& aService) {
  for (const auto& [id, remote] : aRouter.remotes) {
    if (remote.summary.hosts.empty()) {
      continue;
    }
    for (const auto& summary : remote.summary.services) {
      if (summary.service == aService) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace bramleypath::routing::detail
