#include "bench/consensus/BusyLeader.h"

#include <algorithm>
#include <array>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "bench/consensus/LocalGroup.h"

namespace bramleypath::bench {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kReplicas = 3;
// A turn of the handlers of HTTP results; see net::HttpClient.
constexpr milliseconds kMaxTurn(20);

// A replica with a thread of its own. Without a disk its writes are durable at
// once.
struct Host {
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(this->context);
  CountingMachine machine;
  std::unique_ptr<group::Replica> replica;
  std::thread thread;
  // Only used on the thread.
  int lost = 0;
  bool isSampling = false;
  Clock::time_point sampledAt;
  Clock::duration withoutLease{};
};

struct Group {
  Group() {
    consensus::Membership initial;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      initial.voters.emplace_back("h" + std::to_string(i) + "/initial");
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      Host& host = this->hosts[i];
      group::ReplicaSettings settings;
      settings.self = initial.voters[i];
      settings.initial = initial;
      settings.seed = i + 1;
      group::ReplicaCallbacks callbacks;
      callbacks.send = [this, initial](const consensus::Message& aMessage) {
        const auto to = std::find(initial.voters.begin(), initial.voters.end(),
                                  aMessage.to);
        Host& target = this->hosts[static_cast<std::size_t>(
            std::distance(initial.voters.begin(), to))];
        asio::post(target.context,
                   [&target, aMessage] { target.replica->Receive(aMessage); });
      };
      callbacks.leadershipLost = [&host](consensus::Term) { ++host.lost; };
      host.replica = std::make_unique<group::Replica>(
          host.context, nullptr, nullptr, consensus::RestoredState(),
          std::move(settings), std::move(callbacks), host.machine);
      std::string reason;
      host.replica->Start(reason);
    }
    for (Host& host : this->hosts) {
      host.thread = std::thread([&host] { host.context.run(); });
    }
  }
  ~Group() {
    for (Host& host : this->hosts) {
      host.work.reset();
      host.context.stop();
      host.thread.join();
      host.replica.reset();
    }
  }
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  std::array<Host, kReplicas> hosts;
};

template <typename Function>
auto CallOn(Host& aHost, Function aFunction) {
  std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
  auto result = task.get_future();
  asio::post(aHost.context, [&task] { task(); });
  return result.get();
}

Host& WaitForLeader(Group& aGroup) {
  while (true) {
    for (Host& host : aGroup.hosts) {
      if (CallOn(host, [&host] { return host.replica->HasLease(); })) {
        return host;
      }
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
}

void Compute(milliseconds aLength) {
  const auto end = Clock::now() + aLength;
  while (Clock::now() < end) {
  }
}

// Adds the time since the last sample to withoutLease unless the lease holds.
void Sample(Host& aHost) {
  const auto now = Clock::now();
  if (!aHost.replica->HasLease()) {
    aHost.withoutLease += now - aHost.sampledAt;
  }
  aHost.sampledAt = now;
}

void SampleRepeatedly(Host& aHost) {
  if (!aHost.isSampling) {
    return;
  }
  Sample(aHost);
  auto timer = std::make_shared<asio::steady_timer>(aHost.context);
  timer->expires_after(milliseconds(1));
  timer->async_wait([&aHost, timer](const asio::error_code& aError) {
    if (!aError) {
      SampleRepeatedly(aHost);
    }
  });
}

enum class Load { OneHandler, QueuedHandlers, BoundedTurns };

// Computes until aEnd in turns, with other handlers in between.
void ComputeInTurns(Host& aHost, Clock::time_point aEnd) {
  if (Clock::now() >= aEnd) {
    return;
  }
  Compute(kMaxTurn);
  Sample(aHost);
  asio::post(aHost.context, [&aHost, aEnd] { ComputeInTurns(aHost, aEnd); });
}

void StartLoad(Host& aHost, Load aLoad, milliseconds aLength) {
  constexpr milliseconds kHandlerTime(2);
  switch (aLoad) {
    case Load::OneHandler:
      asio::post(aHost.context, [aLength] { Compute(aLength); });
      return;
    case Load::QueuedHandlers:
      CallOn(aHost, [&aHost, aLength, kHandlerTime] {
        for (int i = 0; i < aLength / kHandlerTime; ++i) {
          asio::post(aHost.context, [&aHost, kHandlerTime] {
            Compute(kHandlerTime);
            Sample(aHost);
          });
        }
        return true;
      });
      return;
    case Load::BoundedTurns:
      asio::post(aHost.context, [&aHost, end = Clock::now() + aLength] {
        ComputeInTurns(aHost, end);
      });
      return;
  }
}

void Measure(Load aLoad, const char* aName, milliseconds aLength) {
  constexpr milliseconds kRecovery(2500);
  Group group;
  Host& leader = WaitForLeader(group);
  std::this_thread::sleep_for(milliseconds(300));
  CallOn(leader, [&leader] {
    leader.isSampling = true;
    leader.sampledAt = Clock::now();
    SampleRepeatedly(leader);
    return true;
  });
  StartLoad(leader, aLoad, aLength);
  std::this_thread::sleep_for(aLength + kRecovery);
  const auto withoutLease = CallOn(leader, [&leader] {
    leader.isSampling = false;
    return std::chrono::duration_cast<milliseconds>(leader.withoutLease);
  });
  const int lost = CallOn(leader, [&leader] { return leader.lost; });
  std::printf("busy leader: %-34s %5d ms: %5d ms without lease, %s\n", aName,
              static_cast<int>(aLength.count()),
              static_cast<int>(withoutLease.count()),
              lost > 0 ? "leadership lost" : "leads on");
}

}  // namespace

void BenchBusyLeader() {
  for (const int length : {100, 200, 300, 500, 1000, 2000}) {
    Measure(Load::OneHandler, "one handler", milliseconds(length));
  }
  for (const int length : {100, 200, 300, 500, 1000, 2000}) {
    Measure(Load::QueuedHandlers, "queued handlers of 2 ms",
            milliseconds(length));
  }
  for (const int length : {100, 200, 300, 500, 1000, 2000}) {
    Measure(Load::BoundedTurns, "handlers in turns of 20 ms",
            milliseconds(length));
  }
}

}  // namespace bramleypath::bench
