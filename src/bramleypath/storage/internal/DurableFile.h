#pragma once

#include <cstdint>
#include <gsl/span>
#include <string>
#include <vector>

#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage::detail {

// Suffix of the names of incomplete files. They are removed at the next start.
constexpr const char* kTemporarySuffix = ".tmp";

// Converts the error of a file operation. NoSpace becomes DiskFull, any other
// error becomes aOtherwise.
StorageReason ToStorageReason(const FileReason& aReason,
                              const std::string& aFile,
                              StorageError aOtherwise);

// Writes the parts to a temporary file, syncs it, renames it to aFolder/aName
// and syncs the folder. After a crash the file is therefore complete or absent.
bool WriteDurably(FileSystem& aFiles, const std::string& aFolder,
                  const std::string& aName,
                  const std::vector<gsl::span<const std::uint8_t>>& aParts,
                  StorageReason& aReason);

}  // namespace bramleypath::storage::detail
