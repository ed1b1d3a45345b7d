#include "bench/routing/Simulation.h"

#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>

namespace bramleypath::bench {

namespace {

constexpr Duration kGossipInterval = Millis(100);
constexpr Duration kGossipDelay = Millis(1);
constexpr Duration kTickInterval = Millis(5);
constexpr Duration kFastFailure = Micros(200);
// Limit of requests that wait at a target for a slot.
constexpr std::size_t kMaxWaitingRequests = 1000;

enum class EventKind : std::uint8_t {
  Request,
  ServiceEnd,
  Answer,
  Gossip,
  Tick
};

struct SimulatedEvent {
  std::int64_t at = 0;
  std::uint64_t order = 0;
  EventKind kind = EventKind::Tick;
  std::uint32_t host = 0;
  std::uint32_t target = 0;
  routing::Generation generation = 0;
  bool refused = false;
  std::uint32_t status = 200;
};

bool operator>(const SimulatedEvent& aLeft, const SimulatedEvent& aRight) {
  return std::tie(aLeft.at, aLeft.order) > std::tie(aRight.at, aRight.order);
}

struct WaitingRequest {
  std::uint32_t host = 0;
  routing::Generation generation = 0;
};

struct SimulatedTarget {
  std::uint32_t busy = 0;
  std::deque<WaitingRequest> waiting;
};

struct Simulation {
  const Scenario& scenario;
  const std::vector<CallSpec>& calls;
  std::vector<routing::Router> routers;
  std::vector<SimulatedTarget> targets;
  // The call of each open attempt, per host.
  std::vector<std::unordered_map<routing::Generation, std::size_t>> attempts;
  std::priority_queue<SimulatedEvent, std::vector<SimulatedEvent>,
                      std::greater<>>
      eventQueue;
  std::uint64_t order = 0;
  TimePoint now;
  Outcomes outcomes;
};

void Schedule(Simulation& aSimulation, Duration aAfter, SimulatedEvent aEvent) {
  aEvent.at = (aSimulation.now + aAfter).micros;
  aEvent.order = aSimulation.order++;
  aSimulation.eventQueue.push(aEvent);
}

std::uint32_t TargetNumber(const TargetId& aTarget) {
  return static_cast<std::uint32_t>(std::stoul(aTarget.value.substr(1)));
}

void CarryOut(Simulation& aSimulation, std::uint32_t aHost,
              const routing::SendRequest& aAction) {
  aSimulation.attempts[aHost][aAction.generation] = aAction.call - 1;
  SimulatedEvent request;
  request.kind = EventKind::Request;
  request.host = aHost;
  request.target = TargetNumber(aAction.target);
  request.generation = aAction.generation;
  Schedule(aSimulation, kNetworkDelay, request);
}

void CarryOut(Simulation& aSimulation, std::uint32_t,
              const routing::FinishCall& aAction) {
  Result& result = aSimulation.outcomes.results[aAction.call - 1];
  result.latency = aSimulation.now - aSimulation.calls[aAction.call - 1].at;
  switch (aAction.outcome) {
    case routing::Outcome::Completed:
      if (result.status == CallStatus::Open) {
        result.status = CallStatus::Completed;
      }
      break;
    case routing::Outcome::NotRun:
      result.status = CallStatus::Refused;
      break;
    case routing::Outcome::OutcomeUnknown:
      result.status = CallStatus::Unknown;
      break;
  }
}

template <typename Action>
void CarryOut(Simulation&, std::uint32_t, const Action&) {}

void StepRouter(Simulation& aSimulation, std::uint32_t aHost,
                const routing::Event& aEvent) {
  for (const routing::Action& action :
       Step(aSimulation.routers[aHost], aEvent, aSimulation.now)) {
    std::visit(
        [&](const auto& aAction) { CarryOut(aSimulation, aHost, aAction); },
        action);
  }
}

void SendAnswer(Simulation& aSimulation, std::uint32_t aHost,
                routing::Generation aGeneration, Duration aAfter, bool aRefused,
                std::uint32_t aStatus) {
  SimulatedEvent answer;
  answer.kind = EventKind::Answer;
  answer.host = aHost;
  answer.generation = aGeneration;
  answer.refused = aRefused;
  answer.status = aStatus;
  Schedule(aSimulation, aAfter + kNetworkDelay, answer);
}

void BeginService(Simulation& aSimulation, std::uint32_t aTarget,
                  const WaitingRequest& aRequest) {
  SimulatedTarget& target = aSimulation.targets[aTarget];
  const std::size_t call =
      aSimulation.attempts[aRequest.host].at(aRequest.generation);
  const double factor = SlowDownFactor(aSimulation.scenario, aTarget,
                                       target.busy, aSimulation.now);
  ++target.busy;
  SimulatedEvent end;
  end.kind = EventKind::ServiceEnd;
  end.host = aRequest.host;
  end.target = aTarget;
  end.generation = aRequest.generation;
  Schedule(aSimulation,
           Micros(static_cast<std::int64_t>(
               static_cast<double>(aSimulation.calls[call].service.micros) *
               factor)),
           end);
}

void OnRequest(Simulation& aSimulation, const SimulatedEvent& aRequest) {
  SimulatedTarget& target = aSimulation.targets[aRequest.target];
  const Scenario& scenario = aSimulation.scenario;
  if (IsFastFailing(scenario, aRequest.target)) {
    SendAnswer(aSimulation, aRequest.host, aRequest.generation, kFastFailure,
               false, 500);
    return;
  }
  if (IsRefusing(scenario, aRequest.target) ||
      target.waiting.size() >= kMaxWaitingRequests) {
    SendAnswer(aSimulation, aRequest.host, aRequest.generation, Duration{},
               true, 503);
    return;
  }
  const WaitingRequest request{aRequest.host, aRequest.generation};
  if (target.busy < scenario.deployment.slots) {
    BeginService(aSimulation, aRequest.target, request);
  } else {
    target.waiting.push_back(request);
  }
}

void OnServiceEnd(Simulation& aSimulation, const SimulatedEvent& aEnd) {
  SimulatedTarget& target = aSimulation.targets[aEnd.target];
  --target.busy;
  SendAnswer(aSimulation, aEnd.host, aEnd.generation, Duration{}, false, 200);
  if (!target.waiting.empty()) {
    const WaitingRequest next = target.waiting.front();
    target.waiting.pop_front();
    BeginService(aSimulation, aEnd.target, next);
  }
}

std::string RequestName(std::size_t aCall) {
  return "r" + std::to_string(aCall);
}

void OnAnswer(Simulation& aSimulation, const SimulatedEvent& aAnswer) {
  auto& attempts = aSimulation.attempts[aAnswer.host];
  const auto found = attempts.find(aAnswer.generation);
  const std::size_t call = found->second;
  attempts.erase(found);
  routing::AnswerReceived answer;
  answer.generation = aAnswer.generation;
  answer.requestId = RequestId(RequestName(call));
  answer.refused = aAnswer.refused;
  answer.status = aAnswer.status;
  constexpr std::uint32_t kFirstServerError = 500;
  if (!aAnswer.refused && aAnswer.status >= kFirstServerError) {
    aSimulation.outcomes.results[call].status = CallStatus::Error;
  }
  StepRouter(aSimulation, aAnswer.host, answer);
}

void OnGossip(Simulation& aSimulation, const SimulatedEvent& aRound) {
  routing::PeerLoads loads;
  loads.host = HostId("e" + std::to_string(aRound.host));
  loads.loads = OwnLoads(aSimulation.routers[aRound.host]);
  for (std::uint32_t host = 0; host < aSimulation.routers.size(); ++host) {
    if (host != aRound.host) {
      StepRouter(aSimulation, host, loads);
    }
  }
  Schedule(aSimulation, kGossipInterval, aRound);
}

void OnSimulatedEvent(Simulation& aSimulation, const SimulatedEvent& aEvent) {
  switch (aEvent.kind) {
    case EventKind::Request:
      OnRequest(aSimulation, aEvent);
      break;
    case EventKind::ServiceEnd:
      OnServiceEnd(aSimulation, aEvent);
      break;
    case EventKind::Answer:
      OnAnswer(aSimulation, aEvent);
      break;
    case EventKind::Gossip:
      OnGossip(aSimulation, aEvent);
      break;
    case EventKind::Tick:
      StepRouter(aSimulation, aEvent.host, routing::Tick{});
      Schedule(aSimulation, kTickInterval, aEvent);
      break;
  }
}

void OnArrival(Simulation& aSimulation, std::size_t aCall) {
  const CallSpec& spec = aSimulation.calls[aCall];
  const ClassSpec& callClass =
      aSimulation.scenario.deployment.classes[spec.callClass];
  routing::CallAccepted call;
  call.call = aCall + 1;
  call.requestId = RequestId(RequestName(aCall));
  call.clientAccount = ClientAccountId(
      aSimulation.scenario.clientAccounts[spec.clientAccount].name);
  call.callClass = ClassId(callClass.name);
  call.service = ServiceId("service");
  call.deadline = spec.at + callClass.deadline;
  StepRouter(aSimulation, spec.host, call);
}

void SetUp(Simulation& aSimulation, const routing::Settings& aSettings) {
  const Deployment& deployment = aSimulation.scenario.deployment;
  routing::LocalHostsChanged hosts;
  for (std::uint32_t host = 0; host < deployment.hosts; ++host) {
    hosts.hosts.emplace_back("e" + std::to_string(host));
  }
  aSimulation.targets.resize(deployment.targets);
  aSimulation.attempts.resize(deployment.hosts);
  for (std::uint32_t host = 0; host < deployment.hosts; ++host) {
    aSimulation.routers.push_back(
        routing::MakeRouter(hosts.hosts[host], DataCentreId("d"), aSettings,
                            aSimulation.scenario.seed * 100 + host));
    StepRouter(aSimulation, host, hosts);
    for (std::uint32_t target = 0; target < deployment.targets; ++target) {
      membership::TargetRecord record;
      record.target = TargetId("t" + std::to_string(target));
      record.incarnation = 1;
      record.service = ServiceId("service");
      record.slots = deployment.slots;
      record.connections = 60;
      StepRouter(aSimulation, host, routing::TargetUp{record});
    }
    SimulatedEvent round;
    round.host = host;
    round.kind = EventKind::Gossip;
    Schedule(aSimulation, kGossipDelay + Millis(host * 13), round);
    round.kind = EventKind::Tick;
    Schedule(aSimulation, Micros(host * 500), round);
  }
}

}  // namespace

Outcomes RunRouters(const Scenario& aScenario,
                    const std::vector<CallSpec>& aCalls,
                    const routing::Settings& aSettings) {
  Simulation simulation{aScenario, aCalls, {}, {}, {}, {}, 0, {}, {}};
  simulation.outcomes.results.resize(aCalls.size());
  SetUp(simulation, aSettings);
  // Calls that are open at the end of the arrivals have 11 s to finish.
  const std::int64_t end =
      (TimePoint{} + aScenario.length + Seconds(11)).micros;
  std::size_t next = 0;
  while (true) {
    const std::int64_t nextEventAt = simulation.eventQueue.top().at;
    if (next < aCalls.size() && aCalls[next].at.micros <= nextEventAt) {
      simulation.now = aCalls[next].at;
      OnArrival(simulation, next++);
      continue;
    }
    if (nextEventAt > end) {
      break;
    }
    const SimulatedEvent event = simulation.eventQueue.top();
    simulation.eventQueue.pop();
    simulation.now = TimePoint{event.at};
    OnSimulatedEvent(simulation, event);
  }
  for (const routing::Router& router : simulation.routers) {
    simulation.outcomes.attempts += router.counters.attempts;
    simulation.outcomes.calls += router.counters.accepted;
  }
  return std::move(simulation.outcomes);
}

}  // namespace bramleypath::bench
