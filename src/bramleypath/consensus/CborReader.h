#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::consensus {

enum class CborKind : std::uint8_t { Unsigned, Boolean, Text, Binary, Array };

struct CborToken {
  CborKind kind = CborKind::Unsigned;
  std::uint64_t number = 0;  // Unsigned, Boolean; Array: its length
  Bytes data;                // Text, Binary
};

// Reads CBOR made of nested arrays, unsigned numbers, booleans, text and byte
// strings as a flat row of tokens. This needs one pass, no tree, and a bounded
// stack whatever the bytes are.
struct CborReader {
  std::vector<CborToken> tokens;
  std::size_t next = 0;
  // False after the first token that was not of the kind asked for; all
  // further reads then return empty values.
  bool good = true;
};

// None when the bytes are not such CBOR or hold more tokens than allowed.
std::optional<CborReader> ParseCbor(gsl::span<const std::uint8_t> aBytes,
                                    std::size_t aMaxTokens);

std::uint64_t ReadUnsigned(CborReader& aReader);
bool ReadBoolean(CborReader& aReader);
std::string ReadText(CborReader& aReader);
Bytes ReadBinary(CborReader& aReader);
// The length of the array that starts here; at most aMaxLength.
std::size_t ReadArray(CborReader& aReader, std::size_t aMaxLength);
// True when everything was read without a mismatch.
bool IsFinished(const CborReader& aReader);

}  // namespace bramleypath::consensus
