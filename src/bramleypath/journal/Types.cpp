#include "bramleypath/journal/Types.h"

#include <xxhash.h>

#include <tuple>

namespace bramleypath::journal {

namespace {

// Prefixes the field with its length, so that ("ab", "c") and ("a", "bc") give
// different bytes.
void AppendField(std::string& aBuffer, std::string_view aField) {
  aBuffer += std::to_string(aField.size());
  aBuffer += ':';
  aBuffer += aField;
}

}  // namespace

bool operator==(const RequestKey& aLeft, const RequestKey& aRight) {
  return aLeft.clientAccount == aRight.clientAccount && aLeft.key == aRight.key;
}

bool operator<(const RequestKey& aLeft, const RequestKey& aRight) {
  return std::tie(aLeft.clientAccount, aLeft.key) <
         std::tie(aRight.clientAccount, aRight.key);
}

bool operator==(const Fingerprint& aLeft, const Fingerprint& aRight) {
  return aLeft.high == aRight.high && aLeft.low == aRight.low;
}

Fingerprint FingerprintOf(const ServiceId& aService, const ClassId& aClass,
                          std::string_view aBody) {
  std::string buffer;
  AppendField(buffer, aService.value);
  AppendField(buffer, aClass.value);
  AppendField(buffer, aBody);
  const XXH128_hash_t hash = XXH3_128bits(buffer.data(), buffer.size());
  return Fingerprint{hash.high64, hash.low64};
}

bool operator==(const Holder& aLeft, const Holder& aRight) {
  return aLeft.nonce == aRight.nonce && aLeft.host == aRight.host;
}

bool operator==(const StoredAnswer& aLeft, const StoredAnswer& aRight) {
  return aLeft.status == aRight.status &&
         aLeft.contentType == aRight.contentType && aLeft.body == aRight.body &&
         aLeft.omitted == aRight.omitted;
}

bool operator==(const Outcome& aLeft, const Outcome& aRight) {
  return aLeft.result == aRight.result && aLeft.answer == aRight.answer;
}

const char* ToString(Result aResult) {
  switch (aResult) {
    case Result::Granted:
      return "granted";
    case Result::Running:
      return "running";
    case Result::Answered:
      return "answered";
    case Result::Unknown:
      return "unknown";
    case Result::KeyReused:
      return "key_reused";
    case Result::Full:
      return "full";
    case Result::NotHolder:
      return "not_holder";
    case Result::Done:
      return "done";
    case Result::Invalid:
      return "invalid";
  }
  return "invalid";
}

}  // namespace bramleypath::journal
