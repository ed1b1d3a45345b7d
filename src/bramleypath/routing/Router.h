#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/membership/TargetChart.h"
#include "bramleypath/routing/Settings.h"
#include "bramleypath/routing/Types.h"

namespace bramleypath::routing {

using TargetIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;
using ClassIndex = std::uint32_t;  // in ServiceState::classes
constexpr std::uint32_t kNoIndex = 0xffffffffU;

// Exponentially decayed counts of the recent results of one target. Fast
// failures have a greater weight in samples and failures.
struct FailureWindow {
  double samples = 0;
  double failures = 0;
  double answers = 0;  // successful ones
  double fast = 0;     // successful answers that came unusually fast
  TimePoint updatedAt;
};

struct TargetState {
  membership::TargetRecord record;
  ServiceIndex service = kNoIndex;
  StateIndex state = 0;
  bool used = false;  // false: the table slot is free
  bool probeDue = false;
  // This entry host's part of the target's slots and connections.
  std::uint32_t share = 0;
  double limit = 0;
  std::uint32_t outstanding = 0;
  // Outstanding calls of the other entry hosts at the target, as last gossiped.
  std::uint32_t peerLoad = 0;
  TimePoint peerLoadAt;
  // Smoothed ratio of recent latencies to the baseline latency of the class.
  double latencyRatio = 1.0;
  // While the limit is below one call: earliest time of the next dispatch.
  TimePoint pacedUntil;
  TimePoint timerAt = kNever;
  FailureWindow window;
  TimePoint ejectedUntil;
  std::uint32_t ejections = 0;
  std::uint32_t probesPassed = 0;
  bool lastFailureNotRun = false;
  // Position in the service's freeTargets; kNoIndex: not in the list.
  std::uint32_t freeListIndex = kNoIndex;
};

struct ClassState {
  ClassId id;
  double meanMicros = 0;  // 0: no successful answer yet
  double p5Micros = 0;    // 5% quantile of the service time
  double p95Micros = 0;   // 95% quantile of the service time
  // Slow moving average; the latency gradient compares targets with it.
  double baselineMicros = 0;
  double arrivalsPerSecond = 0;
  TimePoint lastArrival;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  // Recent part of the answers of all targets that came unusually fast.
  double fastAnswerRate = 0;
  std::uint64_t answers = 0;
};

// Calls of one client account and class that wait for a slot.
struct Flow {
  ClassIndex callClass = 0;
  double finishTag = 0;
  // Calls that ended while waiting stay in the list until they reach its front
  // or the list is compacted.
  std::deque<CallId> calls;
  std::size_t queued = 0;
};

// The waiting calls of one client account for one service.
struct ClientAccountQueue {
  ClientAccountId clientAccount;
  double finishTag = 0;
  double flowVirtualTime = 0;
  std::vector<Flow> flows;
  std::size_t queued = 0;
};

struct ServiceState {
  ServiceId id;
  std::vector<TargetIndex> targets;  // sorted by id
  // Serving targets that have a free slot.
  std::vector<TargetIndex> freeTargets;
  // Ejected targets that wait for a suitable call as their next probe.
  std::vector<TargetIndex> probeTargets;
  std::vector<ClassState> classes;
  std::vector<ClientAccountQueue> clientAccounts;
  std::unordered_map<ClientAccountId, std::uint32_t> clientAccountIndex;
  double virtualTime = 0;
  std::size_t queued = 0;
  // Sum of the weights of the client accounts with waiting calls.
  double waitingWeight = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t serving = 0;
  std::uint32_t ejected = 0;
  // Sums over the serving targets.
  std::uint32_t totalShare = 0;
  double totalLimit = 0;
  // Counter of ChoicePolicy::RoundRobin.
  std::uint32_t nextRoundRobin = 0;
};

enum class CallStage : std::uint8_t { AwaitingGrant, Queued, Dispatched };

struct Call {
  CallAccepted request;
  CallStage stage = CallStage::Queued;
  ServiceIndex service = 0;
  ClassIndex callClass = 0;
  TimePoint acceptedAt;
  std::uint32_t attempts = 0;
  Generation generation = 0;  // of the current attempt
  Nonce nonce = 0;            // 0: no grant was requested
  bool granted = false;
  TimePoint grantValidUntil = kNever;
  TimePoint timerAt;
  // Set when an attempt ends with an unknown outcome, and while another request
  // with the same key runs; the call can then not end as NotRun.
  bool mayHaveRun = false;
  Reason lastReason = Reason::NoCapacity;  // of the last attempt
  TargetIndex lastTarget = kNoIndex;
};

struct Attempt {
  CallId call = 0;
  RequestId requestId;
  // kNoIndex: the call was forwarded to dataCentre.
  TargetIndex target = kNoIndex;
  membership::Incarnation incarnation = 0;
  DataCentreId dataCentre;
  ServiceIndex service = 0;
  ClassIndex callClass = 0;
  ClientAccountId clientAccount;
  TimePoint sentAt;
  // When the connection to the target had to be made.
  TimePoint connectBy;
  bool probe = false;
  // The call has ended without this attempt; a late answer is dropped and
  // counted.
  bool abandoned = false;
  TimePoint abandonAt;
  // Grant of a keyed call, for the report of its end to the key's owner.
  Nonce nonce = 0;
};

struct RemoteDataCentre {
  membership::DataCentreSummary summary;
  // Calls forwarded since the last summary, by service.
  std::unordered_map<ServiceId, std::uint32_t> forwardedSinceSummary;
};

// Description of a call that did not complete, kept for ExplainCall.
struct Refusal {
  TimePoint at;
  CallId call = 0;
  RequestId requestId;
  ClientAccountId clientAccount;
  ClassId callClass;
  ServiceId service;
  Reason reason = Reason::NoTarget;
  std::uint32_t attempts = 0;
  // Counts of the service at this entry host when the call ended.
  std::uint32_t serving = 0;
  std::uint32_t ejected = 0;
  std::uint32_t leaving = 0;
  std::uint32_t totalShare = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
};

struct Counters {
  std::uint64_t accepted = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t completed = 0;
  std::uint64_t notRun = 0;
  std::uint64_t outcomeUnknown = 0;
  // Answers to attempts that were abandoned or are unknown.
  std::uint64_t lateAnswers = 0;
  std::uint64_t mismatchedAnswers = 0;
  // Events that name a call or attempt that has ended or is unknown.
  std::uint64_t unknownEvents = 0;
  // Grants that arrived after the end of their call and were released unused.
  std::uint64_t lateGrants = 0;
  std::uint64_t ejections = 0;
  std::uint64_t readmissions = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> reasons{};
};

enum class TimerKind : std::uint8_t { Call, Attempt, Target };

struct Timer {
  TimePoint at;
  TimerKind kind = TimerKind::Call;
  std::uint64_t id = 0;
};
bool operator<(const Timer& aLeft, const Timer& aRight);

// State of one entry host: its calls, queues, targets and limits.
struct Router {
  Settings settings;
  HostId self;
  DataCentreId dataCentre;
  Random random;
  membership::TargetChart chart;

  std::vector<TargetState> targets;
  std::vector<TargetIndex> unusedTargets;
  std::unordered_map<TargetId, TargetIndex> targetIndex;
  std::vector<ServiceState> services;
  std::unordered_map<ServiceId, ServiceIndex> serviceIndex;
  std::size_t flows = 0;

  std::vector<HostId> localHosts;
  std::map<HostId, std::vector<std::pair<TargetIndex, std::uint32_t>>>
      peerLoads;
  std::map<DataCentreId, RemoteDataCentre> remotes;

  std::unordered_map<ClientAccountId, ClientAccountPolicy> policies;
  std::unordered_map<ClientAccountId, std::uint32_t> clientAccountInFlight;

  std::unordered_map<CallId, Call> calls;
  std::unordered_map<Generation, Attempt> attempts;
  std::set<Timer> timers;
  Generation nextGeneration = 1;
  Nonce nextNonce = 1;
  // Requested grants that were neither received nor refused, oldest first. A
  // duplicate of a grant is not found here and has no effect.
  std::map<Nonce, CallId> pendingGrants;
  double retryTokens = 0;

  bool stopping = false;
  bool drained = false;
  TimePoint closeAt;
  TimePoint drainDeadline;

  std::deque<Refusal> refusals;
  Counters counters;
};

Router MakeRouter(const HostId& aSelf, const DataCentreId& aDataCentre,
                  const Settings& aSettings, std::uint64_t aSeed);

// Handles one event. Pass a Tick at the time that NextWake returns, and at
// least every 50 ms while calls wait: reserved slots are released as the load
// of their class falls, and no timer is set for that.
Actions Step(Router& aRouter, const Event& aEvent, TimePoint aNow);

// Time when the next Tick is due; kNever if no timer is set and no planned stop
// is in progress.
TimePoint NextWake(const Router& aRouter);

// This entry host's outstanding calls per target, for gossip.
std::vector<membership::TargetLoad> OwnLoads(const Router& aRouter);

// The most recent refusal of the request among the last keptRefusals ones.
std::optional<Refusal> ExplainCall(const Router& aRouter,
                                   const RequestId& aRequest);

// Describes the refusal in one line for an operator.
std::string ToText(const Refusal& aRefusal);

}  // namespace bramleypath::routing
