#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/config/Types.h"

namespace bramleypath::daemon {

using Hosts = std::map<HostId, config::EntryHost>;

// The groups and their names.
constexpr const char* kConfigGroup = "config";
std::string CellGroup(const DataCentreId& aDataCentre);
// The data centre of a cell group's name; empty for another name.
DataCentreId DataCentreOfGroup(const std::string& aGroup);

std::vector<DataCentreId> DataCentres(const Hosts& aHosts);

// The hosts that vote in the configuration group: up to five with a disk,
// spread evenly over the data centres, an odd number of them.
std::vector<HostId> ConfigVoters(const Hosts& aHosts);

// The hosts that vote in a cell group: the local ones with a disk, and for two
// of them one witness elsewhere, so that the local hosts alone are a strict
// majority.
std::vector<HostId> CellVoters(const Hosts& aHosts,
                               const DataCentreId& aDataCentre);

// The voters of any group by its name.
std::vector<HostId> VotersOf(const Hosts& aHosts, const std::string& aGroup);

// What an operator should know: cells without local redundancy, too few disks.
std::vector<std::string> LayoutWarnings(const Hosts& aHosts);

}  // namespace bramleypath::daemon
