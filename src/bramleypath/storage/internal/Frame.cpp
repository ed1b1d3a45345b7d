#include "bramleypath/storage/internal/Frame.h"

#include <zlib.h>

#include <algorithm>

namespace bramleypath::storage::detail {

namespace {

constexpr std::size_t kNumberBytes = 4;
// Disks write whole sectors: a write that was cut short by a power failure
// leaves some sectors unwritten, which read as zeros in a file that grew.
constexpr std::size_t kSectorBytes = 512;

void PutNumber(std::vector<std::uint8_t>& aBytes, std::uint32_t aValue) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    aBytes.push_back(static_cast<std::uint8_t>(aValue >> (8 * i)));
  }
}

std::uint32_t TakeNumber(gsl::span<const std::uint8_t> aBytes,
                         std::size_t aOffset) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    value |= static_cast<std::uint32_t>(aBytes[aOffset + i]) << (8 * i);
  }
  return value;
}

bool IsZero(gsl::span<const std::uint8_t> aBytes) {
  return std::all_of(aBytes.begin(), aBytes.end(),
                     [](std::uint8_t aByte) { return aByte == 0; });
}

// True when a sector, or the part of one that lies in the range, is all zeros.
bool HasUnwrittenSector(gsl::span<const std::uint8_t> aFile, std::size_t aBegin,
                        std::size_t aEnd) {
  for (std::size_t at = aBegin; at < aEnd;) {
    const std::size_t next =
        std::min(aEnd, (at / kSectorBytes + 1) * kSectorBytes);
    // A few zeros at an edge of the range may well be content.
    constexpr std::size_t kLeastBytes = 32;
    if (next - at >= kLeastBytes && IsZero(aFile.subspan(at, next - at))) {
      return true;
    }
    at = next;
  }
  return false;
}

}  // namespace

std::uint32_t Checksum(gsl::span<const std::uint8_t> aBytes) {
  return static_cast<std::uint32_t>(
      crc32_z(crc32_z(0, nullptr, 0), aBytes.data(), aBytes.size()));
}

std::vector<std::uint8_t> MakeFrame(gsl::span<const std::uint8_t> aPayload) {
  std::vector<std::uint8_t> frame;
  frame.reserve(kFrameHeaderBytes + aPayload.size());
  PutNumber(frame, static_cast<std::uint32_t>(aPayload.size()));
  PutNumber(frame, Checksum(aPayload));
  PutNumber(frame, Checksum(frame));
  frame.insert(frame.end(), aPayload.begin(), aPayload.end());
  return frame;
}

FrameResult ReadFrame(gsl::span<const std::uint8_t> aFile,
                      std::size_t aOffset) {
  FrameResult result;
  const auto rest = aFile.subspan(aOffset);
  if (rest.size() < kFrameHeaderBytes || IsZero(rest)) {
    result.state = FrameState::Torn;
    return result;
  }
  const std::size_t length = TakeNumber(rest, 0);
  const std::uint32_t payloadChecksum = TakeNumber(rest, kNumberBytes);
  const std::uint32_t headerChecksum = TakeNumber(rest, 2 * kNumberBytes);
  if (headerChecksum != Checksum(rest.subspan(0, 2 * kNumberBytes))) {
    return result;
  }
  if (rest.size() - kFrameHeaderBytes < length) {
    result.state = FrameState::Torn;
    return result;
  }
  result.payload = rest.subspan(kFrameHeaderBytes, length);
  result.nextOffset = aOffset + kFrameHeaderBytes + length;
  if (payloadChecksum == Checksum(result.payload)) {
    result.state = FrameState::Whole;
  } else if (result.nextOffset == aFile.size() &&
             HasUnwrittenSector(aFile, aOffset + kFrameHeaderBytes,
                                result.nextOffset)) {
    result.state = FrameState::Torn;
  }
  return result;
}

}  // namespace bramleypath::storage::detail
