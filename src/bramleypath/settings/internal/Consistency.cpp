#include "bramleypath/settings/internal/Consistency.h"

#include <algorithm>
#include <map>
#include <set>

#include "bramleypath/config/Address.h"

namespace bramleypath::settings::detail {

namespace {

// Size limit of the headers of a forwarded call and of the peer message that
// carries it.
constexpr std::uint64_t kForwardOverheadBytes = 64 * 1024;
// A leader's lease must have expired by every host's clock before another
// election can start. Clock rates are off by at most 1% each, so ending the
// lease a tenth earlier leaves a margin.
constexpr std::int64_t kMaxLeasePercentOfElection = 90;
// Heartbeats within the shortest election timeout: the loss of two of them must
// not start an election.
constexpr std::int64_t kMinHeartbeatsPerElection = 3;

std::string Quoted(const std::string& aText) { return "\"" + aText + "\""; }

std::string Item(const std::string& aPath, std::size_t aIndex) {
  return aPath + "[" + std::to_string(aIndex) + "]";
}

struct Checker {
  const Settings& settings;
  const std::string& file;
  Report& report;

  void Error(const std::string& aPath, std::string aReason) {
    this->report.faults.push_back(
        Fault{Severity::Error, this->file, aPath, std::move(aReason)});
  }

  void Warn(const std::string& aPath, std::string aReason) {
    this->report.faults.push_back(
        Fault{Severity::Warning, this->file, aPath, std::move(aReason)});
  }

  bool CheckAddress(const std::string& aText, const std::string& aPath) {
    const auto address = config::ParseAddress(aText);
    if (!address) {
      this->Error(aPath, Quoted(aText) +
                             " is not an IP address with a port, such as "
                             "10.0.0.1:7100");
      return false;
    }
    if (address->ip == "0.0.0.0" || address->ip == "::") {
      this->Error(aPath, "must name one address of the host, not all of them");
      return false;
    }
    return true;
  }

  void CheckListeners() {
    const Listeners& all = this->settings.listeners;
    const std::pair<const char*, const Listener*> rows[] = {
        {"listeners.callers", &all.callers},
        {"listeners.targets", &all.targets},
        {"listeners.peers", &all.peers},
        {"listeners.operators", &all.operators}};
    std::map<std::string, std::string> used;
    for (const auto& [name, listener] : rows) {
      const std::string path = std::string(name) + ".address";
      if (!this->CheckAddress(listener->address, path)) {
        continue;
      }
      const auto [other, isNew] = used.emplace(listener->address, path);
      if (!isNew) {
        this->Error(path, "is the same as " + other->second);
      }
    }
    const std::uint64_t needed =
        all.callers.maxBodyBytes + kForwardOverheadBytes;
    if (all.peers.maxBodyBytes < needed) {
      this->Error("listeners.peers.max_message_bytes",
                  "must be at least " + std::to_string(needed) +
                      ", so that a call of listeners.callers.max_body_bytes "
                      "can be forwarded");
    }
  }

  void CheckEntryHosts() {
    std::map<HostId, std::size_t> names;
    std::map<std::string, std::size_t> addresses;
    const auto& hosts = this->settings.entryHosts;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
      const std::string path = Item("entry_hosts", index);
      if (!names.emplace(hosts[index].host, index).second) {
        this->Error(path + ".host",
                    Quoted(hosts[index].host.value) + " is listed twice");
      }
      if (this->CheckAddress(hosts[index].peerAddress,
                             path + ".peer_address") &&
          !addresses.emplace(hosts[index].peerAddress, index).second) {
        this->Error(path + ".peer_address",
                    Quoted(hosts[index].peerAddress) + " is used twice");
      }
    }
  }

  void CheckOwnHost() {
    const EntryHostSettings* const own =
        FindEntryHost(this->settings, this->settings.host);
    if (own == nullptr) {
      this->Error("host", Quoted(this->settings.host.value) +
                              " is not listed in entry_hosts");
      return;
    }
    if (own->dataCentre != this->settings.dataCentre) {
      this->Error("data_centre", "entry_hosts says " +
                                     Quoted(own->dataCentre.value) +
                                     " for this host");
    }
    if (own->peerAddress != this->settings.listeners.peers.address) {
      this->Error(
          "listeners.peers.address",
          "entry_hosts says " + Quoted(own->peerAddress) + " for this host");
    }
    if (own->hasDisk != this->settings.hasDisk) {
      this->Error("has_disk", std::string("entry_hosts says ") +
                                  (own->hasDisk ? "true" : "false") +
                                  " for this host");
    }
    const bool absolute = !this->settings.dataFolder.empty() &&
                          this->settings.dataFolder.front() == '/';
    if (this->settings.hasDisk && !absolute) {
      this->Error("data_folder",
                  "must be an absolute path, since has_disk is true");
    }
  }

  // Returns the entry host of a voter. Adds an error and returns null when it
  // is not listed or has no disk.
  const EntryHostSettings* CheckVoter(const HostId& aHost,
                                      const std::string& aPath) {
    const EntryHostSettings* const host = FindEntryHost(this->settings, aHost);
    if (host == nullptr) {
      this->Error(aPath, Quoted(aHost.value) + " is not listed in entry_hosts");
      return nullptr;
    }
    if (!host->hasDisk) {
      this->Error(aPath, Quoted(aHost.value) +
                             " has no disk, and only hosts with a disk vote");
      return nullptr;
    }
    return host;
  }

  void CheckDistinct(const std::vector<HostId>& aHosts,
                     const std::string& aPath) {
    std::set<HostId> seen;
    for (std::size_t index = 0; index < aHosts.size(); ++index) {
      if (!seen.insert(aHosts[index]).second) {
        this->Error(Item(aPath, index),
                    Quoted(aHosts[index].value) + " is listed twice");
      }
    }
  }

  std::set<DataCentreId> DataCentres() const {
    std::set<DataCentreId> centres;
    for (const EntryHostSettings& host : this->settings.entryHosts) {
      centres.insert(host.dataCentre);
    }
    return centres;
  }

  void CheckConfigurationVoters() {
    const std::string path = "configuration_voters";
    const auto& voters = this->settings.configurationVoters;
    std::map<DataCentreId, std::size_t> perCentre;
    this->CheckDistinct(voters, path);
    for (std::size_t index = 0; index < voters.size(); ++index) {
      const auto* const host =
          this->CheckVoter(voters[index], Item(path, index));
      if (host != nullptr) {
        ++perCentre[host->dataCentre];
      }
    }
    if (voters.size() < 3) {
      this->Warn(path,
                 "with fewer than 3 voters, the loss of one host stops "
                 "configuration changes");
    } else if (voters.size() % 2 == 0) {
      this->Warn(path,
                 "an even number of voters tolerates no more losses "
                 "than one voter less");
    }
    for (const auto& [centre, count] : perCentre) {
      if (count * 2 >= voters.size() && this->DataCentres().size() > 1) {
        this->Warn(path, "the loss of data centre " + Quoted(centre.value) +
                             " stops configuration changes, since it has " +
                             std::to_string(count) + " of " +
                             std::to_string(voters.size()) + " voters");
      }
    }
  }

  void CheckCellVoters(const CellSettings& aCell, const std::string& aPath) {
    this->CheckDistinct(aCell.voters, aPath + ".voters");
    this->CheckDistinct(aCell.witnesses, aPath + ".witnesses");
    for (std::size_t index = 0; index < aCell.voters.size(); ++index) {
      const std::string path = Item(aPath + ".voters", index);
      const auto* const host = this->CheckVoter(aCell.voters[index], path);
      if (host != nullptr && host->dataCentre != aCell.dataCentre) {
        this->Error(path, Quoted(host->host.value) + " is in data centre " +
                              Quoted(host->dataCentre.value) +
                              "; list it under witnesses");
      }
    }
    for (std::size_t index = 0; index < aCell.witnesses.size(); ++index) {
      const std::string path = Item(aPath + ".witnesses", index);
      const auto* const host = this->CheckVoter(aCell.witnesses[index], path);
      if (host != nullptr && host->dataCentre == aCell.dataCentre) {
        this->Error(path, Quoted(host->host.value) +
                              " is in the data centre of the cell; list it "
                              "under voters");
      }
    }
  }

  void CheckCellQuorum(const CellSettings& aCell, const std::string& aPath) {
    const std::size_t voters = aCell.voters.size();
    const std::size_t witnesses = aCell.witnesses.size();
    if (witnesses >= voters) {
      this->Error(aPath + ".witnesses",
                  "at most " + std::to_string(voters - 1) + " allowed with " +
                      std::to_string(voters) +
                      " local voters, or the cell stops when its data centre "
                      "is cut off");
    } else if (voters == 1) {
      this->Warn(aPath + ".voters",
                 "the cell of " + Quoted(aCell.dataCentre.value) +
                     " has one voter and so no local redundancy");
    } else if (voters == 2 && witnesses == 0) {
      this->Warn(aPath + ".witnesses",
                 "the cell of " + Quoted(aCell.dataCentre.value) +
                     " stops when one of its 2 voters is lost; add 1 witness");
    }
  }

  void CheckCells() {
    std::set<DataCentreId> seen;
    const std::set<DataCentreId> centres = this->DataCentres();
    const auto& cells = this->settings.cells;
    for (std::size_t index = 0; index < cells.size(); ++index) {
      const std::string path = Item("cells", index);
      const DataCentreId& centre = cells[index].dataCentre;
      if (!seen.insert(centre).second) {
        this->Error(path + ".data_centre",
                    Quoted(centre.value) + " is listed twice");
      }
      if (centres.count(centre) == 0) {
        this->Error(path + ".data_centre",
                    "no entry host is in " + Quoted(centre.value));
      }
      this->CheckCellVoters(cells[index], path);
      this->CheckCellQuorum(cells[index], path);
    }
    for (const DataCentreId& centre : centres) {
      if (seen.count(centre) == 0) {
        this->Error("cells", "data centre " + Quoted(centre.value) +
                                 " has entry hosts and no cell");
      }
    }
  }

  void CheckDisks() {
    std::map<DataCentreId, std::pair<std::size_t, std::size_t>> counts;
    for (const EntryHostSettings& host : this->settings.entryHosts) {
      auto& [hosts, disks] = counts[host.dataCentre];
      ++hosts;
      disks += host.hasDisk ? 1 : 0;
    }
    for (const auto& [centre, count] : counts) {
      const auto& [hosts, disks] = count;
      if (disks == 0) {
        this->Error("entry_hosts", "data centre " + Quoted(centre.value) +
                                       " has no entry host with a disk, so "
                                       "its cell can't have a voter");
      } else if (disks == 1 && hosts > 1) {
        this->Warn("entry_hosts", "data centre " + Quoted(centre.value) +
                                      " has " + std::to_string(hosts) +
                                      " entry hosts and one disk, so its "
                                      "cell has no local redundancy");
      }
    }
  }

  void CheckTimings() {
    const Timings& timings = this->settings.timings;
    const auto ms = [](Duration aLength) {
      return std::to_string(ToMillis(aLength));
    };
    if (!(timings.electionMin < timings.electionMax)) {
      this->Error(
          "timings.election_max_ms",
          "must be above election_min_ms, which is " + ms(timings.electionMin));
    }
    if (timings.electionMin < timings.heartbeat * kMinHeartbeatsPerElection) {
      this->Error("timings.heartbeat_ms",
                  "must be at most a third of election_min_ms, which is " +
                      ms(timings.electionMin));
    }
    if (timings.electionMin.micros * kMaxLeasePercentOfElection <
        timings.leaderLease.micros * 100) {
      this->Error("timings.leader_lease_ms",
                  "must be at most 90% of election_min_ms, which is " +
                      ms(timings.electionMin) +
                      ", or two leaders could act at one time");
    }
    if (timings.leaderLease < timings.heartbeat * 2) {
      this->Error("timings.leader_lease_ms",
                  "must be at least twice heartbeat_ms, which is " +
                      ms(timings.heartbeat));
    }
    if (timings.drainDeadline < timings.loadBalancerDelay) {
      this->Error("timings.drain_deadline_ms",
                  "must be at least load_balancer_delay_ms, which is " +
                      ms(timings.loadBalancerDelay));
    }
  }

  void CheckLogging() {
    const std::string& path = this->settings.logging.file;
    if (!path.empty() && path.front() != '/') {
      this->Error("logging.file", "must be an absolute path or empty");
    }
  }
};

}  // namespace

void CheckConsistency(const Settings& aSettings, const std::string& aFile,
                      Report& aReport) {
  Checker checker{aSettings, aFile, aReport};
  checker.CheckListeners();
  checker.CheckEntryHosts();
  checker.CheckOwnHost();
  checker.CheckConfigurationVoters();
  checker.CheckCells();
  checker.CheckDisks();
  checker.CheckTimings();
  checker.CheckLogging();
}

}  // namespace bramleypath::settings::detail
