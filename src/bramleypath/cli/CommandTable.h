#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bramleypath::cli {

struct OptionSpec {
  std::string name;
  // Placeholder of its value in the help text; empty for a switch.
  std::string value;
  std::string help;
  bool repeatable = false;
};

struct CommandSpec {
  std::string words;     // such as "preset use"
  std::string operands;  // as the help text shows them
  std::size_t minOperands = 0;
  std::size_t maxOperands = 0;
  std::string summary;
  std::vector<OptionSpec> options;  // beside the common ones
  bool changesState = false;
};

// All commands, in the order of the help text.
const std::vector<CommandSpec>& Commands();
const CommandSpec* FindCommand(std::string_view aWords);

// Options of every command.
const std::vector<OptionSpec>& CommonOptions();
// Further options of commands that change something.
const std::vector<OptionSpec>& ChangeOptions();
// All options of a command.
std::vector<OptionSpec> OptionsOf(const CommandSpec& aCommand);

std::string HelpText();
std::string HelpText(const CommandSpec& aCommand);
// The completion file for bash; completions/bramleypath.bash is this text.
std::string BashCompletion();

}  // namespace bramleypath::cli
