#include "Following/demand_codec.h"

#include <algorithm>
#include <cmath>

namespace lavendertack {
namespace {

// Valid range of the values in a message. Each bound is far above what an
// instance can measure, so a higher value is a fault.
constexpr requests_per_s kMaxRate = 1e9;
constexpr microseconds kMaxResponseTime = seconds(60);
constexpr std::uint32_t kMaxLevelPermille = 100'000;
constexpr double kPermille = 1000;

// False also for a value that isn't a number.
bool IsRate(double value) { return value >= 0 && value <= kMaxRate; }

}  // namespace

void EncodeLoad(const service_load& load, wire::demand_record* record) {
  record->set_requests_per_s(static_cast<float>(load.demand));
  if (load.response_time) {
    record->set_response_us(static_cast<std::uint32_t>(
        std::clamp(*load.response_time, microseconds(0), kMaxResponseTime)
            .count()));
  }
  if (load.refusal_level) {
    record->set_refusal_permille(std::min(
        kMaxLevelPermille, static_cast<std::uint32_t>(
                               std::llround(*load.refusal_level * kPermille))));
  }
}

std::optional<service_load> DecodeLoad(const wire::demand_record& record) {
  service_load load{.demand = record.requests_per_s()};
  if (!IsRate(load.demand)) return std::nullopt;
  if (record.has_response_us()) {
    load.response_time = microseconds(record.response_us());
    if (*load.response_time > kMaxResponseTime) return std::nullopt;
  }
  if (record.has_refusal_permille()) {
    if (record.refusal_permille() > kMaxLevelPermille) return std::nullopt;
    load.refusal_level = record.refusal_permille() / kPermille;
  }
  return load;
}

}  // namespace lavendertack
