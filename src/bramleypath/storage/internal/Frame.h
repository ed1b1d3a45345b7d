#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <vector>

namespace bramleypath::storage::detail {

// A frame is a header of three little-endian numbers of 32 bits (length of the
// payload, crc32 of the payload, crc32 of the two) and the payload. The header
// has its own checksum so that a damaged length can't pass for a torn tail.
constexpr std::size_t kFrameHeaderBytes = 12;

enum class FrameState {
  Whole,
  // Incomplete, as a crash during the last write leaves it.
  Torn,
  Corrupt,
};

struct FrameResult {
  FrameState state = FrameState::Corrupt;
  gsl::span<const std::uint8_t> payload;  // Whole
  std::size_t nextOffset = 0;             // Whole
};

std::vector<std::uint8_t> MakeFrame(gsl::span<const std::uint8_t> aPayload);

// Reads the frame at aOffset, which is less than the size of the file.
FrameResult ReadFrame(gsl::span<const std::uint8_t> aFile, std::size_t aOffset);

std::uint32_t Checksum(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::storage::detail
