#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <vector>

namespace bramleypath::storage::detail {

// A frame is a header of three little-endian 32-bit integers (length of the
// payload, CRC-32 of the payload, CRC-32 of these two integers), followed by
// the payload. The header has its own checksum because a damaged length would
// otherwise look like a torn tail.
constexpr std::size_t kFrameHeaderBytes = 12;

enum class FrameState {
  // Complete, and both checksums match.
  Valid,
  // Incomplete, as a crash during the last write leaves it.
  Torn,
  Corrupt,
};

struct FrameResult {
  FrameState state = FrameState::Corrupt;
  gsl::span<const std::uint8_t> payload;  // Valid only
  std::size_t nextOffset = 0;             // Valid only
};

std::vector<std::uint8_t> MakeFrame(gsl::span<const std::uint8_t> aPayload);

// Reads the frame at aOffset (bytes), which must be less than the size of
// aFile.
FrameResult ReadFrame(gsl::span<const std::uint8_t> aFile, std::size_t aOffset);

// Returns the CRC-32 of aBytes.
std::uint32_t Checksum(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::storage::detail
