#include "Distribution/catch_up.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Time after which replicas that haven't answered are queried again.
constexpr milliseconds kQueryInterval{200};

}  // namespace

catch_up::catch_up(catch_up_settings settings)
    : settings_(std::move(settings)) {
  // A single replica has no other to query.
  if (settings_.replicas.size() == 1) CountOwnState();
}

void catch_up::CountOwnState() {
  if (settings_.replicas.contains(settings_.self)) {
    answered_.insert(settings_.self);
  }
}

std::vector<instance_name> catch_up::ReplicasToQuery(instant now) {
  std::vector<instance_name> due;
  if (HasMajority()) return due;
  if (last_query_at_ && now - *last_query_at_ < kQueryInterval) return due;
  last_query_at_ = now;
  std::set_difference(settings_.replicas.begin(), settings_.replicas.end(),
                      answered_.begin(), answered_.end(),
                      std::back_inserter(due));
  std::erase(due, settings_.self);
  return due;
}

void catch_up::HandleIndexReport(const instance_name& from, std::uint64_t nonce,
                                 log_index applied) {
  if (nonce != settings_.nonce || !settings_.replicas.contains(from)) return;
  if (HasMajority()) return;
  answered_.insert(from);
  newest_index_ = std::max(newest_index_, applied);
}

bool catch_up::IsCurrent(log_index applied) const {
  return HasMajority() && applied >= newest_index_;
}

bool catch_up::HasMajority() const {
  return answered_.size() > settings_.replicas.size() / 2;
}

}  // namespace lavendertack
