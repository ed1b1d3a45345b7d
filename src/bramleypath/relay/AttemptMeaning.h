#pragma once

#include "bramleypath/net/Http.h"

namespace bramleypath::relay {

// Set in the answer of a host that does not lead and has not handled the
// request. The value is the leader's host, empty when unknown.
constexpr const char* kNotLeaderHeader = "Bramleypath-Not-Leader";
constexpr std::uint32_t kNotLeaderStatus = 421;

// Set in the answer to an attempt that arrived after the time in
// kExpiresHeader. Nothing was done.
constexpr const char* kExpiredHeader = "Bramleypath-Expired";
constexpr std::uint32_t kExpiredStatus = 408;

// What the answer to one attempt says about the request. Other attempts at the
// same request may still be on their way, or may have been carried out.
enum class AttemptMeaning : std::uint8_t {
  // Holds for the request, whatever becomes of its other attempts: it was
  // carried out now or before, or there is no such job.
  Settled,
  // This attempt did nothing. Says nothing about the others.
  AttemptRefused,
  // The host does not lead or is stopping, and did nothing.
  NotHandled,
  // The attempt arrived after its time limit, by the leader's clock, and did
  // nothing.
  Expired,
  // This attempt may have been carried out.
  OutcomeUnknown
};

// Every status that isn't known to settle a request is taken to be about the
// attempt alone.
AttemptMeaning MeaningOf(const net::HttpResponse& aAnswer);

}  // namespace bramleypath::relay
