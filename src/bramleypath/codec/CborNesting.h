#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <limits>

#include "bramleypath/codec/CborKinds.h"

namespace bramleypath::codec {

// The deepest valid document has fewer levels. The JSON library recurses once
// for each level of the CBOR that it reads and of a value that it copies or
// writes, so that deeper ones could exhaust the stack.
constexpr std::size_t kMaxNesting = 64;

namespace detail {

// Walks over CBOR items without recursion and without reading their contents.
class CborWalk {
 public:
  CborWalk(gsl::span<const std::uint8_t> aBytes, std::size_t aMaxNesting)
      : bytes(aBytes), maxNesting(aMaxNesting) {}

  bool IsWithinLimit() {
    bool isRead = this->ReadItem();
    while (isRead && this->level > 0) {
      isRead = this->LeaveIfFinished() || this->ReadItem();
    }
    return isRead && this->next == this->bytes.size();
  }

 private:
  static constexpr std::uint8_t kKindMask = 0xe0;
  static constexpr std::uint8_t kArgumentMask = 0x1f;
  // Number of items of a container that ends with kCborEnd.
  static constexpr std::uint64_t kOpen =
      std::numeric_limits<std::uint64_t>::max();

  // Reads the start of an item, and the whole item unless it is a container.
  bool ReadItem() {
    if (this->Left() == 0) {
      return false;
    }
    const std::uint8_t first = this->bytes[this->next++];
    if (first == kCborOpenArray || first == kCborOpenMap) {
      return this->Enter(kOpen);
    }
    std::uint64_t argument = 0;
    if (!this->ReadArgument(first & kArgumentMask, argument)) {
      return false;
    }
    switch (first & kKindMask) {
      case kCborArray:
        return argument <= this->Left() && this->Enter(argument);
      case kCborMap:
        return argument <= this->Left() && this->Enter(2 * argument);
      case kCborBytes:
      case kCborText:
        return this->Skip(argument);
      case kCborTag:
        return false;
      default:
        return true;
    }
  }

  // Strings of indefinite length are refused, since they may nest as well.
  bool ReadArgument(std::uint8_t aShort, std::uint64_t& aArgument) {
    constexpr std::uint8_t kMaxInline = 23;
    constexpr std::uint8_t kOneByte = 24;
    constexpr std::uint8_t kEightBytes = 27;
    constexpr unsigned kBitsPerByte = 8;
    aArgument = aShort;
    if (aShort <= kMaxInline) {
      return true;
    }
    if (aShort > kEightBytes) {
      return false;
    }
    const std::size_t size = std::size_t{1} << (aShort - kOneByte);
    if (size > this->Left()) {
      return false;
    }
    aArgument = 0;
    for (std::size_t i = 0; i < size; ++i) {
      aArgument = aArgument << kBitsPerByte | this->bytes[this->next++];
    }
    return true;
  }

  bool Enter(std::uint64_t aItems) {
    if (this->level == this->maxNesting) {
      return false;
    }
    this->remaining[this->level++] = aItems;
    return true;
  }

  // Leaves the innermost container if its last item has been read, and
  // otherwise counts the item that follows.
  bool LeaveIfFinished() {
    std::uint64_t& items = this->remaining[this->level - 1];
    const bool isAtEnd =
        this->Left() > 0 && this->bytes[this->next] == kCborEnd;
    if (items == kOpen && isAtEnd) {
      ++this->next;
      --this->level;
      return true;
    }
    if (items == 0) {
      --this->level;
      return true;
    }
    items -= items == kOpen ? 0 : 1;
    return false;
  }

  bool Skip(std::uint64_t aLength) {
    if (aLength > this->Left()) {
      return false;
    }
    this->next += static_cast<std::size_t>(aLength);
    return true;
  }

  std::size_t Left() const { return this->bytes.size() - this->next; }

  gsl::span<const std::uint8_t> bytes;
  std::size_t maxNesting;
  std::size_t next = 0;
  std::size_t level = 0;  // containers that are open
  std::array<std::uint64_t, kMaxNesting> remaining = {};
};

}  // namespace detail

// Whether the bytes are one CBOR item whose containers nest at most aMaxNesting
// levels deep, of kMaxNesting at most. Tags and strings of indefinite length
// count as too deep. Nothing else about the items is checked.
inline bool CborNestsWithin(gsl::span<const std::uint8_t> aBytes,
                            std::size_t aMaxNesting = kMaxNesting) {
  return detail::CborWalk(aBytes, aMaxNesting).IsWithinLimit();
}

}  // namespace bramleypath::codec
