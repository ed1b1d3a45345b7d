#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "bramleypath/base/Random.h"
#include "bramleypath/storage/FileSystem.h"

namespace bramleypath::storage {

// The content of a file.
struct FakeInode {
  std::vector<std::uint8_t> bytes;
  std::vector<std::uint8_t> durable;  // as of the last sync
};

// An in-memory disk. Its operations can be made to fail, and CrashDisk may lose
// file contents and folder changes that were not synced.
struct FakeDiskState {
  std::map<std::string, std::shared_ptr<FakeInode>> names;
  std::map<std::string, std::shared_ptr<FakeInode>> durableNames;
  std::set<std::string> folders;
  std::set<std::string> locks;
  // The number of modifying operations that still succeed. Later ones fail
  // without effect, as after a power failure.
  std::uint64_t operationsLeft = std::numeric_limits<std::uint64_t>::max();
  // Bytes that may still be written. A longer write is done in part and fails.
  std::uint64_t freeBytes = std::numeric_limits<std::uint64_t>::max();
  bool failSyncs = false;
  std::uint64_t operations = 0;
  std::uint64_t syncs = 0;
};

// Guards FakeDiskState. Each operation locks it; a test must lock it to change
// the state while a disk thread may use it.
std::mutex& FakeDiskMutex();

std::unique_ptr<FileSystem> MakeFakeFileSystem(FakeDiskState& aState);

// Simulates a power failure. All synced data survives. Of each unsynced file or
// folder change, aRandom chooses what survives; of appended data a prefix does.
void CrashDisk(FakeDiskState& aState, Random& aRandom);

}  // namespace bramleypath::storage
