#pragma once

#include <memory>
#include <optional>
#include <string>

#include "bramleypath/base/Ids.h"
#include "bramleypath/consensus/Types.h"
#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

enum class CreationMode {
  // An empty folder gets the identity "<host>/<random>", which no group knows
  // as a voter: a host that lost its folder can't vote as its former self.
  Join,
  // Only when a deployment is created: an empty folder gets
  // "<host>/initial", which the first members of the groups are known by.
  // Refused for a folder that has an identity, so that a service can't be left
  // configured with it.
  Bootstrap,
};

// The data folder of one process, locked against others.
struct DataFolder {
  std::string path;
  consensus::ReplicaId identity;
  bool created = false;  // by this call
  std::unique_ptr<FileLock> lock;
};

// Opens or creates the folder; its parent must exist.
std::optional<DataFolder> OpenDataFolder(FileSystem& aFiles,
                                         const std::string& aPath,
                                         const HostId& aHost,
                                         CreationMode aCreationMode,
                                         StorageReason& aReason);

// The identity that a bootstrapped host has.
consensus::ReplicaId InitialIdentity(const HostId& aHost);
// The host part of an identity.
HostId HostOf(const consensus::ReplicaId& aReplica);

// Where the group of that name keeps its files.
std::string GroupFolder(const DataFolder& aFolder, const std::string& aGroup);

}  // namespace bramleypath::storage
