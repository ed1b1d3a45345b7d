#include "bramleypath/relay/AttemptHeaders.h"

#include <charconv>
#include <string>

namespace bramleypath::relay {

std::optional<std::int64_t> FindMillis(const std::vector<net::Header>& aHeaders,
                                       const char* aName) {
  constexpr std::int64_t kLatestUnixMs = 32503680000000;
  const std::string* const text = net::FindHeader(aHeaders, aName);
  if (!text) {
    return std::nullopt;
  }
  std::int64_t millis = 0;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, millis);
  const bool isRead = parsed.ec == std::errc() && parsed.ptr == end &&
                      millis >= 0 && millis <= kLatestUnixMs;
  return isRead ? std::optional(millis) : std::nullopt;
}

std::int64_t TimeOffsetMs(std::optional<std::int64_t> aKnownMs,
                          std::int64_t aUnixMs, std::int64_t aSentMs,
                          std::int64_t aReceivedMs) {
  const std::int64_t latestMs = aUnixMs - aSentMs;
  const std::int64_t earliestMs = aUnixMs - aReceivedMs;
  const bool isTighter =
      aKnownMs && *aKnownMs >= earliestMs && *aKnownMs <= latestMs;
  return isTighter ? *aKnownMs : latestMs;
}

}  // namespace bramleypath::relay
