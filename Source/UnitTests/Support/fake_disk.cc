#include "UnitTests/Support/fake_disk.h"

#include <algorithm>
#include <utility>

namespace lavendertack::testing {
namespace {

constexpr std::size_t kSectorBytes = 512;

}  // namespace

file_system fake_disk::Hooks() {
  return {
      .read = [this](const std::string& path) -> read_result {
        auto it = current_.find(path);
        if (it == current_.end()) return std::nullopt;
        return it->second->bytes;
      },
      .append = [this](const std::string& path, std::string_view bytes)
          -> storage_result { return Append(path, bytes); },
      .sync = [this](const std::string& path) { return Sync(path); },
      .rename = [this](const std::string& from,
                       const std::string& to) -> storage_result {
        CountOperation();
        current_[to] = current_.at(from);
        current_.erase(from);
        return std::monostate{};
      },
      .remove = [this](const std::string& path) -> storage_result {
        CountOperation();
        current_.erase(path);
        return std::monostate{};
      },
      .sync_folder = [this](const std::string&) -> storage_result {
        CountOperation();
        lasting_ = current_;
        return std::monostate{};
      },
  };
}

void fake_disk::CountOperation() {
  ++operations_;
  if (!power_left_) return;
  if (*power_left_ == 0) throw power_failure{};
  --*power_left_;
}

storage_result fake_disk::Append(const std::string& path,
                                 std::string_view bytes) {
  auto& entry = current_[path];
  if (entry == nullptr) entry = std::make_shared<file>();
  const auto fits =
      std::min<std::uint64_t>(bytes.size(), free_bytes_.value_or(UINT64_MAX));
  entry->bytes += bytes.substr(0, fits);
  CountOperation();
  if (free_bytes_) *free_bytes_ -= fits;
  if (fits < bytes.size()) return storage_error{path, "disk is full"};
  return std::monostate{};
}

storage_result fake_disk::Sync(const std::string& path) {
  CountOperation();
  if (std::exchange(fail_sync_, false)) {
    return storage_error{path, "sync failed"};
  }
  current_.at(path)->synced = current_.at(path)->bytes.size();
  return std::monostate{};
}

void fake_disk::PowerFailure(power_failure_kind kind) {
  power_left_.reset();
  free_bytes_.reset();
  fail_sync_ = false;
  if (!kind.names_last) current_ = lasting_;
  lasting_ = current_;
  for (auto& [path, entry] : current_) {
    const std::size_t lost = entry->bytes.size() - entry->synced;
    switch (kind.bytes) {
      case unsynced_bytes::kNone:
        entry->bytes.resize(entry->synced);
        break;
      case unsynced_bytes::kHalf:
        entry->bytes.resize(entry->synced + lost / 2);
        break;
      case unsynced_bytes::kAll:
        break;
      case unsynced_bytes::kLostSector: {
        const std::size_t end =
            (entry->synced / kSectorBytes + 1) * kSectorBytes;
        for (std::size_t i = entry->synced;
             i < std::min(end, entry->bytes.size()); ++i) {
          entry->bytes[i] = '\0';
        }
        break;
      }
    }
    entry->synced = entry->bytes.size();
  }
}

void fake_disk::Clear() {
  current_.clear();
  lasting_.clear();
}

std::string& fake_disk::Bytes(const std::string& path) {
  return current_.at(path)->bytes;
}

}  // namespace lavendertack::testing
