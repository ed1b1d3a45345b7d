#include "bramleypath/cli/Run.h"

#include <utility>

#include "bramleypath/cli/Arguments.h"
#include "bramleypath/cli/internal/Commands.h"
#include "bramleypath/config/Address.h"

namespace bramleypath::cli {

namespace {

using detail::Session;

struct Handler {
  const char* words;
  ExitCode (*run)(const Session&);
  bool needsHost;
};

constexpr Handler kHandlers[] = {
    {"config get", detail::ConfigGet, true},
    {"config apply", detail::ConfigApply, true},
    {"config change", detail::ConfigChange, true},
    {"preset list", detail::PresetList, true},
    {"preset use", detail::PresetUse, true},
    {"preset set", detail::PresetSet, true},
    {"preset remove", detail::PresetRemove, true},
    {"service set", detail::ServiceSet, true},
    {"service remove", detail::ServiceRemove, true},
    {"class set", detail::ClassSet, true},
    {"class remove", detail::ClassRemove, true},
    {"member set", detail::ClientAccountSet, true},
    {"member remove", detail::ClientAccountRemove, true},
    {"owners set", detail::OwnersSet, true},
    {"job submit", detail::JobSubmit, true},
    {"job cancel", detail::JobCancel, true},
    {"job list", detail::JobList, true},
    {"job explain", detail::JobExplain, true},
    {"target list", detail::TargetList, true},
    {"target drain", detail::TargetDrain, true},
    {"host list", detail::HostList, true},
    {"host add", detail::HostAdd, true},
    {"host remove", detail::HostRemove, true},
    {"host drain", detail::HostDrain, true},
    {"host stop", detail::HostStop, true},
    {"status", detail::Status, true},
    {"explain pairs", detail::ExplainPairs, true},
    {"explain request", detail::ExplainRequest, false},
    {"bootstrap check", detail::BootstrapCheck, false},
    {"completion", detail::Completion, false},
};

ExitCode FailUsage(const Environment& aEnvironment, const std::string& aDetail,
                   const std::string& aCommand) {
  aEnvironment.err << "bramleypath: " << aDetail << "; see `bramleypath "
                   << (aCommand.empty() ? "" : aCommand + " ") << "--help`\n";
  return ExitCode::Usage;
}

std::vector<std::string> HostsOf(const Arguments& aArguments,
                                 const std::string& aDefaults) {
  const auto given = aArguments.options.find("host");
  if (given != aArguments.options.end()) {
    return given->second;
  }
  std::vector<std::string> hosts;
  std::string word;
  for (const char character : aDefaults + ",") {
    if (character != ',' && character != ' ') {
      word += character;
    } else if (!word.empty()) {
      hosts.push_back(std::move(word));
      word.clear();
    }
  }
  return hosts;
}

// Reads the common options into the session. Returns an error message, which
// is empty when the options are valid.
std::string ReadCommonOptions(Session& aSession, bool aNeedsHost) {
  constexpr std::uint64_t kDefaultTimeoutMs = 5000;
  constexpr std::uint64_t kMaxTimeoutMs = 3600 * 1000;
  const std::string output = OptionValue(aSession.arguments, "output");
  if (!output.empty() && output != "table" && output != "json") {
    return "--output must be table or json";
  }
  aSession.json = output == "json";
  const std::string timeout = OptionValue(aSession.arguments, "timeout-ms");
  const auto millis =
      timeout.empty() ? std::optional(kDefaultTimeoutMs) : ParseNumber(timeout);
  if (!millis || *millis == 0 || *millis > kMaxTimeoutMs) {
    return "--timeout-ms must be a number from 1 to 3600000";
  }
  aSession.timeout = Millis(static_cast<std::int64_t>(*millis));
  aSession.hosts =
      HostsOf(aSession.arguments, aSession.environment.defaultHosts);
  if (aNeedsHost && aSession.hosts.empty()) {
    return "no entry host was named; give --host ADDRESS or set "
           "BRAMLEYPATH_HOSTS";
  }
  for (const std::string& host : aSession.hosts) {
    if (!config::ParseAddress(host)) {
      return "\"" + host +
             "\" is not an IP address with a port, such as 10.0.0.1:7103";
    }
  }
  return "";
}

}  // namespace

ExitCode Run(const std::vector<std::string>& aWords,
             const Environment& aEnvironment) {
  if (!aWords.empty() && (aWords[0] == "--help" || aWords[0] == "help")) {
    aEnvironment.out << HelpText();
    return ExitCode::Success;
  }
  UsageReason reason;
  const auto arguments = ParseArguments(aWords, reason);
  if (!arguments) {
    return FailUsage(aEnvironment, reason.detail, "");
  }
  if (HasOption(*arguments, "help")) {
    aEnvironment.out << HelpText(*arguments->command);
    return ExitCode::Success;
  }
  for (const Handler& handler : kHandlers) {
    if (arguments->command->words != handler.words) {
      continue;
    }
    Session session{aEnvironment, *arguments, {}, false, Duration{}};
    const std::string error = ReadCommonOptions(session, handler.needsHost);
    return error.empty() ? handler.run(session)
                         : FailUsage(aEnvironment, error, handler.words);
  }
  return FailUsage(aEnvironment, "the command has no handler", "");
}

}  // namespace bramleypath::cli
