#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/storage/FileSystem.h"

namespace bramleypath::controller {

// The group's first members, as a first member learned them when the
// deployment was created. They are kept in its folder: settings name other
// hosts later, and a replica that was given another first membership after a
// restart could elect itself beside the group.
std::optional<std::vector<HostId>> ReadFirstMembers(storage::FileSystem& aFiles,
                                                    const std::string& aFolder);

// False with a reason when it isn't durable.
bool WriteFirstMembers(storage::FileSystem& aFiles, const std::string& aFolder,
                       const std::vector<HostId>& aMembers,
                       std::string& aReason);

}  // namespace bramleypath::controller
