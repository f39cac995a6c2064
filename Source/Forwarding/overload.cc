#include "Forwarding/overload.h"

#include <algorithm>
#include <iterator>

namespace lavendertack {
namespace {

// Change of the level per second when the pressure is twice the setpoint.
// The queues of the targets fill up within some hundred milliseconds after the
// start of an overload.
constexpr double kMaxRisePerSecond = 4.0;
// Change of the level per second without any pressure. Slower than the rise:
// the queues take about as long to empty, and a quick fall would fill them
// again.
constexpr double kMaxFallPerSecond = 1.0;
// Longest interval that counts towards a rise of the level. The level is
// updated only when a connection opens, and the pressure may have changed much
// since the previous connection.
constexpr milliseconds kMaxRiseInterval{50};

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
  const double error = std::clamp(pressure / setpoint_ - 1, -1.0, 1.0);
  // The whole interval counts for a fall, but at most kMaxRiseInterval for a
  // rise.
  const bool rises = error > 0;
  const auto interval =
      rises ? std::min<microseconds>(elapsed, kMaxRiseInterval) : elapsed;
  level_ += error * (rises ? kMaxRisePerSecond : kMaxFallPerSecond) *
            std::chrono::duration<double>(interval).count();
  level_ = std::clamp(level_, 0.0, static_cast<double>(refusable_priorities));
  return level_;
}

double RefusedShare(double level, std::uint32_t priority,
                    const std::set<std::uint32_t>& priorities) {
  // A lower number is a higher priority.
  if (priorities.empty() || priority <= *priorities.begin()) return 0;
  const auto lower_priorities =
      std::distance(priorities.upper_bound(priority), priorities.end());
  return std::clamp(level - static_cast<double>(lower_priorities), 0.0, 1.0);
}

}  // namespace lavendertack
