#pragma once

#include <optional>
#include <string_view>
#include <utility>

#include "bramleypath/codec/Bounded.h"
#include "bramleypath/codec/Fields.h"
#include "bramleypath/wire/WireReason.h"

namespace bramleypath::wire::detail {

// Parses the JSON text of an HTTP body into a struct that has VisitFields.
// Returns none and sets aReason when the text is not JSON or doesn't match the
// fields of the struct.
template <typename T>
std::optional<T> ParseBody(std::string_view aText, WireReason& aReason) {
  const codec::Json json = codec::ParseJson(aText);
  if (json.is_discarded()) {
    aReason = {"", "the body is not JSON"};
    return std::nullopt;
  }
  T value;
  codec::FieldError error;
  if (!codec::FromJson(json, "", value, error)) {
    aReason = {std::move(error.field), std::move(error.detail)};
    return std::nullopt;
  }
  return value;
}

}  // namespace bramleypath::wire::detail
