#pragma once

#include <cstdint>
#include <string>

namespace bramleypath::storage {

enum class FileError {
  NotFound,
  NoSpace,
  Locked,
  Failed,
};

struct FileReason {
  FileError code = FileError::Failed;
  std::string detail;
};

enum class StorageError {
  // The folder can't be created, read or written.
  Unusable,
  // Another process holds the lock file.
  Locked,
  // The folder belongs to a host of another name.
  OtherHost,
  // The folder holds data but no identity.
  IdentityMissing,
  // Bootstrap was asked for a folder that has an identity already.
  AlreadyCreated,
  // A checksum or format error before the tail; file and offset are set.
  Corrupt,
  // No room; the write was taken back and may be tried again.
  DiskFull,
  // A failed write or sync: what the disk holds is unknown until the next
  // start.
  SyncFailed,
};

struct StorageReason {
  StorageError code = StorageError::Unusable;
  std::string file;
  std::uint64_t offset = 0;  // bytes; Corrupt only
  std::string detail;
};

// One line for logs and error messages.
std::string ToText(const StorageReason& aReason);

}  // namespace bramleypath::storage
