#include "bramleypath/cell/Types.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bramleypath::cell {

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
