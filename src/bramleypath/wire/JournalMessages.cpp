#include "bramleypath/wire/JournalMessages.h"

#include "bramleypath/codec/Fields.h"

namespace bramleypath::wire {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, JournalRequest& aRequest) {
  aVisitor.Required("wait_ms", aRequest.waitMs);
  aVisitor.Required("generation", aRequest.generation);
  aVisitor.Required("command", aRequest.command);
}

template <typename Visitor>
void VisitFields(Visitor& aVisitor, JournalAnswer& aAnswer) {
  aVisitor.Required("code", aAnswer.code);
  aVisitor.Required("outcome", aAnswer.outcome);
}

namespace {

template <typename T>
std::string ToText(const T& aValue) {
  const std::vector<std::uint8_t> bytes = codec::ToCbor(aValue);
  return {bytes.begin(), bytes.end()};
}

std::vector<std::uint8_t> ToBytes(std::string_view aText) {
  return {aText.begin(), aText.end()};
}

}  // namespace

std::string EncodeText(const JournalRequest& aRequest) {
  return ToText(aRequest);
}

std::string EncodeText(const JournalAnswer& aAnswer) { return ToText(aAnswer); }

std::optional<JournalRequest> DecodeJournalRequest(std::string_view aBytes) {
  return codec::FromCbor<JournalRequest>(ToBytes(aBytes));
}

std::optional<JournalAnswer> DecodeJournalAnswer(std::string_view aBytes) {
  return codec::FromCbor<JournalAnswer>(ToBytes(aBytes));
}

}  // namespace bramleypath::wire
