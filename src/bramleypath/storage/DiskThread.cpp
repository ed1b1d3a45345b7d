#include "bramleypath/storage/DiskThread.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>
#include <utility>

namespace bramleypath::storage {

namespace {

using Clock = std::chrono::steady_clock;

// How often writes to a full disk are retried, and how often free space is
// checked while the disk is nearly full.
constexpr auto kRetryInterval = std::chrono::milliseconds(500);

consensus::SyncTicket TicketOf(const StoreWrite& aWrite) {
  return std::visit(
      [](const auto& aAlternative) { return aAlternative.ticket; }, aWrite);
}

struct StoreQueue {
  std::shared_ptr<GroupStore> store;
  std::vector<StoreWrite> waiting;
  DiskCallback callback;
  consensus::SyncTicket durableTicket = 0;
  DiskState lastState = DiskState::Written;
  Clock::time_point retryAt = Clock::time_point::max();
};

}  // namespace

struct DiskThread::Impl {
  void Run();
  bool WaitForWrites(std::unique_lock<std::mutex>& aLock);
  void WriteIfDue(StoreQueue& aQueue, Clock::time_point aNow);
  void WriteWaiting(StoreQueue& aQueue, Clock::time_point aNow);
  Clock::time_point NextRetry() const;

  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::vector<StoreQueue> incoming;
  // Accessed only by the thread, without the mutex.
  std::vector<StoreQueue> queues;
  std::thread thread;
};

Clock::time_point DiskThread::Impl::NextRetry() const {
  auto next = Clock::time_point::max();
  for (const StoreQueue& queue : this->queues) {
    next = std::min(next, queue.retryAt);
  }
  return next;
}

// Waits for new writes or for the next retry, and moves new writes to the queue
// of their store. Returns false when the thread must end.
bool DiskThread::Impl::WaitForWrites(std::unique_lock<std::mutex>& aLock) {
  const auto hasWork = [this] {
    return this->stopping || !this->incoming.empty();
  };
  const auto retryAt = this->NextRetry();
  if (retryAt == Clock::time_point::max()) {
    this->changed.wait(aLock, hasWork);
  } else {
    this->changed.wait_until(aLock, retryAt, hasWork);
  }
  const bool ended = this->stopping && this->incoming.empty();
  for (StoreQueue& added : std::exchange(this->incoming, {})) {
    const auto known = std::find_if(
        this->queues.begin(), this->queues.end(),
        [&](const StoreQueue& aQueue) { return aQueue.store == added.store; });
    if (known == this->queues.end()) {
      this->queues.push_back(std::move(added));
      continue;
    }
    std::move(added.waiting.begin(), added.waiting.end(),
              std::back_inserter(known->waiting));
    known->callback = std::move(added.callback);
  }
  return !ended;
}

void DiskThread::Impl::WriteWaiting(StoreQueue& aQueue,
                                    Clock::time_point aNow) {
  DiskReport report;
  if (!aQueue.store->Commit(aQueue.waiting, report.reason)) {
    const bool full = report.reason.code == StorageError::DiskFull;
    report.state = full ? DiskState::Full : DiskState::Failed;
    aQueue.retryAt = full ? aNow + kRetryInterval : Clock::time_point::max();
  } else {
    if (!aQueue.waiting.empty()) {
      aQueue.durableTicket = TicketOf(aQueue.waiting.back());
    }
    aQueue.waiting.clear();
    const bool nearlyFull = aQueue.store->IsNearlyFull();
    report.state = nearlyFull ? DiskState::NearlyFull : DiskState::Written;
    aQueue.retryAt =
        nearlyFull ? aNow + kRetryInterval : Clock::time_point::max();
  }
  report.ticket = aQueue.durableTicket;
  aQueue.lastState = report.state;
  aQueue.callback(report);
}

void DiskThread::Impl::WriteIfDue(StoreQueue& aQueue, Clock::time_point aNow) {
  const bool due = aNow >= aQueue.retryAt;
  if (aQueue.lastState == DiskState::Failed) {
    aQueue.waiting.clear();
  } else if (aQueue.lastState == DiskState::Full) {
    if (due) {
      this->WriteWaiting(aQueue, aNow);
    }
  } else if (due || !aQueue.waiting.empty()) {
    this->WriteWaiting(aQueue, aNow);
  }
}

void DiskThread::Impl::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (this->WaitForWrites(lock)) {
    lock.unlock();
    for (StoreQueue& queue : this->queues) {
      this->WriteIfDue(queue, Clock::now());
    }
    // Drops the stores that only this thread still refers to.
    this->queues.erase(std::remove_if(this->queues.begin(), this->queues.end(),
                                      [](const StoreQueue& aQueue) {
                                        return aQueue.store.use_count() == 1;
                                      }),
                       this->queues.end());
    lock.lock();
  }
}

DiskThread::DiskThread() : impl(std::make_unique<Impl>()) {
  this->impl->thread = std::thread([this] { this->impl->Run(); });
}

DiskThread::~DiskThread() {
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    this->impl->stopping = true;
  }
  this->impl->changed.notify_one();
  this->impl->thread.join();
}

void DiskThread::Write(const std::shared_ptr<GroupStore>& aStore,
                       std::vector<StoreWrite> aWrites,
                       DiskCallback aCallback) {
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    StoreQueue queue;
    queue.store = aStore;
    queue.waiting = std::move(aWrites);
    queue.callback = std::move(aCallback);
    this->impl->incoming.push_back(std::move(queue));
  }
  this->impl->changed.notify_one();
}

}  // namespace bramleypath::storage
