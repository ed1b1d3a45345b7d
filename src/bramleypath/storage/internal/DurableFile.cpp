#include "bramleypath/storage/internal/DurableFile.h"

#include <memory>

namespace bramleypath::storage::detail {

StorageReason ToStorageReason(const FileReason& aReason,
                              const std::string& aFile,
                              StorageError aOtherwise) {
  StorageReason reason;
  reason.code =
      aReason.code == FileError::NoSpace ? StorageError::DiskFull : aOtherwise;
  reason.file = aFile;
  reason.detail = aReason.detail;
  return reason;
}

bool WriteDurably(FileSystem& aFiles, const std::string& aFolder,
                  const std::string& aName,
                  const std::vector<gsl::span<const std::uint8_t>>& aParts,
                  StorageReason& aReason) {
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + kTemporarySuffix;
  FileReason reason;
  std::unique_ptr<File> file = aFiles.Open(temporary, reason);
  // An interrupted earlier write may have left a temporary file.
  bool written = file != nullptr && file->Truncate(0, reason);
  for (const auto& part : aParts) {
    written = written && file->Append(part, reason);
  }
  if (!written) {
    aReason = ToStorageReason(reason, temporary, StorageError::SyncFailed);
    FileReason ignored;
    aFiles.Remove(temporary, ignored);
    return false;
  }
  if (!file->Sync(reason)) {
    aReason = ToStorageReason(reason, temporary, StorageError::SyncFailed);
    aReason.code = StorageError::SyncFailed;
    return false;
  }
  file.reset();
  if (!aFiles.Rename(temporary, path, reason) ||
      !aFiles.SyncFolder(aFolder, reason)) {
    aReason = ToStorageReason(reason, path, StorageError::SyncFailed);
    aReason.code = StorageError::SyncFailed;
    return false;
  }
  return true;
}

}  // namespace bramleypath::storage::detail
