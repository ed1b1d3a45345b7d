#pragma once

#include <optional>
#include <string>

#include "bramleypath/consensus/Types.h"
#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage::detail {

std::string SnapshotName(consensus::LogIndex aIndex, consensus::Term aTerm);
bool IsSnapshotName(const std::string& aName);

bool WriteSnapshot(FileSystem& aFiles, const std::string& aFolder,
                   const consensus::Snapshot& aSnapshot,
                   StorageReason& aReason);
// Any fault is Corrupt: the log refers to the snapshot, so it was synced.
std::optional<consensus::Snapshot> ReadSnapshot(FileSystem& aFiles,
                                                const std::string& aFolder,
                                                consensus::LogIndex aIndex,
                                                consensus::Term aTerm,
                                                StorageReason& aReason);

}  // namespace bramleypath::storage::detail
