#include "Forwarding/caller_counts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertack {
namespace {

// Accounts with a lower count expire: about 12 s after a single opening in a
// window of 4 s.
constexpr double kMinCount = 0.05;
// The reference time is replaced after this number of windows. The scale is
// then 5e21, far from the overflow of a double.
constexpr double kMaxScaleWindows = 50;

// Openings and time from which the rate of a new caller is estimated. With
// fewer openings, the rate of a caller with few requests would be
// overestimated.
constexpr double kMinRateOpenings = 8;
constexpr milliseconds kMinRateTime{200};

}  // namespace

double caller_counts::Scale(instant now) const {
  return std::exp(std::chrono::duration<double>(now - reference_) / window_);
}

void caller_counts::Rescale(instant now) {
  if ((now - reference_) / window_ < kMaxScaleWindows) return;
  // After a long pause the factor may be 0, which is exact enough.
  const double factor = 1 / Scale(now);
  reference_ = now;
  total_ *= factor;
  accounts_by_count old;
  old.swap(accounts_);
  while (!old.empty()) {
    auto node = old.extract(old.begin());
    node.key() *= factor;
    node.mapped().error *= factor;
    const ipv4_address caller = node.mapped().caller;
    by_caller_[caller] = accounts_.insert(accounts_.end(), std::move(node));
  }
}

void caller_counts::Add(instant now, ipv4_address caller) {
  Rescale(now);
  const double weight = Scale(now);
  total_ += weight;
  if (auto found = by_caller_.find(caller); found != by_caller_.end()) {
    auto node = accounts_.extract(found->second);
    node.key() += weight;
    found->second = accounts_.insert(std::move(node));
    return;
  }
  if (accounts_.size() < capacity_) {
    by_caller_[caller] = accounts_.emplace(
        weight, caller_account{.caller = caller, .first_seen = now});
    return;
  }
  // The nodes of the replaced account are reused.
  auto node = accounts_.extract(accounts_.begin());
  auto index_node = by_caller_.extract(node.mapped().caller);
  node.mapped() = {.caller = caller, .first_seen = now, .error = node.key()};
  node.key() += weight;
  index_node.key() = caller;
  index_node.mapped() = accounts_.insert(std::move(node));
  by_caller_.insert(std::move(index_node));
}

caller_account* caller_counts::Find(ipv4_address caller) {
  auto found = by_caller_.find(caller);
  return found == by_caller_.end() ? nullptr : &found->second->second;
}

double caller_counts::OwnOpenings(instant now, ipv4_address caller) const {
  auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return 0;
  const auto& [count, account] = *found->second;
  return OwnOpenings(now, count, account);
}

double caller_counts::OwnOpenings(instant now, double count,
                                  const caller_account& account) const {
  const double own = (count - account.error) / Scale(now);
  if (own < kMinRateOpenings) return own;
  const std::chrono::duration<double> age =
      std::max<microseconds>(now - account.first_seen, kMinRateTime);
  return own / (1 - std::exp(-age / window_));
}

double caller_counts::Total(instant now) const { return total_ / Scale(now); }

void caller_counts::ForEach(
    instant now, const std::function<void(caller_account&, double)>& visit) {
  for (auto& [count, account] : accounts_) {
    visit(account, OwnOpenings(now, count, account));
  }
}

void caller_counts::Expire(instant now) {
  Rescale(now);
  const double min_count = kMinCount * Scale(now);
  while (!accounts_.empty() && accounts_.begin()->first < min_count) {
    by_caller_.erase(accounts_.begin()->second.caller);
    accounts_.erase(accounts_.begin());
  }
}

}  // namespace lavendertack
