#include "Forwarding/failed_openings.h"

#include <algorithm>

namespace lavendertack {
namespace {

// A few targets may fail by themselves at the same time.
constexpr std::size_t kMinFailedTargets = 4;
// Failures that are further apart than this don't have the same cause.
constexpr milliseconds kMaxGap{1000};
constexpr milliseconds kProbeInterval{100};

}  // namespace

void failed_openings::RecordFailed(instant now, const data_centre_name& name,
                                   target_tag tag) {
  failures& of = by_data_centre_[name];
  const bool is_failing = of.targets.size() >= kMinFailedTargets;
  if (!is_failing && now - of.last_failed > kMaxGap) of.targets.clear();
  of.last_failed = now;
  if (is_failing) return;
  of.targets.insert(tag);
  if (of.targets.size() >= kMinFailedTargets) of.last_probe = now;
}

void failed_openings::RecordAccepted(const data_centre_name& name) {
  by_data_centre_.erase(name);
}

std::vector<data_centre_name> failed_openings::TakeFailing(instant now) {
  std::vector<data_centre_name> failing;
  for (auto& [name, of] : by_data_centre_) {
    if (of.targets.size() < kMinFailedTargets) continue;
    if (now - of.last_probe < kProbeInterval) {
      failing.push_back(name);
    } else {
      of.last_probe = now;
    }
  }
  return failing;
}

std::size_t failed_openings::failing_count() const {
  return static_cast<std::size_t>(std::count_if(
      by_data_centre_.begin(), by_data_centre_.end(), [](const auto& entry) {
        return entry.second.targets.size() >= kMinFailedTargets;
      }));
}

}  // namespace lavendertack
