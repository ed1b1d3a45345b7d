#pragma once

#include <cstdint>

#include "bramleypath/base/TimePoint.h"

// Decides when a front sends a request to the leader, waits for a new leader,
// or refuses it at once.
namespace bramleypath::relay {

// What a front knows of the leader.
struct LeaderContact {
  // A host has said itself that it leads, and has not failed since.
  bool isConfirmed = false;
  TimePoint at;  // its latest answer
};

// The search since the leader was lost.
struct LeaderSearch {
  TimePoint startedAt = kNever;  // kNever: no search
  // Complete rounds, each of which asked all known hosts and found no leader.
  std::uint32_t rounds = 0;
  // The latest complete round: the hosts that were asked, those of them that
  // didn't answer, and its end.
  std::uint32_t asked = 0;
  std::uint32_t silent = 0;
  TimePoint roundAt;
};

enum class SearchVerdict : std::uint8_t {
  // A new leader may be found within the time of a request.
  Wait,
  // Most hosts are silent, so that none can lead.
  MajoritySilent,
  // The search has taken longer than a change of leader does.
  NoLeader
};

// Load pattern: all controllers, or the leader alone, stop answering while
// each front has about one request per second. A request that is sent into
// silence ends with an unknown outcome, so the leader is asked first unless it
// has answered just before.
bool MaySendAtOnce(const LeaderContact& aContact, TimePoint aNow);

// Load pattern: requests arrive while there is no leader. Those that a change
// of leader would hold up wait for it; in a longer outage callers are told at
// once.
SearchVerdict JudgeSearch(const LeaderSearch& aSearch, TimePoint aNow);

}  // namespace bramleypath::relay
