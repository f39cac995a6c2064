#include "Forwarding/open_attempts.h"

#include <utility>

namespace lavendertack {

void open_attempts::Insert(const flow_key& flow, open_attempt attempt) {
  by_time_.emplace_back(attempt.sent, flow);
  attempts_[flow] = std::move(attempt);
  while (attempts_.size() > capacity_) {
    attempts_.erase(by_time_.front().second);
    by_time_.pop_front();
  }
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
    by_time_.pop_front();
  }
}

}  // namespace lavendertack
