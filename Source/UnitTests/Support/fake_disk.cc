#include "UnitTests/Support/fake_disk.h"

#include <algorithm>
#include <utility>

namespace lavendertack::testing {
namespace {

constexpr std::size_t kSectorBytes = 512;

}  // namespace

file_system fake_disk::FileSystem() {
  return {
      .read = [this](const std::string& path) -> read_result {
        auto it = names_.find(path);
        if (it == names_.end()) return std::nullopt;
        return it->second->bytes;
      },
      .append = [this](const std::string& path, std::string_view bytes)
          -> storage_result { return Append(path, bytes); },
      .sync = [this](const std::string& path) { return Sync(path); },
      .rename = [this](const std::string& from,
                       const std::string& to) -> storage_result {
        CountOperation();
        names_[to] = names_.at(from);
        names_.erase(from);
        return std::monostate{};
      },
      .remove = [this](const std::string& path) -> storage_result {
        CountOperation();
        names_.erase(path);
        return std::monostate{};
      },
      .sync_folder = [this](const std::string&) -> storage_result {
        CountOperation();
        synced_names_ = names_;
        return std::monostate{};
      },
  };
}

void fake_disk::CountOperation() {
  ++operations_;
  if (!operations_until_power_failure_) return;
  if (*operations_until_power_failure_ == 0) throw power_failure{};
  --*operations_until_power_failure_;
}

storage_result fake_disk::Append(const std::string& path,
                                 std::string_view bytes) {
  auto& entry = names_[path];
  if (entry == nullptr) entry = std::make_shared<file>();
  const auto written =
      std::min<std::uint64_t>(bytes.size(), free_bytes_.value_or(UINT64_MAX));
  entry->bytes += bytes.substr(0, written);
  CountOperation();
  if (free_bytes_) *free_bytes_ -= written;
  if (written < bytes.size()) return storage_error{path, "disk is full"};
  return std::monostate{};
}

storage_result fake_disk::Sync(const std::string& path) {
  CountOperation();
  if (std::exchange(fail_sync_, false)) {
    return storage_error{path, "sync failed"};
  }
  names_.at(path)->synced_bytes = names_.at(path)->bytes.size();
  return std::monostate{};
}

void fake_disk::PowerFailure(power_failure_kind kind) {
  operations_until_power_failure_.reset();
  free_bytes_.reset();
  fail_sync_ = false;
  if (!kind.folder_changes_persisted) names_ = synced_names_;
  synced_names_ = names_;
  for (auto& [path, entry] : names_) {
    const std::size_t lost = entry->bytes.size() - entry->synced_bytes;
    switch (kind.bytes) {
      case unsynced_bytes::kNone:
        entry->bytes.resize(entry->synced_bytes);
        break;
      case unsynced_bytes::kHalf:
        entry->bytes.resize(entry->synced_bytes + lost / 2);
        break;
      case unsynced_bytes::kAll:
        break;
      case unsynced_bytes::kZeroedSector: {
        const std::size_t end =
            (entry->synced_bytes / kSectorBytes + 1) * kSectorBytes;
        for (std::size_t i = entry->synced_bytes;
             i < std::min(end, entry->bytes.size()); ++i) {
          entry->bytes[i] = '\0';
        }
        break;
      }
    }
    entry->synced_bytes = entry->bytes.size();
  }
}

void fake_disk::Clear() {
  names_.clear();
  synced_names_.clear();
}

std::string& fake_disk::Bytes(const std::string& path) {
  return names_.at(path)->bytes;
}

}  // namespace lavendertack::testing
