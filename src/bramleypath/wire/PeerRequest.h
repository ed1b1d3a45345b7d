#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/net/Http.h"
#include "bramleypath/net/PeerFrame.h"

namespace bramleypath::wire {

// A request from one entry host to another: forwarded calls, operator requests,
// worker announcements and reports, and questions to the owner of a key.
struct PeerRequest {
  std::uint64_t id = 0;  // chosen by the sender; the answer carries it
  std::string method;
  std::string path;
  std::string query;
  std::vector<net::Header> headers;
  net::Bytes body;
  std::int64_t remainingMs = 0;  // until the sender stops waiting
};

struct PeerAnswer {
  std::uint64_t id = 0;
  std::uint32_t status = 0;
  std::string contentType;
  std::vector<net::Header> headers;
  net::Bytes body;
};

net::Bytes Encode(const PeerRequest& aRequest);
net::Bytes Encode(const PeerAnswer& aAnswer);
// Nothing for malformed bytes.
std::optional<PeerRequest> DecodePeerRequest(const net::Bytes& aBytes);
std::optional<PeerAnswer> DecodePeerAnswer(const net::Bytes& aBytes);

// What an entry host tells the others of itself, every 500 ms.
struct LedGroup {
  std::string group;
  std::uint64_t term = 0;
};
struct HostHello {
  std::string identity;  // of its data folder; empty without a disk
  std::vector<LedGroup> leads;
};

net::Bytes Encode(const HostHello& aHello);
std::optional<HostHello> DecodeHostHello(const net::Bytes& aBytes);

}  // namespace bramleypath::wire
