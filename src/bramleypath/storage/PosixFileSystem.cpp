#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

#include "bramleypath/storage/FileSystem.h"

namespace bramleypath::storage {

namespace {

constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0750;

bool Fail(const char* aCall, const std::string& aPath, FileReason& aReason) {
  const int error = errno;
  aReason.code = FileError::Failed;
  if (error == ENOENT) {
    aReason.code = FileError::NotFound;
  } else if (error == ENOSPC || error == EDQUOT) {
    aReason.code = FileError::NoSpace;
  } else if (error == EWOULDBLOCK) {
    aReason.code = FileError::Locked;
  }
  aReason.detail = std::string(aCall) + " " + aPath + ": " +
                   std::generic_category().message(error);
  return false;
}

// Owns a file descriptor and closes it on destruction.
struct Descriptor {
  explicit Descriptor(int aNumber) : number(aNumber) {}
  ~Descriptor() {
    if (this->number >= 0) {
      close(this->number);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int number;
};

class PosixFile : public File {
 public:
  PosixFile(std::string aPath, int aNumber)
      : path(std::move(aPath)), descriptor(aNumber) {}

  bool Append(gsl::span<const std::uint8_t> aData,
              FileReason& aReason) override {
    while (!aData.empty()) {
      const ssize_t written =
          write(this->descriptor.number, aData.data(), aData.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return Fail("write", this->path, aReason);
      }
      aData = aData.subspan(static_cast<std::size_t>(written));
    }
    return true;
  }

  bool Truncate(std::uint64_t aBytes, FileReason& aReason) override {
    return ftruncate(this->descriptor.number, static_cast<off_t>(aBytes)) ==
               0 ||
           Fail("ftruncate", this->path, aReason);
  }

  bool Sync(FileReason& aReason) override {
    // fdatasync also syncs the changed size of a file that grew.
    return fdatasync(this->descriptor.number) == 0 ||
           Fail("fdatasync", this->path, aReason);
  }

 private:
  std::string path;
  Descriptor descriptor;
};

class PosixLock : public FileLock {
 public:
  explicit PosixLock(int aNumber) : descriptor(aNumber) {}

 private:
  Descriptor descriptor;
};

class PosixFileSystem : public FileSystem {
 public:
  std::unique_ptr<File> Open(const std::string& aPath,
                             FileReason& aReason) override {
    const int number = open(
        aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    if (number < 0) {
      Fail("open", aPath, aReason);
      return nullptr;
    }
    return std::make_unique<PosixFile>(aPath, number);
  }

  std::optional<std::vector<std::uint8_t>> Read(const std::string& aPath,
                                                FileReason& aReason) override {
    const Descriptor descriptor(open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat info = {};
    if (descriptor.number < 0 || fstat(descriptor.number, &info) != 0) {
      Fail("open", aPath, aReason);
      return std::nullopt;
    }
    std::vector<std::uint8_t> bytes(static_cast<std::size_t>(info.st_size));
    std::size_t filled = 0;
    while (filled < bytes.size()) {
      const ssize_t count =
          read(descriptor.number, bytes.data() + filled, bytes.size() - filled);
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        Fail("read", aPath, aReason);
        return std::nullopt;
      }
      if (count == 0) {
        break;
      }
      filled += static_cast<std::size_t>(count);
    }
    bytes.resize(filled);
    return bytes;
  }

  std::optional<std::vector<std::string>> List(const std::string& aFolder,
                                               FileReason& aReason) override {
    DIR* folder = opendir(aFolder.c_str());
    if (folder == nullptr) {
      Fail("opendir", aFolder, aReason);
      return std::nullopt;
    }
    std::vector<std::string> names;
    while (const dirent* entry = readdir(folder)) {
      const std::string name = entry->d_name;
      if (name != "." && name != "..") {
        names.push_back(name);
      }
    }
    closedir(folder);
    return names;
  }

  bool MakeFolder(const std::string& aFolder, FileReason& aReason) override {
    return mkdir(aFolder.c_str(), kFolderMode) == 0 || errno == EEXIST ||
           Fail("mkdir", aFolder, aReason);
  }

  bool SyncFolder(const std::string& aFolder, FileReason& aReason) override {
    const Descriptor descriptor(
        open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (descriptor.number < 0 || fsync(descriptor.number) != 0) {
      return Fail("fsync", aFolder, aReason);
    }
    return true;
  }

  bool Rename(const std::string& aFrom, const std::string& aTo,
              FileReason& aReason) override {
    return rename(aFrom.c_str(), aTo.c_str()) == 0 ||
           Fail("rename", aFrom, aReason);
  }

  bool Remove(const std::string& aPath, FileReason& aReason) override {
    return unlink(aPath.c_str()) == 0 || Fail("unlink", aPath, aReason);
  }

  std::unique_ptr<FileLock> Lock(const std::string& aPath,
                                 FileReason& aReason) override {
    const int number =
        open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
    if (number < 0) {
      Fail("open", aPath, aReason);
      return nullptr;
    }
    auto lock = std::make_unique<PosixLock>(number);
    // The system releases an flock when the process ends, also after a crash.
    if (flock(number, LOCK_EX | LOCK_NB) != 0) {
      Fail("flock", aPath, aReason);
      return nullptr;
    }
    return lock;
  }

  std::optional<std::uint64_t> FreeBytes(const std::string& aFolder,
                                         FileReason& aReason) override {
    struct statvfs info = {};
    if (statvfs(aFolder.c_str(), &info) != 0) {
      Fail("statvfs", aFolder, aReason);
      return std::nullopt;
    }
    return static_cast<std::uint64_t>(info.f_bavail) * info.f_frsize;
  }
};

}  // namespace

std::unique_ptr<FileSystem> MakePosixFileSystem() {
  return std::make_unique<PosixFileSystem>();
}

}  // namespace bramleypath::storage
