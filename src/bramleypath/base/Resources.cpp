#include "bramleypath/base/Resources.h"

namespace bramleypath {

bool operator==(const Resources& aLeft, const Resources& aRight) {
  return aLeft.processorsMilli == aRight.processorsMilli &&
         aLeft.memoryMb == aRight.memoryMb &&
         aLeft.accelerators == aRight.accelerators;
}

bool operator!=(const Resources& aLeft, const Resources& aRight) {
  return !(aLeft == aRight);
}

Resources operator+(const Resources& aLeft, const Resources& aRight) {
  return Resources{aLeft.processorsMilli + aRight.processorsMilli,
                   aLeft.memoryMb + aRight.memoryMb,
                   aLeft.accelerators + aRight.accelerators};
}

Resources operator-(const Resources& aLeft, const Resources& aRight) {
  return Resources{aLeft.processorsMilli - aRight.processorsMilli,
                   aLeft.memoryMb - aRight.memoryMb,
                   aLeft.accelerators - aRight.accelerators};
}

bool IsPlausible(const Resources& aResources) {
  constexpr Resources kNone;
  constexpr Resources kMost{kMaxAmount, kMaxAmount, kMaxAmount};
  return Fits(kNone, aResources) && Fits(aResources, kMost);
}

bool Fits(const Resources& aDemand, const Resources& aAvailable) {
  return aDemand.processorsMilli <= aAvailable.processorsMilli &&
         aDemand.memoryMb <= aAvailable.memoryMb &&
         aDemand.accelerators <= aAvailable.accelerators;
}

std::string ToText(const Resources& aResources) {
  return std::to_string(aResources.processorsMilli) + "m/" +
         std::to_string(aResources.memoryMb) + "MB/" +
         std::to_string(aResources.accelerators);
}

}  // namespace bramleypath
