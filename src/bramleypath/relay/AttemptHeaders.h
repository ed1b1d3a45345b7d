#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "bramleypath/net/Http.h"

namespace bramleypath::relay {

// Holds the Host header of the caller's request, for the leader.
constexpr const char* kHostHeader = "Bramleypath-Host";
// Set in an attempt at a request of which an earlier attempt may have been
// carried out. The value is for how long the earlier ones have been under way,
// in ms. The leader then answers a submission that it has accepted within that
// time as accepted, also if it would refuse it now.
constexpr const char* kRepeatHeader = "Bramleypath-Repeat-Ms";

// The leader's answers hold the time of day that the hosts of the control plane
// agree on, in Unix milliseconds. An attempt at a submission holds the time of
// that clock at which its front gives the attempt up, so that the leader
// refuses one that was held up on its way. Absent while the relay doesn't know
// the clock.
constexpr const char* kGroupTimeHeader = "Bramleypath-Time-Ms";
constexpr const char* kExpiresHeader = "Bramleypath-Expires-Ms";

// A whole number of milliseconds in the header, up to the year 3000; none if it
// is missing or is no such number.
std::optional<std::int64_t> FindMillis(const std::vector<net::Header>& aHeaders,
                                       const char* aName);

// The latest that the control plane's time of day may be, in Unix ms, less this
// process's steady clock in ms. aKnownMs is what was known before. The answer
// said aUnixMs at a time between aSentMs and aReceivedMs of the steady clock.
// Keeps the tighter bound of the two unless the answer contradicts it.
std::int64_t TimeOffsetMs(std::optional<std::int64_t> aKnownMs,
                          std::int64_t aUnixMs, std::int64_t aSentMs,
                          std::int64_t aReceivedMs);

}  // namespace bramleypath::relay
