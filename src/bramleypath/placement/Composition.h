#pragma once

#include <cstdint>
#include <vector>

namespace bramleypath::placement {

// Index of a class of calls or batch work in the caller's table of classes.
using ClassIndex = std::uint16_t;

struct ClassCount {
  ClassIndex classIndex = 0;
  // Number of running attempts of the class; a throttled attempt counts as a
  // fraction of one.
  double count = 0;
};

// The classes that run on one worker. Each class occurs at most once, and the
// entries are sorted by class.
struct Composition {
  std::vector<ClassCount> classes;
};

bool operator==(const Composition& aLeft, const Composition& aRight);

// Adds aDelta attempts of a class, and removes the class when its count falls
// to zero or below.
void AddToComposition(Composition& aComposition, ClassIndex aClass,
                      double aDelta);

// Returns 0 for a class that isn't part of the composition.
double CountOf(const Composition& aComposition, ClassIndex aClass);

}  // namespace bramleypath::placement
