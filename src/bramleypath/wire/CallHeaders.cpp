#include "bramleypath/wire/CallHeaders.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace bramleypath::wire {

namespace {

bool Fail(WireReason& aReason, const char* aField, std::string aDetail) {
  aReason = WireReason{aField, std::move(aDetail)};
  return false;
}

bool ReadName(const std::vector<net::Header>& aHeaders, const char* aName,
              std::string& aValue, WireReason& aReason) {
  const std::string* const value = net::FindHeader(aHeaders, aName);
  if (!value || value->empty()) {
    return Fail(aReason, aName, "is missing");
  }
  if (value->size() > kMaxNameBytes) {
    return Fail(aReason, aName, "is longer than 128 bytes");
  }
  aValue = *value;
  return true;
}

bool ReadDeadline(const std::vector<net::Header>& aHeaders, Duration& aValue,
                  WireReason& aReason) {
  const std::string* const text = net::FindHeader(aHeaders, kDeadlineHeader);
  if (!text) {
    return Fail(aReason, kDeadlineHeader, "is missing");
  }
  std::int64_t millis = 0;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, millis);
  if (parsed.ec != std::errc() || parsed.ptr != end || millis < 1 ||
      millis > kMaxDeadlineMs) {
    return Fail(aReason, kDeadlineHeader,
                "must be a whole number from 1 to 600000");
  }
  aValue = Millis(millis);
  return true;
}

bool ReadIdempotent(const std::vector<net::Header>& aHeaders,
                    std::optional<bool>& aValue, WireReason& aReason) {
  const std::string* const text = net::FindHeader(aHeaders, kIdempotentHeader);
  if (!text) {
    return true;
  }
  if (*text != "true" && *text != "false") {
    return Fail(aReason, kIdempotentHeader, "must be true or false");
  }
  aValue = *text == "true";
  return true;
}

}  // namespace

std::optional<CallHeaders> ParseCallHeaders(
    const std::vector<net::Header>& aHeaders, WireReason& aReason) {
  CallHeaders headers;
  if (!ReadName(aHeaders, kClientAccountHeader, headers.clientAccount.value,
                aReason) ||
      !ReadName(aHeaders, kClassHeader, headers.callClass.value, aReason) ||
      !ReadDeadline(aHeaders, headers.deadline, aReason) ||
      !ReadIdempotent(aHeaders, headers.idempotent, aReason)) {
    return std::nullopt;
  }
  if (const std::string* const key = net::FindHeader(aHeaders, kKeyHeader)) {
    if (key->empty() || key->size() > kMaxKeyBytes) {
      Fail(aReason, kKeyHeader, "must have 1 to 256 bytes");
      return std::nullopt;
    }
    headers.key = *key;
  }
  return headers;
}

net::HttpResponse RefusalResponse(std::uint32_t aStatus, const char* aOutcome,
                                  const std::string& aReason,
                                  const RequestId& aRequest) {
  net::HttpResponse response;
  response.status = aStatus;
  response.headers = {{kOutcomeHeader, aOutcome},
                      {kRequestIdHeader, aRequest.value}};
  response.body = nlohmann::json{{"outcome", aOutcome},
                                 {"reason", aReason},
                                 {"request_id", aRequest.value}}
                      .dump();
  return response;
}

}  // namespace bramleypath::wire
