// A disk in memory that can lose power at any operation, run full or fail to
// sync.
#ifndef LAVENDERTACK_UNITTESTS_SUPPORT_FAKE_DISK_H_
#define LAVENDERTACK_UNITTESTS_SUPPORT_FAKE_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Storage/file_system.h"

namespace lavendertack::testing {

// Thrown by the operation at which the power fails.
struct power_failure {};

// What is left of bytes that were written but not synced.
enum class unsynced_bytes { kNone, kHalf, kAll, kLostSector };

struct power_failure_kind {
  unsynced_bytes bytes = unsynced_bytes::kNone;
  bool names_last = false;  // Renames that were not synced happened anyhow.
};

class fake_disk {
 public:
  file_system Hooks();

  // The power fails at the operation after `count` further ones.
  void FailPowerAfter(std::uint64_t count) { power_left_ = count; }
  // Leaves what a disk has after a power failure, and turns it on again, mended
  // and with room.
  void PowerFailure(power_failure_kind kind);
  // The disk takes `bytes` more, then it is full.
  void FullAfter(std::uint64_t bytes) { free_bytes_ = bytes; }
  void FailNextSync() { fail_sync_ = true; }
  void Clear();
  // The bytes that a reader sees, to be spoilt by a test.
  std::string& Bytes(const std::string& path);
  std::uint64_t operations() const { return operations_; }

 private:
  struct file {
    std::string bytes;
    std::size_t synced = 0;
  };
  using names = std::map<std::string, std::shared_ptr<file>>;

  void CountOperation();
  storage_result Append(const std::string& path, std::string_view bytes);
  storage_result Sync(const std::string& path);

  names current_;
  names lasting_;
  std::uint64_t operations_ = 0;
  std::optional<std::uint64_t> power_left_;
  std::optional<std::uint64_t> free_bytes_;
  bool fail_sync_ = false;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_SUPPORT_FAKE_DISK_H_
