#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

// Structured log of one process: a JSON object a line, each with the wall time,
// the host, the event and its fields. Volume is bounded for each event, and a
// reader that stalls costs lines, never time: lines wait in a bounded buffer
// and are written only when the output takes them.
namespace bramleypath::eventlog {

struct Field {
  std::string_view name;
  std::string value;
};

struct Settings {
  std::string host;
  int output = 1;  // file descriptor
  // Lines of one event a second; further ones are counted.
  std::uint32_t linesPerSecond = 100;
  std::size_t maxBufferedBytes = 64 * 1024;
  // Called by Write when a line comes into an empty buffer: Flush is wanted
  // soon, after the work in hand. It must not call this module itself.
  std::function<void()> flushWanted;
};

struct Counters {
  std::uint64_t written = 0;
  // Left out for their number, or because the output took no more.
  std::uint64_t overBudget = 0;
  std::uint64_t dropped = 0;
};

void Start(const Settings& aSettings);
// Adds one line. Does nothing before Start.
void Write(std::string_view aEvent, std::initializer_list<Field> aFields = {});
// Writes what the output takes without waiting. Call it when it is wanted, and
// each 100 ms as long as the output takes nothing.
void Flush();
// Writes what the output takes within a short time, before the process ends.
void Stop();
Counters ReadCounters();

}  // namespace bramleypath::eventlog
