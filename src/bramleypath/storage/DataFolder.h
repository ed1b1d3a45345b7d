#pragma once

#include <memory>
#include <optional>
#include <string>

#include "bramleypath/base/Ids.h"
#include "bramleypath/consensus/Types.h"
#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

// How an empty data folder gets its identity.
enum class CreationMode {
  // The identity is "<host>/<random>". No group has it as a voter, so a host
  // that lost its folder can't vote under the identity that it lost.
  Join,
  // The identity is "<host>/initial", which the initial membership of each
  // group contains. Used only when a deployment is created. A folder that
  // has an identity is refused, so a service that is left configured with
  // Bootstrap fails at its next start.
  Bootstrap,
};

// The data folder of one process. The lock keeps other processes out.
struct DataFolder {
  std::string path;
  consensus::ReplicaId identity;
  bool created = false;  // by this call to OpenDataFolder
  std::unique_ptr<FileLock> lock;
};

// Opens, or creates, and locks the folder; its parent must exist. Returns
// nothing and sets aReason when the folder can't be used.
std::optional<DataFolder> OpenDataFolder(FileSystem& aFiles,
                                         const std::string& aPath,
                                         const HostId& aHost,
                                         CreationMode aCreationMode,
                                         StorageReason& aReason);

// The identity that CreationMode::Bootstrap gives to aHost.
consensus::ReplicaId InitialIdentity(const HostId& aHost);
// The host part of an identity.
HostId HostOf(const consensus::ReplicaId& aReplica);

// The path of the folder that holds the files of the group aGroup.
std::string GroupFolder(const DataFolder& aFolder, const std::string& aGroup);

}  // namespace bramleypath::storage
