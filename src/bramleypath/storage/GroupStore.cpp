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
// A marker file that is created once the first log file is durable. Without it
// the folder holds no acknowledged data; with it at least one log file must
// exist.
constexpr const char* kCreatedName = "created";

struct Segment {
  std::uint64_t sequence = 0;
  std::uint64_t bytes = 0;
  consensus::LogIndex maxIndex = 0;
};

std::string LogName(std::uint64_t aSequence) {
  // The width is fixed, so that names sort by sequence number.
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
  aOut.Add(consensus::SnapshotMarker{aWrite.snapshot->index,
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
    aReason = detail::ToStorageReason(aFileReason, this->PathOf(aName), aCode);
    return false;
  }

  bool Prepare(StorageReason& aReason);
  bool Load(OpenedState& aOpened, StorageReason& aReason);
  bool ListSegments(const std::vector<std::string>& aNames,
                    StorageReason& aReason);
  bool RemoveInterruptedCreation(StorageReason& aReason);
  bool CreateFirstSegment(StorageReason& aReason);
  bool ReplayAll(detail::ReplayedLog& aReplay, OpenedState& aOpened,
                 StorageReason& aReason);
  bool ReplayOne(std::size_t aSegment, detail::ReplayedLog& aReplay,
                 OpenedState& aOpened, StorageReason& aReason);
  bool OpenCurrent(StorageReason& aReason);
  bool AddSegment(std::uint64_t aSequence, StorageReason& aReason);
  bool WriteBatch(gsl::span<const StoreWrite> aWrites, StorageReason& aReason);
  bool AppendFrame(const std::vector<std::uint8_t>& aFrame,
                   StorageReason& aReason);
  void RecordCommitted(const StoreWrite& aWrite);
  void RollSegment();
  void RemoveObsolete();

  FileSystem& files;
  std::string folder;
  StoreSettings settings;
  std::vector<Segment> segments;  // by sequence; writes go to the last one
  std::unique_ptr<File> current;
  consensus::HardState hardState;
  // The index of the last log entry, or of the snapshot if it is higher.
  consensus::LogIndex lastIndex = 0;
  consensus::LogIndex snapshotIndex = 0;
  consensus::Term snapshotTerm = 0;
  std::vector<std::string> obsoleteFiles;
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

// Removes the log file that a crash during the creation of the store left
// behind. Fails without removing anything if the log holds more than an
// interrupted creation writes.
bool GroupStore::Impl::RemoveInterruptedCreation(StorageReason& aReason) {
  for (const Segment& segment : this->segments) {
    const std::string name = LogName(segment.sequence);
    FileReason reason;
    const auto bytes = this->files.Read(this->PathOf(name), reason);
    if (!bytes) {
      return this->FailWith(reason, name, StorageError::Unusable, aReason);
    }
    detail::ReplayedLog replay;
    detail::SegmentSummary summary;
    StorageReason ignored;
    const bool readable = detail::ReplaySegment(name, segment.sequence, *bytes,
                                                replay, summary, ignored);
    if (!readable || summary.frames > 1 || this->segments.size() > 1) {
      return Corrupt(this->PathOf(kCreatedName),
                     "creation marker is missing though the log has entries",
                     aReason);
    }
    if (!this->files.Remove(this->PathOf(name), reason)) {
      return this->FailWith(reason, name, StorageError::Unusable, aReason);
    }
  }
  this->segments.clear();
  return true;
}

bool GroupStore::Impl::CreateFirstSegment(StorageReason& aReason) {
  return this->RemoveInterruptedCreation(aReason) &&
         this->AddSegment(1, aReason) &&
         detail::WriteDurably(this->files, this->folder, kCreatedName, {},
                              aReason);
}

bool GroupStore::Impl::ReplayOne(std::size_t aSegment,
                                 detail::ReplayedLog& aReplay,
                                 OpenedState& aOpened, StorageReason& aReason) {
  Segment& segment = this->segments[aSegment];
  const std::string path = this->PathOf(LogName(segment.sequence));
  const bool last = aSegment + 1 == this->segments.size();
  FileReason fileReason;
  const auto bytes = this->files.Read(path, fileReason);
  if (!bytes) {
    aReason = detail::ToStorageReason(fileReason, path, StorageError::Unusable);
    return false;
  }
  detail::SegmentSummary summary;
  if (!detail::ReplaySegment(path, segment.sequence, *bytes, aReplay, summary,
                             aReason)) {
    return false;
  }
  const bool incomplete = summary.torn || summary.frames == 0;
  // A segment is complete before the next one is created, and the header of the
  // first segment is durable before the creation marker exists. A crash can
  // therefore leave only the last segment incomplete, and the first one never
  // without its header.
  if (incomplete && (!last || (summary.frames == 0 && aSegment == 0))) {
    aReason = StorageReason{StorageError::Corrupt, path, summary.bytes,
                            "incomplete record before the tail"};
    return false;
  }
  if (incomplete) {
    aOpened.tornTail =
        TornTail{path, summary.bytes, bytes->size() - summary.bytes};
  }
  segment.bytes = summary.bytes;
  segment.maxIndex = summary.maxIndex;
  return true;
}

bool GroupStore::Impl::ReplayAll(detail::ReplayedLog& aReplay,
                                 OpenedState& aOpened, StorageReason& aReason) {
  if (this->segments.empty()) {
    return Corrupt(this->PathOf(LogName(1)), "no log file exists", aReason);
  }
  for (std::size_t i = 0; i < this->segments.size(); ++i) {
    if (!this->ReplayOne(i, aReplay, aOpened, aReason)) {
      return false;
    }
  }
  const auto& entries = aReplay.entries;
  const std::uint64_t first = this->segments.front().sequence;
  // A log file is removed only after a snapshot covers all its entries.
  if (aReplay.lastIndexBefore &&
      *aReplay.lastIndexBefore > aReplay.snapshot.index) {
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

// Opens the last segment for appending, removes a torn tail and syncs the file.
// The sync is needed because data that an earlier process wrote and did not
// sync may so far be in the page cache only.
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
  detail::ReplayedLog replay;
  if (!created) {
    if (!this->CreateFirstSegment(aReason)) {
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
  // Existing files are modified only after all of them passed their checks.
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
      this->obsoleteFiles.push_back(name);
    }
  }
  this->RemoveObsolete();
  return true;
}

bool GroupStore::Impl::AddSegment(std::uint64_t aSequence,
                                  StorageReason& aReason) {
  consensus::RecordEncoder records;
  records.Add(consensus::SegmentHeader{aSequence, this->lastIndex});
  records.Add(this->hardState);
  if (this->snapshotIndex > 0) {
    records.Add(consensus::SnapshotMarker{this->snapshotIndex,
                                          this->snapshotTerm, false});
  }
  const auto frame = detail::MakeFrame(records.Finish());
  const std::string name = LogName(aSequence);
  FileReason reason;
  auto file = this->files.Open(this->PathOf(name), reason);
  if (!file || !file->Truncate(0, reason) || !file->Append(frame, reason)) {
    this->FailWith(reason, name, StorageError::SyncFailed, aReason);
    FileReason removeReason;
    if (file && !this->files.Remove(this->PathOf(name), removeReason)) {
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
    FileReason truncateReason;
    // Removes a partly written frame, so that the next frame doesn't follow it.
    if (!this->current->Truncate(segment.bytes, truncateReason)) {
      this->FailWith(truncateReason, name, StorageError::SyncFailed, aReason);
      aReason.code = StorageError::SyncFailed;
    }
    return false;
  }
  if (!this->current->Sync(reason)) {
    this->FailWith(reason, name, StorageError::SyncFailed, aReason);
    // Also replaces DiskFull: after a failed sync it is unknown which pages
    // reached the disk, so the batch can't be retried.
    aReason.code = StorageError::SyncFailed;
    return false;
  }
  segment.bytes += aFrame.size();
  return true;
}

void GroupStore::Impl::RecordCommitted(const StoreWrite& aWrite) {
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
      this->obsoleteFiles.push_back(
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
    std::visit(
        [&records](const auto& aAlternative) { Encode(aAlternative, records); },
        write);
    if (const auto* snapshot = std::get_if<PersistSnapshot>(&write)) {
      newest = snapshot->snapshot.get();
    }
  }
  // The snapshot is written first, because the log must not refer to one that
  // isn't durable.
  if (newest != nullptr &&
      !detail::WriteSnapshot(this->files, this->folder, *newest, aReason)) {
    return false;
  }
  return this->AppendFrame(detail::MakeFrame(records.Finish()), aReason);
}

void GroupStore::Impl::RollSegment() {
  if (this->segments.back().bytes <= this->settings.segmentBytes) {
    return;
  }
  StorageReason reason;
  if (!this->AddSegment(this->segments.back().sequence + 1, reason)) {
    // When the disk is full, writes continue in the current segment.
    this->failed = reason.code != StorageError::DiskFull;
  }
}

// Removes log and snapshot files that the newest snapshot makes obsolete. A
// file that can't be removed is retried at the next start.
void GroupStore::Impl::RemoveObsolete() {
  FileReason ignored;
  for (const std::string& name : std::exchange(this->obsoleteFiles, {})) {
    this->files.Remove(this->PathOf(name), ignored);
  }
  // Segments are removed in sequence, so that the sequence numbers of the
  // remaining ones have no gap.
  while (this->segments.size() > 1 &&
         this->segments.front().maxIndex <= this->snapshotIndex) {
    const std::string name = LogName(this->segments.front().sequence);
    if (!this->files.Remove(this->PathOf(name), ignored)) {
      return;
    }
    // Makes this removal durable before the next one, so that a crash can't
    // restore this segment while a later one stays removed.
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
    store.RecordCommitted(write);
    hasSnapshot = hasSnapshot || std::holds_alternative<PersistSnapshot>(write);
  }
  store.RollSegment();
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
