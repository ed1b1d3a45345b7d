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
  // A new log segment is begun when the current one is larger.
  std::uint64_t segmentBytes = 8ULL * 1024 * 1024;
  // With less free space than this the store calls itself full, while the
  // writes that consensus itself needs (votes, terms, no-ops) still fit.
  std::uint64_t reserveBytes = 64ULL * 1024 * 1024;
};

// An incomplete last record that was removed when the store was opened.
struct TornTail {
  std::string file;
  std::uint64_t offset = 0;  // bytes kept
  std::uint64_t bytes = 0;   // removed
};

struct OpenedState {
  consensus::RestoredState restored;
  std::optional<TornTail> tornTail;
};

using StoreWrite =
    std::variant<consensus::PersistHardState, consensus::PersistEntries,
                 consensus::PersistSnapshot>;

// The files of one group's replica. Used by one thread at a time.
class GroupStore {
 public:
  // Opens or creates the folder, reads and checks all files, and removes a torn
  // tail. Null with a reason otherwise; nothing is changed on corruption.
  static std::unique_ptr<GroupStore> Open(FileSystem& aFiles,
                                          const std::string& aFolder,
                                          const StoreSettings& aSettings,
                                          OpenedState& aOpened,
                                          StorageReason& aReason);
  ~GroupStore();
  GroupStore(const GroupStore&) = delete;
  GroupStore& operator=(const GroupStore&) = delete;

  // Writes all in order and makes them durable with one sync of the log. After
  // DiskFull nothing of the batch is stored and it may be tried again; after
  // any other error the store refuses every further write.
  bool Commit(gsl::span<const StoreWrite> aWrites, StorageReason& aReason);

  // Free space is below the reserve.
  bool IsNearlyFull();

 private:
  struct Impl;
  explicit GroupStore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::storage
