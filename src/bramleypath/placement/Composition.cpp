#include "bramleypath/placement/Composition.h"

#include <algorithm>

namespace bramleypath::placement {

namespace {

// Sums of throttle shares may miss zero by rounding.
constexpr double kSmallestCount = 1e-6;

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
  auto place =
      std::lower_bound(classes.begin(), classes.end(), aClass, ClassBefore);
  if (place == classes.end() || place->classIndex != aClass) {
    place = classes.insert(place, ClassCount{aClass, 0});
  }
  place->count += aDelta;
  if (place->count < kSmallestCount) {
    classes.erase(place);
  }
}

double CountOf(const Composition& aComposition, ClassIndex aClass) {
  const auto& classes = aComposition.classes;
  const auto place =
      std::lower_bound(classes.begin(), classes.end(), aClass, ClassBefore);
  return place != classes.end() && place->classIndex == aClass ? place->count
                                                               : 0;
}

}  // namespace bramleypath::placement
