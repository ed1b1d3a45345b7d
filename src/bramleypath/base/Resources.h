#pragma once

#include <cstdint>
#include <string>

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

// Far above any machine, and low enough that the amounts of all workers can be
// added.
constexpr std::int64_t kMaxAmount = 1000000000000;

// Whether each amount is from 0 to kMaxAmount.
bool IsPlausible(const Resources& aResources);

// Whether aDemand is at most aAvailable in each resource.
bool Fits(const Resources& aDemand, const Resources& aAvailable);

// For the event log, such as "8000m/4096MB/0".
std::string ToText(const Resources& aResources);

}  // namespace bramleypath
