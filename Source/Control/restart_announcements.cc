#include "Control/restart_announcements.h"

namespace lavendertack {
namespace {

// Shortest time between two announcements to the same entry instance.
constexpr milliseconds kInterval{25};
// An entry instance that started at the same time has long found its seeds
// after this time.
constexpr milliseconds kDuration{1500};
// Most announcements per call. With thousands of entry instances each one is
// announced to less often.
constexpr std::size_t kMaxPerCall = 100;

}  // namespace

void restart_announcements::Add(const instance_name& follower) {
  if (followers_.size() < kMaxFollowers) followers_.insert(follower);
}

void restart_announcements::RecordRequest(const instance_name& follower) {
  followers_.erase(follower);
}

std::vector<instance_name> restart_announcements::TakeDue(instant now) {
  if (!started_at_) started_at_ = now;
  if (now - *started_at_ > kDuration) followers_.clear();
  std::vector<instance_name> due;
  if (!last_ && now < next_round_at_) return due;
  if (!last_) next_round_at_ = now + kInterval;
  auto it = last_ ? followers_.upper_bound(*last_) : followers_.begin();
  for (; it != followers_.end() && due.size() < kMaxPerCall; ++it) {
    due.push_back(*it);
  }
  last_.reset();
  if (it != followers_.end()) last_ = due.back();
  return due;
}

}  // namespace lavendertack
