#include "bramleypath/cli/CommandTable.h"

#include <algorithm>
#include <map>
#include <set>

namespace bramleypath::cli {

namespace {

std::vector<OptionSpec> PresetOptions() {
  return {
      {"tail-latency", "N", "weight of tail latency, 0 to 1000"},
      {"evictions", "N", "weight of evictions, 0 to 1000"},
      {"throughput", "N", "weight of throughput, 0 to 1000"},
      {"queued-calls", "N", "queued calls per member and class at a host"},
      {"target-utilisation", "PERCENT", "share of a target's slots in use"},
      {"worker-utilisation", "PERCENT", "share of a worker for batch tasks"},
      {"running-tasks", "N", "running batch tasks per cell"},
      {"starts-per-second", "N", "starts of batch tasks per cell and second"},
      {"evictions-per-job", "N", "evictions allowed per job"},
  };
}

std::vector<OptionSpec> HostOptions() {
  return {
      {"data-centre", "NAME", "data centre of the host"},
      {"callers", "ADDRESS", "IP address and port of the callers' listener"},
      {"targets", "ADDRESS", "... of the listener for targets and workers"},
      {"peers", "ADDRESS", "... of the listener for peers"},
      {"operators", "ADDRESS", "... of the operators' listener"},
      {"disk", "BOOL", "true when the host has a disk and so can vote"},
  };
}

std::vector<OptionSpec> JobOptions() {
  return {
      {"data-centre", "NAME", "cell that runs the job"},
      {"member", "NAME", "member that owns the job"},
      {"class", "NAME", "class of the job"},
      {"kind", "KIND", "batch (default) or service"},
      {"tasks", "N", "number of tasks"},
      {"processors-milli", "N", "thousandths of a processor per task"},
      {"memory-mb", "N", "memory per task"},
      {"accelerators", "N", "accelerators per task"},
      {"declared-run-ms", "MS", "expected run time of a task"},
      {"eviction-budget", "N", "evictions allowed over all tasks"},
      {"urgent", "BOOL", "true to start within 1.5 s"},
      {"checkpointable", "BOOL", "true when tasks write checkpoints"},
      {"rack-spread", "BOOL", "true to spread tasks over racks"},
  };
}

std::vector<CommandSpec> MakeCommands() {
  const OptionSpec off{"off", "", "ends the draining"};
  const OptionSpec dataCentre{"data-centre", "NAME", "only this data centre"};
  const OptionSpec clientAccount{"member", "NAME", "only this member"};
  std::vector<CommandSpec> all;
  all.push_back(
      {"config get", "", 0, 0, "prints the configuration", {}, false});
  all.push_back({"config apply",
                 "FILE",
                 1,
                 1,
                 "replaces the configuration by that of a file",
                 {},
                 true});
  all.push_back({"config change",
                 "JSON",
                 1,
                 1,
                 "makes one change, such as "
                 "'{\"kind\":\"use_preset\",\"preset\":\"peak\"}'",
                 {},
                 true});
  all.push_back({"preset list", "", 0, 0, "lists the presets", {}, false});
  all.push_back({"preset use",
                 "NAME",
                 1,
                 1,
                 "puts a preset in force",
                 {{"wait", "", "waits until it is in force on every host"},
                  {"wait-ms", "MS", "longest wait (13000)"}},
                 true});
  all.push_back({"preset set", "NAME", 1, 1, "creates or changes a preset",
                 PresetOptions(), true});
  all.push_back({"preset remove", "NAME", 1, 1, "removes a preset", {}, true});
  all.push_back({"service set",
                 "NAME",
                 1,
                 1,
                 "creates or changes a service",
                 {{"member", "NAME", "the only member that may announce it"},
                  {"slots", "N", "slots of each target"},
                  {"connections", "N", "connections of each target"}},
                 true});
  all.push_back(
      {"service remove", "NAME", 1, 1, "removes a service", {}, true});
  all.push_back({"class set",
                 "NAME",
                 1,
                 1,
                 "creates or changes a class",
                 {{"service", "NAME", "its service; none: batch work"},
                  {"reserved-slots", "N", "slots of a target kept for it"},
                  {"expected-service-ms", "MS", "expected service time"},
                  {"idempotent", "BOOL", "default for calls that don't say"}},
                 true});
  all.push_back({"class remove", "NAME", 1, 1, "removes a class", {}, true});
  all.push_back({"member set",
                 "NAME",
                 1,
                 1,
                 "creates or changes a member",
                 {{"weight", "N", "share in fair queuing, 1 to 1000"},
                  {"processors-milli", "N", "quota over all cells"},
                  {"memory-mb", "N", "quota over all cells"},
                  {"accelerators", "N", "quota over all cells"},
                  {"queued-jobs", "N", "jobs queued at one time"}},
                 true});
  all.push_back({"member remove", "NAME", 1, 1, "removes a member", {}, true});
  all.push_back({"owners set",
                 "DATA_CENTRE...",
                 1,
                 64,
                 "sets the data centres that own keyed requests",
                 {{"lost", "NAME", "owner that is stopped for good", true},
                  {"move-wait-ms", "MS", "wait before it takes effect"}},
                 true});
  all.push_back(
      {"job submit", "JOB", 1, 1, "submits a job", JobOptions(), true});
  all.push_back({"job cancel",
                 "JOB",
                 1,
                 1,
                 "cancels a job",
                 {{"data-centre", "NAME", "cell that runs the job"}},
                 true});
  all.push_back(
      {"job list",
       "",
       0,
       0,
       "lists jobs",
       {clientAccount, dataCentre, {"state", "STATE", "only in this state"}},
       false});
  all.push_back({"job explain",
                 "JOB",
                 1,
                 1,
                 "says why a job is where it is",
                 {dataCentre},
                 false});
  all.push_back({"target list", "", 0, 0, "lists the live targets", {}, false});
  all.push_back({"target drain",
                 "TARGET",
                 1,
                 1,
                 "gives a target no new work",
                 {off},
                 true});
  all.push_back({"host list",
                 "",
                 0,
                 0,
                 "lists the entry hosts and what they have in force",
                 {},
                 false});
  all.push_back({"host add", "NAME", 1, 1, "adds or changes an entry host",
                 HostOptions(), true});
  all.push_back(
      {"host remove", "NAME", 1, 1, "removes an entry host", {}, true});
  all.push_back({"host drain",
                 "NAME",
                 1,
                 1,
                 "gives an entry host no new callers",
                 {off},
                 true});
  all.push_back({"host stop",
                 "NAME",
                 1,
                 1,
                 "starts the planned stop of an entry host",
                 {},
                 true});
  all.push_back({"status",
                 "",
                 0,
                 0,
                 "shows groups, hosts and warnings of a deployment",
                 {},
                 false});
  all.push_back(
      {"explain pairs",
       "",
       0,
       0,
       "lists which classes slow which others",
       {clientAccount, dataCentre, {"class", "NAME", "only this class"}},
       false});
  all.push_back({"explain request",
                 "ID FILE...",
                 2,
                 512,
                 "follows a job's id through collected event logs to the cause",
                 {},
                 false});
  all.push_back({"bootstrap check",
                 "SETTINGS_FILE...",
                 1,
                 64,
                 "checks the settings of all entry hosts together",
                 {{"config", "FILE", "first configuration to check as well"}},
                 false});
  all.push_back({"completion",
                 "",
                 0,
                 0,
                 "prints the completion file for bash",
                 {},
                 false});
  return all;
}

std::string OptionLine(const OptionSpec& aOption) {
  constexpr std::size_t kColumn = 30;
  std::string line = "  --" + aOption.name;
  if (!aOption.value.empty()) {
    line += " " + aOption.value;
  }
  line.resize(std::max(line.size() + 1, kColumn), ' ');
  return line + aOption.help + "\n";
}

}  // namespace

const std::vector<CommandSpec>& Commands() {
  static const std::vector<CommandSpec> kCommands = MakeCommands();
  return kCommands;
}

const CommandSpec* FindCommand(std::string_view aWords) {
  for (const CommandSpec& command : Commands()) {
    if (command.words == aWords) {
      return &command;
    }
  }
  return nullptr;
}

const std::vector<OptionSpec>& CommonOptions() {
  static const std::vector<OptionSpec> kOptions{
      {"host", "ADDRESS",
       "operators' listener of an entry host; repeat it to try several in "
       "order (BRAMLEYPATH_HOSTS)",
       true},
      {"output", "FORMAT", "table (default) or json"},
      {"timeout-ms", "MS", "longest wait for the reply of one host (5000)"},
      {"help", "", "prints this text"},
  };
  return kOptions;
}

const std::vector<OptionSpec>& ChangeOptions() {
  static const std::vector<OptionSpec> kOptions{
      {"request-id", "ID",
       "id of an earlier request, to resend it; generated and printed "
       "otherwise"},
      {"expected-version", "N",
       "version of the configuration to change; read from a host otherwise"},
      {"dry-run", "", "says what would happen and changes nothing"},
  };
  return kOptions;
}

std::vector<OptionSpec> OptionsOf(const CommandSpec& aCommand) {
  std::vector<OptionSpec> options = aCommand.options;
  if (aCommand.changesState) {
    options.insert(options.end(), ChangeOptions().begin(),
                   ChangeOptions().end());
  }
  options.insert(options.end(), CommonOptions().begin(), CommonOptions().end());
  return options;
}

std::string HelpText() {
  constexpr std::size_t kColumn = 36;
  std::string text =
      "usage: bramleypath COMMAND [OPERANDS] [OPTIONS]\n\n"
      "Operates a Bramleypath deployment through its entry hosts.\n\n"
      "Commands:\n";
  for (const CommandSpec& command : Commands()) {
    std::string line = "  " + command.words + " " + command.operands;
    line.resize(std::max(line.size() + 1, kColumn), ' ');
    text += line + command.summary + "\n";
  }
  return text +
         "\n`bramleypath COMMAND --help` lists the options of a command.\n"
         "Exit codes: 0 done, 1 unexpected reply, 2 wrong usage, 3 conflict,\n"
         "4 refused, 5 no host reachable, 6 outcome unknown, 7 not in force\n"
         "everywhere, 8 faulty file.\n";
}

std::string HelpText(const CommandSpec& aCommand) {
  std::string text = "usage: bramleypath " + aCommand.words;
  text += (aCommand.operands.empty() ? "" : " " + aCommand.operands) +
          " [OPTIONS]\n\n" + aCommand.summary + "\n\nOptions:\n";
  for (const OptionSpec& option : OptionsOf(aCommand)) {
    text += OptionLine(option);
  }
  return text;
}

std::string BashCompletion() {
  std::map<std::string, std::string> seconds;
  std::set<std::string> firsts;
  std::string cases;
  for (const CommandSpec& command : Commands()) {
    const auto space = command.words.find(' ');
    const std::string first = command.words.substr(0, space);
    firsts.insert(first);
    if (space != std::string::npos) {
      seconds[first] += " " + command.words.substr(space + 1);
    }
    std::string names;
    for (const OptionSpec& option : OptionsOf(command)) {
      names += " --" + option.name;
    }
    cases += "    \"" + command.words + "\") options=\"" + names.substr(1) +
             "\" ;;\n";
  }
  std::string words;
  for (const std::string& first : firsts) {
    words += (words.empty() ? "" : " ") + first;
  }
  std::string text =
      "# Completion of bramleypath for bash, as printed by\n"
      "# `bramleypath completion`.\n"
      "_bramleypath() {\n"
      "  local current=${COMP_WORDS[COMP_CWORD]} options=\"\"\n"
      "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
      "    COMPREPLY=($(compgen -W \"" +
      words +
      "\" -- \"$current\"))\n"
      "    return\n"
      "  fi\n"
      "  local command=${COMP_WORDS[1]}\n"
      "  if [ \"$COMP_CWORD\" -eq 2 ]; then\n"
      "    case $command in\n";
  for (const auto& [first, list] : seconds) {
    text += "      " + first + ") COMPREPLY=($(compgen -W \"" + list.substr(1) +
            "\" -- \"$current\")); return ;;\n";
  }
  return text +
         "    esac\n"
         "  fi\n"
         "  case $command in status|completion) ;; *) command+=\" "
         "${COMP_WORDS[2]}\" ;; esac\n"
         "  case $command in\n" +
         cases +
         "  esac\n"
         "  if [[ $current == -* ]]; then\n"
         "    COMPREPLY=($(compgen -W \"$options\" -- \"$current\"))\n"
         "  else\n"
         "    COMPREPLY=($(compgen -f -- \"$current\"))\n"
         "  fi\n"
         "}\n"
         "complete -F _bramleypath bramleypath\n";
}

}  // namespace bramleypath::cli
