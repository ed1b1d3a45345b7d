#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"

namespace bramleypath::settings {

// The settings of one bramleypathd. docs/settings.md describes each key.

struct Listener {
  std::string address;
  std::uint32_t maxConnections = 0;
  // Size limit of one HTTP body or, on the listener for peers, of one message.
  std::uint64_t maxBodyBytes = 0;
  Duration idleTimeout;  // zero on the listener for peers: no timeout
};

struct Listeners {
  Listener callers{"", 4000, 1048576, Millis(60000)};
  Listener targets{"", 2000, 1048576, Millis(60000)};
  Listener peers{"", 128, 8388608, Millis(0)};
  Listener operators{"", 32, 4194304, Millis(60000)};
};

struct EntryHostSettings {
  HostId host;
  DataCentreId dataCentre;
  std::string peerAddress;
  bool hasDisk = false;
};

// The initial voters of the cell group of one data centre.
struct CellSettings {
  DataCentreId dataCentre;
  std::vector<HostId> voters;
  std::vector<HostId> witnesses;
};

struct Timings {
  Duration heartbeat = Millis(100);
  Duration electionMin = Millis(500);
  Duration electionMax = Millis(1000);
  Duration leaderLease = Millis(400);
  Duration digestEvery = Millis(2000);
  Duration loadBalancerDelay = Millis(5000);
  Duration drainDeadline = Millis(60000);
};

enum class LogLevel { Debug, Info, Warning, Error };

struct Logging {
  LogLevel level = LogLevel::Info;
  std::string file;
  std::uint64_t maxFileBytes = 16777216;
  std::uint32_t keptFiles = 4;
};

struct Settings {
  HostId host;
  DataCentreId dataCentre;
  bool hasDisk = false;
  std::string dataFolder;
  Listeners listeners;
  std::vector<EntryHostSettings> entryHosts;
  std::vector<HostId> configurationVoters;
  std::vector<CellSettings> cells;
  Timings timings;
  Logging logging;
};

enum class Severity { Warning, Error };

// An error or a warning about a settings file.
struct Fault {
  Severity severity = Severity::Error;
  std::string file;
  // Such as "listeners.callers.address"; empty for the file as a whole.
  std::string path;
  std::string reason;
};

// Formats a fault as "error: FILE: PATH: reason" or "warning: ...".
std::string ToString(const Fault& aFault);

struct Report {
  std::vector<Fault> faults;
};

bool HasErrors(const Report& aReport);

// Reads and checks a settings file and adds all its faults to aReport. Returns
// nothing when one of them is an error; warnings don't prevent the return.
std::optional<Settings> LoadSettings(const std::string& aFile, Report& aReport);

// Like LoadSettings, for a text that was read already; aFile is only used to
// name the file in faults.
std::optional<Settings> ParseSettings(std::string_view aText,
                                      const std::string& aFile,
                                      Report& aReport);

// The JSON Schema that settings are checked against.
std::string_view SettingsSchema();

// Both return null when the settings have no such entry.
const EntryHostSettings* FindEntryHost(const Settings& aSettings,
                                       const HostId& aHost);
const CellSettings* FindCell(const Settings& aSettings,
                             const DataCentreId& aDataCentre);

}  // namespace bramleypath::settings
