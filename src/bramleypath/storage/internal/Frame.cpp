#include "bramleypath/storage/internal/Frame.h"

#include <zlib.h>

#include <algorithm>

namespace bramleypath::storage::detail {

namespace {

constexpr std::size_t kUint32Bytes = 4;
// Disks write whole sectors. After a power failure during a write that extends
// a file, the sectors that were not written read as zeros.
constexpr std::size_t kSectorBytes = 512;

void AppendUint32(std::vector<std::uint8_t>& aBytes, std::uint32_t aValue) {
  for (std::size_t i = 0; i < kUint32Bytes; ++i) {
    aBytes.push_back(static_cast<std::uint8_t>(aValue >> (8 * i)));
  }
}

std::uint32_t ReadUint32(gsl::span<const std::uint8_t> aBytes,
                         std::size_t aOffset) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kUint32Bytes; ++i) {
    value |= static_cast<std::uint32_t>(aBytes[aOffset + i]) << (8 * i);
  }
  return value;
}

bool IsZero(gsl::span<const std::uint8_t> aBytes) {
  return std::all_of(aBytes.begin(), aBytes.end(),
                     [](std::uint8_t aByte) { return aByte == 0; });
}

// Returns whether a sector, or the part of a sector within the range, is all
// zeros.
bool HasUnwrittenSector(gsl::span<const std::uint8_t> aFile, std::size_t aBegin,
                        std::size_t aEnd) {
  for (std::size_t at = aBegin; at < aEnd;) {
    const std::size_t next =
        std::min(aEnd, (at / kSectorBytes + 1) * kSectorBytes);
    // A shorter part of a sector at either end of the range may be payload that
    // happens to be zero.
    constexpr std::size_t kMinZeroBytes = 32;
    if (next - at >= kMinZeroBytes && IsZero(aFile.subspan(at, next - at))) {
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
  AppendUint32(frame, static_cast<std::uint32_t>(aPayload.size()));
  AppendUint32(frame, Checksum(aPayload));
  AppendUint32(frame, Checksum(frame));
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
  const std::size_t length = ReadUint32(rest, 0);
  const std::uint32_t payloadChecksum = ReadUint32(rest, kUint32Bytes);
  const std::uint32_t headerChecksum = ReadUint32(rest, 2 * kUint32Bytes);
  if (headerChecksum != Checksum(rest.subspan(0, 2 * kUint32Bytes))) {
    return result;
  }
  if (rest.size() - kFrameHeaderBytes < length) {
    result.state = FrameState::Torn;
    return result;
  }
  result.payload = rest.subspan(kFrameHeaderBytes, length);
  result.nextOffset = aOffset + kFrameHeaderBytes + length;
  if (payloadChecksum == Checksum(result.payload)) {
    result.state = FrameState::Valid;
  } else if (result.nextOffset == aFile.size() &&
             HasUnwrittenSector(aFile, aOffset + kFrameHeaderBytes,
                                result.nextOffset)) {
    result.state = FrameState::Torn;
  }
  return result;
}

}  // namespace bramleypath::storage::detail
