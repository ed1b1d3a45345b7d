#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypath::explain {

// One line of the event log (bramleypath/eventlog).
struct LogLine {
  std::int64_t timeMs = 0;  // Unix milliseconds on the host that wrote it
  std::string host;
  std::string event;
  struct Field {
    std::string name;
    std::string value;
  };
  std::vector<Field> fields;  // all others, in the order of the line
  std::string text;           // the line as it was read
};

// Nothing when the line is no JSON object with "time_ms", "host" and "event".
// aReason then says which is missing.
std::optional<LogLine> ParseLine(std::string_view aText, std::string& aReason);

// Empty when the line has no such field.
std::string_view FieldOf(const LogLine& aLine, std::string_view aName);

}  // namespace bramleypath::explain
