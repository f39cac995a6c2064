#include "Ownership/lease.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Most requests that wait for grants. Grants of older requests are ignored.
constexpr std::size_t kMaxPendingRequests = 16;

}  // namespace

lease_sequence lease::StartRequest(instant now) {
  const lease_sequence sequence = next_;
  ++next_.value;
  sent_at_[sequence] = now;
  if (sent_at_.size() > kMaxPendingRequests) sent_at_.erase(sent_at_.begin());
  return sequence;
}

void lease::RecordGrant(const instance_name& from, lease_sequence sequence) {
  auto it = sent_at_.find(sequence);
  if (it == sent_at_.end()) return;
  instant& newest = grants_[from];
  newest = std::max(newest, it->second);
}

void lease::ResetForNewRoster() {
  grants_.clear();
  sent_at_.clear();
}

void lease::Extend(const std::vector<lease_quorum>& quorums) {
  for (const lease_quorum& quorum : quorums) {
    std::vector<instant> sent;
    for (const instance_name& name : quorum.granters) {
      if (auto it = grants_.find(name); it != grants_.end()) {
        sent.push_back(it->second);
      }
    }
    if (quorum.required == 0 || sent.size() < quorum.required) continue;
    // The lease counts from the oldest of the `required` newest requests.
    std::sort(sent.rbegin(), sent.rend());
    valid_until_ =
        std::max(valid_until_, sent[quorum.required - 1] + kLeaseLength);
  }
}

void lease::Revoke() {
  ResetForNewRoster();
  valid_until_ = instant{};
}

}  // namespace lavendertack
