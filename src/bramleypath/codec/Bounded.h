#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "bramleypath/codec/CborNesting.h"

// Checks of values that other programs send, with the same outcome on each
// architecture. Numbers out of range are refused rather than cut or wrapped,
// and input is refused before a tree of it is built if it nests too deeply.
namespace bramleypath::codec {

// A larger whole number may have lost digits on its way through a program that
// reads JSON numbers as doubles.
constexpr std::int64_t kMaxExactInteger = 9007199254740991;

struct IntegerRange {
  std::int64_t lowest = 0;
  std::int64_t highest = kMaxExactInteger;
};

inline std::optional<std::int64_t> InRange(std::int64_t aNumber,
                                           const IntegerRange& aRange) {
  return aNumber < aRange.lowest || aRange.highest < aNumber
             ? std::nullopt
             : std::optional(aNumber);
}

// The number rounded to an integer; none if it is outside of the range, or not
// a number.
inline std::optional<std::int64_t> ToInteger(double aNumber,
                                             const IntegerRange& aRange) {
  constexpr auto kMax = static_cast<double>(kMaxExactInteger);
  if (!(std::abs(aNumber) <= kMax)) {
    return std::nullopt;
  }
  return InRange(std::llround(aNumber), aRange);
}

inline std::optional<std::int64_t> ToInteger(std::uint64_t aNumber,
                                             const IntegerRange& aRange) {
  if (aNumber > static_cast<std::uint64_t>(kMaxExactInteger)) {
    return std::nullopt;
  }
  return InRange(static_cast<std::int64_t>(aNumber), aRange);
}

inline std::optional<std::int64_t> ToInteger(const nlohmann::json& aValue,
                                             const IntegerRange& aRange) {
  if (aValue.is_number_float()) {
    return ToInteger(aValue.get<double>(), aRange);
  }
  if (aValue.is_number_unsigned()) {
    return ToInteger(aValue.get<std::uint64_t>(), aRange);
  }
  return aValue.is_number_integer()
             ? InRange(aValue.get<std::int64_t>(), aRange)
             : std::nullopt;
}

// Whether the brackets of the JSON text nest at most aMaxNesting levels deep.
// The text may be malformed.
inline bool NestsWithin(std::string_view aText, std::size_t aMaxNesting) {
  std::size_t level = 0;
  bool isInString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char one = aText[at];
    if (isInString) {
      at += one == '\\' ? 1 : 0;
      isInString = one != '"';
    } else if (one == '"') {
      isInString = true;
    } else if (one == '[' || one == '{') {
      if (++level > aMaxNesting) {
        return false;
      }
    } else if ((one == ']' || one == '}') && level > 0) {
      --level;
    }
  }
  return true;
}

// A tree takes up to 110 bytes per value. A configuration of 4 MiB has about
// 200,000 values.
constexpr std::size_t kMaxValues = 400000;

// Whether the JSON text has at most aMaxValues values, counted by its commas
// and opening brackets. The text may be malformed.
inline bool HasValuesWithin(std::string_view aText, std::size_t aMaxValues) {
  // Each further value takes a byte at least.
  if (aText.size() < aMaxValues) {
    return true;
  }
  std::size_t values = 1;
  bool isInString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char one = aText[at];
    if (isInString) {
      at += one == '\\' ? 1 : 0;
      isInString = one != '"';
    } else if (one == '"') {
      isInString = true;
    } else if (one == ',' || one == '[' || one == '{') {
      if (++values > aMaxValues) {
        return false;
      }
    }
  }
  return values <= aMaxValues;
}

// Discarded if the text is not one JSON value, nests deeper than kMaxNesting or
// has more than kMaxValues values.
inline nlohmann::json ParseJson(std::string_view aText,
                                bool aIgnoreComments = false) {
  constexpr bool kThrow = false;
  if (!NestsWithin(aText, kMaxNesting) || !HasValuesWithin(aText, kMaxValues)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(aText, nullptr, kThrow, aIgnoreComments);
}

}  // namespace bramleypath::codec
