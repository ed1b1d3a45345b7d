#include "bramleypath/storage/Reason.h"

#include <string_view>

namespace bramleypath::storage {

namespace {

std::string_view Name(StorageError aError) {
  switch (aError) {
    case StorageError::Unusable:
      return "storage unusable";
    case StorageError::Locked:
      return "data folder in use by another process";
    case StorageError::OtherHost:
      return "data folder belongs to another host";
    case StorageError::IdentityMissing:
      return "data folder has data but no identity";
    case StorageError::AlreadyCreated:
      return "data folder has an identity already; start without bootstrap";
    case StorageError::Corrupt:
      return "corrupt file";
    case StorageError::DiskFull:
      return "disk full";
    case StorageError::SyncFailed:
      return "write or sync failed";
  }
  return "unknown storage error";
}

}  // namespace

std::string ToText(const StorageReason& aReason) {
  std::string text(Name(aReason.code));
  if (!aReason.file.empty()) {
    text += ": file " + aReason.file;
  }
  if (aReason.code == StorageError::Corrupt) {
    text += " at offset " + std::to_string(aReason.offset);
  }
  if (!aReason.detail.empty()) {
    text += ": " + aReason.detail;
  }
  return text;
}

}  // namespace bramleypath::storage
