#include "Traffic/class_load.h"

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// A class counts as present for this time after its latest request.
constexpr seconds kPresenceWindow{5};
// Time in which the counts of offered and refused requests decay to 1/e.
constexpr seconds kCountDecay{2};
// Weight of a new sample in the moving average of the run time.
constexpr double kRunTimeWeight = 1.0 / 16;
// Assumed longest run time of a request, as a multiple of its class's mean.
constexpr double kLongRunFactor = 4.0;

}  // namespace

void class_load::RecordOffered(instant now, const class_name& name,
                               class_price price, milliseconds deadline) {
  class_stats& stats = classes_[name];
  const double decay =
      std::exp(-static_cast<double>((now - stats.last_offered).count()) /
               microseconds(kCountDecay).count());
  stats.offered = stats.offered * decay + 1;
  stats.refused *= decay;
  stats.price = price;
  stats.last_offered = now;
  if (deadline <= stats.shortest_deadline ||
      now - stats.shortest_deadline_at > kPresenceWindow) {
    stats.shortest_deadline = deadline;
    stats.shortest_deadline_at = now;
  }
}

void class_load::RecordRefused(const class_name& name) {
  auto it = classes_.find(name);
  if (it == classes_.end()) return;  // The service doesn't have the class.
  class_stats& stats = it->second;
  stats.refused = std::min(stats.refused + 1, stats.offered);
}

void class_load::RecordServed(const class_name& name, microseconds took) {
  class_stats& stats = classes_[name];
  const auto us = static_cast<double>(took.count());
  stats.mean_us = stats.mean_us == 0
                      ? us
                      : stats.mean_us + kRunTimeWeight * (us - stats.mean_us);
  stats.retry_tokens =
      std::min(kMaxRetryTokens, stats.retry_tokens + kRetriesPerSuccess);
}

bool class_load::ConsumeRetryToken(const class_name& name) {
  class_stats& stats = classes_[name];
  if (stats.retry_tokens < 1) return false;
  stats.retry_tokens -= 1;
  return true;
}

bool class_load::MustReserveSlot(instant now, const class_name& name,
                                 class_price price) const {
  const auto own = classes_.find(name);
  if (own == classes_.end()) return false;
  const double long_run_us = own->second.mean_us * kLongRunFactor;
  return std::any_of(classes_.begin(), classes_.end(), [&](const auto& item) {
    const class_stats& other = item.second;
    return other.price > price && now - other.last_offered <= kPresenceWindow &&
           static_cast<double>(other.shortest_deadline.count()) < long_run_us;
  });
}

milliseconds class_load::RetryAfter(const class_name& name,
                                    microseconds drain) const {
  double pressure = 1.0;
  if (auto it = classes_.find(name); it != classes_.end()) {
    const class_stats& stats = it->second;
    pressure = stats.offered / std::max(1.0, stats.offered - stats.refused);
  }
  const auto wait = milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(drain.count()) * pressure / 1000.0)));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace lavendertack
