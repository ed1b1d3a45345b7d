#include "bramleypath/relay/AttemptMeaning.h"

namespace bramleypath::relay {

AttemptMeaning MeaningOf(const net::HttpResponse& aAnswer) {
  constexpr std::uint32_t kFirstSuccess = 200;
  constexpr std::uint32_t kAfterSuccess = 300;
  constexpr std::uint32_t kGone = 410;
  constexpr std::uint32_t kNotImplemented = 501;
  constexpr std::uint32_t kGatewayTimeout = 504;
  const std::uint32_t status = aAnswer.status;
  if (status == kNotLeaderStatus &&
      net::FindHeader(aAnswer.headers, kNotLeaderHeader)) {
    return AttemptMeaning::NotHandled;
  }
  // A listener that is being closed rejects requests with this status.
  if (status == kNotImplemented) {
    return AttemptMeaning::NotHandled;
  }
  if (status == kExpiredStatus &&
      net::FindHeader(aAnswer.headers, kExpiredHeader)) {
    return AttemptMeaning::Expired;
  }
  if (status == kGatewayTimeout) {
    return AttemptMeaning::OutcomeUnknown;
  }
  const bool isSuccess = status >= kFirstSuccess && status < kAfterSuccess;
  return isSuccess || status == kGone ? AttemptMeaning::Settled
                                      : AttemptMeaning::AttemptRefused;
}

}  // namespace bramleypath::relay
