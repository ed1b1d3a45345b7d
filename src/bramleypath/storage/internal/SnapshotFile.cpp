#include "bramleypath/storage/internal/SnapshotFile.h"

#include "bramleypath/consensus/RecordCodec.h"
#include "bramleypath/storage/internal/DurableFile.h"
#include "bramleypath/storage/internal/Frame.h"

namespace bramleypath::storage::detail {

namespace {

constexpr const char* kPrefix = "snapshot-";

std::optional<consensus::Snapshot> Corrupt(const std::string& aPath,
                                           std::uint64_t aOffset,
                                           const std::string& aDetail,
                                           StorageReason& aReason) {
  aReason = StorageReason{StorageError::Corrupt, aPath, aOffset, aDetail};
  return std::nullopt;
}

}  // namespace

std::string SnapshotName(consensus::LogIndex aIndex, consensus::Term aTerm) {
  return kPrefix + std::to_string(aIndex) + "-" + std::to_string(aTerm);
}

bool IsSnapshotName(const std::string& aName) {
  return aName.rfind(kPrefix, 0) == 0;
}

bool WriteSnapshot(FileSystem& aFiles, const std::string& aFolder,
                   const consensus::Snapshot& aSnapshot,
                   StorageReason& aReason) {
  consensus::SnapshotHeader header;
  header.index = aSnapshot.index;
  header.term = aSnapshot.term;
  header.membership = aSnapshot.membership;
  header.stateBytes = aSnapshot.state.size();
  header.stateChecksum = Checksum(aSnapshot.state);
  const auto frame = MakeFrame(consensus::EncodeSnapshotHeader(header));
  return WriteDurably(aFiles, aFolder,
                      SnapshotName(aSnapshot.index, aSnapshot.term),
                      {frame, aSnapshot.state}, aReason);
}

std::optional<consensus::Snapshot> ReadSnapshot(FileSystem& aFiles,
                                                const std::string& aFolder,
                                                consensus::LogIndex aIndex,
                                                consensus::Term aTerm,
                                                StorageReason& aReason) {
  const std::string path = aFolder + "/" + SnapshotName(aIndex, aTerm);
  FileReason fileReason;
  const auto bytes = aFiles.Read(path, fileReason);
  if (!bytes) {
    return Corrupt(path, 0, fileReason.detail, aReason);
  }
  if (bytes->empty()) {
    return Corrupt(path, 0, "empty snapshot", aReason);
  }
  const FrameResult frame = ReadFrame(*bytes, 0);
  const auto header = frame.state == FrameState::Valid
                          ? consensus::DecodeSnapshotHeader(frame.payload)
                          : std::nullopt;
  if (!header || header->index != aIndex || header->term != aTerm) {
    return Corrupt(path, 0, "unreadable snapshot head", aReason);
  }
  const auto state =
      gsl::span<const std::uint8_t>(*bytes).subspan(frame.nextOffset);
  if (state.size() != header->stateBytes ||
      Checksum(state) != header->stateChecksum) {
    return Corrupt(path, frame.nextOffset, "checksum mismatch", aReason);
  }
  consensus::Snapshot snapshot;
  snapshot.index = header->index;
  snapshot.term = header->term;
  snapshot.membership = header->membership;
  snapshot.state.assign(state.begin(), state.end());
  return snapshot;
}

}  // namespace bramleypath::storage::detail
