#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "bramleypath/membership/Types.h"

namespace bramleypath::membership {

enum class CodecError { TooLarge, NotCbor, MissingField, WrongType, TooMany };

struct CodecReason {
  CodecError code = CodecError::NotCbor;
  std::string detail;
};

// The decoder refuses larger messages; the sender splits its records by
// Settings::maxRecordsPerMessage to stay below.
constexpr std::size_t kMaxGossipBytes = 256 * 1024;

// Encodes the message as CBOR arrays; integers take one to nine bytes.
Bytes EncodeGossip(const GossipMessage& aMessage);

// Decodes a message. On malformed or oversized input, returns nothing and sets
// aReason.
std::optional<GossipMessage> DecodeGossip(const Bytes& aBytes,
                                          CodecReason& aReason);

}  // namespace bramleypath::membership
