#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/config/Types.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::daemon {

using EntryHosts = std::map<HostId, config::EntryHost>;

// Names of the configuration group and of the cell groups.
constexpr const char* kConfigGroup = "config";
std::string CellGroup(const DataCentreId& aDataCentre);
// The data centre of a cell group's name; empty for another name.
DataCentreId DataCentreOfGroup(const std::string& aGroup);

std::vector<DataCentreId> DataCentres(const EntryHosts& aHosts);

// The entry hosts of the settings.
EntryHosts HostsOf(const settings::Settings& aSettings);

// The voters that the settings name for a group; empty for a group that they
// don't name.
std::vector<HostId> InitialVoters(const settings::Settings& aSettings,
                                  const std::string& aGroup);

// The voters that a group should have. While the hosts are those of the
// settings, the settings name the voters. After hosts were added or removed,
// the voters are derived from the hosts. The configuration group gets an odd
// number of voters, up to five hosts with a disk, spread evenly over the data
// centres. A cell group gets the local hosts with a disk, and if there are two
// of them, one witness in another data centre, so that the local hosts alone
// are a strict majority.
std::vector<HostId> DesiredVoters(const settings::Settings& aSettings,
                                  const EntryHosts& aHosts,
                                  const std::string& aGroup);

// Warnings for the operator about cells without local redundancy and about too
// few hosts with a disk.
std::vector<std::string> LayoutWarnings(const EntryHosts& aHosts);

}  // namespace bramleypath::daemon
