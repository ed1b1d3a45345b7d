#include "bramleypath/routing/internal/Queues.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bramleypath/routing/internal/Latency.h"

namespace bramleypath::routing::detail {

namespace {

// Service time assumed for a class until its first answer.
constexpr double kUnknownMeanMicros = 10000;

double MeanServiceMicros(const ClassState& aClass) {
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

// Removes ended calls from the middle of the list. Otherwise they would
// accumulate while the flow can't send.
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

void RemoveIdleClientAccounts(Router& aRouter) {
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

const ClientAccountQueue* FindClientAccount(
    const ServiceState& aService, const ClientAccountId& aClientAccount) {
  const auto found = aService.clientAccountIndex.find(aClientAccount);
  return found == aService.clientAccountIndex.end()
             ? nullptr
             : &aService.clientAccounts[found->second];
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
    RemoveIdleClientAccounts(aRouter);
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

// Slots that must stay free for classes with much shorter calls than this one:
// their mean load by Little's law plus reserveDeviations standard deviations of
// a Poisson load, less the slots that they use already.
double ReservedSlots(const Router& aRouter, const ServiceState& aService,
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
  const double reserved = ReservedSlots(aRouter, aService, aClass, aNow);
  const double available = aService.totalLimit - aService.inFlight;
  // inFlight includes calls at ejected targets, whose slots totalLimit does not
  // count. The difference can therefore be negative while a slot is free.
  return reserved <= 0 || available - reserved >= 1;
}

// The flow of the client account with the lowest tag among those that may send
// now.
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
    const double tag = std::max(aClientAccount.flowVirtualTime, flow.finishTag);
    if (best && tag >= bestTag) {
      continue;
    }
    const bool eligible =
        aDestination == Destination::Remote
            ? !aRouter.calls.at(flow.calls.front()).request.forwarded
            : FitsReserve(aRouter, aService, flow.callClass, aNow);
    if (eligible) {
      best = index;
      bestTag = tag;
    }
  }
  return best;
}

// Among the classes of one client account, a class's weight is inverse to its
// mean service time. Short calls then barely wait for long ones, and long ones
// keep a small part of the slots under overload.
double ClassWeight(const ClassState& aClass) {
  return 1.0 / MeanServiceMicros(aClass);
}

// Queued work that can delay a call, in microseconds of one slot.
struct WorkAhead {
  double all = 0;
  double ofFlow = 0;
  // Sum of the weights of the flows with waiting calls, relative to the call's.
  double competition = 1;
};

// The queued work of one client account as seen by a call of the class.
WorkAhead ClientAccountWork(const ServiceState& aService,
                            const ClientAccountQueue& aClientAccount,
                            ClassIndex aClass) {
  WorkAhead work;
  const double ownWeight = ClassWeight(aService.classes[aClass]);
  for (const Flow& flow : aClientAccount.flows) {
    const ClassState& state = aService.classes[flow.callClass];
    const double queued =
        static_cast<double>(flow.queued) * MeanServiceMicros(state);
    work.all += queued;
    if (flow.callClass == aClass) {
      work.ofFlow = queued;
    } else if (flow.queued > 0) {
      work.competition += ClassWeight(state) / ownWeight;
    }
  }
  return work;
}

// The queued work of all client accounts.
double QueuedWorkMicros(const ServiceState& aService) {
  double work = 0;
  for (const ClassState& one : aService.classes) {
    work += static_cast<double>(one.queued) * MeanServiceMicros(one);
  }
  return work;
}

// Expected time until a slot is free for a call that is queued now. This is the
// time for all queued work, or less if the call's client account or class has
// queued less than its weighted share of that work.
double ExpectedWaitMicros(const Router& aRouter, const Call& aCall) {
  const ServiceState& service = aRouter.services[aCall.service];
  const double ownWeight =
      PolicyOf(aRouter, aCall.request.clientAccount).weight;
  const double all = QueuedWorkMicros(service);
  const ClientAccountQueue* own =
      FindClientAccount(service, aCall.request.clientAccount);
  WorkAhead ownWork;
  double otherWeights = service.waitingWeight;
  if (own != nullptr && own->queued > 0) {
    ownWork = ClientAccountWork(service, *own, aCall.callClass);
    otherWeights -= ownWeight;
  }
  const double clientAccounts = 1 + std::max(0.0, otherWeights) / ownWeight;
  const double ahead =
      std::min(ownWork.all, ownWork.ofFlow * ownWork.competition) *
      clientAccounts;
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

Duration MinRemainingTime(const Router& aRouter, const Call& aCall) {
  const ClassState& known =
      aRouter.services[aCall.service].classes[aCall.callClass];
  const double atFirst =
      static_cast<double>((aCall.request.deadline - aCall.acceptedAt).micros);
  const double part = atFirst * aRouter.settings.minRemainingShare;
  const double needed =
      std::max(known.p5Micros, std::min(known.p95Micros, part));
  return Micros(static_cast<std::int64_t>(needed));
}

std::optional<Reason> CheckAdmission(Router& aRouter, const Call& aCall,
                                     TimePoint aNow) {
  ServiceState& service = aRouter.services[aCall.service];
  const Duration left = aCall.request.deadline - aNow;
  const Duration needed = MinRemainingTime(aRouter, aCall);
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

bool PushToFlow(Router& aRouter, CallId aId, const Call& aCall,
                QueuePosition aPosition) {
  Flow* flow = EnsureFlow(aRouter, aCall);
  if (flow == nullptr) {
    return false;
  }
  Compact(aRouter, *flow);
  if (aPosition == QueuePosition::Front) {
    flow->calls.push_front(aId);
  } else {
    flow->calls.push_back(aId);
  }
  ++flow->queued;
  ServiceState& service = aRouter.services[aCall.service];
  ClientAccountQueue* clientAccount =
      FindClientAccount(service, aCall.request.clientAccount);
  if (clientAccount->queued == 0) {
    service.waitingWeight +=
        PolicyOf(aRouter, clientAccount->clientAccount).weight;
  }
  ++clientAccount->queued;
  ++service.classes[aCall.callClass].queued;
  ++service.queued;
  return true;
}

void UpdateWaitingWeights(Router& aRouter) {
  for (ServiceState& service : aRouter.services) {
    service.waitingWeight = 0;
    for (const ClientAccountQueue& clientAccount : service.clientAccounts) {
      if (clientAccount.queued > 0) {
        service.waitingWeight +=
            PolicyOf(aRouter, clientAccount.clientAccount).weight;
      }
    }
  }
}

void DecrementQueueCounts(Router& aRouter, const Call& aCall) {
  ServiceState& service = aRouter.services[aCall.service];
  ClientAccountQueue* clientAccount =
      FindClientAccount(service, aCall.request.clientAccount);
  --FindFlow(*clientAccount, aCall.callClass)->queued;
  --clientAccount->queued;
  --service.classes[aCall.callClass].queued;
  --service.queued;
  if (service.queued == 0) {
    // Clears the rounding errors of the sum as well.
    service.waitingWeight = 0;
  } else if (clientAccount->queued == 0) {
    service.waitingWeight -=
        PolicyOf(aRouter, clientAccount->clientAccount).weight;
  }
}

std::optional<Selected> SelectNext(Router& aRouter, ServiceIndex aService,
                                   Destination aDestination, TimePoint aNow) {
  ServiceState& service = aRouter.services[aService];
  std::optional<Selected> best;
  double bestTag = 0;
  for (std::uint32_t index = 0; index < service.clientAccounts.size();
       ++index) {
    ClientAccountQueue& clientAccount = service.clientAccounts[index];
    const double tag = std::max(service.virtualTime, clientAccount.finishTag);
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

void Dequeue(Router& aRouter, ServiceIndex aService,
             const Selected& aSelected) {
  ServiceState& service = aRouter.services[aService];
  ClientAccountQueue& clientAccount =
      service.clientAccounts[aSelected.clientAccount];
  Flow& flow = clientAccount.flows[aSelected.flow];
  // Start-time fair queueing on both levels, client accounts and flows: the
  // virtual time follows the start tag of the dispatched call.
  const double cost = MeanServiceMicros(service.classes[flow.callClass]);
  service.virtualTime = std::max(service.virtualTime, clientAccount.finishTag);
  clientAccount.finishTag =
      service.virtualTime +
      cost / PolicyOf(aRouter, clientAccount.clientAccount).weight;
  clientAccount.flowVirtualTime =
      std::max(clientAccount.flowVirtualTime, flow.finishTag);
  flow.finishTag = clientAccount.flowVirtualTime +
                   cost / ClassWeight(service.classes[flow.callClass]);
  flow.calls.pop_front();
  DecrementQueueCounts(aRouter, aRouter.calls.at(aSelected.call));
}

}  // namespace bramleypath::routing::detail
