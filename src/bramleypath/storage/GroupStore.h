#pragma once

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/consensus/Types.h"
#include "bramleypath/storage/FileSystem.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

struct StoreSettings {
  // A new log segment is started once the current one is larger than this.
  std::uint64_t segmentBytes = 8ULL * 1024 * 1024;
  // IsNearlyFull returns true while less space than this is free. The reserve
  // leaves space for the writes that consensus itself needs (votes, terms,
  // no-ops).
  std::uint64_t reserveBytes = 64ULL * 1024 * 1024;
};

// An incomplete frame at the end of the log, as a crash during a write leaves
// it, that was removed when the store was opened.
struct TornTail {
  std::string file;
  std::uint64_t offset = 0;  // of the first removed byte
  std::uint64_t bytes = 0;   // number of removed bytes
};

struct OpenedState {
  consensus::RestoredState restored;
  std::optional<TornTail> tornTail;
};

using StoreWrite =
    std::variant<consensus::PersistHardState, consensus::PersistEntries,
                 consensus::PersistSnapshot>;

// The log and snapshot files of a group's replica on this host. Not
// thread-safe.
class GroupStore {
 public:
  // Opens or creates the folder, reads and checks the log and the snapshot that
  // it refers to, and removes a torn tail. Returns null and sets aReason on
  // failure; corrupt files are left unchanged.
  static std::unique_ptr<GroupStore> Open(FileSystem& aFiles,
                                          const std::string& aFolder,
                                          const StoreSettings& aSettings,
                                          OpenedState& aOpened,
                                          StorageReason& aReason);
  ~GroupStore();
  GroupStore(const GroupStore&) = delete;
  GroupStore& operator=(const GroupStore&) = delete;

  // Writes the batch in order and makes it durable with one sync of the log.
  // After DiskFull nothing of the batch is stored and it may be retried; after
  // any other error the store refuses every further write.
  bool Commit(gsl::span<const StoreWrite> aWrites, StorageReason& aReason);

  // Returns whether free space is below StoreSettings::reserveBytes; false when
  // it can't be determined.
  bool IsNearlyFull();

 private:
  struct Impl;
  explicit GroupStore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::storage
