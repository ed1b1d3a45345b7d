#include "bramleypath/net/ConnectionBounds.h"

#include <algorithm>

namespace bramleypath::net {

namespace {

using Indices = std::vector<std::size_t>;

std::size_t HeldBy(const ConnectionUse& aUse) {
  return aUse.received + aUse.unsent;
}

bool IsIdle(const ConnectionUse& aUse) {
  return !aUse.handling && HeldBy(aUse) == 0;
}

template <typename Condition>
Indices Select(gsl::span<const ConnectionUse> aUses, Condition aCondition) {
  Indices found;
  for (std::size_t index = 0; index < aUses.size(); ++index) {
    const ConnectionUse& use = aUses[index];
    if (!use.closing && aCondition(use)) {
      found.push_back(index);
    }
  }
  return found;
}

}  // namespace

Indices ChooseForMemory(gsl::span<const ConnectionUse> aUses, std::size_t aHeld,
                        std::size_t aMaxHeld) {
  if (aHeld <= aMaxHeld) {
    return {};
  }
  constexpr std::size_t kFreedPart = 8;
  const std::size_t target = aMaxHeld - aMaxHeld / kFreedPart;
  Indices found = Select(aUses, [](const ConnectionUse& aUse) {
    return !aUse.handling && HeldBy(aUse) > 0;
  });
  std::sort(found.begin(), found.end(),
            [aUses](std::size_t aLeft, std::size_t aRight) {
              return aUses[aLeft].progressAt < aUses[aRight].progressAt;
            });
  std::size_t count = 0;
  std::size_t left = aHeld;
  while (count < found.size() && left > target) {
    left -= std::min(left, HeldBy(aUses[found[count]]));
    ++count;
  }
  found.resize(count);
  return found;
}

Indices ChooseForCount(gsl::span<const ConnectionUse> aUses,
                       std::optional<std::uint32_t> aListener,
                       std::size_t aMaxConnections) {
  if (aUses.size() <= aMaxConnections) {
    return {};
  }
  Indices found = Select(aUses, [aListener](const ConnectionUse& aUse) {
    return !aListener || aUse.listener == *aListener;
  });
  if (found.size() <= aMaxConnections) {
    return {};
  }
  const std::size_t excess = found.size() - aMaxConnections;
  const auto handled = std::remove_if(
      found.begin(), found.end(),
      [aUses](std::size_t aIndex) { return aUses[aIndex].handling; });
  found.erase(handled, found.end());
  const auto isBefore = [aUses](std::size_t aLeft, std::size_t aRight) {
    const ConnectionUse& left = aUses[aLeft];
    const ConnectionUse& right = aUses[aRight];
    return IsIdle(left) == IsIdle(right) ? left.progressAt < right.progressAt
                                         : IsIdle(left);
  };
  const std::size_t count = std::min(excess, found.size());
  std::partial_sort(found.begin(),
                    found.begin() + static_cast<std::ptrdiff_t>(count),
                    found.end(), isBefore);
  found.resize(count);
  return found;
}

Indices ChooseStalled(gsl::span<const ConnectionUse> aUses, TimePoint aNow) {
  return Select(aUses, [aNow](const ConnectionUse& aUse) {
    return !aUse.handling && aUse.received > 0 &&
           kMaxStall < aNow - aUse.progressAt;
  });
}

}  // namespace bramleypath::net
