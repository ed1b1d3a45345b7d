#include "bramleypath/workflow/Codec.h"

#include <cstddef>
#include <type_traits>
#include <utility>

#include "bramleypath/workflow/internal/WorkflowFields.h"

namespace bramleypath::workflow {

namespace {

template <std::size_t Index>
bool DecodeAs(const codec::Json& aJson, Command& aCommand,
              codec::FieldError& aError) {
  std::variant_alternative_t<Index, Command> value;
  if (!codec::FromJson(aJson, "", value, aError)) {
    return false;
  }
  aCommand = std::move(value);
  return true;
}

template <std::size_t... Indexes>
bool DecodeByIndex(std::size_t aIndex, const codec::Json& aJson,
                   Command& aCommand, codec::FieldError& aError,
                   std::index_sequence<Indexes...> /*aTypes*/) {
  bool read = false;
  const bool known =
      ((aIndex == Indexes &&
        ((read = DecodeAs<Indexes>(aJson, aCommand, aError)), true)) ||
       ...);
  if (!known) {
    aError = {"", "unknown command " + std::to_string(aIndex)};
  }
  return read;
}

}  // namespace

std::string_view ToText(EndKind aKind) {
  switch (aKind) {
    case EndKind::Done:
      return "done";
    case EndKind::Failed:
      return "failed";
    case EndKind::Stopped:
      return "stopped";
    case EndKind::LeaseExpired:
      return "lapsed";
    case EndKind::Broken:
      return "broken";
    case EndKind::GangIncomplete:
      return "alone";
    case EndKind::NeverRan:
      return "never_ran";
  }
  return "unknown";
}

std::vector<std::uint8_t> Encode(const Command& aCommand) {
  codec::Json list = codec::Json::array();
  list.push_back(aCommand.index());
  list.push_back(std::visit(
      [](const auto& aOne) { return codec::ToJson(aOne); }, aCommand));
  return codec::Json::to_cbor(list);
}

std::optional<Command> Decode(gsl::span<const std::uint8_t> aBytes,
                              std::string& aReason) {
  const std::vector<std::uint8_t> bytes(aBytes.begin(), aBytes.end());
  const codec::Json json = codec::ParseCbor(bytes);
  constexpr std::size_t kParts = 2;
  if (!json.is_array() || json.size() != kParts ||
      !json[0].is_number_unsigned()) {
    aReason = "not an array of a command index and its fields";
    return std::nullopt;
  }
  Command command;
  codec::FieldError error;
  if (!DecodeByIndex(
          json[0].get<std::size_t>(), json[1], command, error,
          std::make_index_sequence<std::variant_size_v<Command>>())) {
    aReason = error.field + ": " + error.detail;
    return std::nullopt;
  }
  return command;
}

}  // namespace bramleypath::workflow
