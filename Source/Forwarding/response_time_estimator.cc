#include "Forwarding/response_time_estimator.h"

#include <algorithm>

namespace lavendertack {
namespace {

// Size of the hash table of timed requests, and so the maximum number of
// requests that are timed at once.
constexpr std::size_t kMaxTimedRequests = 512;
// A request without a response after this time is no longer timed, so that its
// entry can be used for another one.
constexpr milliseconds kMaxResponseTime{3000};
// Relative change of the median estimate per sample: a change by a factor of 4
// takes about 30 samples.
constexpr double kMedianStep = 0.05;
// Relative changes of the size of answers per answer above and below it, in the
// ratio 9 to 1.
constexpr double kSizeStepUp = 0.045;
constexpr double kSizeStepDown = 0.005;
// An answer with less than this fraction of the size is short.
constexpr double kShortAnswer = 0.25;
// Sizes are kept for this many routes.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void median_estimator::Add(microseconds sample) {
  const auto sample_us = std::max(1.0, static_cast<double>(sample.count()));
  if (value_us_ <= 0) {
    value_us_ = sample_us;
  } else if (sample_us > value_us_) {
    value_us_ = std::min(sample_us, value_us_ * (1 + kMedianStep));
  } else {
    value_us_ = std::max(sample_us, value_us_ / (1 + kMedianStep));
  }
}

bool answer_size_estimator::IsShort(std::uint32_t bytes) {
  const auto size = std::max(1.0, static_cast<double>(bytes));
  if (value_bytes_ <= 0) value_bytes_ = size;
  const bool is_short = size < kShortAnswer * value_bytes_;
  if (size > value_bytes_) {
    value_bytes_ = std::min(size, value_bytes_ * (1 + kSizeStepUp));
  } else {
    value_bytes_ = std::max(size, value_bytes_ * (1 - kSizeStepDown));
  }
  return is_short;
}

response_time_estimator::response_time_estimator()
    : timed_requests_(kMaxTimedRequests) {}

void response_time_estimator::ObservePacket(instant now,
                                            const flow_packet& packet,
                                            const service_name& service) {
  timed_request& entry =
      timed_requests_[std::hash<flow_key>()(packet.flow) % kMaxTimedRequests];
  if (entry.in_use && entry.flow == packet.flow &&
      entry.acknowledged != packet.acknowledged) {
    entry.in_use = false;
    const auto elapsed =
        std::chrono::duration_cast<microseconds>(now - entry.sent);
    const std::uint32_t bytes = packet.acknowledged - entry.acknowledged;
    if (packet.data_bytes == 0 && elapsed <= kMaxResponseTime &&
        !IsShortAnswer(packet.flow.route, bytes)) {
      by_service_[service].Add(elapsed);
    }
  }
  if (packet.data_bytes == 0) return;
  if (entry.in_use && now - entry.sent <= kMaxResponseTime) return;
  entry = {.flow = packet.flow,
           .sent = now,
           .acknowledged = packet.acknowledged,
           .in_use = true};
}

bool response_time_estimator::IsShortAnswer(const ipv4_endpoint& route,
                                            std::uint32_t bytes) {
  if (sizes_.size() >= kMaxRoutes) sizes_.clear();
  return sizes_[route].IsShort(bytes);
}

void response_time_estimator::DiscardPending() {
  for (timed_request& entry : timed_requests_) entry.in_use = false;
}

std::optional<microseconds> response_time_estimator::Estimate(
    const service_name& service) const {
  auto it = by_service_.find(service);
  if (it == by_service_.end() || !handshake_.has_value()) return std::nullopt;
  return std::max(microseconds(0), it->second.value() - handshake_.value());
}

}  // namespace lavendertack
