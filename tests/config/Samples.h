#pragma once

#include <string>
#include <utility>

#include "bramleypath/config/State.h"

namespace bramleypath::config {

inline Command MakeCommand(const std::string& aId, Version aExpected,
                           Change aChange) {
  return Command{RequestId{aId}, aExpected, std::move(aChange)};
}

inline Preset MakePreset(const std::string& aName,
                         std::uint32_t aTailLatency = 1) {
  Preset preset;
  preset.name = PresetId{aName};
  preset.weights.tailLatency = aTailLatency;
  return preset;
}

inline EntryHost MakeHost(const std::string& aName, const std::string& aCentre,
                          int aNumber) {
  const std::string ip = "10.0.0." + std::to_string(aNumber);
  return EntryHost{HostId{aName},
                   DataCentreId{aCentre},
                   {ip + ":7100", ip + ":7101", ip + ":7102", ip + ":7103"},
                   true,
                   false};
}

// Hosts a1, a2 in data centre a and b1 in b, one service with one class, one
// client account and two presets.
inline Configuration SampleConfiguration() {
  Configuration configuration;
  for (const auto& [name, centre, number] :
       {std::tuple{"a1", "a", 1}, {"a2", "a", 2}, {"b1", "b", 3}}) {
    configuration.hosts[HostId{name}] = MakeHost(name, centre, number);
  }
  const ClientAccountId clientAccount{"m"};
  configuration.clientAccounts[clientAccount] =
      ClientAccount{clientAccount, 2, {1000, 1000, 0, 10}};
  const ServiceId service{"s"};
  configuration.services[service] = Service{service, clientAccount, 8, 60};
  const ClassId name{"c"};
  configuration.classes[name] = ServiceClass{name, service, 3, 50, true};
  for (const char* const preset : {"ordinary", "peak"}) {
    configuration.presets[PresetId{preset}] = MakePreset(preset);
  }
  configuration.presetInForce = PresetId{"ordinary"};
  configuration.keyOwners.current = {DataCentreId{"a"}, DataCentreId{"b"}};
  return configuration;
}

// A state at version 1 that holds the sample configuration.
inline ConfigState SampleState() {
  ConfigState state;
  Apply(state, MakeCommand("first", 0, Replace{SampleConfiguration()}));
  return state;
}

}  // namespace bramleypath::config
