#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus {

// Limits on a message; DecodeMessage returns nullopt for one that exceeds them.
constexpr std::size_t kMaxEncodedMessageBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxMembers = 64;
constexpr std::size_t kMaxReplicaIdBytes = 256;

// Encodes a message as a CBOR array without field names. Payloads become byte
// strings.
Bytes EncodeMessage(const Message& aMessage);
// Returns nullopt for bytes that are malformed, exceed a limit or contradict
// one another, such as a chunk that extends beyond the end of its snapshot.
std::optional<Message> DecodeMessage(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::consensus
