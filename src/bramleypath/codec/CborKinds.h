#pragma once

#include <cstdint>

namespace bramleypath::codec {

namespace detail {

// Initial bytes of CBOR items (RFC 8949); the lengths are in the low five bits.
constexpr std::uint8_t kCborUnsigned = 0x00;
constexpr std::uint8_t kCborNegative = 0x20;
constexpr std::uint8_t kCborBytes = 0x40;
constexpr std::uint8_t kCborText = 0x60;
constexpr std::uint8_t kCborArray = 0x80;
constexpr std::uint8_t kCborMap = 0xa0;
constexpr std::uint8_t kCborTag = 0xc0;
constexpr std::uint8_t kCborOpenArray = 0x9f;
constexpr std::uint8_t kCborOpenMap = 0xbf;
constexpr std::uint8_t kCborFalse = 0xf4;
constexpr std::uint8_t kCborTrue = 0xf5;
constexpr std::uint8_t kCborNull = 0xf6;
constexpr std::uint8_t kCborEnd = 0xff;

}  // namespace detail

}  // namespace bramleypath::codec
