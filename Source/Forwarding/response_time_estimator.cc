#include "Forwarding/response_time_estimator.h"

#include <algorithm>
#include <cmath>

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
// An estimate without a sample for this long is discarded: after a pause or
// after idle time it says nothing about the current load. The same as the
// lifetime of reports about other instances.
constexpr milliseconds kEstimateLifetime{5000};
// Window of the average that is reported to other instances. The same as that
// of the reported demand.
constexpr milliseconds kSmoothingWindow{3000};

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
    if (packet.data_bytes == 0 && elapsed <= kMaxResponseTime) {
      AddSample(now, elapsed, service);
    }
  }
  if (packet.data_bytes == 0) return;
  if (entry.in_use && now - entry.sent <= kMaxResponseTime) return;
  entry = {.flow = packet.flow,
           .sent = now,
           .acknowledged = packet.acknowledged,
           .in_use = true};
}

void response_time_estimator::DiscardPending() {
  for (timed_request& entry : timed_requests_) entry.in_use = false;
}

void response_time_estimator::AddSample(instant now, microseconds elapsed,
                                        const service_name& service) {
  service_times& times = by_service_[service];
  const auto interval = now - times.last_sample;
  if (interval > kEstimateLifetime) times = {};
  times.median.Add(elapsed);
  times.last_sample = now;
  const auto median_us = static_cast<double>(times.median.value().count());
  const double weight =
      times.smoothed_us > 0
          ? 1 - std::exp(-std::chrono::duration<double>(interval) /
                         kSmoothingWindow)
          : 1;
  times.smoothed_us += weight * (median_us - times.smoothed_us);
}

const response_time_estimator::service_times* response_time_estimator::Find(
    instant now, const service_name& service) const {
  auto it = by_service_.find(service);
  if (it == by_service_.end() || !handshake_.has_value() ||
      now - it->second.last_sample > kEstimateLifetime) {
    return nullptr;
  }
  return &it->second;
}

std::optional<microseconds> response_time_estimator::Estimate(
    instant now, const service_name& service) const {
  const service_times* times = Find(now, service);
  if (times == nullptr) return std::nullopt;
  return std::max(microseconds(0), times->median.value() - handshake_.value());
}

std::optional<microseconds> response_time_estimator::SmoothedEstimate(
    instant now, const service_name& service) const {
  const service_times* times = Find(now, service);
  if (times == nullptr) return std::nullopt;
  const microseconds smoothed(static_cast<std::int64_t>(times->smoothed_us));
  return std::max(microseconds(0), smoothed - handshake_.value());
}

}  // namespace lavendertack
