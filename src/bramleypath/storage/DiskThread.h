#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bramleypath/storage/GroupStore.h"
#include "bramleypath/storage/Reason.h"

namespace bramleypath::storage {

// The result of the latest attempt to write a store's batch.
enum class DiskState {
  // Every write of the batch is durable.
  Written,
  // As Written, but free space is below StoreSettings::reserveBytes.
  NearlyFull,
  // The disk is full and nothing of the batch is stored. The thread retries the
  // batch until it succeeds or the thread stops.
  Full,
  // A write failed for another reason. The thread discards this and all later
  // writes to the store.
  Failed,
};

struct DiskReport {
  DiskState state = DiskState::Written;
  // The ticket of the last write that is durable.
  consensus::SyncTicket ticket = 0;
  StorageReason reason;  // set for Full and Failed
};

// Called on the disk thread.
using DiskCallback = std::function<void(const DiskReport&)>;

// A thread that writes and syncs for several stores. Writes that arrive during
// a sync are collected and made durable by the next sync (group commit).
class DiskThread {
 public:
  DiskThread();
  // Stops after the writes queued so far. Writes that wait for space on a full
  // disk are dropped.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  // Queues the writes and returns at once. aCallback replaces the callback of
  // earlier writes to the same store.
  void Write(const std::shared_ptr<GroupStore>& aStore,
             std::vector<StoreWrite> aWrites, DiskCallback aCallback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace bramleypath::storage
