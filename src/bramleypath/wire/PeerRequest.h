#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/net/Http.h"
#include "bramleypath/net/PeerFrame.h"

namespace bramleypath::wire {

// A request from one entry host to another. It carries a forwarded call, an
// operator request, a worker announcement or report, or a request to the owner
// of an idempotency key.
struct PeerRequest {
  // Chosen by the sender and repeated in the answer.
  std::uint64_t id = 0;
  std::string method;
  std::string path;
  std::string query;
  std::vector<net::Header> headers;
  net::Bytes body;
  // Time from sending until the sender stops waiting for the answer.
  std::int64_t remainingMs = 0;
};

struct PeerAnswer {
  // PeerRequest::id of the request.
  std::uint64_t id = 0;
  std::uint32_t status = 0;
  std::string contentType;
  std::vector<net::Header> headers;
  net::Bytes body;
};

net::Bytes Encode(const PeerRequest& aRequest);
net::Bytes Encode(const PeerAnswer& aAnswer);
// Return none for malformed bytes.
std::optional<PeerRequest> DecodePeerRequest(const net::Bytes& aBytes);
std::optional<PeerAnswer> DecodePeerAnswer(const net::Bytes& aBytes);

// A consensus group that the sending host leads.
struct LedGroup {
  std::string group;
  std::uint64_t term = 0;
};

// Sent by each entry host to the others every 500 ms.
struct HostHello {
  // Identity of the host's data folder; empty without a disk.
  std::string identity;
  std::vector<LedGroup> leads;
};

net::Bytes Encode(const HostHello& aHello);
// Returns none for malformed bytes.
std::optional<HostHello> DecodeHostHello(const net::Bytes& aBytes);

}  // namespace bramleypath::wire
