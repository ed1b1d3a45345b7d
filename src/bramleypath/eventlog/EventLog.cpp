#include "bramleypath/eventlog/EventLog.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <map>
#include <memory>
#include <mutex>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::eventlog {

namespace {

// Bytes per write. A pipe that poll reports as writable accepts this many
// without blocking.
constexpr std::size_t kWriteBytes = 4096;
constexpr int kStopWaitMs = 100;
constexpr std::int64_t kMicrosPerSecond = 1000 * 1000;

struct EventRate {
  std::int64_t second = 0;
  std::uint32_t lines = 0;
  std::uint64_t suppressed = 0;
};

struct Log {
  std::mutex mutex;
  LogSettings settings;
  std::string buffer;
  std::map<std::string, EventRate, std::less<>> rates;
  Counters counters;
};

std::unique_ptr<Log>& Instance() {
  static std::unique_ptr<Log> log;
  return log;
}

void AppendLine(Log& aLog, std::string_view aEvent,
                std::initializer_list<Field> aFields,
                std::uint64_t aSuppressed) {
  codec::Json line = codec::Json::object();
  line["time_ms"] = net::UnixMs();
  line["host"] = aLog.settings.host;
  line["event"] = std::string(aEvent);
  for (const Field& field : aFields) {
    line[std::string(field.name)] = field.value;
  }
  if (aSuppressed > 0) {
    line["left_out_before"] = aSuppressed;
  }
  const std::string text = codec::DumpJson(line);
  if (aLog.buffer.size() + text.size() > aLog.settings.maxBufferedBytes) {
    ++aLog.counters.dropped;
    return;
  }
  const bool wasEmpty = aLog.buffer.empty();
  aLog.buffer += text;
  aLog.buffer += '\n';
  if (wasEmpty && aLog.settings.requestFlush) {
    aLog.settings.requestFlush();
  }
}

bool IsWritable(int aOutput, int aWaitMs) {
  pollfd output{};
  output.fd = aOutput;
  output.events = POLLOUT;
  return poll(&output, 1, aWaitMs) == 1 && (output.revents & POLLOUT) != 0;
}

// Writes buffered lines while the output becomes writable within aWaitMs.
void WriteBuffered(Log& aLog, int aWaitMs) {
  std::size_t writtenBytes = 0;
  while (writtenBytes < aLog.buffer.size() &&
         IsWritable(aLog.settings.output, aWaitMs)) {
    const std::size_t bytes =
        std::min(kWriteBytes, aLog.buffer.size() - writtenBytes);
    const ssize_t written =
        write(aLog.settings.output, aLog.buffer.data() + writtenBytes, bytes);
    if (written <= 0) {
      // The reader has closed the output, or a signal interrupted the write.
      // The remaining lines stay in the buffer until the next call.
      break;
    }
    writtenBytes += static_cast<std::size_t>(written);
  }
  aLog.buffer.erase(0, writtenBytes);
}

}  // namespace

void Start(const LogSettings& aSettings) {
  auto log = std::make_unique<Log>();
  log->settings = aSettings;
  Instance() = std::move(log);
}

void Write(std::string_view aEvent, std::initializer_list<Field> aFields) {
  Log* const log = Instance().get();
  if (!log) {
    return;
  }
  const std::lock_guard<std::mutex> lock(log->mutex);
  auto found = log->rates.find(aEvent);
  if (found == log->rates.end()) {
    found = log->rates.emplace(std::string(aEvent), EventRate()).first;
  }
  EventRate& rate = found->second;
  const std::int64_t second = net::Now().micros / kMicrosPerSecond;
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  if (rate.lines >= log->settings.linesPerSecond) {
    ++rate.suppressed;
    ++log->counters.rateLimited;
    return;
  }
  ++rate.lines;
  ++log->counters.written;
  AppendLine(*log, aEvent, aFields, std::exchange(rate.suppressed, 0));
}

void Flush() {
  if (Log* const log = Instance().get()) {
    const std::lock_guard<std::mutex> lock(log->mutex);
    WriteBuffered(*log, 0);
  }
}

void Stop() {
  if (Log* const log = Instance().get()) {
    const std::lock_guard<std::mutex> lock(log->mutex);
    WriteBuffered(*log, kStopWaitMs);
  }
}

Counters ReadCounters() {
  Log* const log = Instance().get();
  if (!log) {
    return Counters();
  }
  const std::lock_guard<std::mutex> lock(log->mutex);
  return log->counters;
}

}  // namespace bramleypath::eventlog
