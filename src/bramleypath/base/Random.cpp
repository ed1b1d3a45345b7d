#include "bramleypath/base/Random.h"

namespace bramleypath {

std::uint64_t NextRandom(Random& aRandom) {
  aRandom.state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = aRandom.state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t NextBelow(Random& aRandom, std::uint64_t aBound) {
  // The bias of the modulus is below 2^-32 for the bounds used here.
  return NextRandom(aRandom) % aBound;
}

double NextUnit(Random& aRandom) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(NextRandom(aRandom) >> 11) * kScale;
}

}  // namespace bramleypath
