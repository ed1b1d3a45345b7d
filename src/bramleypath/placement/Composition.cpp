#include "bramleypath/placement/Composition.h"

#include <algorithm>

namespace bramleypath::placement {

namespace {

// Counts below this are treated as zero, because sums of throttle shares may
// miss zero by rounding.
constexpr double kMinCount = 1e-6;

bool ClassBefore(const ClassCount& aEntry, ClassIndex aClass) {
  return aEntry.classIndex < aClass;
}

}  // namespace

bool operator==(const Composition& aLeft, const Composition& aRight) {
  return std::equal(
      aLeft.classes.begin(), aLeft.classes.end(), aRight.classes.begin(),
      aRight.classes.end(), [](const ClassCount& aOne, const ClassCount& aTwo) {
        return aOne.classIndex == aTwo.classIndex && aOne.count == aTwo.count;
      });
}

void AddToComposition(Composition& aComposition, ClassIndex aClass,
                      double aDelta) {
  auto& classes = aComposition.classes;
  auto entry =
      std::lower_bound(classes.begin(), classes.end(), aClass, ClassBefore);
  if (entry == classes.end() || entry->classIndex != aClass) {
    entry = classes.insert(entry, ClassCount{aClass, 0});
  }
  entry->count += aDelta;
  if (entry->count < kMinCount) {
    classes.erase(entry);
  }
}

double CountOf(const Composition& aComposition, ClassIndex aClass) {
  const auto& classes = aComposition.classes;
  const auto entry =
      std::lower_bound(classes.begin(), classes.end(), aClass, ClassBefore);
  return entry != classes.end() && entry->classIndex == aClass ? entry->count
                                                               : 0;
}

}  // namespace bramleypath::placement
