#pragma once

#include <chrono>

#include "bramleypath/base/TimePoint.h"

namespace bramleypath::net {

// The host's monotonic clock.
inline TimePoint Now() {
  const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{
      std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count()};
}

}  // namespace bramleypath::net
