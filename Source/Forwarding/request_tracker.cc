#include "Forwarding/request_tracker.h"

namespace lavendertack {
namespace {

// A packet that repeats a request sooner than this is a duplicate of the
// network: callers retransmit after 200 ms at the earliest.
constexpr milliseconds kMinRetransmitTime{150};
// Size of the hash table, and so the maximum number of tracked requests.
constexpr std::size_t kMaxRequests = 1024;

}  // namespace

request_tracker::request_tracker() : requests_(kMaxRequests) {}

request_progress request_tracker::Observe(instant now,
                                          const flow_packet& packet) {
  tracked_request& entry =
      requests_[std::hash<flow_key>()(packet.flow) % requests_.size()];
  const bool is_tracked = entry.in_use && entry.flow == packet.flow;
  const bool is_answered =
      is_tracked && entry.acknowledged != packet.acknowledged;
  const bool is_request = packet.data_bytes > 0;
  if (is_tracked && !is_answered && is_request &&
      entry.sequence == packet.sequence) {
    if (now - entry.sent < kMinRetransmitTime) return request_progress::kNone;
    entry.retransmitted = true;
    return request_progress::kRetransmitted;
  }
  // A caller may acknowledge an answer only with its next request, much later.
  // That doesn't show that the target still answers, but that it has answered a
  // request that was retransmitted.
  const bool shows_answer = is_answered && (!is_request || entry.retransmitted);
  if (is_answered) entry.in_use = false;
  if (is_request) {
    entry = {.flow = packet.flow,
             .sent = now,
             .sequence = packet.sequence,
             .acknowledged = packet.acknowledged,
             .in_use = true};
  }
  return shows_answer ? request_progress::kAnswered : request_progress::kNone;
}

}  // namespace lavendertack
