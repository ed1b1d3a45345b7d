#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bramleypath::daemon {

enum class LogLevel { Debug, Info, Warn, Error };

struct LogField {
  std::string_view name;
  std::string value;
};

// Starts the log, which has one event per line: time, level, component,
// event=..., then name=value for each field. Values with spaces, quotes or
// control characters are quoted. The log goes to aFile, or to standard error if
// aFile is empty. A file above aMaxBytes is rotated, and aKeptFiles old ones
// are kept.
void StartEventLog(const std::string& aFile, LogLevel aLevel,
                   std::uint64_t aMaxBytes, std::uint32_t aKeptFiles);
void StopEventLog();

void LogEvent(LogLevel aLevel, std::string_view aComponent,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields = {});

// Changes the level at run time. False for a name other than "debug", "info",
// "warn" and "error".
bool SetLogLevel(std::string_view aName);

}  // namespace bramleypath::daemon
