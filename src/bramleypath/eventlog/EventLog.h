#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

// Structured log of one process. Each line is a JSON object with the wall time,
// the host, the event and its fields. The number of lines per second is limited
// for each event. Lines wait in a bounded buffer and are written only while the
// output accepts them, so a reader that stalls loses lines but never blocks the
// process.
namespace bramleypath::eventlog {

struct Field {
  std::string_view name;
  std::string value;
};

struct LogSettings {
  std::string host;
  int output = 1;  // file descriptor
  // Maximum number of lines per second for each event. Further lines are
  // dropped and counted.
  std::uint32_t linesPerSecond = 100;
  std::size_t maxBufferedBytes = 64 * 1024;
  // Called by Write when it adds a line to an empty buffer, to request a call
  // of Flush after the current work. It must not call any function of this
  // module.
  std::function<void()> requestFlush;
};

struct Counters {
  // Lines within the limit of linesPerSecond.
  std::uint64_t written = 0;
  // Lines dropped because of linesPerSecond.
  std::uint64_t rateLimited = 0;
  // Lines dropped because the buffer was full. They count as written too.
  std::uint64_t dropped = 0;
};

// Starts the log; a second call replaces the settings and drops buffered lines.
void Start(const LogSettings& aSettings);
// Adds one line to the buffer. Does nothing before Start. Thread-safe.
void Write(std::string_view aEvent, std::initializer_list<Field> aFields = {});
// Writes as many buffered lines as the output accepts without blocking. Call it
// after LogSettings::requestFlush was called, and every 100 ms while the output
// accepts nothing.
void Flush();
// Writes the remaining lines before the process ends. It stops when the output
// accepts nothing for 100 ms.
void Stop();
// Returns zeros before Start.
Counters ReadCounters();

}  // namespace bramleypath::eventlog
