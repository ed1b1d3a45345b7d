#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus {

// Limits that a decoded message must keep.
constexpr std::size_t kMaxEncodedMessageBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxMembers = 64;
constexpr std::size_t kMaxReplicaIdBytes = 256;

// CBOR arrays without field names; payloads are byte strings.
Bytes EncodeMessage(const Message& aMessage);
// None for bytes that are malformed, too large, or inconsistent.
std::optional<Message> DecodeMessage(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::consensus
