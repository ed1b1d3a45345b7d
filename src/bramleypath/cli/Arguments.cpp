#include "bramleypath/cli/Arguments.h"

#include <getopt.h>

#include <charconv>
#include <utility>

namespace bramleypath::cli {

namespace {

std::optional<Arguments> Fail(UsageReason& aReason, std::string aDetail) {
  aReason.detail = std::move(aDetail);
  return std::nullopt;
}

// Finds the command that the first one or two words name. aWordCount is set to
// the number of words in its name.
const CommandSpec* MatchCommand(const std::vector<std::string>& aWords,
                                std::size_t& aWordCount) {
  aWordCount = 1;
  if (aWords.size() > 1) {
    const auto* const command = FindCommand(aWords[0] + " " + aWords[1]);
    if (command != nullptr) {
      aWordCount = 2;
      return command;
    }
  }
  return FindCommand(aWords[0]);
}

bool CheckOperands(const Arguments& aArguments, UsageReason& aReason) {
  const CommandSpec& command = *aArguments.command;
  const std::size_t count = aArguments.operands.size();
  if (count >= command.minOperands && count <= command.maxOperands) {
    return true;
  }
  aReason.detail = count < command.minOperands
                       ? "operand " + command.operands + " is missing"
                       : "unexpected operand \"" +
                             aArguments.operands[command.maxOperands] + "\"";
  return false;
}

// getopt_long keeps its position in global variables. Setting optind to 0
// resets it; opterr 0 stops it from printing errors.
void ResetGetopt() {
  optind = 0;
  opterr = 0;
}

}  // namespace

std::optional<Arguments> ParseArguments(const std::vector<std::string>& aWords,
                                        UsageReason& aReason) {
  if (aWords.empty()) {
    return Fail(aReason, "no command was given");
  }
  std::size_t wordCount = 0;
  Arguments arguments;
  arguments.command = MatchCommand(aWords, wordCount);
  if (arguments.command == nullptr) {
    return Fail(aReason, "unknown command \"" + aWords[0] +
                             (aWords.size() > 1 ? " " + aWords[1] : "") + "\"");
  }
  const std::vector<OptionSpec> specs = OptionsOf(*arguments.command);
  std::vector<option> longOptions;
  longOptions.reserve(specs.size() + 1);
  for (const OptionSpec& spec : specs) {
    longOptions.push_back(option{
        spec.name.c_str(), spec.value.empty() ? no_argument : required_argument,
        nullptr, 0});
  }
  longOptions.push_back(option{nullptr, 0, nullptr, 0});
  // getopt_long reorders its arguments, so it is called on a copy.
  std::vector<std::string> copy(
      aWords.begin() + static_cast<long>(wordCount) - 1, aWords.end());
  std::vector<char*> pointers;
  pointers.reserve(copy.size() + 1);
  for (std::string& word : copy) {
    pointers.push_back(word.data());
  }
  const int count = static_cast<int>(pointers.size());
  pointers.push_back(nullptr);
  ResetGetopt();
  int index = 0;
  int result = 0;
  // The leading colon makes getopt_long return ':' when a value is missing, so
  // that this can be told from an unknown option.
  while ((result = getopt_long(count, pointers.data(), ":", longOptions.data(),
                               &index)) != -1) {
    if (result != 0) {
      const std::string word = pointers[static_cast<std::size_t>(optind) - 1];
      return Fail(aReason, (result == ':' ? "option needs a value: \""
                                          : "unknown option \"") +
                               word + "\"");
    }
    const OptionSpec& spec = specs[static_cast<std::size_t>(index)];
    auto& values = arguments.options[spec.name];
    if (!values.empty() && !spec.repeatable) {
      return Fail(aReason, "option --" + spec.name + " is given twice");
    }
    values.emplace_back(optarg == nullptr ? "" : optarg);
  }
  for (int position = optind; position < count; ++position) {
    arguments.operands.emplace_back(
        pointers[static_cast<std::size_t>(position)]);
  }
  if (!HasOption(arguments, "help") && !CheckOperands(arguments, aReason)) {
    return std::nullopt;
  }
  return arguments;
}

bool HasOption(const Arguments& aArguments, const std::string& aName) {
  return aArguments.options.count(aName) != 0;
}

std::string OptionValue(const Arguments& aArguments, const std::string& aName) {
  const auto found = aArguments.options.find(aName);
  return found == aArguments.options.end() ? "" : found->second.back();
}

std::optional<std::uint64_t> ParseNumber(const std::string& aText) {
  std::uint64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace bramleypath::cli
