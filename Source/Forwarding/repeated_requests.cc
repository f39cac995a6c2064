#include "Forwarding/repeated_requests.h"

#include <algorithm>
#include <cstring>

#include "Common/hash.h"

namespace lavendertack {
namespace {

// Callers send a request again after 200 ms at the earliest. A sooner copy was
// made by the network.
constexpr std::uint32_t kMinRepeatTimeMs = 150;
// Callers send a request again after 1.6 s at the latest, and give up after
// some seconds. An older entry is of another request.
constexpr std::uint32_t kMaxRepeatTimeMs = 10'000;

std::uint64_t HashOf(const flow_packet& packet) {
  const flow_key& flow = packet.flow;
  const std::array<std::uint32_t, 6> fields{
      flow.caller.ip.value,  flow.caller.port.value, flow.route.ip.value,
      flow.route.port.value, packet.sequence,        packet.acknowledged};
  std::array<char, sizeof(fields)> bytes{};
  std::memcpy(bytes.data(), fields.data(), bytes.size());
  return StableHash({bytes.data(), bytes.size()});
}

std::uint32_t ToMilliseconds(instant now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
}

}  // namespace

repeated_requests::repeated_requests(std::size_t capacity)
    : sets_(std::max<std::size_t>(1, capacity / kEntriesPerSet)) {}

bool repeated_requests::Observe(instant now, const flow_packet& packet) {
  const std::uint64_t hash = HashOf(packet);
  const std::uint32_t now_ms = ToMilliseconds(now);
  const auto fingerprint =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(hash >> 32U));
  const auto age_ms = [now_ms](const entry& of) {
    return now_ms - of.first_sent_ms;
  };
  entry_set& set = sets_[hash % sets_.size()];
  entry* oldest = set.data();
  for (entry& candidate : set) {
    if (candidate.fingerprint == fingerprint &&
        age_ms(candidate) <= kMaxRepeatTimeMs) {
      return age_ms(candidate) >= kMinRepeatTimeMs;
    }
    if (oldest->fingerprint == 0) continue;
    if (candidate.fingerprint == 0 || age_ms(candidate) > age_ms(*oldest)) {
      oldest = &candidate;
    }
  }
  *oldest = {.fingerprint = fingerprint, .first_sent_ms = now_ms};
  return false;
}

}  // namespace lavendertack
