#pragma once

#include <cstdint>

namespace bramleypath {

// A seeded random number generator (SplitMix64). State machines hold one in
// their state, so that a run can be repeated from its seed.
struct Random {
  std::uint64_t state = 0;
};

// Uniform over all 64-bit values.
std::uint64_t NextRandom(Random& aRandom);

// Uniform in [0, aBound); aBound is at least 1.
std::uint64_t NextBelow(Random& aRandom, std::uint64_t aBound);

// Uniform in [0, 1).
double NextUnit(Random& aRandom);

}  // namespace bramleypath
