#include "bramleypath/storage/GroupStore.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "bramleypath/base/Text.h"
#include "bramleypath/consensus/RecordCodec.h"
#include "bramleypath/storage/internal/DurableFile.h"
#include "bramleypath/storage/internal/Frame.h"
#include "bramleypath/storage/internal/LogReplay.h"
#include "bramleypath/storage/internal/SnapshotFile.h"

namespace bramleypath::storage {

namespace {

using consensus::PersistEntries;
using consensus::PersistHardState;
using consensus::PersistSnapshot;

constexpr const char* kLogPrefix = "log-";
// Present once the first log file is durable. Without it the folder holds
// nothing that was ever acknowledged; with it a log file must be there.
constexpr const char* kCreatedName = "created";

struct Segment {
  std::uint64_t sequence = 0;
  std::uint64_t bytes = 0;
  consensus::LogIndex maxIndex = 0;
};

std::string LogName(std::uint64_t aSequence) {
  // Fixed width, so that names sort by number.
  constexpr std::size_t kDigits = 12;
  const std::string digits = std::to_string(aSequence);
  return kLogPrefix +
         std::string(kDigits - std::min(kDigits, digits.size()), '0') + digits;
}

bool Corrupt(const std::string& aPath, const std::string& aDetail,
             StorageReason& aReason) {
  aReason = StorageReason{StorageError::Corrupt, aPath, 0, aDetail};
  return false;
}

void Encode(const PersistHardState& aWrite, consensus::RecordEncoder& aOut) {
  aOut.Add(aWrite.state);
}
void Encode(const PersistEntries& aWrite, consensus::RecordEncoder& aOut) {
  aOut.Add(aWrite.entries);
}
void Encode(const PersistSnapshot& aWrite, consensus::RecordEncoder& aOut) {
  aOut.Add(consensus::SnapshotMark{aWrite.snapshot->index,
                                   aWrite.snapshot->term, aWrite.discardLog});
}

}  // namespace

struct GroupStore::Impl {
  Impl(FileSystem& aFiles, std::string aFolder, const StoreSettings& aSettings)
      : files(aFiles), folder(std::move(aFolder)), settings(aSettings) {}

  std::string PathOf(const std::string& aName) const {
    return this->folder + "/" + aName;
  }

  bool FailWith(const FileReason& aFileReason, const std::string& aName,
                StorageError aCode, StorageReason& aReason) const {
    aReason = detail::FromFile(aFileReason, this->PathOf(aName), aCode);
    return false;
  }

  bool Prepare(StorageReason& aReason);
  bool Load(OpenedState& aOpened, StorageReason& aReason);
  bool ListSegments(const std::vector<std::string>& aNames,
                    StorageReason& aReason);
  bool ClearUnborn(StorageReason& aReason);
  bool CreateFirst(StorageReason& aReason);
  bool ReplayAll(detail::Replay& aReplay, OpenedState& aOpened,
                 StorageReason& aReason);
  bool ReplayOne(std::size_t aSegment, detail::Replay& aReplay,
                 OpenedState& aOpened, StorageReason& aReason);
  bool OpenCurrent(StorageReason& aReason);
  bool AddSegment(std::uint64_t aSequence, StorageReason& aReason);
  bool WriteBatch(gsl::span<const StoreWrite> aWrites, StorageReason& aReason);
  bool AppendFrame(const std::vector<std::uint8_t>& aFrame,
                   StorageReason& aReason);
  void Note(const StoreWrite& aWrite);
  void Roll();
  void RemoveObsolete();

  FileSystem& files;
  std::string folder;
  StoreSettings settings;
  std::vector<Segment> segments;  // the last one is written to
  std::unique_ptr<File> current;
  consensus::HardState hardState;
  consensus::LogIndex lastIndex = 0;  // of the log or the snapshot
  consensus::LogIndex snapshotIndex = 0;
  consensus::Term snapshotTerm = 0;
  std::vector<std::string> staleSnapshots;
  bool failed = false;
};

bool GroupStore::Impl::Prepare(StorageReason& aReason) {
  FileReason reason;
  const std::string parent =
      this->folder.substr(0, this->folder.find_last_of('/'));
  if (!this->files.MakeFolder(this->folder, reason) ||
      !this->files.SyncFolder(parent, reason)) {
    return this->FailWith(reason, "", StorageError::Unusable, aReason);
  }
  return true;
}

bool GroupStore::Impl::ListSegments(const std::vector<std::string>& aNames,
                                    StorageReason& aReason) {
  for (const std::string& name : aNames) {
    if (StartsWith(name, kLogPrefix)) {
      Segment segment;
      segment.sequence = std::strtoull(
          name.c_str() + std::string(kLogPrefix).size(), nullptr, 10);
      this->segments.push_back(segment);
    }
  }
  std::sort(this->segments.begin(), this->segments.end(),
            [](const Segment& aLeft, const Segment& aRight) {
              return aLeft.sequence < aRight.sequence;
            });
  for (std::size_t i = 1; i < this->segments.size(); ++i) {
    const std::uint64_t expected = this->segments[i - 1].sequence + 1;
    if (this->segments[i].sequence != expected) {
      return Corrupt(this->PathOf(LogName(expected)), "file is missing",
                     aReason);
    }
  }
  return true;
}

// Removes what a creation that was interrupted left behind. Files that hold
// more than that are not touched.
bool GroupStore::Impl::ClearUnborn(StorageReason& aReason) {
  for (const Segment& segment : this->segments) {
    const std::string name = LogName(segment.sequence);
    FileReason reason;
    const auto bytes = this->files.Read(this->PathOf(name), reason);
    if (!bytes) {
      return this->FailWith(reason, name, StorageError::Unusable, aReason);
    }
    detail::Replay replay;
    detail::SegmentEnd end;
    StorageReason ignored;
    const bool readable = detail::ReplaySegment(name, segment.sequence, *bytes,
                                                replay, end, ignored);
    if (!readable || end.frames > 1 || this->segments.size() > 1) {
      return Corrupt(this->PathOf(kCreatedName),
                     "marker is missing though the log has entries", aReason);
    }
    if (!this->files.Remove(this->PathOf(name), reason)) {
      return this->FailWith(reason, name, StorageError::Unusable, aReason);
    }
  }
  this->segments.clear();
  return true;
}

bool GroupStore::Impl::CreateFirst(StorageReason& aReason) {
  return this->ClearUnborn(aReason) && this->AddSegment(1, aReason) &&
         detail::WriteDurably(this->files, this->folder, kCreatedName, {},
                              aReason);
}

bool GroupStore::Impl::ReplayOne(std::size_t aSegment, detail::Replay& aReplay,
                                 OpenedState& aOpened, StorageReason& aReason) {
  Segment& segment = this->segments[aSegment];
  const std::string path = this->PathOf(LogName(segment.sequence));
  const bool last = aSegment + 1 == this->segments.size();
  FileReason fileReason;
  const auto bytes = this->files.Read(path, fileReason);
  if (!bytes) {
    aReason = detail::FromFile(fileReason, path, StorageError::Unusable);
    return false;
  }
  detail::SegmentEnd end;
  if (!detail::ReplaySegment(path, segment.sequence, *bytes, aReplay, end,
                             aReason)) {
    return false;
  }
  const bool incomplete = end.torn || end.frames == 0;
  // Each file is whole before the next one is begun, and the first one before
  // the folder counts as created.
  if (incomplete && (!last || (end.frames == 0 && aSegment == 0))) {
    aReason = StorageReason{StorageError::Corrupt, path, end.bytes,
                            "incomplete record before the tail"};
    return false;
  }
  if (incomplete) {
    aOpened.tornTail = TornTail{path, end.bytes, bytes->size() - end.bytes};
  }
  segment.bytes = end.bytes;
  segment.maxIndex = end.maxIndex;
  return true;
}

bool GroupStore::Impl::ReplayAll(detail::Replay& aReplay, OpenedState& aOpened,
                                 StorageReason& aReason) {
  if (this->segments.empty()) {
    return Corrupt(this->PathOf(LogName(1)), "no log file is left", aReason);
  }
  for (std::size_t i = 0; i < this->segments.size(); ++i) {
    if (!this->ReplayOne(i, aReplay, aOpened, aReason)) {
      return false;
    }
  }
  const auto& entries = aReplay.entries;
  const std::uint64_t first = this->segments.front().sequence;
  // Files are removed only once a snapshot covers them.
  if (aReplay.lastBefore && *aReplay.lastBefore > aReplay.snapshot.index) {
    return Corrupt(this->PathOf(LogName(first - 1)), "file is missing",
                   aReason);
  }
  if (!entries.empty() && entries.front().index > aReplay.snapshot.index + 1) {
    return Corrupt(this->PathOf(LogName(first)),
                   "entries between the snapshot and the log are missing",
                   aReason);
  }
  return true;
}

// Removes a torn tail and makes all that was read durable: after a crash of the
// process alone it may be in the system's cache only.
bool GroupStore::Impl::OpenCurrent(StorageReason& aReason) {
  FileReason reason;
  if (this->segments.back().bytes == 0) {
    const std::string name = LogName(this->segments.back().sequence);
    if (!this->files.Remove(this->PathOf(name), reason)) {
      return this->FailWith(reason, name, StorageError::Unusable, aReason);
    }
    this->segments.pop_back();
  }
  const Segment& last = this->segments.back();
  const std::string name = LogName(last.sequence);
  this->current = this->files.Open(this->PathOf(name), reason);
  if (!this->current || !this->current->Truncate(last.bytes, reason) ||
      !this->current->Sync(reason) ||
      !this->files.SyncFolder(this->folder, reason)) {
    return this->FailWith(reason, name, StorageError::SyncFailed, aReason);
  }
  return true;
}

bool GroupStore::Impl::Load(OpenedState& aOpened, StorageReason& aReason) {
  FileReason fileReason;
  const auto names = this->files.List(this->folder, fileReason);
  if (!names) {
    return this->FailWith(fileReason, "", StorageError::Unusable, aReason);
  }
  if (!this->ListSegments(*names, aReason)) {
    return false;
  }
  const bool created =
      std::find(names->begin(), names->end(), kCreatedName) != names->end();
  detail::Replay replay;
  if (!created) {
    if (!this->CreateFirst(aReason)) {
      return false;
    }
  } else if (!this->ReplayAll(replay, aOpened, aReason)) {
    return false;
  }
  if (replay.snapshot.index > 0) {
    aOpened.restored.snapshot =
        detail::ReadSnapshot(this->files, this->folder, replay.snapshot.index,
                             replay.snapshot.term, aReason);
    if (!aOpened.restored.snapshot) {
      return false;
    }
  }
  // Nothing is changed before all was found sound.
  if (created && !this->OpenCurrent(aReason)) {
    return false;
  }
  this->hardState = replay.hardState;
  this->snapshotIndex = replay.snapshot.index;
  this->snapshotTerm = replay.snapshot.term;
  this->lastIndex =
      replay.entries.empty()
          ? replay.snapshot.index
          : std::max(replay.entries.back().index, replay.snapshot.index);
  aOpened.restored.hardState = replay.hardState;
  for (consensus::LogEntry& entry : replay.entries) {
    if (entry.index > replay.snapshot.index) {
      aOpened.restored.entries.push_back(std::move(entry));
    }
  }
  const std::string kept =
      detail::SnapshotName(this->snapshotIndex, this->snapshotTerm);
  for (const std::string& name : *names) {
    if (EndsWith(name, detail::kTemporarySuffix) ||
        (detail::IsSnapshotName(name) && name != kept)) {
      this->staleSnapshots.push_back(name);
    }
  }
  this->RemoveObsolete();
  return true;
}

bool GroupStore::Impl::AddSegment(std::uint64_t aSequence,
                                  StorageReason& aReason) {
  consensus::RecordEncoder records;
  records.Add(consensus::SegmentHead{aSequence, this->lastIndex});
  records.Add(this->hardState);
  if (this->snapshotIndex > 0) {
    records.Add(consensus::SnapshotMark{this->snapshotIndex, this->snapshotTerm,
                                        false});
  }
  const auto frame = detail::MakeFrame(records.Finish());
  const std::string name = LogName(aSequence);
  FileReason reason;
  auto file = this->files.Open(this->PathOf(name), reason);
  if (!file || !file->Truncate(0, reason) || !file->Append(frame, reason)) {
    this->FailWith(reason, name, StorageError::SyncFailed, aReason);
    FileReason removal;
    if (file && !this->files.Remove(this->PathOf(name), removal)) {
      aReason.code = StorageError::SyncFailed;
    }
    return false;
  }
  if (!file->Sync(reason) || !this->files.SyncFolder(this->folder, reason)) {
    this->FailWith(reason, name, StorageError::SyncFailed, aReason);
    aReason.code = StorageError::SyncFailed;
    return false;
  }
  this->current = std::move(file);
  Segment segment;
  segment.sequence = aSequence;
  segment.bytes = frame.size();
  this->segments.push_back(segment);
  return true;
}

bool GroupStore::Impl::AppendFrame(const std::vector<std::uint8_t>& aFrame,
                                   StorageReason& aReason) {
  Segment& segment = this->segments.back();
  const std::string name = LogName(segment.sequence);
  FileReason reason;
  if (!this->current->Append(aFrame, reason)) {
    this->FailWith(reason, name, StorageError::SyncFailed, aReason);
    FileReason cut;
    // The next frame must not follow a part of this one.
    if (!this->current->Truncate(segment.bytes, cut)) {
      this->FailWith(cut, name, StorageError::SyncFailed, aReason);
      aReason.code = StorageError::SyncFailed;
    }
    return false;
  }
  if (!this->current->Sync(reason)) {
    this->FailWith(reason, name, StorageError::SyncFailed, aReason);
    // Also when there was no space: the state of the cache is unknown.
    aReason.code = StorageError::SyncFailed;
    return false;
  }
  segment.bytes += aFrame.size();
  return true;
}

void GroupStore::Impl::Note(const StoreWrite& aWrite) {
  if (const auto* hard = std::get_if<PersistHardState>(&aWrite)) {
    this->hardState = hard->state;
  } else if (const auto* entries = std::get_if<PersistEntries>(&aWrite)) {
    Segment& segment = this->segments.back();
    segment.maxIndex =
        std::max(segment.maxIndex, entries->entries.back().index);
    this->lastIndex = entries->entries.back().index;
  } else {
    const auto& write = std::get<PersistSnapshot>(aWrite);
    const auto& snapshot = *write.snapshot;
    if (write.discardLog) {
      this->lastIndex = snapshot.index;
    }
    if (this->snapshotIndex > 0) {
      this->staleSnapshots.push_back(
          detail::SnapshotName(this->snapshotIndex, this->snapshotTerm));
    }
    this->snapshotIndex = snapshot.index;
    this->snapshotTerm = snapshot.term;
  }
}

bool GroupStore::Impl::WriteBatch(gsl::span<const StoreWrite> aWrites,
                                  StorageReason& aReason) {
  consensus::RecordEncoder records;
  const consensus::Snapshot* newest = nullptr;
  for (const StoreWrite& write : aWrites) {
    std::visit([&records](const auto& aOne) { Encode(aOne, records); }, write);
    if (const auto* snapshot = std::get_if<PersistSnapshot>(&write)) {
      newest = snapshot->snapshot.get();
    }
  }
  // The file first: the log must not refer to a snapshot that isn't durable.
  if (newest != nullptr &&
      !detail::WriteSnapshot(this->files, this->folder, *newest, aReason)) {
    return false;
  }
  return this->AppendFrame(detail::MakeFrame(records.Finish()), aReason);
}

void GroupStore::Impl::Roll() {
  if (this->segments.back().bytes <= this->settings.segmentBytes) {
    return;
  }
  StorageReason reason;
  if (!this->AddSegment(this->segments.back().sequence + 1, reason)) {
    // Without space the current file just grows on.
    this->failed = reason.code != StorageError::DiskFull;
  }
}

// Files that can't be removed now are tried again at the next start.
void GroupStore::Impl::RemoveObsolete() {
  FileReason ignored;
  for (const std::string& name : std::exchange(this->staleSnapshots, {})) {
    this->files.Remove(this->PathOf(name), ignored);
  }
  // Only from the front, so that the numbers of those left have no gap.
  while (this->segments.size() > 1 &&
         this->segments.front().maxIndex <= this->snapshotIndex) {
    const std::string name = LogName(this->segments.front().sequence);
    if (!this->files.Remove(this->PathOf(name), ignored)) {
      return;
    }
    // Keeps a crash from leaving a later file removed and this one not.
    if (!this->files.SyncFolder(this->folder, ignored)) {
      this->failed = true;
      return;
    }
    this->segments.erase(this->segments.begin());
  }
}

GroupStore::GroupStore(std::unique_ptr<Impl> aImpl) : impl(std::move(aImpl)) {}
GroupStore::~GroupStore() = default;

std::unique_ptr<GroupStore> GroupStore::Open(FileSystem& aFiles,
                                             const std::string& aFolder,
                                             const StoreSettings& aSettings,
                                             OpenedState& aOpened,
                                             StorageReason& aReason) {
  auto impl = std::make_unique<Impl>(aFiles, aFolder, aSettings);
  if (!impl->Prepare(aReason) || !impl->Load(aOpened, aReason)) {
    return nullptr;
  }
  return std::unique_ptr<GroupStore>(new GroupStore(std::move(impl)));
}

bool GroupStore::Commit(gsl::span<const StoreWrite> aWrites,
                        StorageReason& aReason) {
  Impl& store = *this->impl;
  if (store.failed) {
    aReason = StorageReason{StorageError::SyncFailed, store.folder, 0,
                            "an earlier write failed"};
    return false;
  }
  if (aWrites.empty()) {
    return true;
  }
  if (!store.WriteBatch(aWrites, aReason)) {
    store.failed = aReason.code != StorageError::DiskFull;
    return false;
  }
  bool hasSnapshot = false;
  for (const StoreWrite& write : aWrites) {
    store.Note(write);
    hasSnapshot = hasSnapshot || std::holds_alternative<PersistSnapshot>(write);
  }
  store.Roll();
  if (hasSnapshot) {
    store.RemoveObsolete();
  }
  return true;
}

bool GroupStore::IsNearlyFull() {
  FileReason reason;
  const auto free = this->impl->files.FreeBytes(this->impl->folder, reason);
  return free && *free < this->impl->settings.reserveBytes;
}

}  // namespace bramleypath::storage
