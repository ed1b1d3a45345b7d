#include "bramleypath/routing/internal/Targets.h"

#include <algorithm>
#include <utility>

#include "bramleypath/routing/internal/Shares.h"
#include "bramleypath/routing/internal/Timers.h"

namespace bramleypath::routing::detail {

namespace {

void Erase(std::vector<TargetIndex>& aList, TargetIndex aIndex) {
  aList.erase(std::remove(aList.begin(), aList.end(), aIndex), aList.end());
}

// Keeps the list sorted by id. The shares of all entry hosts add up to the
// slots only if all hosts give the targets the same ranks.
void InsertSorted(Router& aRouter, ServiceIndex aService, TargetIndex aIndex,
                  const TargetId& aTarget) {
  auto& list = aRouter.services[aService].targets;
  const auto place =
      std::find_if(list.begin(), list.end(), [&](TargetIndex aOther) {
        return aTarget < aRouter.targets[aOther].record.target;
      });
  list.insert(place, aIndex);
}

std::optional<TargetIndex> FindTarget(const Router& aRouter,
                                      const TargetId& aTarget) {
  const auto found = aRouter.targetIndex.find(aTarget);
  if (found == aRouter.targetIndex.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<TargetIndex> AddTarget(Router& aRouter, const TargetId& aTarget) {
  TargetIndex index = 0;
  if (!aRouter.unusedTargets.empty()) {
    index = aRouter.unusedTargets.back();
    aRouter.unusedTargets.pop_back();
  } else if (aRouter.targets.size() < aRouter.settings.maxTargets) {
    index = static_cast<TargetIndex>(aRouter.targets.size());
    aRouter.targets.emplace_back();
  } else {
    return std::nullopt;
  }
  TargetState& target = aRouter.targets[index];
  target = TargetState{};
  target.used = true;
  target.state = aRouter.chart.absent;
  aRouter.targetIndex[aTarget] = index;
  return index;
}

// Resets the measurements of a target that has a new incarnation.
void ResetHistory(TargetState& aTarget) {
  aTarget.latencyRatio = 1.0;
  aTarget.window = FailureWindow{};
  aTarget.ejections = 0;
  aTarget.probesPassed = 0;
  aTarget.probeDue = false;
  aTarget.limit = aTarget.share;  // UpdateShares rescales it with the share
  aTarget.pacedUntil = TimePoint{};
}

void RemoveFromService(Router& aRouter, TargetIndex aIndex, TimePoint aNow) {
  TargetState& target = aRouter.targets[aIndex];
  if (target.service == kNoIndex) {
    return;
  }
  ServiceState& service = aRouter.services[target.service];
  const bool serving = target.state == aRouter.chart.serving;
  service.serving -= serving ? 1 : 0;
  service.ejected -= target.state == aRouter.chart.ejected ? 1 : 0;
  target.state = aRouter.chart.absent;
  UpdateFreeList(aRouter, aIndex, aNow);
  Erase(service.targets, aIndex);
  Erase(service.probeTargets, aIndex);
  const ServiceIndex old = target.service;
  target.service = kNoIndex;
  UpdateShares(aRouter, old, aNow);
}

bool IsFromOldIncarnation(const Router& aRouter, TargetIndex aIndex,
                          membership::Incarnation aIncarnation) {
  return aIncarnation < aRouter.targets[aIndex].record.incarnation;
}

}  // namespace

void ApplyTargetEvent(Router& aRouter, TargetIndex aIndex, EventIndex aEvent,
                      bool aNewer, TimePoint aNow) {
  TargetState& target = aRouter.targets[aIndex];
  ServiceState& service = aRouter.services[target.service];
  const auto& chart = aRouter.chart;
  const StateIndex before = target.state;
  target.state =
      membership::NextTargetState(chart, target.state, aEvent, aNewer);
  if (before == target.state) {
    return;
  }
  service.serving -= before == chart.serving ? 1 : 0;
  service.ejected -= before == chart.ejected ? 1 : 0;
  service.serving += target.state == chart.serving ? 1 : 0;
  service.ejected += target.state == chart.ejected ? 1 : 0;
  if (before == chart.ejected) {
    target.probeDue = false;
    Erase(service.probeTargets, aIndex);
  }
  if (target.state != chart.ejected) {
    SetTargetTimer(aRouter, aIndex, kNever);
  }
  const double limit = std::min<double>(target.limit, target.share);
  if (before == chart.serving) {
    service.totalShare -= target.share;
    service.totalLimit -= limit;
  }
  if (target.state == chart.serving) {
    service.totalShare += target.share;
    service.totalLimit += limit;
  }
  UpdateFreeList(aRouter, aIndex, aNow);
}

std::optional<ServiceIndex> EnsureService(Router& aRouter,
                                          const ServiceId& aService) {
  const auto found = aRouter.serviceIndex.find(aService);
  if (found != aRouter.serviceIndex.end()) {
    return found->second;
  }
  if (aRouter.services.size() >= aRouter.settings.maxServices) {
    return std::nullopt;
  }
  const auto index = static_cast<ServiceIndex>(aRouter.services.size());
  aRouter.services.emplace_back();
  aRouter.services.back().id = aService;
  aRouter.serviceIndex[aService] = index;
  return index;
}

void OnTargetUp(Router& aRouter, const TargetUp& aEvent, TimePoint aNow) {
  const auto service = EnsureService(aRouter, aEvent.record.service);
  auto index = FindTarget(aRouter, aEvent.record.target);
  if (!index) {
    index = AddTarget(aRouter, aEvent.record.target);
  }
  if (!service || !index) {
    ++aRouter.counters.unknownEvents;
    return;
  }
  TargetState& target = aRouter.targets[*index];
  if (IsFromOldIncarnation(aRouter, *index, aEvent.record.incarnation)) {
    return;
  }
  const bool newer = aEvent.record.incarnation > target.record.incarnation;
  if (target.service != *service) {
    RemoveFromService(aRouter, *index, aNow);
    target.service = *service;
    InsertSorted(aRouter, *service, *index, aEvent.record.target);
  } else if (newer && target.state == aRouter.chart.ejected) {
    ApplyTargetEvent(aRouter, *index, aRouter.chart.probePassed, false, aNow);
  }
  target.record = aEvent.record;
  if (newer) {
    ResetHistory(target);
  }
  ApplyTargetEvent(aRouter, *index, aRouter.chart.announce, newer, aNow);
  UpdateShares(aRouter, *service, aNow);
}

void OnTargetLeaving(Router& aRouter, const TargetLeaving& aEvent,
                     TimePoint aNow) {
  const auto index = FindTarget(aRouter, aEvent.target);
  if (!index || IsFromOldIncarnation(aRouter, *index, aEvent.incarnation)) {
    return;
  }
  aRouter.targets[*index].record.incarnation = aEvent.incarnation;
  ApplyTargetEvent(aRouter, *index, aRouter.chart.leave, false, aNow);
}

void OnTargetGone(Router& aRouter, const TargetGone& aEvent, TimePoint aNow) {
  const auto index = FindTarget(aRouter, aEvent.target);
  if (!index || IsFromOldIncarnation(aRouter, *index, aEvent.incarnation)) {
    return;
  }
  ApplyTargetEvent(aRouter, *index, aRouter.chart.expire, false, aNow);
  RemoveFromService(aRouter, *index, aNow);
  RecycleTarget(aRouter, *index);
}

void RecycleTarget(Router& aRouter, TargetIndex aIndex) {
  TargetState& target = aRouter.targets[aIndex];
  if (!target.used || target.service != kNoIndex || target.outstanding > 0) {
    return;
  }
  SetTargetTimer(aRouter, aIndex, kNever);
  for (auto& [host, loads] : aRouter.peerLoads) {
    loads.erase(std::remove_if(
                    loads.begin(), loads.end(),
                    [&](const auto& aLoad) { return aLoad.first == aIndex; }),
                loads.end());
  }
  aRouter.targetIndex.erase(target.record.target);
  target = TargetState{};
  aRouter.unusedTargets.push_back(aIndex);
}

void OnLocalHosts(Router& aRouter, const LocalHostsChanged& aEvent,
                  TimePoint aNow) {
  // A stopping host is no longer in the list. It keeps its previous shares to
  // send the calls that it has queued.
  if (std::find(aEvent.hosts.begin(), aEvent.hosts.end(), aRouter.self) ==
      aEvent.hosts.end()) {
    return;
  }
  aRouter.localHosts = aEvent.hosts;
  for (ServiceIndex service = 0; service < aRouter.services.size(); ++service) {
    UpdateShares(aRouter, service, aNow);
  }
}

void OnPeerLoads(Router& aRouter, const PeerLoads& aEvent, TimePoint aNow) {
  auto& known = aRouter.peerLoads[aEvent.host];
  for (const auto& [index, outstanding] : known) {
    TargetState& target = aRouter.targets[index];
    target.peerLoad -= std::min(target.peerLoad, outstanding);
    target.peerLoadAt = aNow;
  }
  known.clear();
  for (const membership::TargetLoad& load : aEvent.loads) {
    const auto index = FindTarget(aRouter, load.target);
    if (index) {
      known.emplace_back(*index, load.outstanding);
      aRouter.targets[*index].peerLoad += load.outstanding;
      aRouter.targets[*index].peerLoadAt = aNow;
    }
  }
  if (known.empty()) {
    aRouter.peerLoads.erase(aEvent.host);
  }
}

}  // namespace bramleypath::routing::detail
