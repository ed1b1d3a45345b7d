#include "bramleypath/relay/LeaderSearch.h"

namespace bramleypath::relay {

namespace {

constexpr Duration kFreshContact = Millis(150);
// A leader is replaced within an election time-out of at most 1,000 ms, the
// votes and the first commit.
constexpr Duration kLongestLeaderChange = Millis(1500);
// Silence for a shorter time may be a pause of a busy host or of the network.
constexpr Duration kShortestOutage = Millis(600);
// A single round may fail because of this host.
constexpr std::uint32_t kRoundsOfSilence = 2;
// An older round says nothing about the present.
constexpr Duration kRoundLifetime = Millis(1500);

}  // namespace

bool MaySendAtOnce(const LeaderContact& aContact, TimePoint aNow) {
  return aContact.isConfirmed && aNow < aContact.at + kFreshContact;
}

SearchVerdict JudgeSearch(const LeaderSearch& aSearch, TimePoint aNow) {
  const bool hasRecentRound =
      aSearch.rounds > 0 && aNow < aSearch.roundAt + kRoundLifetime;
  if (aSearch.startedAt == kNever || !hasRecentRound) {
    return SearchVerdict::Wait;
  }
  const bool isMostSilent = aSearch.silent * 2 > aSearch.asked;
  if (isMostSilent && aSearch.rounds >= kRoundsOfSilence &&
      aNow >= aSearch.startedAt + kShortestOutage) {
    return SearchVerdict::MajoritySilent;
  }
  return aNow >= aSearch.startedAt + kLongestLeaderChange
             ? SearchVerdict::NoLeader
             : SearchVerdict::Wait;
}

}  // namespace bramleypath::relay
