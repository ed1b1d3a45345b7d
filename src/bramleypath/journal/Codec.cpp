#include "bramleypath/journal/Codec.h"

#include <utility>

#include "bramleypath/codec/Fields.h"
#include "bramleypath/journal/internal/JournalFields.h"

namespace bramleypath::journal {

namespace {

struct OutcomeFields {
  std::uint8_t result = 0;
  std::optional<StoredAnswer> answer;
};

template <typename Visitor>
void VisitFields(Visitor& aVisitor, OutcomeFields& aValue) {
  aVisitor.Required("r", aValue.result);
  aVisitor.Required("a", aValue.answer);
}

}  // namespace

Bytes EncodeCommand(const Command& aCommand) {
  return codec::Json::to_cbor(codec::VariantToJson(aCommand.body));
}

std::optional<Command> DecodeCommand(const Bytes& aBytes) {
  Command command;
  codec::FieldError error;
  if (!codec::VariantFromJson(codec::ParseCbor(aBytes), "", command.body,
                              error)) {
    return std::nullopt;
  }
  return command;
}

Bytes EncodeOutcome(const Outcome& aOutcome) {
  return codec::ToCbor(OutcomeFields{static_cast<std::uint8_t>(aOutcome.result),
                                     aOutcome.answer});
}

std::optional<Outcome> DecodeOutcome(const Bytes& aBytes) {
  auto fields = codec::FromCbor<OutcomeFields>(aBytes);
  if (!fields || fields->result > static_cast<std::uint8_t>(Result::Invalid)) {
    return std::nullopt;
  }
  return Outcome{static_cast<Result>(fields->result),
                 std::move(fields->answer)};
}

}  // namespace bramleypath::journal
