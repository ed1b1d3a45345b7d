#include "bench/routing/Costs.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

#include "bramleypath/membership/Codec.h"
#include "bramleypath/membership/Members.h"
#include "bramleypath/routing/Router.h"
#include "bramleypath/routing/internal/Choice.h"

namespace {

// Bytes that are currently allocated.
std::int64_t gAllocatedBytes = 0;

}  // namespace

// Counts the allocated bytes. Each block begins with a header that holds its
// size.
void* operator new(std::size_t aSize) {
  constexpr std::size_t kHeader = 16;
  auto* block = static_cast<std::size_t*>(std::malloc(aSize + kHeader));
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *block = aSize;
  gAllocatedBytes += static_cast<std::int64_t>(aSize);
  return reinterpret_cast<char*>(block) + kHeader;
}

void operator delete(void* aPointer) noexcept {
  constexpr std::size_t kHeader = 16;
  if (aPointer == nullptr) {
    return;
  }
  auto* block =
      reinterpret_cast<std::size_t*>(static_cast<char*>(aPointer) - kHeader);
  gAllocatedBytes -= static_cast<std::int64_t>(*block);
  std::free(block);
}

void operator delete(void* aPointer, std::size_t) noexcept {
  operator delete(aPointer);
}

namespace bramleypath::bench {

namespace {

using Clock = std::chrono::steady_clock;

double NanosSince(Clock::time_point aStart, int aCount) {
  return std::chrono::duration<double, std::nano>(Clock::now() - aStart)
             .count() /
         aCount;
}

membership::TargetRecord MakeRecord(int aNumber) {
  membership::TargetRecord record;
  record.target = TargetId("delivery-planning-" + std::to_string(aNumber));
  record.incarnation = 1700000000000;
  record.service = ServiceId("delivery-planning");
  record.clientAccount = ClientAccountId("harit-angan");
  record.address = "10.20.30.40:8080";
  record.slots = 8;
  record.connections = 60;
  return record;
}

routing::Router MakeLoadedRouter(int aTargets) {
  routing::Router router = routing::MakeRouter(HostId("e0"), DataCentreId("d"),
                                               routing::Settings{}, 1);
  const TimePoint now{1000000};
  routing::PeerLoads loads;
  loads.host = HostId("e1");
  for (int target = 0; target < aTargets; ++target) {
    Step(router, routing::TargetUp{MakeRecord(target)}, now);
    loads.loads.push_back(
        {MakeRecord(target).target, static_cast<std::uint32_t>(target % 8)});
  }
  Step(router, loads, now);
  return router;
}

void PrintChoice(int aTargets) {
  constexpr int kChoices = 200000;
  routing::Router router = MakeLoadedRouter(aTargets);
  std::uint64_t sum = 0;
  const auto start = Clock::now();
  for (int choice = 0; choice < kChoices; ++choice) {
    sum += *routing::detail::ChooseTarget(router, 0, routing::kNoIndex,
                                          TimePoint{1050000});
  }
  std::printf("choice, %4d targets: %.0f ns (goal under 2000 at 400)%s\n",
              aTargets, NanosSince(start, kChoices), sum == 0 ? " " : "");
}

void PrintCall(int aTargets) {
  constexpr int kCalls = 100000;
  routing::Router router = MakeLoadedRouter(aTargets);
  TimePoint now{2000000};
  routing::CallAccepted call;
  call.requestId = RequestId("6f1c9a52-0000-4000-8000-000000000000");
  call.clientAccount = ClientAccountId("harit-angan");
  call.callClass = ClassId("plan");
  call.service = ServiceId("delivery-planning");
  const auto start = Clock::now();
  for (int count = 1; count <= kCalls; ++count) {
    now = now + Micros(100);
    call.call = static_cast<routing::CallId>(count);
    call.deadline = now + Seconds(1);
    Step(router, call, now);
    routing::AnswerReceived answer;
    answer.generation = static_cast<routing::Generation>(count);
    answer.requestId = call.requestId;
    Step(router, answer, now + Micros(50));
  }
  std::printf("whole call, accept to answer, %4d targets: %.0f ns\n", aTargets,
              NanosSince(start, kCalls));
}

// Measures one arrival and one answer while aWaiting calls of aClientAccounts
// client accounts wait for the slots of 50 targets.
void PrintBacklog(int aWaiting, int aClientAccounts) {
  constexpr int kTargets = 50;
  constexpr int kSlots = kTargets * 8;
  constexpr int kMeasured = 2000;
  routing::Router router = MakeLoadedRouter(kTargets);
  const TimePoint now{2000000};
  routing::CallId next = 0;
  const auto accept = [&] {
    routing::CallAccepted call;
    call.call = ++next;
    call.requestId = RequestId("6f1c9a52-0000-4000-8000-000000000000");
    call.clientAccount =
        ClientAccountId("account-" + std::to_string(next % aClientAccounts));
    call.callClass = ClassId("plan");
    call.service = ServiceId("delivery-planning");
    call.deadline = now + Seconds(3600);
    Step(router, call, now);
  };
  routing::PoliciesChanged policies;
  for (int account = 0; account < aClientAccounts; ++account) {
    routing::ClientAccountPolicy policy;
    policy.clientAccount =
        ClientAccountId("account-" + std::to_string(account));
    policy.maxQueued = static_cast<std::uint32_t>(aWaiting + kMeasured);
    policies.policies.push_back(policy);
  }
  Step(router, policies, now);
  for (int call = 0; call < kSlots + aWaiting; ++call) {
    accept();
  }
  auto start = Clock::now();
  for (int count = 0; count < kMeasured; ++count) {
    accept();
  }
  const double arrival = NanosSince(start, kMeasured);
  start = Clock::now();
  for (int count = 1; count <= kMeasured; ++count) {
    routing::AnswerReceived answer;
    answer.generation = static_cast<routing::Generation>(count);
    answer.requestId = RequestId("6f1c9a52-0000-4000-8000-000000000000");
    Step(router, answer, now + Micros(count));
  }
  const double answered = NanosSince(start, kMeasured);
  start = Clock::now();
  Step(router, routing::Tick{}, now + Millis(20));
  std::printf(
      "%5zu calls wait, %4d client accounts: arrival %.0f ns, answer %.0f ns, "
      "tick %.0f ns\n",
      router.services[0].queued, aClientAccounts, arrival, answered,
      NanosSince(start, 1));
}

void PrintMemory() {
  constexpr int kTargets = 400;
  constexpr int kCalls = 2000;
  const std::int64_t before = gAllocatedBytes;
  routing::Router router = MakeLoadedRouter(kTargets);
  const std::int64_t withTargets = gAllocatedBytes;
  std::printf("router memory per target: %.0f bytes (400 targets)\n",
              static_cast<double>(withTargets - before) / kTargets);
  for (int count = 1; count <= kCalls; ++count) {
    routing::CallAccepted call;
    call.call = static_cast<routing::CallId>(count);
    call.requestId = RequestId("6f1c9a52-0000-4000-8000-000000000000");
    call.clientAccount = ClientAccountId("harit-angan");
    call.callClass = ClassId("plan");
    call.service = ServiceId("delivery-planning");
    call.deadline = TimePoint{90000000};
    Step(router, call, TimePoint{1000000});
  }
  std::printf("router memory per call in flight: %.0f bytes (%d calls)\n",
              static_cast<double>(gAllocatedBytes - withTargets) / kCalls,
              kCalls);
}

std::size_t RunGossipRound(membership::Members& aMembers, int aFirst,
                           int aAnnounced, int aTargets, TimePoint aNow) {
  for (int place = aFirst; place < aFirst + aAnnounced; ++place) {
    const int target = place % aTargets;
    Step(aMembers, membership::TargetAnnounced{MakeRecord(target)}, aNow);
  }
  std::size_t bytes = 0;
  for (const auto& action : Step(aMembers, membership::Tick{}, aNow)) {
    if (const auto* send = std::get_if<membership::SendGossip>(&action)) {
      bytes += membership::EncodeGossip(send->message).size();
    }
  }
  return bytes;
}

// Measures one of three local entry hosts. Each target announces itself every
// 500 ms to one of the three in turn, so that this host receives a fifteenth of
// the targets per round of 100 ms.
void PrintGossip(int aTargets) {
  const std::vector<membership::HostInfo> hosts{
      {HostId("e0"), DataCentreId("d")},
      {HostId("e1"), DataCentreId("d")},
      {HostId("e2"), DataCentreId("d")}};
  const std::int64_t before = gAllocatedBytes;
  auto members = membership::MakeMembers(hosts[0], hosts, {}, 1, TimePoint{});
  RunGossipRound(members, 0, aTargets, aTargets, TimePoint{});
  const double memory =
      static_cast<double>(gAllocatedBytes - before) / aTargets;
  membership::LocalLoads loads;
  for (int target = 0; target < aTargets; target += 2) {
    loads.loads.push_back({MakeRecord(target).target, 3});
  }
  Step(members, loads, TimePoint{});
  const int announcedPerRound = std::max(1, aTargets / 15);
  constexpr int kRounds = 100;
  std::size_t bytes = 0;
  for (int round = 1; round <= kRounds; ++round) {
    bytes +=
        RunGossipRound(members, round * announcedPerRound, announcedPerRound,
                       aTargets, TimePoint{} + Millis(100) * round);
  }
  std::printf(
      "gossip, %4d targets, 3 entry hosts: %zu bytes a round sent by each "
      "(%.1f KB/s); membership memory per target %.0f bytes\n",
      aTargets, bytes / kRounds,
      static_cast<double>(bytes) / kRounds * 10 / 1000, memory);
}

}  // namespace

void PrintCosts() {
  for (const int targets : {50, 100, 400, 1600}) {
    PrintChoice(targets);
  }
  for (const int targets : {50, 400, 1600}) {
    PrintCall(targets);
  }
  for (const int waiting : {100, 1000, 4000, 16000}) {
    for (const int clientAccounts : {10, 1000}) {
      PrintBacklog(waiting, clientAccounts);
    }
  }
  PrintMemory();
  for (const int targets : {50, 400, 1600}) {
    PrintGossip(targets);
  }
}

}  // namespace bramleypath::bench
