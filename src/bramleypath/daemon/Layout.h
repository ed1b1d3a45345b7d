#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/config/Types.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::daemon {

using Hosts = std::map<HostId, config::EntryHost>;

// The groups and their names.
constexpr const char* kConfigGroup = "config";
std::string CellGroup(const DataCentreId& aDataCentre);
// The data centre of a cell group's name; empty for another name.
DataCentreId DataCentreOfGroup(const std::string& aGroup);

std::vector<DataCentreId> DataCentres(const Hosts& aHosts);

// The entry hosts of the settings.
Hosts HostsOf(const settings::Settings& aSettings);

// The first voters of a group; empty for a group that the settings don't name.
std::vector<HostId> FirstVoters(const settings::Settings& aSettings,
                                const std::string& aGroup);

// The voters that a group should have. While the hosts are those of the
// settings, the settings name them. After hosts were added or removed they
// follow from the hosts: in the configuration group up to five with a disk,
// spread evenly over the data centres, an odd number; in a cell group the local
// ones with a disk, and for two of them one witness elsewhere, so that the
// local hosts alone are a strict majority.
std::vector<HostId> WantedVoters(const settings::Settings& aSettings,
                                 const Hosts& aHosts,
                                 const std::string& aGroup);

// What an operator should know: cells without local redundancy, too few disks.
std::vector<std::string> LayoutWarnings(const Hosts& aHosts);

}  // namespace bramleypath::daemon
