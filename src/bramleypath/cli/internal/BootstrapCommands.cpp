#include <utility>

#include "bramleypath/cli/internal/Commands.h"
#include "bramleypath/config/Codec.h"
#include "bramleypath/settings/Deployment.h"
#include "bramleypath/settings/Settings.h"

namespace bramleypath::cli::detail {

namespace {

void AddFault(settings::Report& aReport, const std::string& aFile,
              std::string aPath, std::string aReason) {
  aReport.faults.push_back(settings::Fault{
      settings::Severity::Error, aFile, std::move(aPath), std::move(aReason)});
}

void CheckConfigurationFile(
    const Session& aSession, const std::string& aFile,
    const std::vector<settings::NamedSettings>& aSettings,
    settings::Report& aReport) {
  const auto text = aSession.environment.readFile(aFile);
  if (!text) {
    AddFault(aReport, aFile, "", "can't be read");
    return;
  }
  config::JsonReason reason;
  const auto configuration = config::ConfigurationFromJson(*text, reason);
  if (!configuration) {
    AddFault(aReport, aFile, reason.field, reason.detail);
    return;
  }
  const config::Outcome outcome = config::CheckConfiguration(*configuration);
  if (!outcome.accepted) {
    AddFault(aReport, aFile, outcome.field, outcome.detail);
  }
  settings::CheckConfiguration(*configuration, aFile, aSettings, aReport);
}

void PrintReport(const Session& aSession, const settings::Report& aReport,
                 std::size_t aFiles) {
  if (aSession.json) {
    Json faults = Json::array();
    for (const settings::Fault& fault : aReport.faults) {
      const bool isError = fault.severity == settings::Severity::Error;
      faults.push_back(Json{{"severity", isError ? "error" : "warning"},
                            {"file", fault.file},
                            {"path", fault.path},
                            {"reason", fault.reason}});
    }
    PrintJson(aSession, Json{{"faults", faults}});
    return;
  }
  for (const settings::Fault& fault : aReport.faults) {
    aSession.environment.err << settings::ToString(fault) << "\n";
  }
  if (!settings::HasErrors(aReport)) {
    aSession.environment.out << aFiles << " settings files fit together\n";
  }
}

}  // namespace

ExitCode BootstrapCheck(const Session& aSession) {
  settings::Report report;
  std::vector<settings::NamedSettings> all;
  for (const std::string& file : aSession.arguments.operands) {
    const auto text = aSession.environment.readFile(file);
    if (!text) {
      AddFault(report, file, "", "can't be read");
      continue;
    }
    auto parsed = settings::ParseSettings(*text, file, report);
    if (parsed) {
      all.push_back(settings::NamedSettings{file, *std::move(parsed)});
    }
  }
  settings::CheckTogether(all, report);
  const std::string file = OptionValue(aSession.arguments, "config");
  if (!file.empty()) {
    CheckConfigurationFile(aSession, file, all, report);
  }
  PrintReport(aSession, report, all.size());
  return settings::HasErrors(report) ? ExitCode::FaultyFile : ExitCode::Success;
}

ExitCode Completion(const Session& aSession) {
  aSession.environment.out << BashCompletion();
  return ExitCode::Success;
}

}  // namespace bramleypath::cli::detail
