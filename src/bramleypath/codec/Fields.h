#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "bramleypath/base/StrongId.h"
#include "bramleypath/codec/CborNesting.h"

// Converts structs to and from JSON values, which nlohmann::json also encodes
// as CBOR. A struct supports this by a function VisitFields in its own
// namespace, which is found by argument-dependent lookup:
//
//   template <typename Visitor>
//   void VisitFields(Visitor& aVisitor, Service& aService) {
//     aVisitor.Required("name", aService.name);
//     aVisitor.Optional("slots_per_target", aService.slotsPerTarget);
//   }
//
// Missing required fields, unknown fields, wrong types and numbers out of range
// are errors that name the path of the field. A map is written as an array of
// its values, each of which holds its key in the field "name".

namespace bramleypath::codec {

using Json = nlohmann::json;

struct FieldError {
  std::string field;  // path, such as "change.preset.weights"
  std::string detail;
};

namespace detail {

template <typename T>
struct IsStrongId : std::false_type {};
template <typename Tag>
struct IsStrongId<StrongId<Tag>> : std::true_type {};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
struct IsSet : std::false_type {};
template <typename T>
struct IsSet<std::set<T>> : std::true_type {};

template <typename T>
struct IsMap : std::false_type {};
template <typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type {};

template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

inline bool Fail(FieldError& aError, const std::string& aPath,
                 std::string aDetail) {
  aError.field = aPath;
  aError.detail = std::move(aDetail);
  return false;
}

inline std::string JoinPath(const std::string& aPath,
                            const std::string& aName) {
  return aPath.empty() ? aName : aPath + "." + aName;
}

template <typename T>
bool ReadInteger(const Json& aJson, const std::string& aPath, T& aValue,
                 FieldError& aError) {
  const auto outOfRange = [&] {
    return Fail(aError, aPath,
                "must be an integer from " +
                    std::to_string(std::numeric_limits<T>::min()) + " to " +
                    std::to_string(std::numeric_limits<T>::max()));
  };
  if (aJson.is_number_unsigned()) {
    const auto number = aJson.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
      return outOfRange();
    }
    aValue = static_cast<T>(number);
    return true;
  }
  if (!aJson.is_number_integer()) {
    return outOfRange();
  }
  const auto number = aJson.get<std::int64_t>();
  if constexpr (std::is_unsigned_v<T>) {
    if (number < 0) {
      return outOfRange();
    }
    return ReadInteger(Json(static_cast<std::uint64_t>(number)), aPath, aValue,
                       aError);
  } else {
    if (number < std::numeric_limits<T>::min() ||
        number > std::numeric_limits<T>::max()) {
      return outOfRange();
    }
    aValue = static_cast<T>(number);
    return true;
  }
}

}  // namespace detail

template <typename T>
Json ToJson(const T& aValue);

// Reads aValue from aJson. aPath is the path of aJson in its document and only
// used in errors. Returns false with aError set when aJson is invalid; aValue
// may be partly read then.
template <typename T>
bool FromJson(const Json& aJson, const std::string& aPath, T& aValue,
              FieldError& aError);

// Collects the fields of a struct into a JSON object.
struct Writer {
  Json object = Json::object();

  template <typename T>
  void Required(const char* aName, const T& aValue) {
    this->object[aName] = ToJson(aValue);
  }
  template <typename T>
  void Optional(const char* aName, const T& aValue) {
    this->object[aName] = ToJson(aValue);
  }
};

// Fills the fields of a struct from a JSON object.
struct Reader {
  const Json& object;
  const std::string& path;
  FieldError& error;
  bool ok = true;
  std::set<std::string> visited;

  template <typename T>
  void Required(const char* aName, T& aValue) {
    if (this->ok && !this->object.contains(aName)) {
      this->ok = detail::Fail(this->error, detail::JoinPath(this->path, aName),
                              "is missing");
    }
    this->Optional(aName, aValue);
  }

  template <typename T>
  void Optional(const char* aName, T& aValue) {
    this->visited.insert(aName);
    const auto found = this->object.find(aName);
    if (!this->ok || found == this->object.end()) {
      return;
    }
    this->ok = FromJson(*found, detail::JoinPath(this->path, aName), aValue,
                        this->error);
  }

  // Called after the last field. Returns whether all fields were read and the
  // object has no other ones.
  bool Finish() {
    if (!this->ok) {
      return false;
    }
    for (const auto& [name, value] : this->object.items()) {
      if (this->visited.count(name) == 0) {
        return detail::Fail(this->error, detail::JoinPath(this->path, name),
                            "is not a known field");
      }
    }
    return true;
  }
};

template <typename T>
Json ToJson(const T& aValue) {
  using detail::IsMap;
  using detail::IsOptional;
  using detail::IsSet;
  using detail::IsStrongId;
  using detail::IsVector;
  if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return Json(aValue);
  } else if constexpr (std::is_same_v<T, std::vector<std::uint8_t>>) {
    return Json::binary(aValue);
  } else if constexpr (IsStrongId<T>::value) {
    return Json(aValue.value);
  } else if constexpr (IsOptional<T>::value) {
    return aValue ? ToJson(*aValue) : Json(nullptr);
  } else if constexpr (IsVector<T>::value || IsSet<T>::value) {
    Json list = Json::array();
    for (const auto& one : aValue) {
      list.push_back(ToJson(one));
    }
    return list;
  } else if constexpr (IsMap<T>::value) {
    Json list = Json::array();
    for (const auto& [name, one] : aValue) {
      list.push_back(ToJson(one));
    }
    return list;
  } else {
    Writer writer;
    // VisitFields also serves to read a struct, so it takes a mutable one.
    // Writer doesn't change it.
    VisitFields(writer, const_cast<T&>(aValue));
    return std::move(writer.object);
  }
}

template <typename T>
bool FromJson(const Json& aJson, const std::string& aPath, T& aValue,
              FieldError& aError) {
  using detail::Fail;
  using detail::IsMap;
  using detail::IsOptional;
  using detail::IsSet;
  using detail::IsStrongId;
  using detail::IsVector;
  if constexpr (std::is_same_v<T, bool>) {
    if (!aJson.is_boolean()) {
      return Fail(aError, aPath, "must be true or false");
    }
    aValue = aJson.get<bool>();
    return true;
  } else if constexpr (std::is_integral_v<T>) {
    return detail::ReadInteger(aJson, aPath, aValue, aError);
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!aJson.is_string()) {
      return Fail(aError, aPath, "must be a string");
    }
    aValue = aJson.get<std::string>();
    return true;
  } else if constexpr (IsStrongId<T>::value) {
    return FromJson(aJson, aPath, aValue.value, aError);
  } else if constexpr (std::is_same_v<T, std::vector<std::uint8_t>>) {
    if (!aJson.is_binary()) {
      return Fail(aError, aPath, "must be a byte string");
    }
    aValue = aJson.get_binary();
    return true;
  } else if constexpr (IsOptional<T>::value) {
    if (aJson.is_null()) {
      aValue.reset();
      return true;
    }
    return FromJson(aJson, aPath, aValue.emplace(), aError);
  } else if constexpr (IsVector<T>::value || IsSet<T>::value ||
                       IsMap<T>::value) {
    if (!aJson.is_array()) {
      return Fail(aError, aPath, "must be an array");
    }
    aValue.clear();
    std::size_t index = 0;
    for (const Json& item : aJson) {
      const std::string path = aPath + "[" + std::to_string(index++) + "]";
      if constexpr (IsVector<T>::value) {
        if (!FromJson(item, path, aValue.emplace_back(), aError)) {
          return false;
        }
      } else if constexpr (IsSet<T>::value) {
        typename T::value_type one;
        if (!FromJson(item, path, one, aError)) {
          return false;
        }
        if (!aValue.insert(std::move(one)).second) {
          return Fail(aError, path, "is listed twice");
        }
      } else {
        typename T::mapped_type one;
        if (!FromJson(item, path, one, aError)) {
          return false;
        }
        auto name = one.name;
        if (!aValue.emplace(std::move(name), std::move(one)).second) {
          return Fail(aError, path + ".name", "is listed twice");
        }
      }
    }
    return true;
  } else {
    if (!aJson.is_object()) {
      return Fail(aError, aPath, "must be an object");
    }
    Reader reader{aJson, aPath, aError, true, {}};
    VisitFields(reader, aValue);
    return reader.Finish();
  }
}

// Encodes a value as CBOR bytes.
template <typename T>
std::vector<std::uint8_t> ToCbor(const T& aValue) {
  return Json::to_cbor(ToJson(aValue));
}

// Decodes CBOR bytes; is_discarded() is true for the result when they are
// malformed or nest deeper than kMaxNesting.
inline Json ParseCbor(const std::vector<std::uint8_t>& aBytes) {
  if (!CborNestsWithin(aBytes)) {
    return Json(Json::value_t::discarded);
  }
  try {
    return Json::from_cbor(aBytes, true, false);
  } catch (const Json::exception&) {
    // from_cbor throws for lengths beyond what a container can hold, even when
    // exceptions are turned off.
    return Json(Json::value_t::discarded);
  }
}

// Formats a JSON value as text. Bytes that are not UTF-8 are replaced rather
// than rejected, since replies contain names that came from the network.
inline std::string DumpJson(const Json& aJson, int aIndent = -1) {
  return aJson.dump(aIndent, ' ', false, Json::error_handler_t::replace);
}

// Decodes a value from CBOR bytes; nothing when they are malformed.
template <typename T>
std::optional<T> FromCbor(const std::vector<std::uint8_t>& aBytes) {
  const Json json = ParseCbor(aBytes);
  T value;
  FieldError error;
  if (json.is_discarded() || !FromJson(json, "", value, error)) {
    return std::nullopt;
  }
  return value;
}

// Converts a variant to an object with the fields of its alternative and the
// field "kind", whose value is the alternative's constant kKind.
template <typename... Ts>
Json VariantToJson(const std::variant<Ts...>& aValue) {
  return std::visit(
      [](const auto& aOne) {
        Json json = ToJson(aOne);
        json["kind"] = std::decay_t<decltype(aOne)>::kKind;
        return json;
      },
      aValue);
}

namespace detail {

// Reads the alternative if aKind is its kind, and sets aRead to whether that
// succeeded. Returns whether aKind is its kind.
template <typename Alternative, typename Variant>
bool TryAlternative(const std::string& aKind, const Json& aJson,
                    const std::string& aPath, Variant& aValue,
                    FieldError& aError, bool& aRead) {
  if (aKind != Alternative::kKind) {
    return false;
  }
  Alternative one;
  aRead = FromJson(aJson, aPath, one, aError);
  aValue = std::move(one);
  return true;
}

}  // namespace detail

// Reads a variant from the form that VariantToJson writes. Returns false with
// aError set when aJson is invalid.
template <typename... Ts>
bool VariantFromJson(const Json& aJson, const std::string& aPath,
                     std::variant<Ts...>& aValue, FieldError& aError) {
  if (!aJson.is_object()) {
    return detail::Fail(aError, aPath, "must be an object");
  }
  const auto kind = aJson.find("kind");
  if (kind == aJson.end() || !kind->is_string()) {
    return detail::Fail(aError, detail::JoinPath(aPath, "kind"),
                        "is missing or is not a string");
  }
  Json rest = aJson;
  rest.erase("kind");
  bool read = false;
  const bool found = (detail::TryAlternative<Ts>(kind->get<std::string>(), rest,
                                                 aPath, aValue, aError, read) ||
                      ...);
  if (!found) {
    std::string kinds;
    ((kinds += (kinds.empty() ? "" : ", ") + std::string(Ts::kKind)), ...);
    return detail::Fail(aError, detail::JoinPath(aPath, "kind"),
                        "must be one of " + kinds);
  }
  return read;
}

}  // namespace bramleypath::codec
