#include "Forwarding/overload.h"

#include <algorithm>
#include <iterator>

namespace lavendertack {
namespace {

// The pressure at which the refusal level settles: all slots are busy, and a
// request waits in the queue for somewhat less time than a target works on it.
// The overload scenario of the model compares setpoints of 1.6, 1.8 and 2.0: at
// 0.8 of the targets' capacity, 14, 8 and 4 of 100 low-priority requests are
// refused or delayed; at 5 times that load, 1.9, 2.5 and 3.8 of 100
// high-priority requests are delayed.
constexpr slot_pressure kPressureSetpoint = 1.8;
// Change of the level per second when the pressure is twice the setpoint.
constexpr double kMaxLevelChangePerSecond = 1.0;
// Longest interval that counts towards a rise of the level. The level is
// updated only when a connection opens, and the pressure may have changed much
// since the previous connection.
constexpr milliseconds kMaxRiseInterval{200};

// Time in which the difference from the fleet's level falls to 1/e. Not below
// the age of the reports, up to 1 s, so that the levels don't oscillate around
// each other.
constexpr milliseconds kAlignmentTime{1000};

}  // namespace

slot_pressure PressureOf(requests_per_s demand, microseconds response_time,
                         double slots) {
  if (slots <= 0) return 0;
  return demand * std::chrono::duration<double>(response_time).count() / slots;
}

service_priorities PrioritiesOf(
    const std::unordered_map<ipv4_endpoint, route>& routes) {
  service_priorities priorities;
  for (const auto& [address, entry] : routes) {
    for (const traffic_share& share : entry.shares) {
      if (share.weight > 0) priorities[share.service].insert(entry.priority);
    }
  }
  return priorities;
}

double refusal_level::Update(instant now, slot_pressure pressure,
                             std::size_t refusable_priorities) {
  const microseconds elapsed = now - updated_.value_or(now);
  updated_ = now;
  const double error = std::clamp(pressure / kPressureSetpoint - 1, -1.0, 1.0);
  // The whole interval counts for a fall, but at most kMaxRiseInterval for a
  // rise.
  const auto interval =
      error > 0 ? std::min<microseconds>(elapsed, kMaxRiseInterval) : elapsed;
  level_ += error * kMaxLevelChangePerSecond *
            std::chrono::duration<double>(interval).count();
  level_ = std::clamp(level_, 0.0, static_cast<double>(refusable_priorities));
  return level_;
}

void refusal_level::Align(instant now, double fleet_level) {
  const double share =
      aligned_ ? std::chrono::duration<double>(now - *aligned_) / kAlignmentTime
               : 1.0;
  aligned_ = now;
  level_ += std::min(1.0, share) * (fleet_level - level_);
}

double RefusedShare(double level, std::uint32_t priority,
                    const std::set<std::uint32_t>& priorities) {
  // A lower number is a higher priority.
  if (priorities.empty() || priority <= *priorities.begin()) return 0;
  const auto lower_priorities =
      std::distance(priorities.upper_bound(priority), priorities.end());
  return std::clamp(level - static_cast<double>(lower_priorities), 0.0, 1.0);
}

double AdmittedShare(slot_pressure pressure, double level,
                     std::uint32_t priority,
                     const std::set<std::uint32_t>& priorities) {
  return pressure < 1 ? 1 : 1 - RefusedShare(level, priority, priorities);
}

}  // namespace lavendertack
