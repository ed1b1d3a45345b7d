#include "bramleypath/storage/DataFolder.h"

#include <algorithm>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "bramleypath/storage/internal/DurableFile.h"
#include "bramleypath/storage/internal/Frame.h"

namespace bramleypath::storage {

namespace {

constexpr const char* kLockName = "lock";
constexpr const char* kIdentityName = "identity";
constexpr const char* kGroupsName = "groups";
constexpr const char* kInitial = "initial";

bool Refuse(StorageError aCode, const std::string& aFile,
            const std::string& aDetail, StorageReason& aReason) {
  aReason.code = aCode;
  aReason.file = aFile;
  aReason.offset = 0;
  aReason.detail = aDetail;
  return false;
}

// Returns 128 random bits in hexadecimal. A host whose folder was lost thereby
// never gets the identity that an earlier folder of the host had.
std::string RandomSuffix() {
  constexpr std::size_t kWords = 4;
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::random_device device;
  std::string text;
  for (std::size_t word = 0; word < kWords; ++word) {
    std::uint32_t bits = device();
    for (int digit = 0; digit < 8; ++digit) {
      text += kDigits[bits & 0xF];
      bits >>= 4;
    }
  }
  return text;
}

bool ReadIdentity(FileSystem& aFiles, const std::string& aPath,
                  consensus::ReplicaId& aIdentity, StorageReason& aReason) {
  FileReason fileReason;
  const auto bytes = aFiles.Read(aPath, fileReason);
  if (!bytes) {
    aReason =
        detail::ToStorageReason(fileReason, aPath, StorageError::Unusable);
    return false;
  }
  if (bytes->empty()) {
    return Refuse(StorageError::Corrupt, aPath, "empty identity", aReason);
  }
  const detail::FrameResult frame = detail::ReadFrame(*bytes, 0);
  if (frame.state != detail::FrameState::Valid ||
      frame.nextOffset != bytes->size() || frame.payload.empty()) {
    return Refuse(StorageError::Corrupt, aPath, "checksum mismatch", aReason);
  }
  aIdentity.value.assign(frame.payload.begin(), frame.payload.end());
  return true;
}

bool CreateIdentity(FileSystem& aFiles, const std::string& aFolder,
                    const consensus::ReplicaId& aIdentity,
                    StorageReason& aReason) {
  const std::vector<std::uint8_t> payload(aIdentity.value.begin(),
                                          aIdentity.value.end());
  const std::vector<std::uint8_t> frame = detail::MakeFrame(payload);
  return detail::WriteDurably(aFiles, aFolder, kIdentityName, {frame}, aReason);
}

std::string ParentOf(const std::string& aPath) {
  const std::size_t slash = aPath.find_last_of('/');
  if (slash == std::string::npos) {
    return ".";
  }
  return slash == 0 ? "/" : aPath.substr(0, slash);
}

bool PrepareFolder(FileSystem& aFiles, const std::string& aPath,
                   StorageReason& aReason) {
  FileReason reason;
  if (!aFiles.MakeFolder(aPath, reason) ||
      !aFiles.SyncFolder(ParentOf(aPath), reason)) {
    aReason = detail::ToStorageReason(reason, aPath, StorageError::Unusable);
    return false;
  }
  return true;
}

bool Contains(const std::vector<std::string>& aNames, const char* aName) {
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

bool OpenExisting(FileSystem& aFiles, const HostId& aHost,
                  CreationMode aCreationMode, DataFolder& aFolder,
                  StorageReason& aReason) {
  const std::string path = aFolder.path + "/" + kIdentityName;
  if (!ReadIdentity(aFiles, path, aFolder.identity, aReason)) {
    return false;
  }
  if (HostOf(aFolder.identity) != aHost) {
    return Refuse(StorageError::OtherHost, path,
                  "identity is " + aFolder.identity.value, aReason);
  }
  return aCreationMode == CreationMode::Join ||
         Refuse(StorageError::AlreadyCreated, path, aFolder.identity.value,
                aReason);
}

bool CreateNew(FileSystem& aFiles, const HostId& aHost,
               CreationMode aCreationMode, DataFolder& aFolder,
               StorageReason& aReason) {
  aFolder.identity =
      aCreationMode == CreationMode::Bootstrap
          ? InitialIdentity(aHost)
          : consensus::ReplicaId{aHost.value + "/" + RandomSuffix()};
  aFolder.created = true;
  return CreateIdentity(aFiles, aFolder.path, aFolder.identity, aReason) &&
         PrepareFolder(aFiles, aFolder.path + "/" + kGroupsName, aReason);
}

}  // namespace

consensus::ReplicaId InitialIdentity(const HostId& aHost) {
  return consensus::ReplicaId{aHost.value + "/" + kInitial};
}

HostId HostOf(const consensus::ReplicaId& aReplica) {
  return HostId{aReplica.value.substr(0, aReplica.value.find_last_of('/'))};
}

std::string GroupFolder(const DataFolder& aFolder, const std::string& aGroup) {
  return aFolder.path + "/" + kGroupsName + "/" + aGroup;
}

std::optional<DataFolder> OpenDataFolder(FileSystem& aFiles,
                                         const std::string& aPath,
                                         const HostId& aHost,
                                         CreationMode aCreationMode,
                                         StorageReason& aReason) {
  DataFolder folder;
  folder.path = aPath;
  if (!PrepareFolder(aFiles, aPath, aReason)) {
    return std::nullopt;
  }
  FileReason fileReason;
  folder.lock = aFiles.Lock(aPath + "/" + kLockName, fileReason);
  if (!folder.lock) {
    aReason = detail::ToStorageReason(fileReason, aPath + "/" + kLockName,
                                      fileReason.code == FileError::Locked
                                          ? StorageError::Locked
                                          : StorageError::Unusable);
    return std::nullopt;
  }
  const auto names = aFiles.List(aPath, fileReason);
  if (!names) {
    aReason =
        detail::ToStorageReason(fileReason, aPath, StorageError::Unusable);
    return std::nullopt;
  }
  const bool hasIdentity = Contains(*names, kIdentityName);
  if (!hasIdentity && Contains(*names, kGroupsName)) {
    Refuse(StorageError::IdentityMissing, aPath, "", aReason);
    return std::nullopt;
  }
  const bool opened =
      hasIdentity ? OpenExisting(aFiles, aHost, aCreationMode, folder, aReason)
                  : CreateNew(aFiles, aHost, aCreationMode, folder, aReason);
  if (!opened) {
    return std::nullopt;
  }
  // A crash after the identity was written may have left no groups folder.
  if (!PrepareFolder(aFiles, aPath + "/" + kGroupsName, aReason)) {
    return std::nullopt;
  }
  return folder;
}

}  // namespace bramleypath::storage
