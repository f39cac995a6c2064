#include "Forwarding/open_attempts.h"

#include <utility>

namespace lavendertack {

void open_attempts::Insert(const flow_key& flow, open_attempt attempt) {
  by_time_.emplace_back(attempt.sent, flow);
  attempts_[flow] = std::move(attempt);
  while (attempts_.size() > capacity_) {
    attempts_.erase(by_time_.front().second);
    RemoveOldest();
  }
}

void open_attempts::RemoveOldest() {
  by_time_.pop_front();
  if (seen_ > 0) --seen_;
}

std::optional<open_attempt> open_attempts::Remove(const flow_key& flow) {
  auto it = attempts_.find(flow);
  if (it == attempts_.end()) return std::nullopt;
  open_attempt removed = std::move(it->second);
  attempts_.erase(it);
  return removed;
}

void open_attempts::Expire(
    instant before, const std::function<void(const open_attempt&)>& expired) {
  while (!by_time_.empty() && by_time_.front().first < before) {
    auto it = attempts_.find(by_time_.front().second);
    // A later attempt of the same flow has its own entry in `by_time_`.
    if (it != attempts_.end() && it->second.sent < before) {
      expired(it->second);
      attempts_.erase(it);
    }
    RemoveOldest();
  }
}

void open_attempts::TakeOverdue(
    instant before, const std::function<void(const open_attempt&)>& overdue) {
  for (; seen_ < by_time_.size() && by_time_[seen_].first < before; ++seen_) {
    auto it = attempts_.find(by_time_[seen_].second);
    if (it == attempts_.end() || it->second.overdue) continue;
    if (it->second.sent >= before) continue;  // Sent again.
    it->second.overdue = true;
    overdue(it->second);
  }
}

}  // namespace lavendertack
