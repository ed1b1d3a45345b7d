#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"

namespace bramleypath::config {

// Counts accepted changes, from 0 for the empty configuration.
using Version = std::uint64_t;

// Shortest wait for a change of the key owners: the sum of the lifetimes of a
// grant (10 s), of a dispatched request (120 s) and of a stored answer (600 s).
// The journal asserts that its periods are not longer.
constexpr std::uint32_t kMinMoveWaitMs = 730'000;

// A service whose instances (targets) announce themselves.
struct Service {
  ServiceId name;
  // The client account whose targets may announce this service. When empty,
  // targets of every client account may.
  ClientAccountId clientAccount;
  std::uint32_t slotsPerTarget = 8;
  std::uint32_t connectionsPerTarget = 60;
};

// A class of calls of one service, or of batch work when service is empty.
struct ServiceClass {
  ClassId name;
  ServiceId service;
  // Slots of each target that other classes can't use.
  std::uint32_t reservedSlots = 0;
  // Assumed service time until enough service times have been observed.
  std::uint32_t expectedServiceMs = 100;
  // Whether calls that don't state it themselves are idempotent.
  bool idempotentDefault = false;
};

// Relative weights of the three goals, each from 0 to 1000, not all 0.
struct GoalWeights {
  std::uint32_t tailLatency = 1;
  std::uint32_t evictions = 1;
  std::uint32_t throughput = 1;
};

struct AdmissionLimits {
  // Queued calls per client account and class at one entry host.
  std::uint32_t queuedCallsPerClientAccount = 200;
  // Share of a target's slots that may be in use, in percent.
  std::uint32_t targetUtilisationPercent = 100;
};

struct BatchLimits {
  // Share of a worker's processors that batch tasks may reserve, in percent.
  std::uint32_t workerUtilisationPercent = 100;
  std::uint32_t runningTasksPerCell = 10000;
  std::uint32_t startsPerSecondPerCell = 100;
  std::uint32_t evictionsPerJob = 3;
};

struct Preset {
  PresetId name;
  GoalWeights weights;
  AdmissionLimits admission;
  BatchLimits batch;
};

// The resources that a client account may have reserved at one time, summed
// over all cells: processors in thousandths of one, memory in MB.
struct Quota {
  std::uint64_t processorsMilli = 0;
  std::uint64_t memoryMb = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t queuedJobs = 1000;
};

struct ClientAccount {
  ClientAccountId name;
  // Share in weighted fair queuing, from 1 to 1000.
  std::uint32_t weight = 1;
  Quota quota;
};

// "IP address:port" of each listener of an entry host.
struct HostAddresses {
  std::string callers;
  std::string targets;
  std::string peers;
  std::string operators;
};

struct EntryHost {
  HostId name;
  DataCentreId dataCentre;
  HostAddresses addresses;
  // Only hosts with a disk can be voters.
  bool hasDisk = false;
  // Set by operators. A draining host accepts no new callers and leads no
  // group.
  bool draining = false;
};

// The data centres that own keyed requests. While a change is pending, keys
// whose owner changes get no new grants, and their old owner still returns
// stored answers.
struct KeyOwners {
  // Increases with each change of the owners, and is carried in grants.
  std::uint64_t generation = 0;
  std::set<DataCentreId> current;
  // The owners after the pending change; empty when none is pending.
  std::set<DataCentreId> next;
  // Data centres that the operator declared permanently stopped. They need
  // not confirm the change.
  std::set<DataCentreId> lost;
  // Time from the last confirmation until the change takes effect: at least the
  // lifetime of a grant plus the retention of answers.
  std::uint32_t moveWaitMs = kMinMoveWaitMs;
  // The configuration version that the pending change created; 0 when none is
  // pending.
  Version pendingSince = 0;
};

bool IsPending(const KeyOwners& aOwners);

// The data centres whose hosts must all report the version of a pending change
// before it takes effect: those that lose keys, except the lost ones. When an
// owner is added, every current owner loses some keys to it.
std::set<DataCentreId> DataCentresToConfirm(const KeyOwners& aOwners);

// Everything that operators configure.
struct Configuration {
  std::map<ServiceId, Service> services;
  std::map<ClassId, ServiceClass> classes;
  std::map<PresetId, Preset> presets;
  // Empty only while there is no preset.
  PresetId presetInForce;
  std::map<ClientAccountId, ClientAccount> clientAccounts;
  std::map<HostId, EntryHost> hosts;
  std::set<TargetId> drainedTargets;
  KeyOwners keyOwners;
};

// Upper bounds of the tables, which keep the whole configuration within a few
// megabytes.
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxClasses = 1024;
constexpr std::size_t kMaxPresets = 32;
constexpr std::size_t kMaxClientAccounts = 512;
constexpr std::size_t kMaxHosts = 64;
constexpr std::size_t kMaxDrainedTargets = 2048;
constexpr std::size_t kMaxNameBytes = 128;

}  // namespace bramleypath::config
