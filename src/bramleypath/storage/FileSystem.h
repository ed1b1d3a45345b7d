#pragma once

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

// An open file. Nothing is durable before Sync.
class File {
 public:
  virtual ~File() = default;

  // May have written a part when it fails.
  virtual bool Append(gsl::span<const std::uint8_t> aData,
                      FileReason& aReason) = 0;
  virtual bool Truncate(std::uint64_t aBytes, FileReason& aReason) = 0;
  virtual bool Sync(FileReason& aReason) = 0;
};

// Held until destroyed or the process ends.
class FileLock {
 public:
  virtual ~FileLock() = default;
};

// The few file operations that storage needs, so that tests can fail them.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  // Opens for appending, creating the file when it is missing.
  virtual std::unique_ptr<File> Open(const std::string& aPath,
                                     FileReason& aReason) = 0;
  virtual std::optional<std::vector<std::uint8_t>> Read(
      const std::string& aPath, FileReason& aReason) = 0;
  // Names in a folder, in no order; NotFound when the folder is missing.
  virtual std::optional<std::vector<std::string>> List(
      const std::string& aFolder, FileReason& aReason) = 0;
  // Succeeds when the folder exists already.
  virtual bool MakeFolder(const std::string& aFolder, FileReason& aReason) = 0;
  // Makes creations, renames and removals in the folder durable.
  virtual bool SyncFolder(const std::string& aFolder, FileReason& aReason) = 0;
  virtual bool Rename(const std::string& aFrom, const std::string& aTo,
                      FileReason& aReason) = 0;
  virtual bool Remove(const std::string& aPath, FileReason& aReason) = 0;
  virtual std::unique_ptr<FileLock> Lock(const std::string& aPath,
                                         FileReason& aReason) = 0;
  // Bytes that this process may still write.
  virtual std::optional<std::uint64_t> FreeBytes(const std::string& aFolder,
                                                 FileReason& aReason) = 0;
};

// The real file system.
std::unique_ptr<FileSystem> MakePosixFileSystem();

}  // namespace bramleypath::storage
