#include "bramleypath/settings/Deployment.h"

#include <map>

namespace bramleypath::settings {

namespace {

bool Equal(Duration aLeft, Duration aRight) { return aLeft == aRight; }

bool Equal(const EntryHostSettings& aLeft, const EntryHostSettings& aRight) {
  return aLeft.host == aRight.host && aLeft.dataCentre == aRight.dataCentre &&
         aLeft.peerAddress == aRight.peerAddress &&
         aLeft.hasDisk == aRight.hasDisk;
}

bool Equal(const CellSettings& aLeft, const CellSettings& aRight) {
  return aLeft.dataCentre == aRight.dataCentre &&
         aLeft.voters == aRight.voters && aLeft.witnesses == aRight.witnesses;
}

template <typename T>
bool EqualLists(const std::vector<T>& aLeft, const std::vector<T>& aRight) {
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  for (std::size_t index = 0; index < aLeft.size(); ++index) {
    if (!Equal(aLeft[index], aRight[index])) {
      return false;
    }
  }
  return true;
}

bool EqualTimings(const Timings& aLeft, const Timings& aRight) {
  return Equal(aLeft.heartbeat, aRight.heartbeat) &&
         Equal(aLeft.electionMin, aRight.electionMin) &&
         Equal(aLeft.electionMax, aRight.electionMax) &&
         Equal(aLeft.leaderLease, aRight.leaderLease) &&
         Equal(aLeft.digestEvery, aRight.digestEvery) &&
         Equal(aLeft.loadBalancerDelay, aRight.loadBalancerDelay) &&
         Equal(aLeft.drainDeadline, aRight.drainDeadline);
}

void CompareWithFirst(const NamedSettings& aFirst, const NamedSettings& aOther,
                      Report& aReport) {
  const Settings& first = aFirst.settings;
  const Settings& other = aOther.settings;
  const std::pair<const char*, bool> rows[] = {
      {"entry_hosts", EqualLists(first.entryHosts, other.entryHosts)},
      {"configuration_voters",
       first.configurationVoters == other.configurationVoters},
      {"cells", EqualLists(first.cells, other.cells)},
      {"timings", EqualTimings(first.timings, other.timings)}};
  for (const auto& [path, equal] : rows) {
    if (!equal) {
      aReport.faults.push_back(Fault{Severity::Error, aOther.file, path,
                                     "differs from " + aFirst.file});
    }
  }
}

// A field of a host that the configuration and the settings must agree on.
struct ComparedField {
  const char* name;
  const std::string& inConfiguration;
  const std::string& inSettings;
};

}  // namespace

void CheckTogether(const std::vector<NamedSettings>& aSettings,
                   Report& aReport) {
  if (aSettings.empty()) {
    return;
  }
  std::map<HostId, std::string> files;
  for (const NamedSettings& one : aSettings) {
    const auto [other, isNew] = files.emplace(one.settings.host, one.file);
    if (!isNew) {
      aReport.faults.push_back(
          Fault{Severity::Error, one.file, "host",
                "is the same host as in " + other->second});
    }
    CompareWithFirst(aSettings.front(), one, aReport);
  }
  for (const EntryHostSettings& host : aSettings.front().settings.entryHosts) {
    if (files.count(host.host) == 0) {
      aReport.faults.push_back(Fault{
          Severity::Error, aSettings.front().file, "entry_hosts",
          "no settings file was given for host \"" + host.host.value + "\""});
    }
  }
}

void CheckConfiguration(const config::Configuration& aConfiguration,
                        const std::string& aConfigurationFile,
                        const std::vector<NamedSettings>& aSettings,
                        Report& aReport) {
  const auto fault = [&](const std::string& aPath, std::string aReason) {
    aReport.faults.push_back(
        Fault{Severity::Error, aConfigurationFile, aPath, std::move(aReason)});
  };
  std::map<HostId, const NamedSettings*> known;
  for (const NamedSettings& one : aSettings) {
    known.emplace(one.settings.host, &one);
    if (aConfiguration.hosts.count(one.settings.host) == 0) {
      fault("hosts",
            "lacks host \"" + one.settings.host.value + "\" of " + one.file);
    }
  }
  for (const auto& [name, host] : aConfiguration.hosts) {
    const std::string path = "hosts[" + name.value + "]";
    const auto found = known.find(name);
    if (found == known.end()) {
      fault(path, "no settings file was given for it");
      continue;
    }
    const Settings& settings = found->second->settings;
    const std::string& file = found->second->file;
    const Listeners& listeners = settings.listeners;
    const ComparedField rows[] = {
        {"data_centre", host.dataCentre.value, settings.dataCentre.value},
        {"addresses.callers", host.addresses.callers,
         listeners.callers.address},
        {"addresses.targets", host.addresses.targets,
         listeners.targets.address},
        {"addresses.peers", host.addresses.peers, listeners.peers.address},
        {"addresses.operators", host.addresses.operators,
         listeners.operators.address}};
    for (const ComparedField& row : rows) {
      if (row.inConfiguration != row.inSettings) {
        fault(path + "." + row.name, "is \"" + row.inConfiguration +
                                         "\", but " + file + " says \"" +
                                         row.inSettings + "\"");
      }
    }
    if (host.hasDisk != settings.hasDisk) {
      fault(path + ".has_disk", "differs from " + file);
    }
  }
}

}  // namespace bramleypath::settings
