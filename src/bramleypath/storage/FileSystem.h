#pragma once

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

// An open file. Writes are durable only after Sync. All operations return false
// and set aReason when they fail.
class File {
 public:
  virtual ~File() = default;

  // On failure, a part of aData may have been written.
  virtual bool Append(gsl::span<const std::uint8_t> aData,
                      FileReason& aReason) = 0;
  virtual bool Truncate(std::uint64_t aBytes, FileReason& aReason) = 0;
  virtual bool Sync(FileReason& aReason) = 0;
};

// A lock on a file, held until this object is destroyed or the process ends.
class FileLock {
 public:
  virtual ~FileLock() = default;
};

// The file operations that storage needs, as an interface so that tests can
// inject failures. Operations that fail set aReason.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  // Opens for appending, creating the file when it is missing.
  virtual std::unique_ptr<File> Open(const std::string& aPath,
                                     FileReason& aReason) = 0;
  virtual std::optional<std::vector<std::uint8_t>> Read(
      const std::string& aPath, FileReason& aReason) = 0;
  // Returns the names in a folder in no particular order. Fails with NotFound
  // when the folder is missing.
  virtual std::optional<std::vector<std::string>> List(
      const std::string& aFolder, FileReason& aReason) = 0;
  // Creates the folder. Also succeeds when it exists already.
  virtual bool MakeFolder(const std::string& aFolder, FileReason& aReason) = 0;
  // Makes creations, renames and removals in the folder durable.
  virtual bool SyncFolder(const std::string& aFolder, FileReason& aReason) = 0;
  virtual bool Rename(const std::string& aFrom, const std::string& aTo,
                      FileReason& aReason) = 0;
  virtual bool Remove(const std::string& aPath, FileReason& aReason) = 0;
  virtual std::unique_ptr<FileLock> Lock(const std::string& aPath,
                                         FileReason& aReason) = 0;
  // Bytes that an unprivileged process may still write to the file system of
  // the folder.
  virtual std::optional<std::uint64_t> FreeBytes(const std::string& aFolder,
                                                 FileReason& aReason) = 0;
};

// Returns the file system of the operating system.
std::unique_ptr<FileSystem> MakePosixFileSystem();

}  // namespace bramleypath::storage
