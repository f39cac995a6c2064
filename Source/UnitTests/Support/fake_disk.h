// An in-memory disk that can lose power at any operation, run out of space or
// fail to sync.
#ifndef LAVENDERTACK_UNITTESTS_SUPPORT_FAKE_DISK_H_
#define LAVENDERTACK_UNITTESTS_SUPPORT_FAKE_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Storage/file_system.h"

namespace lavendertack::testing {

// Thrown by the operation during which the power fails.
struct power_failure {};

// Which unsynced bytes a power failure leaves. kZeroedSector keeps their length
// but zeroes the first of their sectors.
enum class unsynced_bytes { kNone, kHalf, kAll, kZeroedSector };

struct power_failure_kind {
  unsynced_bytes bytes = unsynced_bytes::kNone;
  // Whether folder changes (new files, renames, removals) that weren't synced
  // survive.
  bool folder_changes_persisted = false;
};

class fake_disk {
 public:
  // File operations on this disk, which must outlive them.
  file_system FileSystem();

  // After `count` further operations that change or sync the disk, all of them
  // throw power_failure until PowerFailure is called. Reads still work.
  void FailPowerAfter(std::uint64_t count) {
    operations_until_power_failure_ = count;
  }
  // Reduces the disk to its content after a power failure of this kind and
  // removes all other faults.
  void PowerFailure(power_failure_kind kind);
  // Makes appends fail with "disk is full" after `bytes` more bytes.
  void LimitFreeBytes(std::uint64_t bytes) { free_bytes_ = bytes; }
  // Makes the next sync of a file fail.
  void FailNextSync() { fail_sync_ = true; }
  // Removes all files.
  void Clear();
  // The content of an existing file, for a test to corrupt.
  std::string& Bytes(const std::string& path);
  // Operations that changed the disk or synced it so far.
  std::uint64_t operations() const { return operations_; }

 private:
  struct file {
    std::string bytes;
    std::size_t synced_bytes = 0;
  };
  using name_table = std::map<std::string, std::shared_ptr<file>>;

  void CountOperation();
  storage_result Append(const std::string& path, std::string_view bytes);
  storage_result Sync(const std::string& path);

  name_table names_;         // Files by path, as readers see them.
  name_table synced_names_;  // Files by path as of the last folder sync.
  std::uint64_t operations_ = 0;
  std::optional<std::uint64_t> operations_until_power_failure_;
  std::optional<std::uint64_t> free_bytes_;
  bool fail_sync_ = false;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_SUPPORT_FAKE_DISK_H_
