#include "Storage/record_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// Length (4 bytes) and checksum (8 bytes) stand before each record.
constexpr std::size_t kHeaderBytes = 12;

std::string Header(std::string_view record) {
  const auto length = static_cast<std::uint32_t>(record.size());
  const std::uint64_t checksum = StableHash(record, length);
  std::string header(kHeaderBytes, '\0');
  std::memcpy(header.data(), &length, sizeof(length));
  std::memcpy(header.data() + sizeof(length), &checksum, sizeof(checksum));
  return header;
}

storage_error SystemError(const std::string& path, const std::string& call) {
  return {path, call + ": " + std::strerror(errno)};
}

}  // namespace

record_log::~record_log() {
  if (file_ >= 0) close(file_);
}

std::variant<opened_log, storage_error> record_log::Open(
    const std::string& path) {
  path_ = path;
  file_ = open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file_ < 0) return SystemError(path, "open");
  std::ifstream in(path, std::ios::binary);
  const std::string bytes((std::istreambuf_iterator<char>(in)),
                          std::istreambuf_iterator<char>());
  opened_log opened;
  std::size_t at = 0;
  while (at < bytes.size()) {
    if (bytes.size() - at < kHeaderBytes) break;
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data() + at, sizeof(length));
    if (bytes.size() - at - kHeaderBytes < length) break;
    const std::string record = bytes.substr(at + kHeaderBytes, length);
    if (Header(record) != bytes.substr(at, kHeaderBytes)) {
      if (at + kHeaderBytes + length == bytes.size()) break;
      return storage_error{path, "corrupt record at byte " +
                                     std::to_string(at) + ", file refused"};
    }
    opened.records.push_back(record);
    at += kHeaderBytes + length;
  }
  opened.torn_bytes = bytes.size() - at;
  if (opened.torn_bytes > 0) {
    if (ftruncate(file_, static_cast<off_t>(at)) != 0) {
      return SystemError(path, "ftruncate");
    }
    if (fsync(file_) != 0) return SystemError(path, "fsync");
  }
  const std::string folder = std::filesystem::path(path).parent_path();
  const int folder_file = open(folder.c_str(), O_RDONLY | O_CLOEXEC);
  if (folder_file < 0) return SystemError(folder, "open");
  const bool synced = fsync(folder_file) == 0;
  close(folder_file);
  if (!synced) return SystemError(folder, "fsync");
  return opened;
}

std::variant<std::monostate, storage_error> record_log::Append(
    std::string_view record) {
  if (failed_) return storage_error{path_, "failed earlier"};
  const std::string bytes = Header(record) + std::string(record);
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        write(file_, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      failed_ = true;
      return SystemError(path_, "write");
    }
    written += static_cast<std::size_t>(count);
  }
  if (fdatasync(file_) != 0) {
    failed_ = true;
    return SystemError(path_, "fdatasync");
  }
  return std::monostate{};
}

}  // namespace lavendertack
