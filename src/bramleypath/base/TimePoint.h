#pragma once

#include <cstdint>
#include <limits>

namespace bramleypath {

// A point on the host's monotonic clock, in microseconds since an arbitrary
// origin. Never sent to another host: messages carry durations, which the
// receiver converts to deadlines on its own clock.
struct TimePoint {
  std::int64_t micros = 0;
};

// A length of time in microseconds. Used in signatures and settings; state
// stores deadlines instead.
struct Duration {
  std::int64_t micros = 0;
};

// A deadline that never expires.
constexpr TimePoint kNever{std::numeric_limits<std::int64_t>::max()};

constexpr Duration Micros(std::int64_t aCount) { return Duration{aCount}; }
constexpr Duration Millis(std::int64_t aCount) {
  return Duration{aCount * 1000};
}
constexpr Duration Seconds(std::int64_t aCount) {
  return Duration{aCount * 1000 * 1000};
}

constexpr TimePoint operator+(TimePoint aLeft, Duration aRight) {
  return TimePoint{aLeft.micros + aRight.micros};
}
constexpr TimePoint operator-(TimePoint aLeft, Duration aRight) {
  return TimePoint{aLeft.micros - aRight.micros};
}
constexpr Duration operator-(TimePoint aLeft, TimePoint aRight) {
  return Duration{aLeft.micros - aRight.micros};
}
constexpr Duration operator+(Duration aLeft, Duration aRight) {
  return Duration{aLeft.micros + aRight.micros};
}
constexpr Duration operator-(Duration aLeft, Duration aRight) {
  return Duration{aLeft.micros - aRight.micros};
}
constexpr Duration operator*(Duration aLeft, std::int64_t aRight) {
  return Duration{aLeft.micros * aRight};
}

constexpr bool operator==(TimePoint aLeft, TimePoint aRight) {
  return aLeft.micros == aRight.micros;
}
constexpr bool operator!=(TimePoint aLeft, TimePoint aRight) {
  return aLeft.micros != aRight.micros;
}
constexpr bool operator<(TimePoint aLeft, TimePoint aRight) {
  return aLeft.micros < aRight.micros;
}
constexpr bool operator<=(TimePoint aLeft, TimePoint aRight) {
  return aLeft.micros <= aRight.micros;
}
constexpr bool operator>(TimePoint aLeft, TimePoint aRight) {
  return aRight < aLeft;
}
constexpr bool operator>=(TimePoint aLeft, TimePoint aRight) {
  return aRight <= aLeft;
}

constexpr bool operator==(Duration aLeft, Duration aRight) {
  return aLeft.micros == aRight.micros;
}
constexpr bool operator<(Duration aLeft, Duration aRight) {
  return aLeft.micros < aRight.micros;
}

// Whole milliseconds, rounded towards zero.
constexpr std::int64_t ToMillis(Duration aDuration) {
  return aDuration.micros / 1000;
}

}  // namespace bramleypath
