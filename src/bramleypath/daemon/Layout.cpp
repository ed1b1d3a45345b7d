#include "bramleypath/daemon/Layout.h"

#include <algorithm>
#include <set>

namespace bramleypath::daemon {

namespace {

constexpr std::size_t kMaxConfigVoters = 5;
constexpr const char* kCellPrefix = "cell-";

// The hosts of a data centre that have a disk, sorted by name.
std::vector<HostId> DiskHosts(const EntryHosts& aHosts,
                              const DataCentreId& aDataCentre) {
  std::vector<HostId> names;
  for (const auto& [name, host] : aHosts) {
    if (host.hasDisk && host.dataCentre == aDataCentre) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace

std::string CellGroup(const DataCentreId& aDataCentre) {
  return kCellPrefix + aDataCentre.value;
}

DataCentreId DataCentreOfGroup(const std::string& aGroup) {
  const std::string prefix = kCellPrefix;
  if (aGroup.compare(0, prefix.size(), prefix) != 0) {
    return DataCentreId();
  }
  return DataCentreId(aGroup.substr(prefix.size()));
}

std::vector<DataCentreId> DataCentres(const EntryHosts& aHosts) {
  std::set<DataCentreId> names;
  for (const auto& [name, host] : aHosts) {
    names.insert(host.dataCentre);
  }
  return {names.begin(), names.end()};
}

namespace {

// Picks up to aCount hosts, from each data centre in turn and at most
// aMaxPerDataCentre from one.
std::vector<HostId> TakeRoundRobin(
    const std::vector<std::vector<HostId>>& aPerDataCentre, std::size_t aCount,
    std::size_t aMaxPerDataCentre) {
  std::vector<HostId> taken;
  for (std::size_t round = 0; round < aMaxPerDataCentre; ++round) {
    for (const std::vector<HostId>& hosts : aPerDataCentre) {
      if (round < hosts.size() && taken.size() < aCount) {
        taken.push_back(hosts[round]);
      }
    }
  }
  return taken;
}

std::vector<HostId> ConfigVoters(const EntryHosts& aHosts) {
  std::vector<std::vector<HostId>> perDataCentre;
  for (const DataCentreId& dataCentre : DataCentres(aHosts)) {
    std::vector<HostId> hosts = DiskHosts(aHosts, dataCentre);
    if (!hosts.empty()) {
      perDataCentre.push_back(std::move(hosts));
    }
  }
  // With three or more data centres, none of them may hold a majority of the
  // voters, so that the group survives the loss of any data centre.
  constexpr std::size_t kMinDataCentresToSpread = 3;
  const bool spread = perDataCentre.size() >= kMinDataCentresToSpread;
  for (std::size_t count = kMaxConfigVoters; count > 1; count -= 2) {
    std::vector<HostId> voters =
        TakeRoundRobin(perDataCentre, count, spread ? count / 2 : count);
    if (voters.size() == count) {
      std::sort(voters.begin(), voters.end());
      return voters;
    }
  }
  return TakeRoundRobin(perDataCentre, 1, 1);
}

std::vector<HostId> CellVoters(const EntryHosts& aHosts,
                               const DataCentreId& aDataCentre) {
  std::vector<HostId> voters = DiskHosts(aHosts, aDataCentre);
  if (voters.size() != 2) {
    return voters;
  }
  // The witness is in the next data centre by name that has a disk, which
  // spreads the witnesses of several cells.
  const std::vector<DataCentreId> all = DataCentres(aHosts);
  const auto self = std::find(all.begin(), all.end(), aDataCentre);
  const std::size_t start = static_cast<std::size_t>(self - all.begin());
  for (std::size_t step = 1; step < all.size(); ++step) {
    const std::vector<HostId> other =
        DiskHosts(aHosts, all[(start + step) % all.size()]);
    if (!other.empty()) {
      voters.push_back(other.front());
      break;
    }
  }
  return voters;
}

bool AreSameHosts(const settings::Settings& aSettings,
                  const EntryHosts& aHosts) {
  return aSettings.entryHosts.size() == aHosts.size() &&
         std::all_of(aSettings.entryHosts.begin(), aSettings.entryHosts.end(),
                     [&aHosts](const settings::EntryHostSettings& aHost) {
                       return aHosts.count(aHost.host) != 0;
                     });
}

}  // namespace

EntryHosts HostsOf(const settings::Settings& aSettings) {
  EntryHosts hosts;
  for (const settings::EntryHostSettings& entry : aSettings.entryHosts) {
    config::EntryHost& host = hosts[entry.host];
    host.name = entry.host;
    host.dataCentre = entry.dataCentre;
    host.addresses.peers = entry.peerAddress;
    host.hasDisk = entry.hasDisk;
  }
  return hosts;
}

std::vector<HostId> InitialVoters(const settings::Settings& aSettings,
                                  const std::string& aGroup) {
  if (aGroup == kConfigGroup) {
    return aSettings.configurationVoters;
  }
  const settings::CellSettings* const cell =
      settings::FindCell(aSettings, DataCentreOfGroup(aGroup));
  if (!cell) {
    return {};
  }
  std::vector<HostId> voters = cell->voters;
  voters.insert(voters.end(), cell->witnesses.begin(), cell->witnesses.end());
  return voters;
}

std::vector<HostId> DesiredVoters(const settings::Settings& aSettings,
                                  const EntryHosts& aHosts,
                                  const std::string& aGroup) {
  if (AreSameHosts(aSettings, aHosts)) {
    return InitialVoters(aSettings, aGroup);
  }
  return aGroup == kConfigGroup ? ConfigVoters(aHosts)
                                : CellVoters(aHosts, DataCentreOfGroup(aGroup));
}

std::vector<std::string> LayoutWarnings(const EntryHosts& aHosts) {
  std::vector<std::string> warnings;
  for (const DataCentreId& dataCentre : DataCentres(aHosts)) {
    const std::size_t disks = DiskHosts(aHosts, dataCentre).size();
    if (disks == 0) {
      warnings.push_back("data centre " + dataCentre.value +
                         " has no entry host with a disk: it has no cell");
    } else if (disks == 1) {
      warnings.push_back("data centre " + dataCentre.value +
                         " has one entry host with a disk: its cell has no "
                         "local redundancy");
    }
  }
  constexpr std::size_t kMinConfigVoters = 3;
  if (ConfigVoters(aHosts).size() < kMinConfigVoters) {
    warnings.push_back(
        "fewer than three entry hosts with a disk: the configuration group "
        "does not survive the loss of a host");
  }
  return warnings;
}

}  // namespace bramleypath::daemon
