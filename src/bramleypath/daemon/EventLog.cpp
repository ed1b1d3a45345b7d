#include "bramleypath/daemon/EventLog.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace bramleypath::daemon {

namespace {

constexpr const char* kPattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c %m%n";

std::unique_ptr<log4cplus::Initializer>& Library() {
  static std::unique_ptr<log4cplus::Initializer> library;
  return library;
}

log4cplus::LogLevel ToLibrary(LogLevel aLevel) {
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool NeedsQuotes(std::string_view aValue) {
  if (aValue.empty()) {
    return true;
  }
  for (const char letter : aValue) {
    const auto code = static_cast<unsigned char>(letter);
    if (code <= 0x20 || letter == '"' || letter == '=' || code == 0x7f) {
      return true;
    }
  }
  return false;
}

void AppendValue(std::string& aLine, std::string_view aValue) {
  if (!NeedsQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char letter : aValue) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      aLine += '\\';
    }
    aLine += code < 0x20 || code == 0x7f ? ' ' : letter;
  }
  aLine += '"';
}

}  // namespace

void StartEventLog(const std::string& aFile, LogLevel aLevel,
                   std::uint64_t aMaxBytes, std::uint32_t aKeptFiles) {
  Library() = std::make_unique<log4cplus::Initializer>();
  log4cplus::SharedAppenderPtr appender;
  if (aFile.empty()) {
    constexpr bool kToStandardError = true;
    constexpr bool kFlush = true;
    appender = new log4cplus::ConsoleAppender(kToStandardError, kFlush);
  } else {
    appender = new log4cplus::RollingFileAppender(
        aFile, static_cast<long>(aMaxBytes), static_cast<int>(aKeptFiles));
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(ToLibrary(aLevel));
}

void StopEventLog() { Library().reset(); }

void LogEvent(LogLevel aLevel, std::string_view aComponent,
              std::string_view aEvent,
              std::initializer_list<LogField> aFields) {
  if (!Library()) {
    return;
  }
  const log4cplus::Logger logger =
      log4cplus::Logger::getInstance(std::string(aComponent));
  const log4cplus::LogLevel level = ToLibrary(aLevel);
  if (!logger.isEnabledFor(level)) {
    return;
  }
  std::string line = "event=";
  line += aEvent;
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.name;
    line += '=';
    AppendValue(line, field.value);
  }
  logger.log(level, line);
}

bool SetLogLevel(std::string_view aName) {
  const struct {
    std::string_view name;
    LogLevel level;
  } kLevels[] = {{"debug", LogLevel::Debug},
                 {"info", LogLevel::Info},
                 {"warn", LogLevel::Warn},
                 {"error", LogLevel::Error}};
  for (const auto& known : kLevels) {
    if (known.name == aName) {
      log4cplus::Logger::getRoot().setLogLevel(ToLibrary(known.level));
      return true;
    }
  }
  return false;
}

}  // namespace bramleypath::daemon
