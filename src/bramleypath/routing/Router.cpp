#include "bramleypath/routing/Router.h"

#include <algorithm>
#include <tuple>

#include "bramleypath/routing/internal/Calls.h"
#include "bramleypath/routing/internal/Queues.h"
#include "bramleypath/routing/internal/Targets.h"

namespace bramleypath::routing {

namespace {

// Visitor that dispatches an event to its handler.
struct EventHandler {
  Router& router;
  TimePoint now;
  Actions& actions;

  void operator()(const CallAccepted& aEvent) {
    detail::OnCallAccepted(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const CallerGone& aEvent) {
    detail::OnCallerGone(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const NothingSent& aEvent) {
    detail::OnNothingSent(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const ConnectionLost& aEvent) {
    detail::OnConnectionLost(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const AnswerReceived& aEvent) {
    detail::OnAnswer(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const GrantReceived& aEvent) {
    detail::OnGrant(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const GrantRefused& aEvent) {
    detail::OnGrantRefused(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const GrantWaiting& aEvent) {
    detail::OnGrantWaiting(this->router, aEvent);
  }
  void operator()(const GrantTimeout& aEvent) {
    detail::OnGrantTimeout(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const TargetUp& aEvent) {
    detail::OnTargetUp(this->router, aEvent, this->now);
    this->DispatchAllQueued();
  }
  void operator()(const TargetLeaving& aEvent) {
    detail::OnTargetLeaving(this->router, aEvent, this->now);
    this->DispatchAllQueued();
  }
  void operator()(const TargetGone& aEvent) {
    detail::OnTargetGone(this->router, aEvent, this->now);
    this->DispatchAllQueued();
  }
  void operator()(const LocalHostsChanged& aEvent) {
    detail::OnLocalHosts(this->router, aEvent, this->now);
    this->DispatchAllQueued();
  }
  void operator()(const PeerLoads& aEvent) {
    detail::OnPeerLoads(this->router, aEvent, this->now);
  }
  void operator()(const SummaryChanged& aEvent) {
    RemoteDataCentre& remote = this->router.remotes[aEvent.summary.dataCentre];
    remote.summary = aEvent.summary;
    remote.forwardedSinceSummary.clear();
    this->DispatchAllQueued();
  }
  void operator()(const PoliciesChanged& aEvent) {
    this->router.policies.clear();
    for (ClientAccountPolicy policy : aEvent.policies) {
      constexpr double kMinWeight = 0.001;
      policy.weight = std::max(policy.weight, kMinWeight);
      this->router.policies[policy.clientAccount] = policy;
    }
    detail::UpdateWaitingWeights(this->router);
    this->DispatchAllQueued();
  }
  void operator()(const StopRequested& aEvent) {
    detail::OnStop(this->router, aEvent, this->now, this->actions);
  }
  void operator()(const Tick&) { this->DispatchAllQueued(); }

  void DispatchAllQueued() {
    detail::DispatchAllQueued(this->router, this->now, this->actions);
  }
};

}  // namespace

bool operator<(const Timer& aLeft, const Timer& aRight) {
  return std::tie(aLeft.at.micros, aLeft.kind, aLeft.id) <
         std::tie(aRight.at.micros, aRight.kind, aRight.id);
}

Router MakeRouter(const HostId& aSelf, const DataCentreId& aDataCentre,
                  const Settings& aSettings, std::uint64_t aSeed) {
  Router router;
  router.settings = aSettings;
  router.self = aSelf;
  router.dataCentre = aDataCentre;
  router.random.state = aSeed;
  router.chart = membership::LoadTargetChart();
  router.localHosts = {aSelf};
  // A random start, so that a restarted process does not reuse a nonce.
  router.nextNonce = NextRandom(router.random) >> 1;
  router.retryTokens = aSettings.retryBudgetInitial;
  return router;
}

Actions Step(Router& aRouter, const Event& aEvent, TimePoint aNow) {
  Actions actions;
  // Due timers run first, so that no event handler meets a call past its
  // deadline.
  detail::RunDueTimers(aRouter, aNow, actions);
  std::visit(EventHandler{aRouter, aNow, actions}, aEvent);
  detail::RunDueTimers(aRouter, aNow, actions);
  return actions;
}

TimePoint NextWake(const Router& aRouter) {
  TimePoint wake = kNever;
  if (!aRouter.timers.empty()) {
    wake = aRouter.timers.begin()->at;
  }
  if (aRouter.stopping && !aRouter.drained) {
    const TimePoint next =
        aRouter.calls.empty() ? aRouter.closeAt : aRouter.drainDeadline;
    wake = std::min(wake, std::max(next, aRouter.closeAt));
  }
  return wake;
}

std::vector<membership::TargetLoad> OwnLoads(const Router& aRouter) {
  std::vector<membership::TargetLoad> loads;
  for (const TargetState& target : aRouter.targets) {
    if (target.used && target.outstanding > 0) {
      loads.push_back({target.record.target, target.outstanding});
    }
  }
  return loads;
}

std::optional<Refusal> ExplainCall(const Router& aRouter,
                                   const RequestId& aRequest) {
  const auto found = std::find_if(
      aRouter.refusals.rbegin(), aRouter.refusals.rend(),
      [&](const Refusal& aRefusal) { return aRefusal.requestId == aRequest; });
  if (found == aRouter.refusals.rend()) {
    return std::nullopt;
  }
  return *found;
}

std::string ToText(const Refusal& aRefusal) {
  return "request " + aRefusal.requestId.value + " of member " +
         aRefusal.clientAccount.value + ", class " + aRefusal.callClass.value +
         ", service " + aRefusal.service.value + ": " +
         ToText(aRefusal.reason) + " after " +
         std::to_string(aRefusal.attempts) + " attempts; targets serving " +
         std::to_string(aRefusal.serving) + ", ejected " +
         std::to_string(aRefusal.ejected) + ", leaving " +
         std::to_string(aRefusal.leaving) + "; slots of this entry host " +
         std::to_string(aRefusal.totalShare) + ", in use " +
         std::to_string(aRefusal.inFlight) + ", calls waiting " +
         std::to_string(aRefusal.queued);
}

}  // namespace bramleypath::routing
