#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypath::explain {

// One line of the event log (bramleypath/eventlog).
struct LogLine {
  // Unix time in milliseconds, by the clock of the host that wrote the line.
  std::int64_t timeMs = 0;
  std::string host;
  std::string event;
  struct Field {
    std::string name;
    std::string value;
  };
  std::vector<Field> fields;  // all other fields, sorted by name
  std::string text;           // the line as it was read
};

// Returns none when the line is not a JSON object with "time_ms", "host" and
// "event", and sets aReason to a text that names the fault.
std::optional<LogLine> ParseLine(std::string_view aText, std::string& aReason);

// The value of a field, or an empty string when the line has no such field.
std::string_view FieldOf(const LogLine& aLine, std::string_view aName);

}  // namespace bramleypath::explain
