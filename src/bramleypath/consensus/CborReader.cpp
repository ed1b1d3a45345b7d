#include "bramleypath/consensus/CborReader.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace bramleypath::consensus {

namespace {

using Json = nlohmann::json;

// No message or record nests deeper. The limit bounds the stack, because the
// parser recurses once per level.
constexpr std::size_t kMaxDepth = 8;

class TokenHandler : public nlohmann::json_sax<Json> {
 public:
  TokenHandler(CborReader& aReader, std::size_t aMaxTokens)
      : reader(aReader), maxTokens(aMaxTokens) {}

  bool null() override { return false; }
  bool boolean(bool aValue) override {
    return this->Add(CborKind::Boolean, aValue ? 1 : 0, Bytes{});
  }
  bool number_integer(number_integer_t) override { return false; }
  bool number_unsigned(number_unsigned_t aValue) override {
    return this->Add(CborKind::Unsigned, aValue, Bytes{});
  }
  bool number_float(number_float_t, const string_t&) override { return false; }
  bool string(string_t& aValue) override {
    return this->Add(CborKind::Text, 0, Bytes(aValue.begin(), aValue.end()));
  }
  bool binary(binary_t& aValue) override {
    return this->Add(CborKind::Binary, 0, std::move(aValue));
  }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t&) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t aLength) override {
    // The parser reports this value for an array of indefinite length.
    if (aLength == std::numeric_limits<std::size_t>::max()) {
      return false;
    }
    ++this->depth;
    return this->depth <= kMaxDepth &&
           this->Add(CborKind::Array, aLength, Bytes{});
  }
  bool end_array() override {
    --this->depth;
    return true;
  }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Add(CborKind aKind, std::uint64_t aNumber, Bytes aData) {
    if (this->reader.tokens.size() >= this->maxTokens) {
      return false;
    }
    this->reader.tokens.push_back(CborToken{aKind, aNumber, std::move(aData)});
    return true;
  }

  CborReader& reader;
  std::size_t maxTokens;
  std::size_t depth = 0;
};

CborToken* NextToken(CborReader& aReader, CborKind aKind) {
  if (!aReader.good || aReader.next >= aReader.tokens.size() ||
      aReader.tokens[aReader.next].kind != aKind) {
    aReader.good = false;
    return nullptr;
  }
  return &aReader.tokens[aReader.next++];
}

}  // namespace

std::optional<CborReader> ParseCbor(gsl::span<const std::uint8_t> aBytes,
                                    std::size_t aMaxTokens) {
  CborReader reader;
  TokenHandler handler(reader, aMaxTokens);
  const std::uint8_t* begin = aBytes.data();
  const bool parsed = Json::sax_parse(begin, begin + aBytes.size(), &handler,
                                      Json::input_format_t::cbor);
  if (!parsed) {
    return std::nullopt;
  }
  return reader;
}

std::uint64_t ReadUnsigned(CborReader& aReader) {
  const CborToken* token = NextToken(aReader, CborKind::Unsigned);
  return token != nullptr ? token->number : 0;
}

bool ReadBoolean(CborReader& aReader) {
  const CborToken* token = NextToken(aReader, CborKind::Boolean);
  return token != nullptr && token->number != 0;
}

std::string ReadText(CborReader& aReader) {
  const CborToken* token = NextToken(aReader, CborKind::Text);
  return token != nullptr ? std::string(token->data.begin(), token->data.end())
                          : std::string();
}

Bytes ReadBinary(CborReader& aReader) {
  CborToken* token = NextToken(aReader, CborKind::Binary);
  return token != nullptr ? std::move(token->data) : Bytes{};
}

std::size_t ReadArray(CborReader& aReader, std::size_t aMaxLength) {
  const CborToken* token = NextToken(aReader, CborKind::Array);
  if (token == nullptr) {
    return 0;
  }
  if (token->number > aMaxLength) {
    aReader.good = false;
    return 0;
  }
  return static_cast<std::size_t>(token->number);
}

bool IsFinished(const CborReader& aReader) {
  return aReader.good && aReader.next == aReader.tokens.size();
}

}  // namespace bramleypath::consensus
