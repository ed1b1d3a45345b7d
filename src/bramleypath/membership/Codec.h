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

// Messages above this are refused by the decoder; the core splits larger ones.
constexpr std::size_t kMaxGossipBytes = 256 * 1024;

// CBOR arrays; integers take one to nine bytes.
Bytes EncodeGossip(const GossipMessage& aMessage);

// Nothing, with the reason, on any malformed or oversized input.
std::optional<GossipMessage> DecodeGossip(const Bytes& aBytes,
                                          CodecReason& aReason);

}  // namespace bramleypath::membership
