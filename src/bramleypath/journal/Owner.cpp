#include "bramleypath/journal/Owner.h"

#include <xxhash.h>

#include <string>

#include "bramleypath/journal/State.h"

namespace bramleypath::journal {

namespace {

constexpr Periods kDefaultPeriods{};
static_assert(
    ToMillis(kDefaultPeriods.grant + kDefaultPeriods.dispatched +
             kDefaultPeriods.retention) <= config::kMinMoveWaitMs,
    "a moved key could still be granted or answered by its old owner");

std::uint64_t Score(const std::string& aKey, const DataCentreId& aCentre) {
  const std::string& name = aCentre.value;
  const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

// Returns the data centre with the highest score. When scores are equal, the
// first one by name wins.
DataCentreId HighestScoring(const std::string& aKey,
                            const std::set<DataCentreId>& aCentres) {
  DataCentreId best;
  std::uint64_t bestScore = 0;
  for (const DataCentreId& centre : aCentres) {
    const std::uint64_t score = Score(aKey, centre);
    if (best.empty() || score > bestScore) {
      best = centre;
      bestScore = score;
    }
  }
  return best;
}

}  // namespace

std::optional<KeyOwner> OwnerOf(const ClientAccountId& aClientAccount,
                                std::string_view aKey,
                                const config::KeyOwners& aOwners) {
  if (aOwners.current.empty()) {
    return std::nullopt;
  }
  std::string key = std::to_string(aClientAccount.value.size());
  key += ':';
  key += aClientAccount.value;
  key += aKey;
  KeyOwner owner;
  owner.dataCentre = HighestScoring(key, aOwners.current);
  owner.generation = aOwners.generation;
  owner.acceptsNew = !config::IsPending(aOwners) ||
                     HighestScoring(key, aOwners.next) == owner.dataCentre;
  return owner;
}

}  // namespace bramleypath::journal
