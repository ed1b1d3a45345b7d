#include "bramleypath/config/internal/Validation.h"

#include <algorithm>
#include <string>

#include "bramleypath/config/Address.h"

namespace bramleypath::config::detail {

namespace {

Outcome Accept() {
  Outcome outcome;
  outcome.accepted = true;
  return outcome;
}

Outcome Refuse(RefusalCode aCode, std::string aField, std::string aDetail) {
  Outcome outcome;
  outcome.code = aCode;
  outcome.field = std::move(aField);
  outcome.detail = std::move(aDetail);
  return outcome;
}

bool IsNameCharacter(char aCharacter) {
  const bool letter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                      (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool digit = aCharacter >= '0' && aCharacter <= '9';
  return letter || digit || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-' || aCharacter == ':';
}

Outcome CheckName(const std::string& aName, const std::string& aField) {
  const bool plain = std::all_of(aName.begin(), aName.end(), IsNameCharacter);
  if (aName.empty() || aName.size() > kMaxNameBytes || !plain) {
    return Refuse(RefusalCode::Invalid, aField,
                  "must have 1 to " + std::to_string(kMaxNameBytes) +
                      " letters, digits or any of . _ - :");
  }
  return Accept();
}

Outcome CheckRange(std::uint64_t aValue, std::uint64_t aLow,
                   std::uint64_t aHigh, const std::string& aField) {
  if (aValue < aLow || aValue > aHigh) {
    return Refuse(RefusalCode::Invalid, aField,
                  "must be from " + std::to_string(aLow) + " to " +
                      std::to_string(aHigh) + ", not " +
                      std::to_string(aValue));
  }
  return Accept();
}

Outcome Unknown(const std::string& aField, const std::string& aKind,
                const std::string& aName) {
  return Refuse(RefusalCode::UnknownName, aField,
                "no " + aKind + " is named \"" + aName + "\"");
}

// Returns the first refusal, or acceptance if there is none.
Outcome FirstRefusal(std::initializer_list<Outcome> aOutcomes) {
  for (const Outcome& outcome : aOutcomes) {
    if (!outcome.accepted) {
      return outcome;
    }
  }
  return Accept();
}

template <typename Map, typename Value>
Outcome StoreEntry(Map& aMap, const Value& aValue, std::size_t aLimit,
                   const std::string& aField) {
  if (aMap.count(aValue.name) == 0 && aMap.size() >= aLimit) {
    return Refuse(RefusalCode::LimitReached, aField,
                  "at most " + std::to_string(aLimit) + " are allowed");
  }
  aMap[aValue.name] = aValue;
  return Accept();
}

std::uint64_t ReservedSlots(const Configuration& aConfiguration,
                            const ServiceId& aService) {
  std::uint64_t slots = 0;
  for (const auto& [name, one] : aConfiguration.classes) {
    slots += one.service == aService ? one.reservedSlots : 0;
  }
  return slots;
}

Outcome CheckReservedSlots(const Configuration& aConfiguration,
                           const Service& aService, const std::string& aField) {
  const std::uint64_t reserved = ReservedSlots(aConfiguration, aService.name);
  if (reserved > aService.slotsPerTarget) {
    return Refuse(RefusalCode::Invalid, aField,
                  "the classes of service \"" + aService.name.value +
                      "\" reserve " + std::to_string(reserved) +
                      " slots, but a target has " +
                      std::to_string(aService.slotsPerTarget));
  }
  return Accept();
}

Outcome AddService(Configuration& aConfiguration, const Service& aService,
                   const std::string& aPath) {
  constexpr std::uint32_t kMaxSlots = 1024;
  constexpr std::uint32_t kMaxConnections = 65535;
  const Outcome checked = FirstRefusal(
      {CheckName(aService.name.value, aPath + ".name"),
       CheckRange(aService.slotsPerTarget, 1, kMaxSlots,
                  aPath + ".slots_per_target"),
       CheckRange(aService.connectionsPerTarget, 1, kMaxConnections,
                  aPath + ".connections_per_target"),
       CheckReservedSlots(aConfiguration, aService,
                          aPath + ".slots_per_target")});
  if (!checked.accepted) {
    return checked;
  }
  if (!aService.clientAccount.empty() &&
      aConfiguration.clientAccounts.count(aService.clientAccount) == 0) {
    return Unknown(aPath + ".member", "member", aService.clientAccount.value);
  }
  return StoreEntry(aConfiguration.services, aService, kMaxServices, aPath);
}

Outcome AddClass(Configuration& aConfiguration, const ServiceClass& aClass,
                 const std::string& aPath) {
  constexpr std::uint32_t kMaxServiceMs = 24 * 3600 * 1000;
  const Outcome checked =
      FirstRefusal({CheckName(aClass.name.value, aPath + ".name"),
                    CheckRange(aClass.expectedServiceMs, 1, kMaxServiceMs,
                               aPath + ".expected_service_ms")});
  if (!checked.accepted) {
    return checked;
  }
  if (aClass.service.empty()) {
    if (aClass.reservedSlots != 0) {
      return Refuse(RefusalCode::Invalid, aPath + ".reserved_slots",
                    "must be 0 for a class of batch work, which has no "
                    "service");
    }
    return StoreEntry(aConfiguration.classes, aClass, kMaxClasses, aPath);
  }
  const auto service = aConfiguration.services.find(aClass.service);
  if (service == aConfiguration.services.end()) {
    return Unknown(aPath + ".service", "service", aClass.service.value);
  }
  const Outcome stored =
      StoreEntry(aConfiguration.classes, aClass, kMaxClasses, aPath);
  return FirstRefusal(
      {stored, CheckReservedSlots(aConfiguration, service->second,
                                  aPath + ".reserved_slots")});
}

Outcome CheckPreset(const Preset& aPreset, const std::string& aPath) {
  constexpr std::uint32_t kMaxWeight = 1000;
  constexpr std::uint32_t kMaxQueuedCalls = 100000;
  constexpr std::uint32_t kMaxRunningTasks = 100000;
  constexpr std::uint32_t kMaxStartsPerSecond = 10000;
  constexpr std::uint32_t kMaxEvictions = 1000;
  const GoalWeights& weights = aPreset.weights;
  if (weights.tailLatency == 0 && weights.evictions == 0 &&
      weights.throughput == 0) {
    return Refuse(RefusalCode::Invalid, aPath + ".weights",
                  "at least one weight must be above 0");
  }
  return FirstRefusal(
      {CheckName(aPreset.name.value, aPath + ".name"),
       CheckRange(weights.tailLatency, 0, kMaxWeight,
                  aPath + ".weights.tail_latency"),
       CheckRange(weights.evictions, 0, kMaxWeight,
                  aPath + ".weights.evictions"),
       CheckRange(weights.throughput, 0, kMaxWeight,
                  aPath + ".weights.throughput"),
       CheckRange(aPreset.admission.queuedCallsPerClientAccount, 1,
                  kMaxQueuedCalls,
                  aPath + ".admission.queued_calls_per_member"),
       CheckRange(aPreset.admission.targetUtilisationPercent, 1, 100,
                  aPath + ".admission.target_utilisation_percent"),
       CheckRange(aPreset.batch.workerUtilisationPercent, 0, 100,
                  aPath + ".batch.worker_utilisation_percent"),
       CheckRange(aPreset.batch.runningTasksPerCell, 0, kMaxRunningTasks,
                  aPath + ".batch.running_tasks_per_cell"),
       CheckRange(aPreset.batch.startsPerSecondPerCell, 0, kMaxStartsPerSecond,
                  aPath + ".batch.starts_per_second_per_cell"),
       CheckRange(aPreset.batch.evictionsPerJob, 0, kMaxEvictions,
                  aPath + ".batch.evictions_per_job")});
}

Outcome AddPreset(Configuration& aConfiguration, const Preset& aPreset,
                  const std::string& aPath) {
  const Outcome stored = FirstRefusal(
      {CheckPreset(aPreset, aPath),
       StoreEntry(aConfiguration.presets, aPreset, kMaxPresets, aPath)});
  if (stored.accepted && aConfiguration.presetInForce.empty()) {
    aConfiguration.presetInForce = aPreset.name;
  }
  return stored;
}

Outcome AddClientAccount(Configuration& aConfiguration,
                         const ClientAccount& aClientAccount,
                         const std::string& aPath) {
  constexpr std::uint32_t kMaxWeight = 1000;
  const Outcome checked = FirstRefusal(
      {CheckName(aClientAccount.name.value, aPath + ".name"),
       CheckRange(aClientAccount.weight, 1, kMaxWeight, aPath + ".weight")});
  if (!checked.accepted) {
    return checked;
  }
  return StoreEntry(aConfiguration.clientAccounts, aClientAccount,
                    kMaxClientAccounts, aPath);
}

Outcome CheckAddress(const Configuration& aConfiguration,
                     const EntryHost& aHost, const std::string& aText,
                     const std::string& aField) {
  if (!ParseAddress(aText)) {
    return Refuse(RefusalCode::Invalid, aField,
                  "\"" + aText +
                      "\" is not an IP address with a port, such as "
                      "10.0.0.1:7100");
  }
  for (const auto& [name, other] : aConfiguration.hosts) {
    const HostAddresses& used = other.addresses;
    const bool taken = used.callers == aText || used.targets == aText ||
                       used.peers == aText || used.operators == aText;
    if (taken && name != aHost.name) {
      return Refuse(
          RefusalCode::Invalid, aField,
          "\"" + aText + "\" is an address of host \"" + name.value + "\"");
    }
  }
  return Accept();
}

Outcome AddHost(Configuration& aConfiguration, const EntryHost& aHost,
                const std::string& aPath) {
  const HostAddresses& addresses = aHost.addresses;
  const std::set<std::string> distinct{addresses.callers, addresses.targets,
                                       addresses.peers, addresses.operators};
  const std::string path = aPath + ".addresses";
  const Outcome checked = FirstRefusal(
      {CheckName(aHost.name.value, aPath + ".name"),
       CheckName(aHost.dataCentre.value, aPath + ".data_centre"),
       CheckAddress(aConfiguration, aHost, addresses.callers,
                    path + ".callers"),
       CheckAddress(aConfiguration, aHost, addresses.targets,
                    path + ".targets"),
       CheckAddress(aConfiguration, aHost, addresses.peers, path + ".peers"),
       CheckAddress(aConfiguration, aHost, addresses.operators,
                    path + ".operators")});
  if (!checked.accepted) {
    return checked;
  }
  if (distinct.size() != 4) {
    return Refuse(RefusalCode::Invalid, path,
                  "the four listeners must have different addresses");
  }
  return StoreEntry(aConfiguration.hosts, aHost, kMaxHosts, aPath);
}

bool HasHost(const Configuration& aConfiguration,
             const DataCentreId& aDataCentre) {
  return std::any_of(
      aConfiguration.hosts.begin(), aConfiguration.hosts.end(),
      [&](const auto& aRow) { return aRow.second.dataCentre == aDataCentre; });
}

// Each owner must have an entry host, or its keys could never be granted.
Outcome CheckOwnersHaveHosts(const Configuration& aConfiguration,
                             const std::set<DataCentreId>& aOwners,
                             const std::string& aField) {
  for (const DataCentreId& centre : aOwners) {
    if (!HasHost(aConfiguration, centre)) {
      return Refuse(RefusalCode::UnknownName, aField,
                    "no entry host is configured in data centre \"" +
                        centre.value + "\"");
    }
  }
  return Accept();
}

Outcome StartKeyOwnerChange(Configuration& aConfiguration,
                            const SetKeyOwners& aChange, Version aNextVersion) {
  constexpr std::uint32_t kMaxMoveWaitMs = 24 * 3600 * 1000;  // one day
  KeyOwners& owners = aConfiguration.keyOwners;
  if (IsPending(owners)) {
    return Refuse(RefusalCode::KeyOwnersPending, "change.data_centres",
                  "the change of version " +
                      std::to_string(owners.pendingSince) +
                      " has not taken effect yet");
  }
  if (aChange.dataCentres.empty()) {
    return Refuse(RefusalCode::Invalid, "change.data_centres",
                  "must name at least one data centre");
  }
  const Outcome checked =
      FirstRefusal({CheckOwnersHaveHosts(aConfiguration, aChange.dataCentres,
                                         "change.data_centres"),
                    CheckRange(aChange.moveWaitMs, kMinMoveWaitMs,
                               kMaxMoveWaitMs, "change.move_wait_ms")});
  if (!checked.accepted) {
    return checked;
  }
  for (const DataCentreId& centre : aChange.lost) {
    if (owners.current.count(centre) == 0 ||
        aChange.dataCentres.count(centre) != 0) {
      return Refuse(RefusalCode::Invalid, "change.lost",
                    "data centre \"" + centre.value +
                        "\" must be a current owner that is not in "
                        "data_centres");
    }
  }
  ++owners.generation;
  if (owners.current.empty() || owners.current == aChange.dataCentres) {
    owners.current = aChange.dataCentres;
    return Accept();
  }
  owners.next = aChange.dataCentres;
  owners.lost = aChange.lost;
  owners.moveWaitMs = aChange.moveWaitMs;
  owners.pendingSince = aNextVersion;
  return Accept();
}

Outcome ActivateKeyOwnerChange(Configuration& aConfiguration,
                               const ActivateKeyOwners& aChange) {
  KeyOwners& owners = aConfiguration.keyOwners;
  if (!IsPending(owners) || owners.generation != aChange.generation) {
    return Refuse(RefusalCode::KeyOwnersPending, "change.generation",
                  "no change of the key owners with this generation is "
                  "pending");
  }
  ++owners.generation;
  owners.current = owners.next;
  owners.next.clear();
  owners.lost.clear();
  owners.pendingSince = 0;
  return Accept();
}

// The data centres that must keep an entry host: the current and the next
// owners, except the lost ones.
std::set<DataCentreId> OwnersWithHosts(const KeyOwners& aOwners) {
  std::set<DataCentreId> needed = aOwners.current;
  needed.insert(aOwners.next.begin(), aOwners.next.end());
  for (const DataCentreId& lost : aOwners.lost) {
    needed.erase(lost);
  }
  return needed;
}

Outcome CheckReplacedKeyOwners(const Configuration& aOld,
                               const Configuration& aNew) {
  const KeyOwners& old = aOld.keyOwners;
  const KeyOwners& owners = aNew.keyOwners;
  const std::string field = "change.configuration.key_owners";
  if (old.current.empty()) {
    if (IsPending(owners) || !owners.lost.empty()) {
      return Refuse(RefusalCode::Invalid, field,
                    "a first configuration gives only current owners");
    }
    return CheckOwnersHaveHosts(aNew, owners.current, field + ".current");
  }
  // A configuration that names the same owners, or none, leaves them as they
  // are.
  const bool sameCurrent =
      owners.current.empty() || owners.current == old.current;
  const bool sameNext = owners.next.empty() || owners.next == old.next;
  if (!sameCurrent || !sameNext) {
    return Refuse(RefusalCode::Invalid, field,
                  "must be left as it is; change it with set_key_owners");
  }
  return CheckOwnersHaveHosts(aNew, OwnersWithHosts(old), field);
}

// Adds the entries of a map one by one, so that each is checked in the same way
// as a change that sets this entry alone.
template <typename Map, typename Add>
Outcome AddAll(Configuration& aInto, const Map& aFrom, const std::string& aPath,
               Add aAdd) {
  for (const auto& [name, one] : aFrom) {
    const Outcome added = aAdd(aInto, one, aPath + "[" + name.value + "]");
    if (!added.accepted) {
      return added;
    }
  }
  return Accept();
}

Outcome CheckDrainedTargets(const std::set<TargetId>& aTargets,
                            const std::string& aField) {
  if (aTargets.size() > kMaxDrainedTargets) {
    return Refuse(
        RefusalCode::LimitReached, aField,
        "at most " + std::to_string(kMaxDrainedTargets) + " are allowed");
  }
  for (const TargetId& target : aTargets) {
    const Outcome checked = CheckName(target.value, aField);
    if (!checked.accepted) {
      return checked;
    }
  }
  return Accept();
}

Outcome ReplaceConfiguration(Configuration& aConfiguration,
                             const Configuration& aNew) {
  const std::string path = "change.configuration";
  Configuration built;
  Outcome outcome =
      AddAll(built, aNew.clientAccounts, path + ".members", AddClientAccount);
  if (outcome.accepted) {
    outcome = AddAll(built, aNew.services, path + ".services", AddService);
  }
  if (outcome.accepted) {
    outcome = AddAll(built, aNew.classes, path + ".classes", AddClass);
  }
  if (outcome.accepted) {
    outcome = AddAll(built, aNew.presets, path + ".presets", AddPreset);
  }
  if (outcome.accepted) {
    outcome = AddAll(built, aNew.hosts, path + ".hosts", AddHost);
  }
  if (outcome.accepted) {
    outcome =
        CheckDrainedTargets(aNew.drainedTargets, path + ".drained_targets");
  }
  if (!outcome.accepted) {
    return outcome;
  }
  if (aNew.presets.count(aNew.presetInForce) == 0 &&
      !(aNew.presets.empty() && aNew.presetInForce.empty())) {
    return Unknown(path + ".preset_in_force", "preset",
                   aNew.presetInForce.value);
  }
  outcome = CheckReplacedKeyOwners(aConfiguration, aNew);
  if (!outcome.accepted) {
    return outcome;
  }
  const bool firstOwners = aConfiguration.keyOwners.current.empty();
  const KeyOwners old = aConfiguration.keyOwners;
  aConfiguration = aNew;
  aConfiguration.keyOwners = old;
  if (firstOwners && !aNew.keyOwners.current.empty()) {
    aConfiguration.keyOwners.current = aNew.keyOwners.current;
    ++aConfiguration.keyOwners.generation;
  }
  return Accept();
}

struct ChangeApplier {
  Configuration& configuration;
  Version nextVersion;

  Outcome operator()(const SetService& aChange) {
    return AddService(this->configuration, aChange.service, "change.service");
  }

  Outcome operator()(const RemoveService& aChange) {
    for (const auto& [name, one] : this->configuration.classes) {
      if (one.service == aChange.service) {
        return Refuse(RefusalCode::InUse, "change.service",
                      "class \"" + name.value + "\" belongs to it");
      }
    }
    if (this->configuration.services.erase(aChange.service) == 0) {
      return Unknown("change.service", "service", aChange.service.value);
    }
    return Accept();
  }

  Outcome operator()(const SetClass& aChange) {
    return AddClass(this->configuration, aChange.serviceClass, "change.class");
  }

  Outcome operator()(const RemoveClass& aChange) {
    if (this->configuration.classes.erase(aChange.serviceClass) == 0) {
      return Unknown("change.class", "class", aChange.serviceClass.value);
    }
    return Accept();
  }

  Outcome operator()(const SetPreset& aChange) {
    return AddPreset(this->configuration, aChange.preset, "change.preset");
  }

  Outcome operator()(const RemovePreset& aChange) {
    if (this->configuration.presetInForce == aChange.preset) {
      return Refuse(RefusalCode::InUse, "change.preset",
                    "it is in force; use another preset first");
    }
    if (this->configuration.presets.erase(aChange.preset) == 0) {
      return Unknown("change.preset", "preset", aChange.preset.value);
    }
    return Accept();
  }

  Outcome operator()(const UsePreset& aChange) {
    if (this->configuration.presets.count(aChange.preset) == 0) {
      return Unknown("change.preset", "preset", aChange.preset.value);
    }
    this->configuration.presetInForce = aChange.preset;
    return Accept();
  }

  Outcome operator()(const SetClientAccount& aChange) {
    return AddClientAccount(this->configuration, aChange.clientAccount,
                            "change.member");
  }

  Outcome operator()(const RemoveClientAccount& aChange) {
    for (const auto& [name, service] : this->configuration.services) {
      if (service.clientAccount == aChange.clientAccount) {
        return Refuse(RefusalCode::InUse, "change.member",
                      "service \"" + name.value + "\" belongs to it");
      }
    }
    if (this->configuration.clientAccounts.erase(aChange.clientAccount) == 0) {
      return Unknown("change.member", "member", aChange.clientAccount.value);
    }
    return Accept();
  }

  Outcome operator()(const SetHost& aChange) {
    const Outcome added =
        AddHost(this->configuration, aChange.host, "change.host");
    // The change may move the last host out of a data centre that owns keys.
    return FirstRefusal(
        {added, this->CheckOwnersKeepHosts("change.host.data_centre")});
  }

  Outcome operator()(const RemoveHost& aChange) {
    if (this->configuration.hosts.erase(aChange.host) == 0) {
      return Unknown("change.host", "host", aChange.host.value);
    }
    return this->CheckOwnersKeepHosts("change.host");
  }

  Outcome operator()(const DrainHost& aChange) {
    const auto host = this->configuration.hosts.find(aChange.host);
    if (host == this->configuration.hosts.end()) {
      return Unknown("change.host", "host", aChange.host.value);
    }
    host->second.draining = aChange.draining;
    return Accept();
  }

  Outcome operator()(const DrainTarget& aChange) {
    if (!aChange.draining) {
      this->configuration.drainedTargets.erase(aChange.target);
      return Accept();
    }
    this->configuration.drainedTargets.insert(aChange.target);
    return CheckDrainedTargets(this->configuration.drainedTargets,
                               "change.target");
  }

  Outcome operator()(const SetKeyOwners& aChange) {
    return StartKeyOwnerChange(this->configuration, aChange, this->nextVersion);
  }

  Outcome operator()(const ActivateKeyOwners& aChange) {
    return ActivateKeyOwnerChange(this->configuration, aChange);
  }

  Outcome operator()(const Replace& aChange) {
    return ReplaceConfiguration(this->configuration, aChange.configuration);
  }

  Outcome CheckOwnersKeepHosts(const std::string& aField) {
    const std::set<DataCentreId> needed =
        OwnersWithHosts(this->configuration.keyOwners);
    Outcome outcome = CheckOwnersHaveHosts(this->configuration, needed, aField);
    if (!outcome.accepted) {
      outcome.code = RefusalCode::InUse;
      outcome.detail += ", which owns keys";
    }
    return outcome;
  }
};

}  // namespace

Outcome ApplyChange(Configuration& aConfiguration, const Change& aChange,
                    Version aNextVersion) {
  return std::visit(ChangeApplier{aConfiguration, aNextVersion}, aChange);
}

}  // namespace bramleypath::config::detail
