#pragma once

#include <cstdint>
#include <vector>

namespace bramleypath::placement {

// A class of calls or batch work, interned by its place in a table.
using ClassIndex = std::uint16_t;

struct ClassCount {
  ClassIndex classIndex = 0;
  // Running attempts of the class; a throttled attempt counts as a part.
  double count = 0;
};

// What runs on one worker: each class at most once, sorted by class.
struct Composition {
  std::vector<ClassCount> classes;
};

bool operator==(const Composition& aLeft, const Composition& aRight);

// Adds aDelta attempts of a class, and removes the class at or below zero.
void AddToComposition(Composition& aComposition, ClassIndex aClass,
                      double aDelta);

double CountOf(const Composition& aComposition, ClassIndex aClass);

}  // namespace bramleypath::placement
