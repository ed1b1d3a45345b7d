#include "bramleypath/membership/internal/Records.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bramleypath::membership::detail {

namespace {

// Ages are relative to the fastest message, so a gossiped copy of an
// announcement appears younger than it is by the network's minimum delay.
// Copies that circulate among the hosts must not postpone the expiry. Gossip
// therefore counts only if it is newer by more than this margin; announcements
// are 500 ms apart.
constexpr Duration kRelayMargin = Millis(100);

bool IsNewer(TimePoint aExpiresAt, TimePoint aKnown, RecordSource aSource) {
  return aSource == RecordSource::Direct ? aExpiresAt > aKnown
                                         : aExpiresAt > aKnown + kRelayMargin;
}

bool FitsLimits(const Members& aMembers, const std::string& aId,
                const std::string& aAddress) {
  return !aId.empty() && aId.size() <= aMembers.settings.maxIdBytes &&
         aAddress.size() <= aMembers.settings.maxAddressBytes;
}

bool IsValid(const Members& aMembers, const TargetRecord& aRecord) {
  return FitsLimits(aMembers, aRecord.target.value, aRecord.address) &&
         FitsLimits(aMembers, aRecord.service.value,
                    aRecord.clientAccount.value) &&
         aRecord.slots > 0;
}

bool EqualExceptLoad(const TargetRecord& aLeft, const TargetRecord& aRight) {
  return aLeft.incarnation == aRight.incarnation &&
         aLeft.service == aRight.service &&
         aLeft.clientAccount == aRight.clientAccount &&
         aLeft.address == aRight.address && aLeft.slots == aRight.slots &&
         aLeft.connections == aRight.connections;
}

TargetEntry* FindOrAddTarget(Members& aMembers, const TargetId& aTarget) {
  const auto found = aMembers.targets.find(aTarget);
  if (found != aMembers.targets.end()) {
    return &found->second;
  }
  const Settings& settings = aMembers.settings;
  if (aMembers.targets.size() >= settings.maxTargets + settings.maxDepartures) {
    ++aMembers.counters.recordsRefused;
    return nullptr;
  }
  TargetEntry& entry = aMembers.targets[aTarget];
  entry.state = aMembers.chart.absent;
  entry.number = aMembers.nextRecordNumber++;
  return &entry;
}

bool IsTableFull(const Members& aMembers, const TargetId& aTarget) {
  return aMembers.targets.count(aTarget) == 0 &&
         aMembers.targets.size() - aMembers.departures >=
             aMembers.settings.maxTargets;
}

// Removes the oldest departure if there are more than maxDepartures.
void RemoveExcessDepartures(Members& aMembers) {
  if (aMembers.departures <= aMembers.settings.maxDepartures) {
    return;
  }
  auto oldest = aMembers.targets.end();
  for (auto it = aMembers.targets.begin(); it != aMembers.targets.end(); ++it) {
    if (it->second.state == aMembers.chart.departed &&
        (oldest == aMembers.targets.end() ||
         it->second.forgetAt < oldest->second.forgetAt)) {
      oldest = it;
    }
  }
  if (oldest != aMembers.targets.end()) {
    aMembers.targets.erase(oldest);
    --aMembers.departures;
  }
}

}  // namespace

bool IsDeparted(const Members& aMembers, const TargetEntry& aEntry) {
  return aEntry.state == aMembers.chart.leaving ||
         aEntry.state == aMembers.chart.departed;
}

void ApplyTarget(Members& aMembers, const TargetRecord& aRecord,
                 TimePoint aReceivedAt, RecordSource aSource, TimePoint aNow,
                 Actions& aActions) {
  if (!IsValid(aMembers, aRecord) || IsTableFull(aMembers, aRecord.target)) {
    ++aMembers.counters.recordsRefused;
    return;
  }
  const TimePoint expiresAt = aReceivedAt + aMembers.settings.expiry;
  if (expiresAt <= aNow) {
    ++aMembers.counters.recordsTooLate;
    return;
  }
  TargetEntry* entry = FindOrAddTarget(aMembers, aRecord.target);
  if (entry == nullptr) {
    return;
  }
  const bool added = entry->state == aMembers.chart.absent;
  const bool newer = aRecord.incarnation > entry->record.incarnation;
  const bool departed = IsDeparted(aMembers, *entry);
  if (!added && ((departed && !newer) ||
                 aRecord.incarnation < entry->record.incarnation)) {
    ++aMembers.counters.recordsIgnored;
    return;
  }
  entry->state = NextTargetState(aMembers.chart, entry->state,
                                 aMembers.chart.announce, newer);
  if (departed) {
    --aMembers.departures;
  }
  const bool renewed = added || newer || departed;
  if (aSource == RecordSource::Direct) {
    entry->announcedDirectly = true;
  }
  if (!renewed && !IsNewer(expiresAt, entry->expiresAt, aSource)) {
    return;
  }
  const bool changed = renewed || !EqualExceptLoad(entry->record, aRecord);
  entry->record = aRecord;
  entry->expiresAt = expiresAt;
  if (changed) {
    entry->changed = true;
    aActions.push_back(TargetUp{aRecord});
  }
}

bool ApplyTargetDeparture(Members& aMembers, const TargetId& aTarget,
                          Incarnation aIncarnation, bool aDrain,
                          TimePoint aLeftAt, TimePoint aNow,
                          Actions& aActions) {
  const TimePoint forgetAt = aLeftAt + aMembers.settings.departureMemory;
  if (forgetAt <= aNow || aTarget.empty() ||
      aTarget.value.size() > aMembers.settings.maxIdBytes) {
    return false;
  }
  TargetEntry* entry = FindOrAddTarget(aMembers, aTarget);
  if (entry == nullptr) {
    return false;
  }
  const bool known = entry->state != aMembers.chart.absent;
  if (known && aIncarnation < entry->record.incarnation) {
    return false;
  }
  if (IsDeparted(aMembers, *entry)) {
    const bool newer = aIncarnation > entry->record.incarnation;
    entry->record.incarnation = aIncarnation;
    entry->forgetAt = std::max(entry->forgetAt, forgetAt);
    return newer;
  }
  const EventIndex event = aDrain ? aMembers.chart.drain : aMembers.chart.leave;
  entry->state = NextTargetState(aMembers.chart, entry->state, event, false);
  entry->record.target = aTarget;
  entry->record.incarnation = aIncarnation;
  entry->forgetAt = forgetAt;
  ++aMembers.departures;
  if (known) {
    aActions.push_back(TargetLeaving{aTarget, aIncarnation});
  }
  RemoveExcessDepartures(aMembers);
  return true;
}

void ExpireRecords(Members& aMembers, TimePoint aNow, Actions& aActions) {
  const TargetChart& chart = aMembers.chart;
  for (auto it = aMembers.targets.begin(); it != aMembers.targets.end();) {
    TargetEntry& entry = it->second;
    if (entry.state != chart.departed && entry.expiresAt <= aNow) {
      entry.state = NextTargetState(chart, entry.state, chart.expire, false);
      aActions.push_back(TargetGone{it->first, entry.record.incarnation});
    }
    if (entry.state == chart.departed && entry.forgetAt <= aNow) {
      entry.state = NextTargetState(chart, entry.state, chart.forget, false);
      --aMembers.departures;
    }
    it = entry.state == chart.absent ? aMembers.targets.erase(it)
                                     : std::next(it);
  }
}

}  // namespace bramleypath::membership::detail
