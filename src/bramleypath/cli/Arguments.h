#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/cli/CommandTable.h"

namespace bramleypath::cli {

// A parsed command line.
struct Arguments {
  const CommandSpec* command = nullptr;
  std::vector<std::string> operands;
  // Values by option name; a switch has one empty value.
  std::map<std::string, std::vector<std::string>> options;
};

// Why a command line is wrong, and what to do.
struct UsageReason {
  std::string detail;
};

// aWords is the command line without the program's name. With --help, operands
// are not checked.
std::optional<Arguments> ParseArguments(const std::vector<std::string>& aWords,
                                        UsageReason& aReason);

bool HasOption(const Arguments& aArguments, const std::string& aName);
// The last value given; empty when the option was not given.
std::string OptionValue(const Arguments& aArguments, const std::string& aName);
// Nothing when the text is not a decimal number from 0 on.
std::optional<std::uint64_t> ParseNumber(const std::string& aText);

}  // namespace bramleypath::cli
