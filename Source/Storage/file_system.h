// The file operations used to store durable state. They are a table of
// functions, so that tests can replace the disk by an in-memory one that fails
// at a chosen operation.
#ifndef LAVENDERTACK_STORAGE_FILE_SYSTEM_H_
#define LAVENDERTACK_STORAGE_FILE_SYSTEM_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lavendertack {

// A failed file operation or a corrupt file.
struct storage_error {
  std::string path;
  std::string reason;  // Text for operators.
};

// Success or an error.
using storage_result = std::variant<std::monostate, storage_error>;
// The content of a file; nothing if the file doesn't exist.
using read_result = std::variant<std::optional<std::string>, storage_error>;

// The file operations. Paths have the format of the operating system.
struct file_system {
  // Reads a whole file.
  std::function<read_result(const std::string& path)> read;
  // Appends to the file and creates it if it doesn't exist. After an error, the
  // file may contain a part of the bytes.
  std::function<storage_result(const std::string& path, std::string_view bytes)>
      append;
  // Makes the bytes appended to the file durable.
  std::function<storage_result(const std::string& path)> sync;
  // Renames a file and replaces an existing file `to`.
  std::function<storage_result(const std::string& from, const std::string& to)>
      rename;
  // Removes a file. It is no error if the file doesn't exist.
  std::function<storage_result(const std::string& path)> remove;
  // Makes the creation, renaming and removal of files in the folder durable.
  std::function<storage_result(const std::string& folder)> sync_folder;
};

// The file system of the operating system. Files that were appended to stay
// open, so that the next `sync` reports a failed write-back.
file_system DiskFileSystem();

}  // namespace lavendertack

#endif  // LAVENDERTACK_STORAGE_FILE_SYSTEM_H_
