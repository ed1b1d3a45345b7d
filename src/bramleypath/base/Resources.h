#pragma once

#include <cstdint>

namespace bramleypath {

// Processors in thousandths of one, memory in MB, accelerators by count.
struct Resources {
  std::int64_t processorsMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
};

bool operator==(const Resources& aLeft, const Resources& aRight);
bool operator!=(const Resources& aLeft, const Resources& aRight);
Resources operator+(const Resources& aLeft, const Resources& aRight);
Resources operator-(const Resources& aLeft, const Resources& aRight);

// True when each part of aDemand is at most that of aAvailable.
bool Fits(const Resources& aDemand, const Resources& aAvailable);

}  // namespace bramleypath
