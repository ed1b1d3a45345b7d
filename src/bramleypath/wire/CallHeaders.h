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

// The parsed headers of POST /v1/call/{service}.
struct CallHeaders {
  ClientAccountId clientAccount;
  ClassId callClass;
  // Counted from the arrival of the request.
  Duration deadline;
  // Without a value, the default of the class applies.
  std::optional<bool> idempotent;
  // The idempotency key; empty when the call has none.
  std::string key;
};

// Returns none and sets aReason when a header is missing or malformed.
std::optional<CallHeaders> ParseCallHeaders(
    const std::vector<net::Header>& aHeaders, WireReason& aReason);

// The response to a call that did not complete. The body is a JSON object with
// the members "outcome", "reason" and "request_id".
net::HttpResponse RefusalResponse(std::uint32_t aStatus, const char* aOutcome,
                                  const std::string& aReason,
                                  const RequestId& aRequest);

}  // namespace bramleypath::wire
