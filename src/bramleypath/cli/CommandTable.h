#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bramleypath::cli {

struct OptionSpec {
  std::string name;
  // Placeholder for the value in the help text; empty for a switch, which
  // takes no value.
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
  std::vector<OptionSpec> options;  // in addition to the common ones
  bool changesState = false;
};

// All commands, in the order in which the help text lists them.
const std::vector<CommandSpec>& Commands();
// Null when no command has this name.
const CommandSpec* FindCommand(std::string_view aWords);

// Options that every command accepts.
const std::vector<OptionSpec>& CommonOptions();
// Options that commands accept in addition when they change state.
const std::vector<OptionSpec>& ChangeOptions();
// All options that a command accepts.
std::vector<OptionSpec> OptionsOf(const CommandSpec& aCommand);

std::string HelpText();
std::string HelpText(const CommandSpec& aCommand);
// The completion file for bash; completions/bramleypath.bash is this text.
std::string BashCompletion();

}  // namespace bramleypath::cli
