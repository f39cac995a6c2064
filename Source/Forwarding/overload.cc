#include "Forwarding/overload.h"

#include <algorithm>
#include <iterator>

namespace lavendertack {
namespace {

// The pressure that refusals hold: the slots are busy, and a request waits for
// somewhat less than it works. Found with the overload scenario of the model:
// at 1.6, 14 of 100 patient requests are refused or late at 0.8 of what the
// targets bear (8 at 1.8, 4 at 2.0); at 2.0, 3.8 of 100 urgent ones are late at
// 5 times that (2.5 at 1.8, 1.9 at 1.6).
constexpr slot_pressure kWantedPressure = 1.8;
// Change of the level in a second at twice the wanted pressure.
constexpr double kMovePerSecond = 1.0;
// A rise counts no longer a time: between two connections much may have
// changed.
constexpr milliseconds kLongestRise{200};

}  // namespace

slot_pressure PressureOf(requests_per_s demand, microseconds typical,
                         double slots) {
  if (slots <= 0) return 0;
  return demand * std::chrono::duration<double>(typical).count() / slots;
}

service_priorities PrioritiesOf(
    const std::unordered_map<ipv4_endpoint, route>& routes) {
  service_priorities priorities;
  for (const auto& [at, one] : routes) {
    for (const traffic_share& share : one.shares) {
      if (share.weight > 0) priorities[share.service].insert(one.priority);
    }
  }
  return priorities;
}

double refusal_level::Move(instant now, slot_pressure pressure,
                           std::size_t ranks) {
  const microseconds since = now - moved_.value_or(now);
  moved_ = now;
  const double error = std::clamp(pressure / kWantedPressure - 1, -1.0, 1.0);
  // It falls by all of a long silence, and rises by a short step only.
  const auto step =
      error > 0 ? std::min<microseconds>(since, kLongestRise) : since;
  level_ +=
      error * kMovePerSecond * std::chrono::duration<double>(step).count();
  level_ = std::clamp(level_, 0.0, static_cast<double>(ranks));
  return level_;
}

double RefusedPart(double level, std::uint32_t priority,
                   const std::set<std::uint32_t>& priorities) {
  // A lower number is more urgent.
  if (priorities.empty() || priority <= *priorities.begin()) return 0;
  const auto more_patient =
      std::distance(priorities.upper_bound(priority), priorities.end());
  return std::clamp(level - static_cast<double>(more_patient), 0.0, 1.0);
}

}  // namespace lavendertack
