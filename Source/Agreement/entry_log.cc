#include "Agreement/entry_log.h"

#include <glog/logging.h>

namespace lavendertack {
namespace {

// Limits on the entries sent in one message to an instance that lags behind.
constexpr std::size_t kMaxEntriesPerMessage = 64;
constexpr std::size_t kMaxBytesPerMessage = 1 << 16;

}  // namespace

void entry_log::Append(std::string value) {
  kept_.push_back(std::move(value));
  if (kept_.size() > max_kept_) kept_.pop_front();
  ++last_.value;
}

void entry_log::ResetTo(log_index last) {
  CHECK_GE(last.value, last_.value)
      << "the log can't be reset to a lower index";
  kept_.clear();
  last_ = last;
}

bool entry_log::Contains(log_index index) const {
  return index >= first() && index <= last_;
}

const std::string& entry_log::At(log_index index) const {
  CHECK(Contains(index)) << "entry not kept: " << index;
  return kept_[index.value - first().value];
}

std::vector<std::string> entry_log::EntriesFrom(log_index first) const {
  std::vector<std::string> entries;
  std::size_t bytes = 0;
  for (log_index index = first; Contains(index); ++index.value) {
    bytes += At(index).size();
    const bool full =
        entries.size() == kMaxEntriesPerMessage || bytes > kMaxBytesPerMessage;
    if (full && !entries.empty()) break;
    entries.push_back(At(index));
  }
  return entries;
}

}  // namespace lavendertack
