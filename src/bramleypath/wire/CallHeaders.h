#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/net/Http.h"
#include "bramleypath/wire/WireReason.h"

namespace bramleypath::wire {

constexpr const char* kClientAccountHeader = "Bramleypath-Member";
constexpr const char* kClassHeader = "Bramleypath-Class";
constexpr const char* kDeadlineHeader = "Bramleypath-Deadline-Ms";
constexpr const char* kIdempotentHeader = "Bramleypath-Idempotent";
constexpr const char* kKeyHeader = "Bramleypath-Key";
constexpr const char* kOutcomeHeader = "Bramleypath-Outcome";
constexpr const char* kRequestIdHeader = "Bramleypath-Request-Id";

constexpr const char* kCompleted = "completed";
constexpr const char* kNotRun = "not_run";
constexpr const char* kOutcomeUnknown = "outcome_unknown";

constexpr std::int64_t kMaxDeadlineMs = 600 * 1000;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxKeyBytes = 256;

// What the headers of POST /v1/call/{service} say.
struct CallHeaders {
  ClientAccountId clientAccount;
  ClassId callClass;
  Duration deadline;  // from the arrival of the request
  // Absent: the default of the class.
  std::optional<bool> idempotent;
  std::string key;  // empty: none
};

// Nothing when a header is missing or malformed.
std::optional<CallHeaders> ParseCallHeaders(
    const std::vector<net::Header>& aHeaders, WireReason& aReason);

// The answer to a call that did not complete:
// {"outcome", "reason", "request_id"}.
net::HttpResponse RefusalResponse(std::uint32_t aStatus, const char* aOutcome,
                                  const std::string& aReason,
                                  const RequestId& aRequest);

}  // namespace bramleypath::wire
