// A write-ahead log: a file of checksummed records in the data folder. A record
// is acknowledged only after it was synced. The file holds a snapshot and the
// records written after it; `Rewrite` replaces all of them atomically by a new
// snapshot.
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

// Content of the log when it was opened.
struct opened_log {
  std::vector<std::string> records;
  // Length of the torn write that was cut from the end; 0 if there was none.
  std::uint64_t torn_bytes = 0;
  // Set when the records were read but couldn't be rewritten, for example
  // because the disk is full. The log accepts no records then.
  std::optional<storage_error> rewrite_error;
};

class record_log {
 public:
  explicit record_log(file_system files = DiskFileSystem());

  // Opens or creates `path`, reads all records and cuts a torn write from the
  // end. Any other corruption is an error and leaves the file unchanged. The
  // records are rewritten and synced, because after a failed sync of an earlier
  // process the kernel may return bytes that never reached the disk.
  std::variant<opened_log, storage_error> Open(const std::string& path);

  // Appends and syncs one record, which must not be empty. After an error the
  // log accepts no more records.
  storage_result Append(std::string_view record);

  // Atomically replaces all records. After an error the log accepts no more
  // records, and the next Open() finds either the old or the new ones.
  storage_result Rewrite(const std::vector<std::string>& records);

 private:
  storage_result ReplaceFile(const std::vector<std::string>& records);

  file_system files_;
  std::string path_;
  std::uint64_t next_sequence_ = 1;
  bool failed_ = false;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_STORAGE_RECORD_LOG_H_
