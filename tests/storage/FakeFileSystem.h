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

struct FakeInode {
  std::vector<std::uint8_t> bytes;
  std::vector<std::uint8_t> durable;
};

// Files in memory that can be made to fail, and whose unsynced parts and
// unsynced folder changes may be lost in a crash.
struct FakeDiskState {
  std::map<std::string, std::shared_ptr<FakeInode>> names;
  std::map<std::string, std::shared_ptr<FakeInode>> durableNames;
  std::set<std::string> folders;
  std::set<std::string> locks;
  // Operations that change something still succeed this often; later ones do
  // nothing and fail, as when the power is gone.
  std::uint64_t operationsLeft = std::numeric_limits<std::uint64_t>::max();
  // Bytes that may still be written; a write that doesn't fit is done in part.
  std::uint64_t freeBytes = std::numeric_limits<std::uint64_t>::max();
  bool failSyncs = false;
  std::uint64_t operations = 0;
  std::uint64_t syncs = 0;
};

// Held by each operation; a test that changes the state while a disk thread
// uses it holds it too.
std::mutex& FakeDiskMutex();

std::unique_ptr<FileSystem> MakeFakeFileSystem(FakeDiskState& aState);

// What is left after a power failure: all that was synced, and of the rest
// whatever aRandom chooses (prefixes, or sectors that were not written).
void CrashDisk(FakeDiskState& aState, Random& aRandom);

}  // namespace bramleypath::storage
