#pragma once

#include <cstdint>
#include <gsl/span>
#include <string>
#include <vector>

#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage::detail {

// Ends the names of files that are not complete yet; they are removed at start.
constexpr const char* kTemporarySuffix = ".tmp";

// Translates a file error into the caller's reason. Errors of writes and syncs
// are SyncFailed, unless there was no space.
StorageReason FromFile(const FileReason& aReason, const std::string& aFile,
                       StorageError aOtherwise);

// Writes the parts to a temporary file, syncs it, renames it to aFolder/aName
// and syncs the folder: the file is whole or absent after a crash.
bool WriteDurably(FileSystem& aFiles, const std::string& aFolder,
                  const std::string& aName,
                  const std::vector<gsl::span<const std::uint8_t>>& aParts,
                  StorageReason& aReason);

}  // namespace bramleypath::storage::detail
