#include "Ownership/lease.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Requests whose grants still count.
constexpr std::size_t kKeptRequests = 16;

}  // namespace

lease_sequence lease::Request(instant now) {
  const lease_sequence sequence = next_;
  ++next_.value;
  sent_[sequence] = now;
  if (sent_.size() > kKeptRequests) sent_.erase(sent_.begin());
  return sequence;
}

void lease::Granted(const instance_name& from, lease_sequence sequence) {
  auto it = sent_.find(sequence);
  if (it == sent_.end()) return;
  instant& newest = grants_[from];
  newest = std::max(newest, it->second);
}

void lease::StartRoster() {
  grants_.clear();
  sent_.clear();
}

void lease::Extend(const std::vector<lease_quorum>& quorums) {
  for (const lease_quorum& quorum : quorums) {
    std::vector<instant> sent;
    for (const instance_name& name : quorum.granters) {
      if (auto it = grants_.find(name); it != grants_.end()) {
        sent.push_back(it->second);
      }
    }
    if (quorum.needed == 0 || sent.size() < quorum.needed) continue;
    std::sort(sent.rbegin(), sent.rend());
    valid_until_ =
        std::max(valid_until_, sent[quorum.needed - 1] + kLeaseLength);
  }
}

void lease::End() {
  StartRoster();
  valid_until_ = instant{};
}

}  // namespace lavendertack
