#include "bramleypath/wire/JournalMessages.h"

#include "bramleypath/codec/Fields.h"

namespace bramleypath::wire {

template <typename Visitor>
void VisitFields(Visitor& aVisitor, JournalQuestion& aQuestion) {
  aVisitor.Required("wait_ms", aQuestion.waitMs);
  aVisitor.Required("generation", aQuestion.generation);
  aVisitor.Required("command", aQuestion.command);
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

std::string EncodeText(const JournalQuestion& aQuestion) {
  return ToText(aQuestion);
}

std::string EncodeText(const JournalAnswer& aAnswer) { return ToText(aAnswer); }

std::optional<JournalQuestion> DecodeJournalQuestion(std::string_view aBytes) {
  return codec::FromCbor<JournalQuestion>(ToBytes(aBytes));
}

std::optional<JournalAnswer> DecodeJournalAnswer(std::string_view aBytes) {
  return codec::FromCbor<JournalAnswer>(ToBytes(aBytes));
}

}  // namespace bramleypath::wire
