#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::net {

// The host's monotonic clock, which also counts the time that the host is
// suspended. std::chrono::steady_clock does not, so that a leader would treat
// an expired lease as valid after it resumes.
inline TimePoint Now() {
  constexpr std::int64_t kMicrosPerSecond = 1000 * 1000;
  constexpr std::int64_t kNanosPerMicro = 1000;
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{time.tv_sec * kMicrosPerSecond +
                   time.tv_nsec / kNanosPerMicro};
}

// The host's time of day in Unix milliseconds. It may be set forward or back.
inline std::int64_t UnixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace bramleypath::net
