#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "bramleypath/codec/CborKinds.h"
#include "bramleypath/codec/Fields.h"

namespace bramleypath::codec {

// Appends CBOR items to a list of bytes without building the JSON value that
// Json::to_cbor needs, which takes most of the time of a large snapshot. The
// items are read like those that Json::to_cbor writes for ToJson.
struct CborWriter {
  std::vector<std::uint8_t>& out;

  void Byte(std::uint8_t aByte) { this->out.push_back(aByte); }

  // Each array and map that is opened must be closed after its last item.
  void OpenArray() { this->Byte(detail::kCborOpenArray); }
  void OpenMap() { this->Byte(detail::kCborOpenMap); }
  void Close() { this->Byte(detail::kCborEnd); }

  // Appends the initial byte of an item and its length or value.
  void Head(std::uint8_t aKind, std::uint64_t aValue) {
    constexpr std::uint64_t kMaxInline = 23;
    constexpr std::uint8_t kOneByte = 24;
    if (aValue <= kMaxInline) {
      this->Byte(static_cast<std::uint8_t>(aKind | aValue));
      return;
    }
    std::uint8_t sizeCode = kOneByte;
    unsigned bits = 8;
    while (bits < 64 && (aValue >> bits) != 0) {
      bits *= 2;
      ++sizeCode;
    }
    this->Byte(static_cast<std::uint8_t>(aKind | sizeCode));
    while (bits > 0) {
      bits -= 8;
      this->Byte(static_cast<std::uint8_t>(aValue >> bits));
    }
  }

  // Opens an array of aLength items, which is not closed.
  void Array(std::uint64_t aLength) { this->Head(detail::kCborArray, aLength); }

  void Text(std::string_view aText) {
    this->Head(detail::kCborText, aText.size());
    this->out.insert(this->out.end(), aText.begin(), aText.end());
  }

  void Signed(std::int64_t aValue) {
    if (aValue < 0) {
      this->Head(detail::kCborNegative, static_cast<std::uint64_t>(~aValue));
    } else {
      this->Head(detail::kCborUnsigned, static_cast<std::uint64_t>(aValue));
    }
  }

  template <typename T>
  void Value(const T& aValue) {
    if constexpr (std::is_same_v<T, bool>) {
      this->Byte(aValue ? detail::kCborTrue : detail::kCborFalse);
    } else if constexpr (std::is_unsigned_v<T>) {
      this->Head(detail::kCborUnsigned, aValue);
    } else if constexpr (std::is_integral_v<T>) {
      this->Signed(aValue);
    } else if constexpr (std::is_same_v<T, std::string>) {
      this->Text(aValue);
    } else if constexpr (std::is_same_v<T, std::vector<std::uint8_t>>) {
      this->Head(detail::kCborBytes, aValue.size());
      this->out.insert(this->out.end(), aValue.begin(), aValue.end());
    } else if constexpr (detail::IsVector<T>::value) {
      this->OpenArray();
      for (const auto& item : aValue) {
        this->Value(item);
      }
      this->Close();
    } else if constexpr (detail::IsStrongId<T>::value) {
      this->Text(aValue.value);
    } else if constexpr (detail::IsOptional<T>::value) {
      if (aValue) {
        this->Value(*aValue);
      } else {
        this->Byte(detail::kCborNull);
      }
    } else {
      static_assert(std::is_class_v<T>, "this type has no CBOR encoding here");
      this->OpenMap();
      // VisitFields also serves to read a struct, so it takes a mutable one.
      VisitFields(*this, const_cast<T&>(aValue));
      this->Close();
    }
  }

  template <typename T>
  void Required(const char* aName, const T& aValue) {
    this->Text(aName);
    this->Value(aValue);
  }
  template <typename T>
  void Optional(const char* aName, const T& aValue) {
    this->Required(aName, aValue);
  }
};

}  // namespace bramleypath::codec
