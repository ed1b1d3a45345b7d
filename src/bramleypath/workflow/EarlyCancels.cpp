#include "bramleypath/workflow/EarlyCancels.h"

#include <utility>

namespace bramleypath::workflow {

namespace {

void Erase(EarlyCancels& aCancels,
           std::map<std::uint64_t, EarlyCancel>::iterator aEntry) {
  aCancels.ordersById.erase(aEntry->second.job.value);
  aCancels.entries.erase(aEntry);
}

void EraseOutdated(EarlyCancels& aCancels, std::int64_t aUnixMs) {
  while (!aCancels.entries.empty() &&
         aCancels.entries.begin()->second.untilUnixMs < aUnixMs) {
    Erase(aCancels, aCancels.entries.begin());
  }
}

}  // namespace

void Restore(EarlyCancels& aCancels, EarlyCancel aEntry) {
  aCancels.ordersById[aEntry.job.value] = ++aCancels.lastOrder;
  aCancels.entries.emplace(aCancels.lastOrder, std::move(aEntry));
}

bool Remember(EarlyCancels& aCancels, const JobId& aJob, std::int64_t aUnixMs) {
  EraseOutdated(aCancels, aUnixMs);
  const auto known = aCancels.ordersById.find(aJob.value);
  if (known != aCancels.ordersById.end()) {
    Erase(aCancels, aCancels.entries.find(known->second));
  } else if (aCancels.entries.size() >= kMaxEarlyCancels) {
    return false;
  }
  Restore(aCancels,
          EarlyCancel{aJob, aUnixMs + ToMillis(kEarlyCancelLifetime)});
  return true;
}

bool Take(EarlyCancels& aCancels, const JobId& aJob, std::int64_t aUnixMs) {
  EraseOutdated(aCancels, aUnixMs);
  const auto known = aCancels.ordersById.find(aJob.value);
  if (known == aCancels.ordersById.end()) {
    return false;
  }
  const auto entry = aCancels.entries.find(known->second);
  const bool isInTime = aUnixMs <= entry->second.untilUnixMs;
  Erase(aCancels, entry);
  return isInTime;
}

}  // namespace bramleypath::workflow
