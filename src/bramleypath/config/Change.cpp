#include "bramleypath/config/Change.h"

namespace bramleypath::config {

namespace {

struct NamedCode {
  RefusalCode code;
  const char* name;
};

constexpr NamedCode kCodes[] = {
    {RefusalCode::None, "none"},
    {RefusalCode::Conflict, "conflict"},
    {RefusalCode::RequestIdReused, "request_id_reused"},
    {RefusalCode::Invalid, "invalid"},
    {RefusalCode::UnknownName, "unknown_name"},
    {RefusalCode::InUse, "in_use"},
    {RefusalCode::LimitReached, "limit_reached"},
    {RefusalCode::KeyOwnersPending, "key_owners_pending"},
};

}  // namespace

bool operator==(const Outcome& aLeft, const Outcome& aRight) {
  return aLeft.accepted == aRight.accepted && aLeft.version == aRight.version &&
         aLeft.code == aRight.code && aLeft.field == aRight.field &&
         aLeft.detail == aRight.detail;
}

const char* ToString(RefusalCode aCode) {
  for (const NamedCode& row : kCodes) {
    if (row.code == aCode) {
      return row.name;
    }
  }
  return "none";
}

std::optional<RefusalCode> RefusalCodeFromString(const std::string& aName) {
  for (const NamedCode& row : kCodes) {
    if (aName == row.name) {
      return row.code;
    }
  }
  return std::nullopt;
}

}  // namespace bramleypath::config
