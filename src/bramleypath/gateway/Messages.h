#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/base/TimePoint.h"
#include "bramleypath/workflow/Driver.h"

// Messages between the leader and the hosts that send its requests to workers,
// called gateways. Each is the payload of a peer frame of the kind of the same
// name, and hosts that don't know these kinds ignore them.
namespace bramleypath::gateway {

using Bytes = std::vector<std::uint8_t>;

constexpr const char* kProbeKind = "gateway_probe";
constexpr const char* kReadyKind = "gateway_ready";
constexpr const char* kRequestsKind = "gateway_requests";
constexpr const char* kAnswersKind = "gateway_answers";

// A time on the gateway's clock. The leader only returns it, together with how
// long ago it was received, so that the gateway can tell the age of requests
// without comparing the clocks of two hosts.
struct Stamp {
  // Chosen at random by each gateway process: the clock of a host that was
  // restarted begins anew.
  std::uint64_t process = 0;
  TimePoint at;
};

// Asks a host whether it takes requests. Sent by the leader, empty payload.

// Answer to a probe.
struct Ready {
  Stamp stamp;
};

using RequestBody =
    std::variant<workflow::StartRequest, workflow::StopRequest,
                 workflow::PaceRequest, workflow::RenewLeaseRequest>;

struct Request {
  std::uint64_t id = 0;
  WorkerId worker;
  std::string address;
  // How long after the sending of the message the gateway may still send it.
  std::uint32_t sendWithinMs = 0;
  RequestBody body;
};

struct Requests {
  // Chosen at random by each process of a leader and returned with the answers:
  // the ids of requests begin anew in each process.
  std::uint64_t session = 0;
  // The newest one that the gateway sent to the leader.
  Stamp stamp;
  // How long before the sending of this message the leader received it.
  std::uint32_t stampAgeMs = 0;
  std::vector<Request> requests;
};

struct Answer {
  std::uint64_t id = 0;
  // The gateway did not hand the request to its driver. Other requests that
  // were not sent say nothing about the gateway, because they may have waited
  // for a worker's connections.
  bool rejected = false;
  // Only the result is filled in but for answers to lease renewals.
  workflow::RenewLeaseAnswer answer;
};

struct Answers {
  std::uint64_t session = 0;
  Stamp stamp;
  std::vector<Answer> answers;
};

Bytes EncodeReady(const Ready& aReady);
Bytes EncodeRequests(const Requests& aRequests);
Bytes EncodeAnswers(const Answers& aAnswers);

// Upper bounds of the encoded size, from which senders bound their messages.
std::size_t MaxEncodedBytes(const Request& aRequest);
std::size_t MaxEncodedBytes(const Answer& aAnswer);
// A message of requests or answers is sent once it has this size. Far below the
// limit of a frame, so that messages of the replica don't wait long behind it.
constexpr std::size_t kFullMessageBytes = 256 * 1024;

// Nothing when aBytes are not such a message.
std::optional<Ready> DecodeReady(gsl::span<const std::uint8_t> aBytes);
std::optional<Requests> DecodeRequests(gsl::span<const std::uint8_t> aBytes);
std::optional<Answers> DecodeAnswers(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::gateway
