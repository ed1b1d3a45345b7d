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

// A pipe that is ready takes this much without blocking.
constexpr std::size_t kWriteBytes = 4096;
constexpr int kStopWaitMs = 100;
constexpr std::int64_t kMicrosPerSecond = 1000 * 1000;

struct Budget {
  std::int64_t second = 0;
  std::uint32_t lines = 0;
  std::uint64_t leftOut = 0;
};

struct Log {
  std::mutex mutex;
  Settings settings;
  std::string buffer;
  std::map<std::string, Budget, std::less<>> budgets;
  Counters counters;
};

std::unique_ptr<Log>& Instance() {
  static std::unique_ptr<Log> log;
  return log;
}

void AppendLine(Log& aLog, std::string_view aEvent,
                std::initializer_list<Field> aFields, std::uint64_t aLeftOut) {
  codec::Json line = codec::Json::object();
  line["time_ms"] = net::UnixMs();
  line["host"] = aLog.settings.host;
  line["event"] = std::string(aEvent);
  for (const Field& field : aFields) {
    line[std::string(field.name)] = field.value;
  }
  if (aLeftOut > 0) {
    line["left_out_before"] = aLeftOut;
  }
  const std::string text = codec::DumpJson(line);
  if (aLog.buffer.size() + text.size() > aLog.settings.maxBufferedBytes) {
    ++aLog.counters.dropped;
    return;
  }
  const bool wasEmpty = aLog.buffer.empty();
  aLog.buffer += text;
  aLog.buffer += '\n';
  if (wasEmpty && aLog.settings.flushWanted) {
    aLog.settings.flushWanted();
  }
}

bool IsReady(int aOutput, int aWaitMs) {
  pollfd output{};
  output.fd = aOutput;
  output.events = POLLOUT;
  return poll(&output, 1, aWaitMs) == 1 && (output.revents & POLLOUT) != 0;
}

// Writes while the output is ready.
void Drain(Log& aLog, int aWaitMs) {
  std::size_t done = 0;
  while (done < aLog.buffer.size() && IsReady(aLog.settings.output, aWaitMs)) {
    const std::size_t bytes = std::min(kWriteBytes, aLog.buffer.size() - done);
    const ssize_t written =
        write(aLog.settings.output, aLog.buffer.data() + done, bytes);
    if (written <= 0) {
      // The reader is gone, or a signal came; the lines wait for the next turn.
      break;
    }
    done += static_cast<std::size_t>(written);
  }
  aLog.buffer.erase(0, done);
}

}  // namespace

void Start(const Settings& aSettings) {
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
  auto found = log->budgets.find(aEvent);
  if (found == log->budgets.end()) {
    found = log->budgets.emplace(std::string(aEvent), Budget()).first;
  }
  Budget& budget = found->second;
  const std::int64_t second = net::Now().micros / kMicrosPerSecond;
  if (budget.second != second) {
    budget.second = second;
    budget.lines = 0;
  }
  if (budget.lines >= log->settings.linesPerSecond) {
    ++budget.leftOut;
    ++log->counters.overBudget;
    return;
  }
  ++budget.lines;
  ++log->counters.written;
  AppendLine(*log, aEvent, aFields, std::exchange(budget.leftOut, 0));
}

void Flush() {
  if (Log* const log = Instance().get()) {
    const std::lock_guard<std::mutex> lock(log->mutex);
    Drain(*log, 0);
  }
}

void Stop() {
  if (Log* const log = Instance().get()) {
    const std::lock_guard<std::mutex> lock(log->mutex);
    Drain(*log, kStopWaitMs);
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
