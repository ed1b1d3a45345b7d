#include "bramleypath/storage/GroupStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <filesystem>
#include <future>
#include <sstream>

#include "bramleypath/storage/DiskThread.h"
#include "tests/storage/FakeFileSystem.h"

namespace bramleypath::storage {

namespace {

using consensus::Bytes;
using consensus::LogEntry;
using consensus::LogIndex;
using consensus::PersistEntries;
using consensus::PersistHardState;
using consensus::PersistSnapshot;
using consensus::ReplicaId;
using consensus::RestoredState;
using consensus::Snapshot;
using consensus::Term;

constexpr const char* kFolder = "data/groups/cell";
constexpr const char* kFirstLog = "data/groups/cell/log-000000000001";

PersistEntries Entries(LogIndex aFirst, std::size_t aCount, Term aTerm) {
  PersistEntries write;
  for (std::size_t i = 0; i < aCount; ++i) {
    LogEntry entry;
    entry.index = aFirst + i;
    entry.term = aTerm;
    entry.payload = Bytes(20, static_cast<std::uint8_t>(entry.index + aTerm));
    write.entries.push_back(std::move(entry));
  }
  return write;
}

PersistHardState HardStateOf(Term aTerm, const char* aFor) {
  PersistHardState write;
  write.state.term = aTerm;
  write.state.votedFor = ReplicaId{aFor};
  return write;
}

PersistSnapshot SnapshotAt(LogIndex aIndex, Term aTerm, bool aDiscard) {
  Snapshot snapshot;
  snapshot.index = aIndex;
  snapshot.term = aTerm;
  snapshot.membership.voters = {ReplicaId{"a/initial"}, ReplicaId{"b/1"}};
  snapshot.state = Bytes(100, static_cast<std::uint8_t>(aIndex));
  PersistSnapshot write;
  write.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  write.discardLog = aDiscard;
  return write;
}

// Applies a write to the model state that a store must restore.
void ApplyToModel(RestoredState& aState, const StoreWrite& aWrite) {
  auto& entries = aState.entries;
  if (const auto* hard = std::get_if<PersistHardState>(&aWrite)) {
    aState.hardState = hard->state;
  } else if (const auto* added = std::get_if<PersistEntries>(&aWrite)) {
    while (!entries.empty() &&
           entries.back().index >= added->entries.front().index) {
      entries.pop_back();
    }
    entries.insert(entries.end(), added->entries.begin(), added->entries.end());
  } else {
    const auto& snapshot = std::get<PersistSnapshot>(aWrite);
    aState.snapshot = *snapshot.snapshot;
    const bool discard = snapshot.discardLog;
    while (!entries.empty() &&
           (discard || entries.front().index <= aState.snapshot->index)) {
      entries.erase(entries.begin());
    }
  }
}

std::string Text(const RestoredState& aState) {
  std::ostringstream text;
  text << aState.hardState.term << aState.hardState.votedFor.value << " s"
       << (aState.snapshot ? aState.snapshot->index : 0) << "/"
       << (aState.snapshot ? aState.snapshot->state.size() : 0);
  for (const LogEntry& entry : aState.entries) {
    text << " " << entry.index << ":" << entry.term << ":"
         << (entry.payload.empty() ? 0 : entry.payload[0]);
  }
  return text.str();
}

struct Fixture {
  std::unique_ptr<GroupStore> Open() {
    this->opened = OpenedState{};
    this->reason = StorageReason{};
    return GroupStore::Open(*this->files, kFolder, this->settings, this->opened,
                            this->reason);
  }

  FakeDiskState disk;
  std::unique_ptr<FileSystem> files = MakeFakeFileSystem(disk);
  StoreSettings settings{400, 0};
  OpenedState opened;
  StorageReason reason;
};

std::vector<std::vector<StoreWrite>> TypicalBatches() {
  return {{HardStateOf(1, "a/initial")},
          {Entries(1, 3, 1)},
          {Entries(4, 2, 1), HardStateOf(2, ""), Entries(4, 3, 2)},
          {SnapshotAt(5, 2, false)},
          {Entries(7, 6, 2)},
          {Entries(10, 1, 3), HardStateOf(3, "b/1")},
          {SnapshotAt(40, 4, true), Entries(41, 5, 4)},
          {Entries(46, 9, 4)}};
}

}  // namespace

class GroupStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupStoreTest);
  CPPUNIT_TEST(testRestoresCommittedBatches);
  CPPUNIT_TEST(testSurvivesPowerFailureAtAnyOperation);
  CPPUNIT_TEST(testTornTailIsCutAtAnyByte);
  CPPUNIT_TEST(testUnwrittenSectorIsTorn);
  CPPUNIT_TEST(testAnyFlippedByteRefusesToOpen);
  CPPUNIT_TEST(testMissingFilesRefuseToOpen);
  CPPUNIT_TEST(testFullDiskStoresNothingOfTheBatch);
  CPPUNIT_TEST(testFailedSyncIsFinal);
  CPPUNIT_TEST(testReadDataIsSyncedAtOpen);
  CPPUNIT_TEST(testObsoleteFilesAreRemoved);
  CPPUNIT_TEST(testDiskThreadGroupsAndRetries);
  CPPUNIT_TEST(testRealFiles);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testRestoresCommittedBatches() {
    Fixture fixture;
    RestoredState model;
    auto store = fixture.Open();
    for (const auto& batch : TypicalBatches()) {
      CPPUNIT_ASSERT(store->Commit(batch, fixture.reason));
      for (const StoreWrite& write : batch) {
        ApplyToModel(model, write);
      }
      store.reset();
      store = fixture.Open();
      CPPUNIT_ASSERT_MESSAGE(ToText(fixture.reason), store != nullptr);
      CPPUNIT_ASSERT_EQUAL(Text(model), Text(fixture.opened.restored));
      CPPUNIT_ASSERT(!fixture.opened.tornTail);
    }
  }

  // Guards against a committed batch that is lost, a batch that is stored in
  // part, and a store that can't be opened after a power failure.
  void testSurvivesPowerFailureAtAnyOperation() {
    const bool passed = rc::check("power failure", [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto failures = *rc::gen::container<std::vector<std::uint64_t>>(
          rc::gen::inRange<std::uint64_t>(0, 30));
      Random random{seed};
      Fixture fixture;
      RestoredState model;
      auto store = fixture.Open();
      LogIndex last = 0;
      Term term = 1;
      for (std::size_t step = 0; step < failures.size() + 4; ++step) {
        std::vector<StoreWrite> batch = RandomBatch(random, last, term);
        fixture.disk.operationsLeft =
            step < failures.size() ? failures[step] : 1000;
        RestoredState after = model;
        for (const StoreWrite& write : batch) {
          ApplyToModel(after, write);
        }
        const bool done =
            store != nullptr && store->Commit(batch, fixture.reason);
        if (done && RandomBool(random)) {
          model = after;
          continue;
        }
        store.reset();
        CrashDisk(fixture.disk, random);
        store = fixture.Open();
        if (store == nullptr) {
          RC_FAIL(ToText(fixture.reason));
        }
        const std::string found = Text(fixture.opened.restored);
        RC_ASSERT(found == Text(after) || (!done && found == Text(model)));
        model = found == Text(after) ? after : model;
        last = model.entries.empty()
                   ? (model.snapshot ? model.snapshot->index : 0)
                   : model.entries.back().index;
      }
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a store that fails to open, or that accepts an incomplete
  // record, after a crash during the last write (rule 12).
  void testTornTailIsCutAtAnyByte() {
    Fixture fixture;
    fixture.settings.segmentBytes = 1U << 20;
    auto store = fixture.Open();
    const auto batches = TypicalBatches();
    RestoredState model;
    for (std::size_t i = 0; i < 3; ++i) {
      for (const StoreWrite& write : batches[i]) {
        ApplyToModel(model, write);
      }
      CPPUNIT_ASSERT(store->Commit(batches[i], fixture.reason));
    }
    auto& bytes = fixture.disk.names.at(kFirstLog)->bytes;
    const std::size_t before = bytes.size();
    CPPUNIT_ASSERT(store->Commit(batches[4], fixture.reason));
    const Bytes whole = bytes;
    for (std::size_t cut = before + 1; cut < whole.size(); ++cut) {
      bytes = whole;
      bytes.resize(cut);
      store = fixture.Open();
      CPPUNIT_ASSERT_MESSAGE(ToText(fixture.reason), store != nullptr);
      CPPUNIT_ASSERT_EQUAL(Text(model), Text(fixture.opened.restored));
      CPPUNIT_ASSERT(fixture.opened.tornTail.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(kFirstLog),
                           fixture.opened.tornTail->file);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{before},
                           fixture.opened.tornTail->offset);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{cut - before},
                           fixture.opened.tornTail->bytes);
      CPPUNIT_ASSERT_EQUAL(before, bytes.size());
    }
  }

  // Guards against a store that fails to open when a power failure left a file
  // that had grown but whose last sectors were not all written.
  void testUnwrittenSectorIsTorn() {
    Fixture fixture;
    fixture.settings.segmentBytes = 1U << 20;
    auto store = fixture.Open();
    CPPUNIT_ASSERT(store->Commit(
        std::vector<StoreWrite>{HardStateOf(7, "a/initial")}, fixture.reason));
    CPPUNIT_ASSERT(store->Commit(std::vector<StoreWrite>{Entries(1, 100, 1)},
                                 fixture.reason));
    auto& bytes = fixture.disk.names.at(kFirstLog)->bytes;
    const Bytes whole = bytes;
    std::fill(bytes.begin() + 1024, bytes.begin() + 1536, 0);
    store = fixture.Open();
    CPPUNIT_ASSERT(store != nullptr && fixture.opened.tornTail);
    CPPUNIT_ASSERT(fixture.opened.restored.entries.empty());
    CPPUNIT_ASSERT_EQUAL(Term{7}, fixture.opened.restored.hardState.term);
  }

  // Guards against damaged records that are accepted, and against damage to
  // synced records that is treated as a torn tail (rule 12).
  void testAnyFlippedByteRefusesToOpen() {
    Fixture fixture;
    auto store = fixture.Open();
    for (const auto& batch : TypicalBatches()) {
      CPPUNIT_ASSERT(store->Commit(batch, fixture.reason));
    }
    store.reset();
    for (const auto& [path, inode] : fixture.disk.names) {
      for (std::size_t at = 0; at < inode->bytes.size(); ++at) {
        inode->bytes[at] ^= 0x10;
        const std::uint64_t operations = fixture.disk.operations;
        CPPUNIT_ASSERT_MESSAGE(path + " " + std::to_string(at),
                               fixture.Open() == nullptr);
        CPPUNIT_ASSERT(fixture.reason.code == StorageError::Corrupt);
        CPPUNIT_ASSERT_EQUAL(path, fixture.reason.file);
        CPPUNIT_ASSERT(fixture.reason.offset <= at);
        // The two operations are the creation of the folder and the sync of its
        // parent; no file was modified.
        CPPUNIT_ASSERT_EQUAL(operations + 2, fixture.disk.operations);
        inode->bytes[at] ^= 0x10;
      }
    }
    CPPUNIT_ASSERT(fixture.Open() != nullptr);
  }

  void testMissingFilesRefuseToOpen() {
    Fixture fixture;
    auto store = fixture.Open();
    for (const auto& batch : TypicalBatches()) {
      CPPUNIT_ASSERT(store->Commit(batch, fixture.reason));
    }
    store.reset();
    const auto names = fixture.disk.names;
    CPPUNIT_ASSERT(names.size() >= 4);
    const std::string newest = std::prev(std::prev(names.end()))->first;
    for (const auto& [path, inode] : names) {
      fixture.disk.names.erase(path);
      // A missing newest log file can't be detected: a crash before its folder
      // entry was synced leaves the same files.
      if (path != newest) {
        CPPUNIT_ASSERT_MESSAGE(path, fixture.Open() == nullptr);
        CPPUNIT_ASSERT(fixture.reason.code == StorageError::Corrupt);
      }
      fixture.disk.names = names;
    }
  }

  // Guards against a batch that is stored in part when the disk is full, and
  // against a store that stays unusable when space is free again.
  void testFullDiskStoresNothingOfTheBatch() {
    const auto batches = TypicalBatches();
    for (std::uint64_t initialFreeBytes = 0; initialFreeBytes < 700;
         initialFreeBytes += 13) {
      Fixture fixture;
      RestoredState model;
      auto store = fixture.Open();
      fixture.disk.freeBytes = initialFreeBytes;
      for (const auto& batch : batches) {
        while (!store->Commit(batch, fixture.reason)) {
          CPPUNIT_ASSERT(fixture.reason.code == StorageError::DiskFull);
          fixture.disk.freeBytes += 150;
        }
        for (const StoreWrite& write : batch) {
          ApplyToModel(model, write);
        }
      }
      store = fixture.Open();
      CPPUNIT_ASSERT_MESSAGE(ToText(fixture.reason), store != nullptr);
      CPPUNIT_ASSERT_EQUAL(Text(model), Text(fixture.opened.restored));
    }
  }

  // Guards against a retry after a failed sync: the second sync may succeed
  // although the system has dropped the pages that it could not write.
  void testFailedSyncIsFinal() {
    Fixture fixture;
    auto store = fixture.Open();
    const std::vector<StoreWrite> batch = {Entries(1, 1, 1)};
    fixture.disk.failSyncs = true;
    CPPUNIT_ASSERT(!store->Commit(batch, fixture.reason));
    CPPUNIT_ASSERT(fixture.reason.code == StorageError::SyncFailed);
    fixture.disk.failSyncs = false;
    CPPUNIT_ASSERT(!store->Commit(batch, fixture.reason));
    CPPUNIT_ASSERT(fixture.reason.code == StorageError::SyncFailed);
  }

  // Guards against entries that are read from the page cache after a process
  // crash, reported as durable, and then lost in a power failure.
  void testReadDataIsSyncedAtOpen() {
    Fixture fixture;
    auto store = fixture.Open();
    fixture.settings.segmentBytes = 1U << 20;
    CPPUNIT_ASSERT(store->Commit(std::vector<StoreWrite>{Entries(1, 1, 1)},
                                 fixture.reason));
    auto& inode = *fixture.disk.names.at(kFirstLog);
    const Bytes synced = inode.durable;
    CPPUNIT_ASSERT(store->Commit(std::vector<StoreWrite>{Entries(2, 1, 1)},
                                 fixture.reason));
    // Simulates a process that ended between the write and its sync.
    inode.durable = synced;
    store = fixture.Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         fixture.opened.restored.entries.size());
    CPPUNIT_ASSERT(inode.durable == inode.bytes);
  }

  // Guards against a data folder that grows without bound.
  void testObsoleteFilesAreRemoved() {
    Fixture fixture;
    auto store = fixture.Open();
    for (LogIndex index = 1; index <= 500; ++index) {
      std::vector<StoreWrite> batch = {Entries(index, 1, 1)};
      if (index % 20 == 0) {
        batch.emplace_back(SnapshotAt(index, 1, false));
      }
      CPPUNIT_ASSERT(store->Commit(batch, fixture.reason));
    }
    std::size_t bytes = 0;
    for (const auto& [path, inode] : fixture.disk.names) {
      bytes += inode->bytes.size();
    }
    CPPUNIT_ASSERT(fixture.disk.names.size() <= 8);
    CPPUNIT_ASSERT(bytes < 4000);
  }

  void testDiskThreadGroupsAndRetries() {
    Fixture fixture;
    std::shared_ptr<GroupStore> store = fixture.Open();
    fixture.disk.freeBytes = 0;
    std::promise<void> sawFull;
    std::promise<consensus::SyncTicket> sawWritten;
    bool full = false;
    {
      DiskThread thread;
      const auto report = [&](const DiskReport& aReport) {
        if (aReport.state == DiskState::Full && !std::exchange(full, true)) {
          // Needs no lock: the callback runs on the disk thread, and nothing
          // else uses the disk.
          fixture.disk.freeBytes = 1U << 20;
          sawFull.set_value();
        } else if (aReport.state == DiskState::Written && aReport.ticket == 3) {
          sawWritten.set_value(aReport.ticket);
        }
      };
      for (consensus::SyncTicket ticket = 1; ticket <= 3; ++ticket) {
        PersistEntries write = Entries(ticket, 1, 1);
        write.ticket = ticket;
        thread.Write(store, {write}, report);
      }
      sawFull.get_future().get();
      CPPUNIT_ASSERT_EQUAL(consensus::SyncTicket{3},
                           sawWritten.get_future().get());
    }
    store = fixture.Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         fixture.opened.restored.entries.size());
  }

  void testRealFiles() {
    std::string folder =
        std::filesystem::temp_directory_path() / "bramleypath-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(folder.data()) != nullptr);
    const auto files = MakePosixFileSystem();
    RestoredState model;
    for (const auto& batch : TypicalBatches()) {
      OpenedState opened;
      StorageReason reason;
      const auto store = GroupStore::Open(
          *files, folder + "/group", StoreSettings{400, 0}, opened, reason);
      CPPUNIT_ASSERT_MESSAGE(ToText(reason), store != nullptr);
      CPPUNIT_ASSERT_EQUAL(Text(model), Text(opened.restored));
      CPPUNIT_ASSERT(store->Commit(batch, reason));
      CPPUNIT_ASSERT(!store->IsNearlyFull());
      for (const StoreWrite& write : batch) {
        ApplyToModel(model, write);
      }
    }
    FileReason reason;
    auto lock = files->Lock(folder + "/lock", reason);
    CPPUNIT_ASSERT(lock != nullptr);
    CPPUNIT_ASSERT(files->Lock(folder + "/lock", reason) == nullptr);
    CPPUNIT_ASSERT(reason.code == FileError::Locked);
    lock.reset();
    CPPUNIT_ASSERT(files->Lock(folder + "/lock", reason) != nullptr);
    std::filesystem::remove_all(folder);
  }

 private:
  static bool RandomBool(Random& aRandom) { return NextBelow(aRandom, 2) == 0; }

  static std::vector<StoreWrite> RandomBatch(Random& aRandom, LogIndex& aLast,
                                             Term& aTerm) {
    std::vector<StoreWrite> batch;
    const std::uint64_t count = 1 + NextBelow(aRandom, 3);
    for (std::uint64_t i = 0; i < count; ++i) {
      const std::uint64_t kind = NextBelow(aRandom, 6);
      if (kind == 0) {
        batch.emplace_back(HardStateOf(++aTerm, "a/initial"));
      } else if (kind == 1 && aLast > 0) {
        aLast += 10;
        batch.emplace_back(SnapshotAt(aLast, aTerm, true));
      } else {
        const std::size_t entries = 1 + NextBelow(aRandom, 6);
        batch.emplace_back(Entries(aLast + 1, entries, aTerm));
        aLast += entries;
        if (kind == 2) {
          batch.emplace_back(SnapshotAt(aLast - entries / 2, aTerm, false));
        }
      }
    }
    return batch;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupStoreTest);

}  // namespace bramleypath::storage
