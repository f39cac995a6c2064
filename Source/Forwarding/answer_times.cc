#include "Forwarding/answer_times.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Requests that are timed at once, at most.
constexpr std::size_t kPlaces = 512;
// An answer that hasn't begun after so long isn't waited for.
constexpr milliseconds kLongestAnswer{3000};
// Part by which one sample moves a median: about 30 samples for a factor of 4.
constexpr double kStep = 0.05;

}  // namespace

void running_median::Add(microseconds sample) {
  const auto us = std::max(1.0, static_cast<double>(sample.count()));
  if (value_us_ <= 0) {
    value_us_ = us;
  } else if (us > value_us_) {
    value_us_ = std::min(us, value_us_ * (1 + kStep));
  } else {
    value_us_ = std::max(us, value_us_ / (1 + kStep));
  }
}

answer_times::answer_times() : places_(kPlaces) {}

void answer_times::Passed(instant now, const flow_packet& packet,
                          const service_name& service) {
  place& at = places_[std::hash<flow_key>()(packet.flow) % kPlaces];
  if (at.taken && at.flow == packet.flow &&
      at.acknowledged != packet.acknowledged) {
    at.taken = false;
    const auto took = std::chrono::duration_cast<microseconds>(now - at.sent);
    if (packet.data_bytes == 0 && took <= kLongestAnswer) {
      by_service_[service].Add(took);
    }
  }
  if (packet.data_bytes == 0) return;
  if (at.taken && now - at.sent <= kLongestAnswer) return;
  at = {.flow = packet.flow,
        .sent = now,
        .acknowledged = packet.acknowledged,
        .taken = true};
}

void answer_times::Restart() {
  for (place& at : places_) at.taken = false;
}

std::optional<microseconds> answer_times::Typical(
    const service_name& service) const {
  auto it = by_service_.find(service);
  if (it == by_service_.end() || !path_.known()) return std::nullopt;
  return std::max(microseconds(0), it->second.value() - path_.value());
}

}  // namespace lavendertack
