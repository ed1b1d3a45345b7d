#include "bramleypath/settings/Settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/settings/internal/Consistency.h"
#include "bramleypath/settings/internal/Schema.h"

namespace bramleypath::settings {

namespace {

// Visits a duration that JSON holds as a number of milliseconds.
template <typename Visitor>
void VisitMillis(Visitor& aVisitor, const char* aName, Duration& aLength) {
  std::int64_t millis = ToMillis(aLength);
  aVisitor.Optional(aName, millis);
  aLength = Millis(millis);
}

}  // namespace

// The listener for peers has no idle timeout and limits messages, not bodies.
template <typename Visitor>
void VisitFields(Visitor& aVisitor, Listener& aValue) {
  aVisitor.Required("address", aValue.address);
  aVisitor.Optional("max_connections", aValue.maxConnections);
  const bool isPeers = ToMillis(aValue.idleTimeout) == 0;
  aVisitor.Optional(isPeers ? "max_message_bytes" : "max_body_bytes",
                    aValue.maxBodyBytes);
  if (!isPeers) {
    VisitMillis(aVisitor, "idle_timeout_ms", aValue.idleTimeout);
  }
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Listeners& aValue) {
  aVisitor.Required("callers", aValue.callers);
  aVisitor.Required("targets", aValue.targets);
  aVisitor.Required("peers", aValue.peers);
  aVisitor.Required("operators", aValue.operators);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, EntryHostSettings& aValue) {
  aVisitor.Required("host", aValue.host);
  aVisitor.Required("data_centre", aValue.dataCentre);
  aVisitor.Required("peer_address", aValue.peerAddress);
  aVisitor.Optional("has_disk", aValue.hasDisk);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, CellSettings& aValue) {
  aVisitor.Required("data_centre", aValue.dataCentre);
  aVisitor.Required("voters", aValue.voters);
  aVisitor.Optional("witnesses", aValue.witnesses);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Timings& aValue) {
  VisitMillis(aVisitor, "heartbeat_ms", aValue.heartbeat);
  VisitMillis(aVisitor, "election_min_ms", aValue.electionMin);
  VisitMillis(aVisitor, "election_max_ms", aValue.electionMax);
  VisitMillis(aVisitor, "leader_lease_ms", aValue.leaderLease);
  VisitMillis(aVisitor, "digest_every_ms", aValue.digestEvery);
  VisitMillis(aVisitor, "load_balancer_delay_ms", aValue.loadBalancerDelay);
  VisitMillis(aVisitor, "drain_deadline_ms", aValue.drainDeadline);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Logging& aValue) {
  constexpr const char* kLevels[] = {"debug", "info", "warning", "error"};
  std::string level = kLevels[static_cast<std::size_t>(aValue.level)];
  aVisitor.Optional("level", level);
  const auto found = std::find(std::begin(kLevels), std::end(kLevels), level);
  if (found != std::end(kLevels)) {
    aValue.level = static_cast<LogLevel>(found - std::begin(kLevels));
  }
  aVisitor.Optional("file", aValue.file);
  aVisitor.Optional("max_file_bytes", aValue.maxFileBytes);
  aVisitor.Optional("kept_files", aValue.keptFiles);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, Settings& aValue) {
  aVisitor.Required("host", aValue.host);
  aVisitor.Required("data_centre", aValue.dataCentre);
  aVisitor.Optional("has_disk", aValue.hasDisk);
  aVisitor.Optional("data_folder", aValue.dataFolder);
  aVisitor.Required("listeners", aValue.listeners);
  aVisitor.Required("entry_hosts", aValue.entryHosts);
  aVisitor.Required("configuration_voters", aValue.configurationVoters);
  aVisitor.Required("cells", aValue.cells);
  aVisitor.Optional("timings", aValue.timings);
  aVisitor.Optional("logging", aValue.logging);
}

std::string ToString(const Fault& aFault) {
  std::string text =
      aFault.severity == Severity::Error ? "error: " : "warning: ";
  text += aFault.file + ": ";
  if (!aFault.path.empty()) {
    text += aFault.path + ": ";
  }
  return text + aFault.reason;
}

bool HasErrors(const Report& aReport) {
  return std::any_of(
      aReport.faults.begin(), aReport.faults.end(),
      [](const Fault& aOne) { return aOne.severity == Severity::Error; });
}

std::optional<Settings> ParseSettings(std::string_view aText,
                                      const std::string& aFile,
                                      Report& aReport) {
  const auto fail = [&](const std::string& aPath, const std::string& aReason) {
    aReport.faults.push_back(Fault{Severity::Error, aFile, aPath, aReason});
    return std::nullopt;
  };
  codec::Json document;
  try {
    document = codec::Json::parse(aText, nullptr, true, true);
  } catch (const codec::Json::parse_error& error) {
    // The text of the exception gives the line and column.
    return fail("", std::string("is not valid JSON: ") + error.what());
  }
  Report fileReport;
  detail::CheckSchema(document, aFile, fileReport);
  Settings settings;
  // Settings that violate the schema can't be checked further. Unknown keys are
  // no obstacle, since CheckSchema has removed them.
  const bool conforms =
      std::none_of(fileReport.faults.begin(), fileReport.faults.end(),
                   [](const Fault& aOne) {
                     return aOne.reason.rfind("unknown key", 0) != 0;
                   });
  codec::FieldError error;
  if (conforms && codec::FromJson(document, "", settings, error)) {
    detail::CheckConsistency(settings, aFile, fileReport);
  } else if (conforms) {
    fileReport.faults.push_back(
        Fault{Severity::Error, aFile, error.field, error.detail});
  }
  aReport.faults.insert(aReport.faults.end(), fileReport.faults.begin(),
                        fileReport.faults.end());
  if (HasErrors(fileReport)) {
    return std::nullopt;
  }
  return settings;
}

std::optional<Settings> LoadSettings(const std::string& aFile,
                                     Report& aReport) {
  std::ifstream stream(aFile);
  const std::string text{std::istreambuf_iterator<char>(stream),
                         std::istreambuf_iterator<char>()};
  if (!stream) {
    aReport.faults.push_back(
        Fault{Severity::Error, aFile, "", "can't be read"});
    return std::nullopt;
  }
  return ParseSettings(text, aFile, aReport);
}

std::string_view SettingsSchema() { return detail::SchemaText(); }

const EntryHostSettings* FindEntryHost(const Settings& aSettings,
                                       const HostId& aHost) {
  for (const EntryHostSettings& host : aSettings.entryHosts) {
    if (host.host == aHost) {
      return &host;
    }
  }
  return nullptr;
}

const CellSettings* FindCell(const Settings& aSettings,
                             const DataCentreId& aDataCentre) {
  for (const CellSettings& cell : aSettings.cells) {
    if (cell.dataCentre == aDataCentre) {
      return &cell;
    }
  }
  return nullptr;
}

}  // namespace bramleypath::settings
