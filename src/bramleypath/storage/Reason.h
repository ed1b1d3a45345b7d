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
  // The identity in the folder is that of another host.
  OtherHost,
  // The folder holds data but no identity.
  IdentityMissing,
  // CreationMode::Bootstrap was given for a folder that has an identity
  // already.
  AlreadyCreated,
  // A checksum or format error that a crash during the last write can't cause;
  // file and offset are set.
  Corrupt,
  // The disk is full. The write was undone and may be retried.
  DiskFull,
  // A write or sync failed. What the disk holds is unknown until the files are
  // read again at the next start.
  SyncFailed,
};

struct StorageReason {
  StorageError code = StorageError::Unusable;
  std::string file;
  std::uint64_t offset = 0;  // bytes from the start of file; Corrupt only
  std::string detail;
};

// Returns a single line of text for logs and error messages.
std::string ToText(const StorageReason& aReason);

}  // namespace bramleypath::storage
