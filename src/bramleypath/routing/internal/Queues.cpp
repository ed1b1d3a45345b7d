#include "bramleypath/routing/internal/Queues.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bramleypath/routing/internal/Latency.h"

namespace bramleypath::routing::detail {

namespace {

// Assumed until the first answer of a class.
constexpr double kUnknownMeanMicros = 10000;

double MeanOf(const ClassState& aClass) {
  return aClass.meanMicros > 0 ? aClass.meanMicros : kUnknownMeanMicros;
}

bool IsWaiting(const Router& aRouter, CallId aId) {
  const auto found = aRouter.calls.find(aId);
  return found != aRouter.calls.end() &&
         found->second.stage == CallStage::Queued;
}

void DropEnded(const Router& aRouter, Flow& aFlow) {
  while (!aFlow.calls.empty() && !IsWaiting(aRouter, aFlow.calls.front())) {
    aFlow.calls.pop_front();
  }
}

// Calls that ended in the middle of the list would otherwise pile up while the
// flow can't send.
void Compact(const Router& aRouter, Flow& aFlow) {
  constexpr std::size_t kSlack = 64;
  if (aFlow.calls.size() <= 2 * aFlow.queued + kSlack) {
    return;
  }
  aFlow.calls.erase(
      std::remove_if(aFlow.calls.begin(), aFlow.calls.end(),
                     [&](CallId aId) { return !IsWaiting(aRouter, aId); }),
      aFlow.calls.end());
}

void ForgetIdleClientAccounts(Router& aRouter) {
  aRouter.flows = 0;
  for (ServiceState& service : aRouter.services) {
    auto& clientAccounts = service.clientAccounts;
    clientAccounts.erase(
        std::remove_if(clientAccounts.begin(), clientAccounts.end(),
                       [](const auto& aClientAccount) {
                         return aClientAccount.queued == 0;
                       }),
        clientAccounts.end());
    service.clientAccountIndex.clear();
    for (std::uint32_t index = 0; index < clientAccounts.size(); ++index) {
      service.clientAccountIndex[clientAccounts[index].clientAccount] = index;
      aRouter.flows += clientAccounts[index].flows.size();
    }
  }
}

ClientAccountQueue* FindClientAccount(ServiceState& aService,
                                      const ClientAccountId& aClientAccount) {
  const auto found = aService.clientAccountIndex.find(aClientAccount);
  return found == aService.clientAccountIndex.end()
             ? nullptr
             : &aService.clientAccounts[found->second];
}

Flow* FindFlow(ClientAccountQueue& aClientAccount, ClassIndex aClass) {
  for (Flow& flow : aClientAccount.flows) {
    if (flow.callClass == aClass) {
      return &flow;
    }
  }
  return nullptr;
}

Flow* EnsureFlow(Router& aRouter, const Call& aCall) {
  ServiceState& service = aRouter.services[aCall.service];
  ClientAccountQueue* clientAccount =
      FindClientAccount(service, aCall.request.clientAccount);
  if (clientAccount != nullptr) {
    Flow* flow = FindFlow(*clientAccount, aCall.callClass);
    if (flow != nullptr) {
      return flow;
    }
  }
  if (aRouter.flows >= aRouter.settings.maxFlows) {
    ForgetIdleClientAccounts(aRouter);
    if (aRouter.flows >= aRouter.settings.maxFlows) {
      return nullptr;
    }
    clientAccount = FindClientAccount(service, aCall.request.clientAccount);
  }
  if (clientAccount == nullptr) {
    service.clientAccountIndex[aCall.request.clientAccount] =
        static_cast<std::uint32_t>(service.clientAccounts.size());
    service.clientAccounts.emplace_back();
    clientAccount = &service.clientAccounts.back();
    clientAccount->clientAccount = aCall.request.clientAccount;
  }
  clientAccount->flows.emplace_back();
  clientAccount->flows.back().callClass = aCall.callClass;
  ++aRouter.flows;
  return &clientAccount->flows.back();
}

// Slots that must stay free for classes much shorter than this one. They are
// sized by Little's law with some standard deviations of a Poisson load.
double ReservedFor(const Router& aRouter, const ServiceState& aService,
                   ClassIndex aClass, TimePoint aNow) {
  const Settings& settings = aRouter.settings;
  const double mean = aService.classes[aClass].meanMicros;
  double reserved = 0;
  for (const ClassState& other : aService.classes) {
    if (other.meanMicros <= 0 ||
        other.meanMicros * settings.reserveRatio > mean) {
      continue;
    }
    const double load =
        ArrivalRate(aRouter, other, aNow) * other.meanMicros / 1e6;
    const double wanted =
        std::ceil(load + settings.reserveDeviations * std::sqrt(load));
    reserved += std::max(0.0, wanted - other.inFlight);
  }
  const double most =
      std::floor(aService.totalLimit * settings.reserveMaxShare);
  return std::min(reserved, most);
}

bool FitsReserve(const Router& aRouter, const ServiceState& aService,
                 ClassIndex aClass, TimePoint aNow) {
  if (aService.classes.size() < 2) {
    return true;
  }
  const double reserved = ReservedFor(aRouter, aService, aClass, aNow);
  const double available = aService.totalLimit - aService.inFlight;
  // Ejected targets still hold calls, so that the difference can be negative
  // while a slot is free.
  return reserved <= 0 || available - reserved >= 1;
}

// The member's flow that is next, among those that may send now.
std::optional<std::uint32_t> NextFlow(Router& aRouter,
                                      const ServiceState& aService,
                                      ClientAccountQueue& aClientAccount,
                                      Destination aDestination,
                                      TimePoint aNow) {
  std::optional<std::uint32_t> best;
  double bestTag = 0;
  for (std::uint32_t index = 0; index < aClientAccount.flows.size(); ++index) {
    Flow& flow = aClientAccount.flows[index];
    DropEnded(aRouter, flow);
    if (flow.calls.empty()) {
      continue;
    }
    const double tag = std::max(aClientAccount.flowClock, flow.finishTag);
    if (best && tag >= bestTag) {
      continue;
    }
    const bool may =
        aDestination == Destination::Remote
            ? !aRouter.calls.at(flow.calls.front()).request.forwarded
            : FitsReserve(aRouter, aService, flow.callClass, aNow);
    if (may) {
      best = index;
      bestTag = tag;
    }
  }
  return best;
}

// A class's weight among those of one member falls with its service time, so
// that short calls barely wait for long ones and long ones keep a small part
// under overload.
double WeightOf(const ClassState& aClass) { return 1.0 / MeanOf(aClass); }

// Work that a call has to wait for, in microseconds of one slot.
struct WorkAhead {
  double all = 0;
  double ofFlow = 0;
  // Sum of the weights that compete, relative to that of the call.
  double competition = 1;
};

// Of the calls of one member, for a call of the class.
WorkAhead WorkOfClientAccount(const ServiceState& aService,
                              const ClientAccountQueue& aClientAccount,
                              ClassIndex aClass) {
  WorkAhead work;
  const double own = WeightOf(aService.classes[aClass]);
  for (const Flow& flow : aClientAccount.flows) {
    const ClassState& state = aService.classes[flow.callClass];
    const double queued = static_cast<double>(flow.queued) * MeanOf(state);
    work.all += queued;
    if (flow.callClass == aClass) {
      work.ofFlow = queued;
    } else if (flow.queued > 0) {
      work.competition += WeightOf(state) / own;
    }
  }
  return work;
}

// Until a slot is free for a call that joins now: all the work ahead of it, or
// less when its member or its class has less than its weight's part of that
// work.
double ExpectedWaitMicros(const Router& aRouter, const Call& aCall) {
  const ServiceState& service = aRouter.services[aCall.service];
  const double own = PolicyOf(aRouter, aCall.request.clientAccount).weight;
  double all = 0;
  double clientAccounts = 1;
  WorkAhead mine;
  for (const ClientAccountQueue& clientAccount : service.clientAccounts) {
    if (clientAccount.queued == 0) {
      continue;
    }
    const WorkAhead work =
        WorkOfClientAccount(service, clientAccount, aCall.callClass);
    all += work.all;
    if (clientAccount.clientAccount == aCall.request.clientAccount) {
      mine = work;
    } else {
      clientAccounts +=
          PolicyOf(aRouter, clientAccount.clientAccount).weight / own;
    }
  }
  const double ahead =
      std::min(mine.all, mine.ofFlow * mine.competition) * clientAccounts;
  const double capacity = std::max(1.0, service.totalLimit);
  return std::min(all, ahead) / capacity;
}

}  // namespace

ClassIndex EnsureClass(Router& aRouter, ServiceState& aService,
                       const ClassId& aClass) {
  auto& classes = aService.classes;
  for (ClassIndex index = 0; index < classes.size(); ++index) {
    if (classes[index].id == aClass) {
      return index;
    }
  }
  if (classes.size() < aRouter.settings.maxClassesPerService) {
    classes.emplace_back();
    classes.back().id = aClass;
  }
  return static_cast<ClassIndex>(classes.size() - 1);
}

ClientAccountPolicy PolicyOf(const Router& aRouter,
                             const ClientAccountId& aClientAccount) {
  const auto found = aRouter.policies.find(aClientAccount);
  return found == aRouter.policies.end() ? ClientAccountPolicy{}
                                         : found->second;
}

bool IsAtLimit(const Router& aRouter, const ClientAccountId& aClientAccount) {
  const auto policy = aRouter.policies.find(aClientAccount);
  if (policy == aRouter.policies.end() || policy->second.maxInFlight == 0) {
    return false;
  }
  const auto used = aRouter.clientAccountInFlight.find(aClientAccount);
  return used != aRouter.clientAccountInFlight.end() &&
         used->second >= policy->second.maxInFlight;
}

Duration NeededTime(const Router& aRouter, const Call& aCall) {
  const ClassState& known =
      aRouter.services[aCall.service].classes[aCall.callClass];
  const double atFirst =
      static_cast<double>((aCall.request.deadline - aCall.acceptedAt).micros);
  const double part = atFirst * aRouter.settings.minRemainingShare;
  const double needed =
      std::max(known.quickMicros, std::min(known.slowMicros, part));
  return Micros(static_cast<std::int64_t>(needed));
}

std::optional<Reason> CheckAdmission(Router& aRouter, const Call& aCall,
                                     TimePoint aNow) {
  ServiceState& service = aRouter.services[aCall.service];
  const Duration left = aCall.request.deadline - aNow;
  const Duration needed = NeededTime(aRouter, aCall);
  if (left < needed) {
    return Reason::DeadlineTooShort;
  }
  if (service.queued == 0) {
    return std::nullopt;
  }
  ClientAccountQueue* clientAccount =
      FindClientAccount(service, aCall.request.clientAccount);
  const Flow* flow = clientAccount == nullptr
                         ? nullptr
                         : FindFlow(*clientAccount, aCall.callClass);
  if (flow != nullptr &&
      flow->queued >=
          PolicyOf(aRouter, aCall.request.clientAccount).maxQueued) {
    return IsAtLimit(aRouter, aCall.request.clientAccount)
               ? Reason::ClientAccountLimit
               : Reason::QueueFull;
  }
  const double wait = ExpectedWaitMicros(aRouter, aCall);
  if (wait + static_cast<double>(needed.micros) >
      static_cast<double>(left.micros)) {
    return Reason::DeadlineTooShort;
  }
  return std::nullopt;
}

bool Push(Router& aRouter, CallId aId, const Call& aCall, Place aPlace) {
  Flow* flow = EnsureFlow(aRouter, aCall);
  if (flow == nullptr) {
    return false;
  }
  Compact(aRouter, *flow);
  if (aPlace == Place::Front) {
    flow->calls.push_front(aId);
  } else {
    flow->calls.push_back(aId);
  }
  ++flow->queued;
  ServiceState& service = aRouter.services[aCall.service];
  ++FindClientAccount(service, aCall.request.clientAccount)->queued;
  ++service.classes[aCall.callClass].queued;
  ++service.queued;
  return true;
}

void LeaveQueue(Router& aRouter, const Call& aCall) {
  ServiceState& service = aRouter.services[aCall.service];
  ClientAccountQueue* clientAccount =
      FindClientAccount(service, aCall.request.clientAccount);
  --FindFlow(*clientAccount, aCall.callClass)->queued;
  --clientAccount->queued;
  --service.classes[aCall.callClass].queued;
  --service.queued;
}

std::optional<Selected> SelectNext(Router& aRouter, ServiceIndex aService,
                                   Destination aDestination, TimePoint aNow) {
  ServiceState& service = aRouter.services[aService];
  std::optional<Selected> best;
  double bestTag = 0;
  for (std::uint32_t index = 0; index < service.clientAccounts.size();
       ++index) {
    ClientAccountQueue& clientAccount = service.clientAccounts[index];
    const double tag = std::max(service.fairClock, clientAccount.finishTag);
    if (clientAccount.queued == 0 || (best && tag >= bestTag) ||
        IsAtLimit(aRouter, clientAccount.clientAccount)) {
      continue;
    }
    const auto flow =
        NextFlow(aRouter, service, clientAccount, aDestination, aNow);
    if (flow) {
      best = Selected{index, *flow, clientAccount.flows[*flow].calls.front()};
      bestTag = tag;
    }
  }
  return best;
}

void Take(Router& aRouter, ServiceIndex aService, const Selected& aSelected) {
  ServiceState& service = aRouter.services[aService];
  ClientAccountQueue& clientAccount =
      service.clientAccounts[aSelected.clientAccount];
  Flow& flow = clientAccount.flows[aSelected.flow];
  // Start-time fair queueing on both levels: the clock follows the start tag of
  // the call in service.
  const double cost = MeanOf(service.classes[flow.callClass]);
  service.fairClock = std::max(service.fairClock, clientAccount.finishTag);
  clientAccount.finishTag =
      service.fairClock +
      cost / PolicyOf(aRouter, clientAccount.clientAccount).weight;
  clientAccount.flowClock = std::max(clientAccount.flowClock, flow.finishTag);
  flow.finishTag = clientAccount.flowClock +
                   cost / WeightOf(service.classes[flow.callClass]);
  flow.calls.pop_front();
  LeaveQueue(aRouter, aRouter.calls.at(aSelected.call));
}

}  // namespace bramleypath::routing::detail
