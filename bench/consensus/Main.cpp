#include <malloc.h>
#include <stdlib.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <string>
#include <vector>

#include "bench/consensus/BusyLeader.h"
#include "bench/consensus/LocalGroup.h"
#include "bramleypath/consensus/Codec.h"

namespace bramleypath::bench {

namespace {

using consensus::Bytes;
using consensus::LogEntry;
using consensus::PersistEntries;
using consensus::ReplicaId;

// Approximate size of a command that starts a task.
constexpr std::size_t kCommandBytes = 200;
constexpr double kMicrosPerSecond = 1e6;

double NowMicros() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::micro>(since).count();
}

// Processor time of all threads of the process, in microseconds.
double ProcessorMicros() {
  return static_cast<double>(std::clock()) * kMicrosPerSecond / CLOCKS_PER_SEC;
}

void Print(const std::string& aName, double aValue, const char* aUnit) {
  std::printf("%-44s %12.2f %s\n", aName.c_str(), aValue, aUnit);
}

std::vector<LogEntry> MakeEntries(consensus::LogIndex aFirst,
                                  std::size_t aCount) {
  std::vector<LogEntry> entries(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    entries[i].index = aFirst + i;
    entries[i].term = 3;
    entries[i].payload = Bytes(kCommandBytes, 7);
  }
  return entries;
}

std::uintmax_t FolderBytes(const std::string& aFolder) {
  std::uintmax_t bytes = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(aFolder)) {
    bytes += entry.is_regular_file() ? entry.file_size() : 0;
  }
  return bytes;
}

std::unique_ptr<storage::GroupStore> OpenStoreOrExit(
    storage::FileSystem& aFiles, const std::string& aFolder,
    storage::OpenedState& aOpened) {
  storage::StorageReason reason;
  auto store = storage::GroupStore::Open(
      aFiles, aFolder, storage::StoreSettings{}, aOpened, reason);
  if (!store) {
    std::fprintf(stderr, "%s\n", storage::ToText(reason).c_str());
    exit(1);
  }
  return store;
}

void BenchStore(storage::FileSystem& aFiles, const std::string& aFolder) {
  for (const std::size_t batch : {1, 8, 64, 512}) {
    const std::string folder = aFolder + "/store-" + std::to_string(batch);
    storage::OpenedState opened;
    auto store = OpenStoreOrExit(aFiles, folder, opened);
    const std::size_t rounds = batch >= 64 ? 100 : 400;
    consensus::LogIndex next = 1;
    storage::StorageReason reason;
    const double start = NowMicros();
    for (std::size_t i = 0; i < rounds; ++i) {
      PersistEntries write;
      write.entries = MakeEntries(next, batch);
      next += batch;
      store->Commit(std::vector<storage::StoreWrite>{std::move(write)}, reason);
    }
    const double entries = static_cast<double>(rounds * batch);
    const std::string suffix = ", batch " + std::to_string(batch);
    Print("store: append and sync" + suffix, (NowMicros() - start) / entries,
          "us/entry");
    Print("store: file bytes" + suffix,
          static_cast<double>(FolderBytes(folder)) / entries, "B/entry");
  }
}

void BenchMessages() {
  consensus::Message message;
  message.from = ReplicaId{"edge-leith-1/0123456789abcdef0123456789abcdef"};
  message.to = ReplicaId{"edge-leith-2/0123456789abcdef0123456789abcdef"};
  message.term = 12;
  for (const std::size_t count : {0, 1, 64}) {
    consensus::AppendRequest request;
    request.previousIndex = 1000000;
    request.previousTerm = 12;
    request.commitIndex = 1000000;
    request.sentAt = TimePoint{1234567890123};
    request.entries = MakeEntries(1000001, count);
    message.body = request;
    constexpr int kRounds = 2000;
    Bytes bytes;
    const double start = NowMicros();
    for (int i = 0; i < kRounds; ++i) {
      bytes = consensus::EncodeMessage(message);
    }
    const double middle = NowMicros();
    for (int i = 0; i < kRounds; ++i) {
      consensus::DecodeMessage(bytes);
    }
    const std::string suffix =
        count == 0 ? " of a heartbeat"
                   : " of an append, " + std::to_string(count) + " entries";
    Print("message: size" + suffix, static_cast<double>(bytes.size()), "B");
    Print("message: encode" + suffix, (middle - start) / kRounds, "us");
    Print("message: decode" + suffix, (NowMicros() - middle) / kRounds, "us");
  }
  message.body = consensus::AppendReply{true, 1000000, TimePoint{1234567890}};
  Print("message: size of a reply",
        static_cast<double>(consensus::EncodeMessage(message).size()), "B");
}

void BenchGroup(storage::FileSystem& aFiles, const std::string& aFolder) {
  LocalGroup group(aFiles, aFolder);
  if (group.WaitForLeader() == nullptr) {
    std::fprintf(stderr, "no leader was elected\n");
    exit(1);
  }
  const double idleStart = ProcessorMicros();
  const std::uint64_t idleBytes = group.messageBytes;
  constexpr std::int64_t kIdleSeconds = 3;
  group.RunFor(Seconds(kIdleSeconds));
  Print("group idle, 3 replicas: processor time",
        (ProcessorMicros() - idleStart) / kIdleSeconds / 1000.0, "ms/s");
  Print("group idle, 3 replicas: messages",
        static_cast<double>(group.messageBytes - idleBytes) / kIdleSeconds,
        "B/s");
  for (const std::size_t window : {1, 16, 256}) {
    const std::size_t count = window == 1 ? 300 : 200 * window;
    const std::uint64_t bytes = group.messageBytes;
    const double processor = ProcessorMicros();
    const double start = NowMicros();
    if (!group.ProposeAll(count, window, kCommandBytes)) {
      std::fprintf(stderr, "a proposal failed\n");
      exit(1);
    }
    const double entries = static_cast<double>(count);
    const std::string suffix = ", " + std::to_string(window) + " in flight";
    Print("group: commit on 3 real files" + suffix,
          (NowMicros() - start) / entries, "us/entry");
    Print("group: processor time, 3 replicas" + suffix,
          (ProcessorMicros() - processor) / entries, "us/entry");
    Print("group: message bytes" + suffix,
          static_cast<double>(group.messageBytes - bytes) / entries, "B/entry");
  }
}

void BenchSnapshot(storage::FileSystem& aFiles, const std::string& aFolder) {
  constexpr std::size_t kMegabyte = 1000000;
  for (const std::size_t megabytes : {1, 10, 50}) {
    const std::string folder =
        aFolder + "/snapshot-" + std::to_string(megabytes);
    storage::OpenedState opened;
    auto store = OpenStoreOrExit(aFiles, folder, opened);
    consensus::Snapshot snapshot;
    snapshot.index = 10;
    snapshot.term = 1;
    snapshot.state = Bytes(megabytes * kMegabyte, 7);
    consensus::PersistSnapshot write;
    write.snapshot =
        std::make_shared<const consensus::Snapshot>(std::move(snapshot));
    write.discardLog = true;
    storage::StorageReason reason;
    const double start = NowMicros();
    store->Commit(std::vector<storage::StoreWrite>{write}, reason);
    const double written = NowMicros();
    store = OpenStoreOrExit(aFiles, folder, opened);
    const std::string suffix = ", " + std::to_string(megabytes) + " MB";
    Print("snapshot: write and sync" + suffix, (written - start) / 1000.0,
          "ms");
    Print("snapshot: open and check" + suffix, (NowMicros() - written) / 1000.0,
          "ms");
  }
}

// Bytes allocated in the heap, plus those of large blocks, which malloc maps
// separately.
std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void BenchMemory() {
  constexpr std::size_t kEntries = 50000;
  consensus::Node node = consensus::MakeNode(
      ReplicaId{"entry-0/initial"}, consensus::Settings{},
      consensus::Membership{{ReplicaId{"entry-0/initial"}}, {}}, {}, 1,
      TimePoint{});
  const std::size_t before = HeapBytes();
  node.log = MakeEntries(1, kEntries);
  node.log.shrink_to_fit();
  const double added = static_cast<double>(HeapBytes() - before);
  Print("memory: log entry with its command", added / kEntries, "B/entry");
}

}  // namespace

}  // namespace bramleypath::bench

// Measures storage and consensus on real files. The files are in a new folder
// inside the one given as argument or the temporary folder; it is removed at
// the end.
int main(int aCount, char** aValues) {
  using namespace bramleypath;
  std::string folder = aCount > 1
                           ? std::string(aValues[1])
                           : std::filesystem::temp_directory_path().string();
  folder += "/bench-consensus-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    std::perror(folder.c_str());
    return 1;
  }
  const auto files = storage::MakePosixFileSystem();
  std::filesystem::create_directory(folder + "/group");
  bench::BenchBusyLeader();
  bench::BenchMessages();
  bench::BenchMemory();
  bench::BenchStore(*files, folder);
  bench::BenchSnapshot(*files, folder);
  bench::BenchGroup(*files, folder + "/group");
  std::filesystem::remove_all(folder);
  return 0;
}
