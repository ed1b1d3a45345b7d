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
using ClassIndex = std::uint32_t;  // within its service
constexpr std::uint32_t kNoIndex = 0xffffffffU;

// Recent successes and failures; the weights decay with time.
struct FailureWindow {
  double samples = 0;
  double failures = 0;
  double answers = 0;
  double quick = 0;
  TimePoint updatedAt;
};

struct TargetState {
  membership::TargetRecord record;
  ServiceIndex service = kNoIndex;
  StateIndex state = 0;
  bool used = false;  // the place in the table holds a target
  bool probeDue = false;
  // This entry host's part of the slots and connections.
  std::uint32_t share = 0;
  double limit = 0;
  std::uint32_t outstanding = 0;
  // Calls that other entry hosts have there, as last gossiped.
  std::uint32_t peerLoad = 0;
  TimePoint peerLoadAt;
  // Latency relative to the class's usual one, recent and smoothed.
  double latencyRatio = 1.0;
  // With a limit below one call, the earliest time of the next dispatch.
  TimePoint pacedUntil;
  TimePoint timerAt = kNever;
  FailureWindow window;
  TimePoint ejectedUntil;
  std::uint32_t ejections = 0;
  std::uint32_t probesPassed = 0;
  bool lastFailureNotRun = false;
  // Place in the service's list of targets with a free slot.
  std::uint32_t freePlace = kNoIndex;
};

struct ClassState {
  ClassId id;
  double meanMicros = 0;   // 0: nothing observed
  double quickMicros = 0;  // 5% quantile
  double slowMicros = 0;   // 95% quantile
  double usualMicros = 0;  // slow average, for the latency gradient
  double arrivalsPerSecond = 0;
  TimePoint lastArrival;
  std::uint32_t inFlight = 0;
  std::uint32_t queued = 0;
  double quickAnswerRate = 0;  // of all targets, recent
  std::uint64_t answers = 0;
};

// Calls of one member and class that wait for a slot.
struct Flow {
  ClassIndex callClass = 0;
  double finishTag = 0;
  // Calls that ended while they waited stay in the list until they reach its
  // front or the list is compacted.
  std::deque<CallId> calls;
  std::size_t queued = 0;
};

// A member's part of the queue of one service.
struct ClientAccountQueue {
  ClientAccountId clientAccount;
  double finishTag = 0;
  double flowClock = 0;
  std::vector<Flow> flows;
  std::size_t queued = 0;
};

struct ServiceState {
  ServiceId id;
  std::vector<TargetIndex> targets;  // sorted by id
  // Serving targets that have a free slot.
  std::vector<TargetIndex> freeTargets;
  // Ejected targets whose next probe is due.
  std::vector<TargetIndex> probeTargets;
  std::vector<ClassState> classes;
  std::vector<ClientAccountQueue> clientAccounts;
  std::unordered_map<ClientAccountId, std::uint32_t> clientAccountIndex;
  double fairClock = 0;
  std::size_t queued = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t serving = 0;
  std::uint32_t ejected = 0;
  std::uint32_t totalShare = 0;  // of the serving targets
  double totalLimit = 0;
  std::uint32_t nextInTurn = 0;
};

enum class CallStage : std::uint8_t { AwaitingGrant, Queued, Dispatched };

struct Call {
  CallAccepted request;
  CallStage stage = CallStage::Queued;
  ServiceIndex service = 0;
  ClassIndex callClass = 0;
  TimePoint acceptedAt;
  std::uint32_t attempts = 0;
  Generation generation = 0;  // of the present attempt
  Nonce nonce = 0;            // 0: no grant asked for
  bool granted = false;
  TimePoint grantValidUntil = kNever;
  TimePoint timerAt;
  // An attempt ended without a known outcome: the call can no longer end as
  // not run.
  bool mayHaveRun = false;
  Reason lastReason = Reason::NoCapacity;  // of the last attempt
  TargetIndex lastTarget = kNoIndex;
};

struct Attempt {
  CallId call = 0;
  RequestId requestId;
  TargetIndex target = kNoIndex;  // kNoIndex: forwarded
  membership::Incarnation incarnation = 0;
  DataCentreId dataCentre;
  ServiceIndex service = 0;
  ClassIndex callClass = 0;
  ClientAccountId clientAccount;
  TimePoint sentAt;
  bool probe = false;
  // The caller no longer waits; a late answer is dropped and counted.
  bool abandoned = false;
  TimePoint abandonAt;
  Nonce nonce = 0;  // of a keyed call, to report its end
};

struct RemoteDataCentre {
  membership::DataCentreSummary summary;
  // Calls forwarded since the summary, by service.
  std::unordered_map<ServiceId, std::uint32_t> sinceSummary;
};

// A refused call, kept for Explain.
struct Refusal {
  TimePoint at;
  CallId call = 0;
  RequestId requestId;
  ClientAccountId clientAccount;
  ClassId callClass;
  ServiceId service;
  Reason reason = Reason::NoTarget;
  std::uint32_t attempts = 0;
  // The service at that time, at this entry host.
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
  std::uint64_t lateAnswers = 0;
  std::uint64_t mismatchedAnswers = 0;
  std::uint64_t unknownEvents = 0;  // of calls or attempts that are over
  std::uint64_t lateGrants = 0;     // released unused
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

// The calls of one entry host with their queues, targets and limits.
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
  // Grants asked for that were neither received nor refused, oldest first. A
  // second copy of a grant finds none here and has no effect.
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

// Handles one event. Call it with Tick at NextWake, and at least each 50 ms
// while calls wait: slots reserved for a class come free as its load falls.
Actions Step(Router& aRouter, const Event& aEvent, TimePoint aNow);

// When the next Tick is due; kNever when nothing waits.
TimePoint NextWake(const Router& aRouter);

// This entry host's outstanding calls per target, for gossip.
std::vector<membership::TargetLoad> OwnLoads(const Router& aRouter);

// The most recent refusal of a request id that is still remembered.
std::optional<Refusal> ExplainCall(const Router& aRouter,
                                   const RequestId& aRequest);

// One line for an operator.
std::string ToText(const Refusal& aRefusal);

}  // namespace bramleypath::routing
