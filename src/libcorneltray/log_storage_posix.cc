#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

#include "corneltray/log_storage.h"

namespace corneltray {
namespace {

constexpr int kFileMode = 0600;

class PosixFiles : public FileOperations {
 public:
  int Open(const std::string& path, bool create, int* descriptor) override {
    *descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), kFileMode);
    return *descriptor < 0 ? errno : 0;
  }
  void Close(int descriptor) override { ::close(descriptor); }
  int WriteAt(int descriptor, std::uint64_t offset, const std::string& bytes) override {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t count = ::pwrite(descriptor, bytes.data() + done, bytes.size() - done,
                                     static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return errno;
      if (count == 0) return ENOSPC;
      done += static_cast<std::size_t>(count);
    }
    return 0;
  }
  int Lock(int descriptor) override {
    return ::flock(descriptor, LOCK_EX | LOCK_NB) == 0 ? 0 : errno;
  }
  int Truncate(int descriptor, std::uint64_t size) override {
    return ::ftruncate(descriptor, static_cast<off_t>(size)) == 0 ? 0 : errno;
  }
  int Sync(int descriptor) override { return ::fsync(descriptor) == 0 ? 0 : errno; }
  int Rename(const std::string& from, const std::string& to) override {
    return ::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
  }
  int SyncFolder(const std::string& folder) override {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return errno;
    const int error = Sync(descriptor);
    ::close(descriptor);
    return error;
  }
  int CreateFolder(const std::string& folder) override {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) return error.value();
    // Syncs the parent as well, so that the directory entry of the new folder is durable.
    const auto parent = std::filesystem::absolute(folder).lexically_normal().parent_path();
    return SyncFolder(parent.string());
  }
  int Read(const std::string& path, std::string* bytes) override {
    constexpr std::size_t kChunkBytes = 1 << 20;
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return errno;
    bytes->clear();
    int error = 0;
    while (error == 0) {
      const std::size_t size = bytes->size();
      bytes->resize(size + kChunkBytes);
      const ssize_t count = ::read(descriptor, bytes->data() + size, kChunkBytes);
      bytes->resize(size + (count > 0 ? static_cast<std::size_t>(count) : 0));
      if (count == 0) break;
      if (count < 0 && errno != EINTR) error = errno;
    }
    ::close(descriptor);
    return error;
  }
};

}  // namespace

FileOperations& PosixFileOperations() {
  static PosixFiles files;
  return files;
}

}  // namespace corneltray
