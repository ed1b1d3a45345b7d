#include <getopt.h>

#include <cstdio>
#include <string>

#include "bramleypath/daemon/Daemon.h"
#include "bramleypath/daemon/EventLog.h"
#include "bramleypath/settings/Settings.h"

namespace {

constexpr int kUsageStatus = 2;

constexpr const char* kUsage =
    "usage: bramleypathd --settings FILE [--bootstrap]\n"
    "       bramleypathd --check-config FILE\n"
    "  --settings FILE      the settings of this entry host\n"
    "  --bootstrap          create the data folder of a first member of a new\n"
    "                       deployment; refused for a folder that exists\n"
    "  --check-config FILE  print all faults of the settings and exit\n";

struct Options {
  std::string settingsFile;
  bool bootstrap = false;
  bool check = false;
  bool help = false;
};

bool ParseOptions(int aCount, char** aValues, Options& aOptions) {
  const option kKnown[] = {{"settings", required_argument, nullptr, 's'},
                           {"bootstrap", no_argument, nullptr, 'b'},
                           {"check-config", required_argument, nullptr, 'c'},
                           {"help", no_argument, nullptr, 'h'},
                           {nullptr, 0, nullptr, 0}};
  int found = 0;
  while ((found = getopt_long(aCount, aValues, "s:bc:h", kKnown, nullptr)) !=
         -1) {
    switch (found) {
      case 's':
        aOptions.settingsFile = optarg;
        break;
      case 'b':
        aOptions.bootstrap = true;
        break;
      case 'c':
        aOptions.check = true;
        aOptions.settingsFile = optarg;
        break;
      case 'h':
        aOptions.help = true;
        return true;
      default:
        return false;
    }
  }
  return optind == aCount && !aOptions.settingsFile.empty();
}

bramleypath::daemon::LogLevel ToLogLevel(
    bramleypath::settings::LogLevel aLevel) {
  using bramleypath::daemon::LogLevel;
  switch (aLevel) {
    case bramleypath::settings::LogLevel::Debug:
      return LogLevel::Debug;
    case bramleypath::settings::LogLevel::Info:
      return LogLevel::Info;
    case bramleypath::settings::LogLevel::Warning:
      return LogLevel::Warn;
    case bramleypath::settings::LogLevel::Error:
      return LogLevel::Error;
  }
  return LogLevel::Info;
}

}  // namespace

int main(int aCount, char** aValues) {
  Options options;
  if (!ParseOptions(aCount, aValues, options)) {
    std::fputs(kUsage, stderr);
    return kUsageStatus;
  }
  if (options.help) {
    std::fputs(kUsage, stdout);
    return 0;
  }
  bramleypath::settings::Report report;
  const auto settings =
      bramleypath::settings::LoadSettings(options.settingsFile, report);
  for (const auto& fault : report.faults) {
    std::fprintf(stderr, "%s\n",
                 bramleypath::settings::ToString(fault).c_str());
  }
  if (!settings) {
    return kUsageStatus;
  }
  if (options.check) {
    return 0;
  }
  bramleypath::daemon::StartEventLog(
      settings->logging.file, ToLogLevel(settings->logging.level),
      settings->logging.maxFileBytes, settings->logging.keptFiles);
  int status = static_cast<int>(bramleypath::daemon::ExitStatus::Failed);
  {
    bramleypath::daemon::Daemon daemon(*settings, options.bootstrap);
    std::string reason;
    if (daemon.Start(reason)) {
      status = static_cast<int>(daemon.Run());
    } else {
      bramleypath::daemon::LogEvent(bramleypath::daemon::LogLevel::Error,
                                    "daemon", "start_failed",
                                    {{"reason", reason}});
      std::fprintf(stderr, "bramleypathd: %s\n", reason.c_str());
    }
  }
  bramleypath::daemon::StopEventLog();
  return status;
}
