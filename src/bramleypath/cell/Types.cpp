#include "bramleypath/cell/Types.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bramleypath::cell {

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

bool Fits(const Resources& aDemand, const Resources& aRoom) {
  return aDemand.processorsMilli <= aRoom.processorsMilli &&
         aDemand.memoryMb <= aRoom.memoryMb &&
         aDemand.accelerators <= aRoom.accelerators;
}

bool operator==(const AttemptId& aLeft, const AttemptId& aRight) {
  return aLeft.number == aRight.number && aLeft.task == aRight.task;
}

bool operator<(const AttemptId& aLeft, const AttemptId& aRight) {
  return aLeft.task == aRight.task ? aLeft.number < aRight.number
                                   : aLeft.task < aRight.task;
}

std::uint64_t DigestOf(const AttemptId& aAttempt) {
  constexpr unsigned kIndexShift = 32;
  const std::uint64_t seed =
      (static_cast<std::uint64_t>(aAttempt.task.index) << kIndexShift) |
      aAttempt.number;
  const std::string& job = aAttempt.task.job.value;
  return XXH64(job.data(), job.size(), seed);
}

}  // namespace bramleypath::cell
