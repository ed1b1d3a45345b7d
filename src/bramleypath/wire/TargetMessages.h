#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bramleypath/membership/Types.h"
#include "bramleypath/wire/WireReason.h"

namespace bramleypath::wire {

// JSON bodies of POST /v1/targets/announce and /v1/targets/leave. The parsers
// return none and set aReason when the body is invalid.

std::string ToJson(const membership::TargetRecord& aRecord);
std::optional<membership::TargetRecord> ParseTargetAnnounce(
    std::string_view aText, WireReason& aReason);

std::string ToJson(const membership::TargetLeft& aLeft);
std::optional<membership::TargetLeft> ParseTargetLeave(std::string_view aText,
                                                       WireReason& aReason);

}  // namespace bramleypath::wire
