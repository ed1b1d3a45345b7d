#include "tests/storage/FakeFileSystem.h"

#include <algorithm>
#include <utility>

namespace bramleypath::storage {

namespace {

bool Fail(FileError aCode, const char* aDetail, FileReason& aReason) {
  aReason = FileReason{aCode, aDetail};
  return false;
}

bool BeginOperation(FakeDiskState& aState, FileReason& aReason) {
  ++aState.operations;
  if (aState.operationsLeft == 0) {
    return Fail(FileError::Failed, "simulated power failure", aReason);
  }
  --aState.operationsLeft;
  return true;
}

void ReleaseSpace(FakeDiskState& aState, std::uint64_t aBytes) {
  const auto limit = std::numeric_limits<std::uint64_t>::max();
  aState.freeBytes += std::min(aBytes, limit - aState.freeBytes);
}

bool BeginSync(FakeDiskState& aState, FileReason& aReason) {
  ++aState.syncs;
  return BeginOperation(aState, aReason) &&
         (!aState.failSyncs ||
          Fail(FileError::Failed, "injected sync error", aReason));
}

class FakeFile : public File {
 public:
  FakeFile(FakeDiskState& aState, std::shared_ptr<FakeInode> aInode)
      : state(aState), inode(std::move(aInode)) {}

  bool Append(gsl::span<const std::uint8_t> aData,
              FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginOperation(this->state, aReason)) {
      return false;
    }
    const auto count = static_cast<std::ptrdiff_t>(
        std::min<std::uint64_t>(aData.size(), this->state.freeBytes));
    this->state.freeBytes -= static_cast<std::uint64_t>(count);
    this->inode->bytes.insert(this->inode->bytes.end(), aData.begin(),
                              aData.begin() + count);
    return static_cast<std::size_t>(count) == aData.size() ||
           Fail(FileError::NoSpace, "injected full disk", aReason);
  }
  bool Truncate(std::uint64_t aBytes, FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginOperation(this->state, aReason)) {
      return false;
    }
    if (aBytes < this->inode->bytes.size()) {
      ReleaseSpace(this->state, this->inode->bytes.size() - aBytes);
    }
    this->inode->bytes.resize(aBytes);
    return true;
  }
  bool Sync(FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginSync(this->state, aReason)) {
      return false;
    }
    this->inode->durable = this->inode->bytes;
    return true;
  }

 private:
  FakeDiskState& state;
  std::shared_ptr<FakeInode> inode;
};

class FakeLock : public FileLock {
 public:
  FakeLock(FakeDiskState& aState, std::string aPath)
      : state(aState), path(std::move(aPath)) {}
  ~FakeLock() override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    this->state.locks.erase(this->path);
  }

 private:
  FakeDiskState& state;
  std::string path;
};

class FakeFileSystem : public FileSystem {
 public:
  explicit FakeFileSystem(FakeDiskState& aState) : state(aState) {}

  std::unique_ptr<File> Open(const std::string& aPath,
                             FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginOperation(this->state, aReason)) {
      return nullptr;
    }
    auto& inode = this->state.names[aPath];
    if (!inode) {
      inode = std::make_shared<FakeInode>();
    }
    return std::make_unique<FakeFile>(this->state, inode);
  }
  std::optional<std::vector<std::uint8_t>> Read(const std::string& aPath,
                                                FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    const auto found = this->state.names.find(aPath);
    if (found == this->state.names.end()) {
      Fail(FileError::NotFound, "no such file", aReason);
      return std::nullopt;
    }
    return found->second->bytes;
  }
  std::optional<std::vector<std::string>> List(const std::string& aFolder,
                                               FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (this->state.folders.count(aFolder) == 0) {
      Fail(FileError::NotFound, "no such folder", aReason);
      return std::nullopt;
    }
    std::set<std::string> names;
    const std::string prefix = aFolder + "/";
    const auto add = [&](const std::string& aPath) {
      if (aPath.rfind(prefix, 0) == 0) {
        const std::string rest = aPath.substr(prefix.size());
        names.insert(rest.substr(0, rest.find('/')));
      }
    };
    for (const auto& [path, inode] : this->state.names) {
      add(path);
    }
    for (const std::string& path : this->state.folders) {
      add(path);
    }
    return std::vector<std::string>(names.begin(), names.end());
  }
  bool MakeFolder(const std::string& aFolder, FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginOperation(this->state, aReason)) {
      return false;
    }
    this->state.folders.insert(aFolder);
    return true;
  }
  bool SyncFolder(const std::string& aFolder, FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginSync(this->state, aReason)) {
      return false;
    }
    const auto inFolder = [&](const std::string& aPath) {
      return aPath.substr(0, aPath.find_last_of('/')) == aFolder;
    };
    auto& durable = this->state.durableNames;
    for (auto entry = durable.begin(); entry != durable.end();) {
      entry = inFolder(entry->first) ? durable.erase(entry) : std::next(entry);
    }
    for (const auto& [path, inode] : this->state.names) {
      if (inFolder(path)) {
        durable[path] = inode;
      }
    }
    return true;
  }
  bool Rename(const std::string& aFrom, const std::string& aTo,
              FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginOperation(this->state, aReason)) {
      return false;
    }
    this->state.names[aTo] = this->state.names[aFrom];
    this->state.names.erase(aFrom);
    return true;
  }
  bool Remove(const std::string& aPath, FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!BeginOperation(this->state, aReason)) {
      return false;
    }
    const auto found = this->state.names.find(aPath);
    if (found == this->state.names.end()) {
      return Fail(FileError::NotFound, "no such file", aReason);
    }
    ReleaseSpace(this->state, found->second->bytes.size());
    this->state.names.erase(found);
    return true;
  }
  std::unique_ptr<FileLock> Lock(const std::string& aPath,
                                 FileReason& aReason) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    if (!this->state.locks.insert(aPath).second) {
      Fail(FileError::Locked, "locked", aReason);
      return nullptr;
    }
    return std::make_unique<FakeLock>(this->state, aPath);
  }
  std::optional<std::uint64_t> FreeBytes(const std::string&,
                                         FileReason&) override {
    const std::lock_guard<std::mutex> lock(FakeDiskMutex());
    return this->state.freeBytes;
  }

 private:
  FakeDiskState& state;
};

bool RandomBool(Random& aRandom) { return NextBelow(aRandom, 2) == 0; }

// Keeps the synced bytes and a random prefix of bytes appended since. A file
// that was changed in another way keeps either its synced or its new content.
void CrashInode(FakeInode& aInode, Random& aRandom) {
  const std::size_t synced = aInode.durable.size();
  const bool appended = aInode.bytes.size() > synced &&
                        std::equal(aInode.durable.begin(), aInode.durable.end(),
                                   aInode.bytes.begin());
  if (appended) {
    const std::size_t extra = aInode.bytes.size() - synced;
    const std::size_t kept = NextBelow(aRandom, extra + 1);
    aInode.bytes.resize(synced + kept);
  } else if (RandomBool(aRandom)) {
    aInode.bytes = aInode.durable;
  }
  aInode.durable = aInode.bytes;
}

}  // namespace

std::mutex& FakeDiskMutex() {
  static std::mutex mutex;
  return mutex;
}

std::unique_ptr<FileSystem> MakeFakeFileSystem(FakeDiskState& aState) {
  return std::make_unique<FakeFileSystem>(aState);
}

void CrashDisk(FakeDiskState& aState, Random& aRandom) {
  std::set<std::string> paths;
  for (const auto& [path, inode] : aState.names) {
    paths.insert(path);
  }
  for (const auto& [path, inode] : aState.durableNames) {
    paths.insert(path);
  }
  std::map<std::string, std::shared_ptr<FakeInode>> left;
  for (const std::string& path : paths) {
    const auto& source =
        RandomBool(aRandom) ? aState.names : aState.durableNames;
    const auto found = source.find(path);
    if (found != source.end()) {
      left[path] = found->second;
    }
  }
  std::set<FakeInode*> seen;
  for (const auto& [path, inode] : left) {
    if (seen.insert(inode.get()).second) {
      CrashInode(*inode, aRandom);
    }
  }
  aState.names = left;
  aState.durableNames = left;
  aState.operationsLeft = std::numeric_limits<std::uint64_t>::max();
}

}  // namespace bramleypath::storage
