// The file operations that durable state needs, as hooks, so that tests can
// stand in for the disk and stop at any operation.
#ifndef LAVENDERTACK_STORAGE_FILE_SYSTEM_H_
#define LAVENDERTACK_STORAGE_FILE_SYSTEM_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lavendertack {

// A file operation that failed, or a file that can't be trusted.
struct storage_error {
  std::string path;
  std::string reason;
};

using storage_result = std::variant<std::monostate, storage_error>;
// The bytes of a file; nothing when there is no such file.
using read_result = std::variant<std::optional<std::string>, storage_error>;

struct file_system {
  std::function<read_result(const std::string& path)> read;
  // Writes at the end of the file, which is created when missing. After an
  // error part of the bytes may stand in the file.
  std::function<storage_result(const std::string& path, std::string_view bytes)>
      append;
  // What was appended to the file lasts once this has returned.
  std::function<storage_result(const std::string& path)> sync;
  std::function<storage_result(const std::string& from, const std::string& to)>
      rename;
  // Removing a file that is missing is no error.
  std::function<storage_result(const std::string& path)> remove;
  // Names that were created or moved in the folder last from here on.
  std::function<storage_result(const std::string& folder)> sync_folder;
};

// The file system of the machine. Keeps each file that it appends to open, so
// that a failed write back is reported by the next `sync`.
file_system DiskFileSystem();

}  // namespace lavendertack

#endif  // LAVENDERTACK_STORAGE_FILE_SYSTEM_H_
