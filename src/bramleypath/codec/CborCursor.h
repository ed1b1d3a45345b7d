#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <limits>
#include <string>
#include <string_view>

#include "bramleypath/codec/CborWriter.h"

namespace bramleypath::codec {

// Reads one item after the other from CBOR bytes, without a tree or a list of
// tokens. It accepts what CborWriter writes with Array, Text, Head and Signed
// and booleans; items of indefinite length, maps and floats count as failures.
struct CborCursor {
  gsl::span<const std::uint8_t> bytes;
  std::size_t next = 0;
  // Becomes false at the first read that finds another kind of item or the end.
  // All later reads then return empty values.
  bool good = true;

  std::uint64_t Unsigned() { return this->Argument(detail::kCborUnsigned); }

  // An unsigned number of at most aMax.
  template <typename T>
  T Number(T aMax = std::numeric_limits<T>::max()) {
    const std::uint64_t value = this->Unsigned();
    if (value > aMax) {
      this->good = false;
      return 0;
    }
    return static_cast<T>(value);
  }

  std::int64_t Signed() {
    constexpr auto kMax =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const bool negative = this->NextKind() == detail::kCborNegative;
    const std::uint64_t value = this->Argument(
        negative ? detail::kCborNegative : detail::kCborUnsigned);
    if (value > kMax) {
      this->good = false;
      return 0;
    }
    const auto number = static_cast<std::int64_t>(value);
    return negative ? ~number : number;
  }

  bool Boolean() {
    if (!this->HasByte() || (this->bytes[this->next] != detail::kCborFalse &&
                             this->bytes[this->next] != detail::kCborTrue)) {
      this->good = false;
      return false;
    }
    return this->bytes[this->next++] == detail::kCborTrue;
  }

  std::string Text() {
    const std::uint64_t length = this->Argument(detail::kCborText);
    if (!this->good || length > this->bytes.size() - this->next) {
      this->good = false;
      return {};
    }
    const auto size = static_cast<std::size_t>(length);
    std::string text(
        reinterpret_cast<const char*>(this->bytes.data()) + this->next, size);
    this->next += size;
    return text;
  }

  // The length of an array whose items follow. Each item takes at least a byte,
  // so a length above the remaining bytes is a failure.
  std::size_t Array() {
    const std::uint64_t length = this->Argument(detail::kCborArray);
    if (!this->good || length > this->bytes.size() - this->next) {
      this->good = false;
      return 0;
    }
    return static_cast<std::size_t>(length);
  }

  // Reads the start of an array that must have aLength items.
  void ArrayOf(std::size_t aLength) {
    if (this->Array() != aLength) {
      this->good = false;
    }
  }

  bool IsFinished() const {
    return this->good && this->next == this->bytes.size();
  }

 private:
  static constexpr std::uint8_t kKindMask = 0xe0;
  static constexpr std::uint8_t kArgumentMask = 0x1f;

  bool HasByte() const { return this->good && this->next < this->bytes.size(); }

  std::uint8_t NextKind() const {
    constexpr std::uint8_t kNone = 0xff;
    return this->HasByte()
               ? static_cast<std::uint8_t>(this->bytes[this->next] & kKindMask)
               : kNone;
  }

  // Reads the initial byte of an item of kind aKind and its length or value.
  std::uint64_t Argument(std::uint8_t aKind) {
    constexpr std::uint8_t kMaxInline = 23;
    constexpr std::uint8_t kOneByte = 24;
    constexpr std::uint8_t kEightBytes = 27;
    if (this->NextKind() != aKind) {
      this->good = false;
      return 0;
    }
    const auto argument =
        static_cast<std::uint8_t>(this->bytes[this->next++] & kArgumentMask);
    if (argument <= kMaxInline) {
      return argument;
    }
    const std::size_t size =
        argument <= kEightBytes ? std::size_t{1} << (argument - kOneByte) : 0;
    if (size == 0 || size > this->bytes.size() - this->next) {
      this->good = false;
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
      value = value << 8 | this->bytes[this->next++];
    }
    return value;
  }
};

}  // namespace bramleypath::codec
