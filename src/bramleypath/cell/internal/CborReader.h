#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/cell/CellState.h"
#include "bramleypath/cell/Types.h"

namespace bramleypath::cell::detail {

using Json = nlohmann::json;

// Reads the elements of an array in order. Once an element is missing or has an
// unexpected type, ok is false and all further reads return defaults.
struct ArrayReader {
  const Json* array = nullptr;
  std::size_t next = 0;
  bool ok = true;
};

ArrayReader OpenArray(const Json& aJson);
std::uint64_t ReadUnsigned(ArrayReader& aReader);
std::uint32_t ReadUnsigned32(ArrayReader& aReader);
std::int64_t ReadSigned(ArrayReader& aReader);
bool ReadBool(ArrayReader& aReader);
std::string ReadText(ArrayReader& aReader);
ArrayReader ReadArray(ArrayReader& aReader);
// True while no read has failed and elements are left.
bool HasMore(const ArrayReader& aReader);
// True when no read has failed and no element is left.
bool IsFullyRead(const ArrayReader& aReader);

// Reads an enumerator from 0 to aLast.
template <typename Enum>
Enum ReadEnum(ArrayReader& aReader, Enum aLast) {
  const std::uint64_t value = ReadUnsigned(aReader);
  if (value > static_cast<std::uint64_t>(aLast)) {
    aReader.ok = false;
    return Enum{};
  }
  return static_cast<Enum>(value);
}

// Reads a nested array with aRead(ArrayReader&) and checks that no element of
// it is left.
template <typename Function>
auto ReadNested(ArrayReader& aReader, Function aRead) {
  ArrayReader inner = ReadArray(aReader);
  auto value = aRead(inner);
  aReader.ok = aReader.ok && IsFullyRead(inner);
  return value;
}

Json Write(const Resources& aResources);
Json Write(const JobSpec& aSpec);
Json Write(const AttemptId& aAttempt);
Resources ReadResources(ArrayReader& aReader);
JobSpec ReadJobSpec(ArrayReader& aReader);
AttemptId ReadAttemptId(ArrayReader& aReader);

// Parses the bytes as CBOR; nullopt unless they hold exactly one array.
std::optional<Json> ParseArray(gsl::span<const std::uint8_t> aBytes);

}  // namespace bramleypath::cell::detail
