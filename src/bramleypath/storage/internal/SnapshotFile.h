#pragma once

#include <optional>
#include <string>

#include "bramleypath/consensus/Types.h"
#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage::detail {

// The file name of a snapshot.
std::string SnapshotName(consensus::LogIndex aIndex, consensus::Term aTerm);
bool IsSnapshotName(const std::string& aName);

// Makes the snapshot durable. Returns false and sets aReason on failure.
bool WriteSnapshot(FileSystem& aFiles, const std::string& aFolder,
                   const consensus::Snapshot& aSnapshot,
                   StorageReason& aReason);
// Reads and checks a snapshot. Every error, also a missing file, is reported as
// Corrupt: the log refers to a snapshot only after the snapshot was synced.
std::optional<consensus::Snapshot> ReadSnapshot(FileSystem& aFiles,
                                                const std::string& aFolder,
                                                consensus::LogIndex aIndex,
                                                consensus::Term aTerm,
                                                StorageReason& aReason);

}  // namespace bramleypath::storage::detail
