#pragma once

#include <string>
#include <vector>

#include "bramleypath/config/Types.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::settings {

// The settings of one host and the file that they were read from.
struct NamedSettings {
  std::string file;
  Settings settings;
};

// Checks that the settings of all entry hosts are consistent: each host has
// exactly one file, and all files list the same entry hosts, voters, cells and
// timings.
void CheckTogether(const std::vector<NamedSettings>& aSettings,
                   Report& aReport);

// Checks that the first configuration of a deployment lists the same entry
// hosts as the settings, with the same data centres, addresses and disks.
void CheckConfiguration(const config::Configuration& aConfiguration,
                        const std::string& aConfigurationFile,
                        const std::vector<NamedSettings>& aSettings,
                        Report& aReport);

}  // namespace bramleypath::settings
