#include "Storage/file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <utility>

namespace lavendertack {
namespace {

constexpr std::size_t kReadBufferBytes = 1 << 16;

// Describes a failed system call by its `errno`.
storage_error SystemError(const std::string& path, const std::string& call) {
  return {path, call + ": " + std::strerror(errno)};
}

// Owns a file descriptor and closes it.
class descriptor {
 public:
  explicit descriptor(int file) : file_(file) {}
  descriptor(descriptor&& other) noexcept
      : file_(std::exchange(other.file_, -1)) {}
  descriptor& operator=(descriptor&& other) noexcept {
    std::swap(file_, other.file_);
    return *this;
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  ~descriptor() {
    if (file_ >= 0) close(file_);
  }
  int get() const { return file_; }

 private:
  int file_;
};

// Open descriptors of the files that were appended to, by path.
using open_files = std::map<std::string, descriptor>;

read_result Read(const std::string& path) {
  const descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0 && errno == ENOENT) return std::nullopt;
  if (file.get() < 0) return SystemError(path, "open");
  std::string bytes;
  std::string buffer(kReadBufferBytes, '\0');
  while (true) {
    const ssize_t count = read(file.get(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return SystemError(path, "read");
    if (count == 0) return bytes;
    bytes.append(buffer, 0, static_cast<std::size_t>(count));
  }
}

storage_result Append(open_files* files, const std::string& path,
                      std::string_view bytes) {
  auto it = files->find(path);
  if (it == files->end()) {
    descriptor file(
        open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (file.get() < 0) return SystemError(path, "open");
    it = files->emplace(path, std::move(file)).first;
  }
  while (!bytes.empty()) {
    const ssize_t count = write(it->second.get(), bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return SystemError(path, "write");
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return std::monostate{};
}

storage_result Sync(const open_files& files, const std::string& path) {
  auto it = files.find(path);
  if (it == files.end()) return storage_error{path, "fsync: file is not open"};
  if (fsync(it->second.get()) != 0) return SystemError(path, "fsync");
  return std::monostate{};
}

storage_result Rename(open_files* files, const std::string& from,
                      const std::string& to) {
  if (std::rename(from.c_str(), to.c_str()) != 0) {
    return SystemError(from, "rename");
  }
  files->erase(to);
  if (auto moved = files->extract(from)) {
    moved.key() = to;
    files->insert(std::move(moved));
  }
  return std::monostate{};
}

storage_result Remove(open_files* files, const std::string& path) {
  files->erase(path);
  if (unlink(path.c_str()) != 0 && errno != ENOENT) {
    return SystemError(path, "unlink");
  }
  return std::monostate{};
}

storage_result SyncFolder(const std::string& folder) {
  const descriptor file(open(folder.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) return SystemError(folder, "open");
  if (fsync(file.get()) != 0) return SystemError(folder, "fsync");
  return std::monostate{};
}

}  // namespace

file_system DiskFileSystem() {
  auto files = std::make_shared<open_files>();
  return {
      .read = Read,
      .append =
          [files](const std::string& path, std::string_view bytes) {
            return Append(files.get(), path, bytes);
          },
      .sync = [files](const std::string& path) { return Sync(*files, path); },
      .rename =
          [files](const std::string& from, const std::string& to) {
            return Rename(files.get(), from, to);
          },
      .remove =
          [files](const std::string& path) {
            return Remove(files.get(), path);
          },
      .sync_folder = SyncFolder,
  };
}

}  // namespace lavendertack
