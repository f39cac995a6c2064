#include "Traffic/class_load.h"

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// A class that was seen within this time counts as present.
constexpr seconds kSeenLately{5};
// Time in which the counts of offered and refused requests fall to 1/e.
constexpr seconds kCountDecay{2};
constexpr double kTimeWeight = 1.0 / 16;
// A request may run for so many times the mean of its class.
constexpr double kLongRun = 4.0;

}  // namespace

void class_load::Offered(instant now, const class_name& name, class_price price,
                         milliseconds deadline) {
  load& l = classes_[name];
  const double decay = std::exp(-static_cast<double>((now - l.seen).count()) /
                                microseconds(kCountDecay).count());
  l.offered = l.offered * decay + 1;
  l.refused *= decay;
  l.price = price;
  l.seen = now;
  if (deadline <= l.shortest_deadline || now - l.shortest_seen > kSeenLately) {
    l.shortest_deadline = deadline;
    l.shortest_seen = now;
  }
}

void class_load::Refused(const class_name& name) {
  auto it = classes_.find(name);
  if (it == classes_.end()) return;  // Never offered: the class is unknown.
  load& l = it->second;
  l.refused = std::min(l.refused + 1, l.offered);
}

void class_load::Served(const class_name& name, microseconds took) {
  load& l = classes_[name];
  const auto us = static_cast<double>(took.count());
  l.mean_us = l.mean_us == 0 ? us : l.mean_us + kTimeWeight * (us - l.mean_us);
  l.retry_tokens =
      std::min(kMaxRetryTokens, l.retry_tokens + kRetriesPerSuccess);
}

bool class_load::TakeRetry(const class_name& name) {
  load& l = classes_[name];
  if (l.retry_tokens < 1) return false;
  l.retry_tokens -= 1;
  return true;
}

bool class_load::MustLeaveSlot(instant now, const class_name& name,
                               class_price price) const {
  const auto own = classes_.find(name);
  if (own == classes_.end()) return false;
  const double long_run_us = own->second.mean_us * kLongRun;
  return std::any_of(classes_.begin(), classes_.end(), [&](const auto& item) {
    const load& other = item.second;
    return other.price > price && now - other.seen <= kSeenLately &&
           static_cast<double>(other.shortest_deadline.count()) < long_run_us;
  });
}

milliseconds class_load::ComeBack(const class_name& name,
                                  microseconds drain) const {
  double pressure = 1.0;
  if (auto it = classes_.find(name); it != classes_.end()) {
    const load& l = it->second;
    pressure = l.offered / std::max(1.0, l.offered - l.refused);
  }
  const auto wait = milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(drain.count()) * pressure / 1000.0)));
  return std::clamp(wait, kMinComeBack, kMaxComeBack);
}

}  // namespace lavendertack
