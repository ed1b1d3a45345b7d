#pragma once

#include <cstdint>

namespace bramleypath {

// A small seeded generator (SplitMix64) held in the state of each core, so
// that a run can be repeated from its seed.
struct Random {
  std::uint64_t state = 0;
};

std::uint64_t NextRandom(Random& aRandom);

// Uniform in [0, aBound); aBound is at least 1.
std::uint64_t NextBelow(Random& aRandom, std::uint64_t aBound);

// Uniform in [0, 1).
double NextUnit(Random& aRandom);

}  // namespace bramleypath
