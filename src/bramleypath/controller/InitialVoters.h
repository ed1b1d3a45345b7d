#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/storage/FileSystem.h"

namespace bramleypath::controller {

// Reads the hosts that were the group's voters when the deployment was created;
// none when the file is missing or unreadable. Each initial voter stores them
// in its folder, because the settings name other hosts later: a replica that
// restarted with other initial voters could be elected by them while the group
// has a leader already.
std::optional<std::vector<HostId>> ReadInitialVoters(
    storage::FileSystem& aFiles, const std::string& aFolder);

// Returns false with a reason when the file could not be written durably.
bool WriteInitialVoters(storage::FileSystem& aFiles, const std::string& aFolder,
                        const std::vector<HostId>& aVoters,
                        std::string& aReason);

}  // namespace bramleypath::controller
