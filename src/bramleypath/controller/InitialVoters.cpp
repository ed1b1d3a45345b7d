#include "bramleypath/controller/InitialVoters.h"

#include "bramleypath/codec/Fields.h"

namespace bramleypath::controller {

namespace {

constexpr const char* kName = "/first_members";
constexpr const char* kTemporaryName = "/first_members.tmp";

}  // namespace

std::optional<std::vector<HostId>> ReadInitialVoters(
    storage::FileSystem& aFiles, const std::string& aFolder) {
  storage::FileReason reason;
  const auto bytes = aFiles.Read(aFolder + kName, reason);
  if (!bytes) {
    return std::nullopt;
  }
  return codec::FromCbor<std::vector<HostId>>(*bytes);
}

bool WriteInitialVoters(storage::FileSystem& aFiles, const std::string& aFolder,
                        const std::vector<HostId>& aVoters,
                        std::string& aReason) {
  storage::FileReason reason;
  const std::vector<std::uint8_t> bytes = codec::ToCbor(aVoters);
  const std::string temporary = aFolder + kTemporaryName;
  // Removes a temporary file that an interrupted start has left.
  aFiles.Remove(temporary, reason);
  const auto file = aFiles.Open(temporary, reason);
  if (!file || !file->Append(bytes, reason) || !file->Sync(reason) ||
      !aFiles.Rename(temporary, aFolder + kName, reason) ||
      !aFiles.SyncFolder(aFolder, reason)) {
    aReason = "can't write " + aFolder + kName;
    return false;
  }
  return true;
}

}  // namespace bramleypath::controller
