// A file of checksummed records under the data folder. A record counts only
// once it is synced.
#ifndef LAVENDERTACK_STORAGE_RECORD_LOG_H_
#define LAVENDERTACK_STORAGE_RECORD_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavendertack {

// A file operation that failed, or a file that can't be trusted.
struct storage_error {
  std::string path;
  std::string reason;
};

// What was found in the file on opening.
struct opened_log {
  std::vector<std::string> records;
  std::uint64_t torn_bytes = 0;  // Cut from the end: a write that never ended.
};

class record_log {
 public:
  record_log() = default;
  record_log(const record_log&) = delete;
  record_log& operator=(const record_log&) = delete;
  ~record_log();

  // Opens or creates `path`, reads every record, cuts a torn last record.
  // Corruption before the end is an error, and nothing is changed.
  std::variant<opened_log, storage_error> Open(const std::string& path);

  // Writes one record and syncs it. After an error the log takes no more.
  std::variant<std::monostate, storage_error> Append(std::string_view record);

 private:
  std::string path_;
  int file_ = -1;
  bool failed_ = false;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_STORAGE_RECORD_LOG_H_
