#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"

namespace bramleypath::net {

using Bytes = std::vector<std::uint8_t>;

// One message between entry hosts.
struct PeerFrame {
  // The Raft group; empty for messages outside of groups.
  std::string group;
  HostId from;
  HostId to;
  std::string kind;
  Bytes payload;
};

// CBOR map {group, from, to, kind, payload}.
Bytes EncodeFrame(const PeerFrame& aFrame);
// Nothing when aBytes are not such a map.
std::optional<PeerFrame> DecodeFrame(const Bytes& aBytes);

}  // namespace bramleypath::net
