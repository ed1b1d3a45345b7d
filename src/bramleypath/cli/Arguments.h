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

// Describes why a command line was rejected.
struct UsageReason {
  std::string detail;
};

// Parses the command and its options. aWords is the command line without the
// program's name. Returns nothing and fills aReason when the command line is
// wrong. With --help, operands are not checked.
std::optional<Arguments> ParseArguments(const std::vector<std::string>& aWords,
                                        UsageReason& aReason);

bool HasOption(const Arguments& aArguments, const std::string& aName);
// The last value of the option; empty when the option was not given.
std::string OptionValue(const Arguments& aArguments, const std::string& aName);
// Returns nothing unless the text is a decimal number from 0 to 2^64 - 1.
std::optional<std::uint64_t> ParseNumber(const std::string& aText);

}  // namespace bramleypath::cli
