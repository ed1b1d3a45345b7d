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
  std::uint64_t number = 0;  // Unsigned, Boolean, or the length of an Array
  Bytes data;                // Text or Binary
};

// Reads CBOR that consists of nested arrays, unsigned numbers, booleans, text
// and byte strings as a flat sequence of tokens. Parsing takes one pass, builds
// no tree and uses a bounded stack for any input.
struct CborReader {
  std::vector<CborToken> tokens;
  std::size_t next = 0;
  // Becomes false at the first read that finds a token of another kind or none.
  // All later reads then return empty values.
  bool good = true;
};

// Returns nullopt when the bytes are not CBOR of this form or hold more than
// aMaxTokens tokens.
std::optional<CborReader> ParseCbor(gsl::span<const std::uint8_t> aBytes,
                                    std::size_t aMaxTokens);

std::uint64_t ReadUnsigned(CborReader& aReader);
bool ReadBoolean(CborReader& aReader);
std::string ReadText(CborReader& aReader);
Bytes ReadBinary(CborReader& aReader);
// Reads the start of an array and returns its length. A length above aMaxLength
// counts as a failed read.
std::size_t ReadArray(CborReader& aReader, std::size_t aMaxLength);
// True when every token was read and no read failed.
bool IsFinished(const CborReader& aReader);

}  // namespace bramleypath::consensus
