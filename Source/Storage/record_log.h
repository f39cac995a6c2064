// A file of checksummed records under the data folder. A record counts only
// once it is synced. The records are a snapshot and what came after it;
// `Rewrite` puts a new snapshot in their place at one stroke.
#ifndef LAVENDERTACK_STORAGE_RECORD_LOG_H_
#define LAVENDERTACK_STORAGE_RECORD_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Storage/file_system.h"

namespace lavendertack {

// What was found in the file on opening.
struct opened_log {
  std::vector<std::string> records;
  std::uint64_t torn_bytes = 0;  // Cut from the end: a write that never ended.
  // The records could be read but not written anew, as on a full disk: the
  // log takes no record.
  std::optional<storage_error> rewrite_error;
};

class record_log {
 public:
  explicit record_log(file_system files = DiskFileSystem());

  // Opens or creates `path`, reads every record, cuts a torn last record.
  // Corruption anywhere else is an error, and nothing is changed. What was
  // read is written anew and synced: after a failed sync in an earlier process
  // the kernel may show bytes that never reached the disk.
  std::variant<opened_log, storage_error> Open(const std::string& path);

  // Writes one record, which isn't empty, and syncs it. After an error the log
  // takes no more.
  storage_result Append(std::string_view record);

  // Replaces the whole content, atomically. After an error the log takes no
  // more, and either the old or the new content is found on opening.
  storage_result Rewrite(const std::vector<std::string>& records);

 private:
  storage_result WriteAnew(const std::vector<std::string>& records);

  file_system files_;
  std::string path_;
  std::uint64_t next_sequence_ = 1;
  bool failed_ = false;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_STORAGE_RECORD_LOG_H_
