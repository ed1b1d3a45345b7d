#include "bench/routing/SharedQueue.h"

#include <deque>
#include <functional>
#include <queue>
#include <utility>

namespace bramleypath::bench {

namespace {

using ServiceEnd = std::pair<std::int64_t, std::uint32_t>;  // time, target

struct SharedQueue {
  std::vector<std::uint32_t> busy;
  std::deque<std::size_t> waiting;
  std::priority_queue<ServiceEnd, std::vector<ServiceEnd>, std::greater<>>
      serviceEnds;
};

// The healthy target with a free slot and the least slow-down; the least busy
// one if several are equal. -1 if there is none.
int BestTarget(const Scenario& aScenario, const SharedQueue& aQueue,
               TimePoint aNow) {
  int best = -1;
  double bestFactor = 0;
  for (std::uint32_t target = 0; target < aQueue.busy.size(); ++target) {
    const std::uint32_t busy = aQueue.busy[target];
    if (busy >= aScenario.deployment.slots || IsRefusing(aScenario, target) ||
        IsFastFailing(aScenario, target)) {
      continue;
    }
    const double factor = SlowDownFactor(aScenario, target, busy, aNow);
    if (best < 0 || factor < bestFactor ||
        (factor <= bestFactor &&
         busy < aQueue.busy[static_cast<std::size_t>(best)])) {
      best = static_cast<int>(target);
      bestFactor = factor;
    }
  }
  return best;
}

void ServeWaiting(const Scenario& aScenario,
                  const std::vector<CallSpec>& aCalls, SharedQueue& aQueue,
                  TimePoint aNow, std::vector<Result>& aResults) {
  while (!aQueue.waiting.empty()) {
    const CallSpec& call = aCalls[aQueue.waiting.front()];
    Result& result = aResults[aQueue.waiting.front()];
    const Duration deadline =
        aScenario.deployment.classes[call.callClass].deadline;
    if (call.at + deadline <= aNow) {
      result.status = CallStatus::Refused;
      aQueue.waiting.pop_front();
      continue;
    }
    const int target = BestTarget(aScenario, aQueue, aNow);
    if (target < 0) {
      return;
    }
    const auto index = static_cast<std::uint32_t>(target);
    const double factor =
        SlowDownFactor(aScenario, index, aQueue.busy[index], aNow);
    const auto length = static_cast<std::int64_t>(
        static_cast<double>(call.service.micros) * factor);
    ++aQueue.busy[index];
    aQueue.serviceEnds.emplace(aNow.micros + length, index);
    result.latency = (aNow - call.at) + Micros(length) + kNetworkDelay * 2;
    result.status =
        deadline < result.latency ? CallStatus::Unknown : CallStatus::Completed;
    aQueue.waiting.pop_front();
  }
}

}  // namespace

std::vector<Result> RunSharedQueue(const Scenario& aScenario,
                                   const std::vector<CallSpec>& aCalls) {
  std::vector<Result> results(aCalls.size());
  SharedQueue queue;
  queue.busy.assign(aScenario.deployment.targets, 0);
  std::size_t next = 0;
  while (next < aCalls.size() || !queue.waiting.empty()) {
    const bool arrival =
        next < aCalls.size() &&
        (queue.serviceEnds.empty() ||
         aCalls[next].at.micros <= queue.serviceEnds.top().first);
    TimePoint now;
    if (arrival) {
      now = aCalls[next].at;
      queue.waiting.push_back(next++);
    } else {
      now = TimePoint{queue.serviceEnds.top().first};
      --queue.busy[queue.serviceEnds.top().second];
      queue.serviceEnds.pop();
    }
    ServeWaiting(aScenario, aCalls, queue, now, results);
  }
  return results;
}

}  // namespace bramleypath::bench
