#pragma once

#include <string>
#include <vector>

#include "bramleypath/config/Types.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings {

struct NamedSettings {
  std::string file;
  Settings settings;
};

// Checks that the settings of several hosts fit together: each entry host has
// exactly one file, and what must be the same on every host is.
void CheckTogether(const std::vector<NamedSettings>& aSettings,
                   Report& aReport);

// Checks that a first configuration describes the same entry hosts with the
// same addresses.
void CheckConfiguration(const config::Configuration& aConfiguration,
                        const std::string& aConfigurationFile,
                        const std::vector<NamedSettings>& aSettings,
                        Report& aReport);

}  // namespace bramleypath::settings
