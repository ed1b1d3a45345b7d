#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bramleypath/storage/GroupStore.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

enum class DiskState {
  // All writes handed over so far in this batch are durable.
  Written,
  // As Written, and free space is below the reserve.
  NearlyFull,
  // The batch is not stored; it is tried again until it is or the thread stops.
  Full,
  // Nothing more is written to this store.
  Failed,
};

struct DiskReport {
  DiskState state = DiskState::Written;
  // Newest ticket that is durable (Written, NearlyFull).
  consensus::SyncTicket ticket = 0;
  StorageReason reason;  // Full, Failed
};

// Called on the disk thread.
using DiskCallback = std::function<void(const DiskReport&)>;

// One thread that writes and syncs for several stores. What arrives while a
// sync is under way is written together with the next one (group commit).
class DiskThread {
 public:
  DiskThread();
  // Stops after the writes queued so far; a full disk is not waited for.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  // A store's callback is the one given with its latest writes.
  void Write(const std::shared_ptr<GroupStore>& aStore,
             std::vector<StoreWrite> aWrites, DiskCallback aCallback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::storage
