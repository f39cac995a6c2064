// Tracks opening packets that were forwarded to a target and whose outcome
// isn't known yet. The number of tracked packets is bounded: at the maximum, a
// new one evicts the oldest one.
#ifndef LAVENDERTACK_FORWARDING_OPEN_ATTEMPTS_H_
#define LAVENDERTACK_FORWARDING_OPEN_ATTEMPTS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

#include "Common/instant.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// The opening packet of a flow that was forwarded last.
struct open_attempt {
  target_tag tag;        // The target that it was forwarded to.
  service_name service;  // The service of that target.
  instant sent;
  bool overdue = false;  // TakeOverdue has returned it.
};

// Pending attempts by flow.
class open_attempts {
 public:
  // `capacity` is the maximum number of attempts.
  explicit open_attempts(std::size_t capacity) : capacity_(capacity) {}

  // Adds the attempt, or replaces an earlier one of the same flow.
  void Insert(const flow_key& flow, open_attempt attempt);
  // Removes and returns the attempt of the flow, if there is one.
  std::optional<open_attempt> Remove(const flow_key& flow);
  // Removes the attempts sent before `before` and calls `expired` for each.
  void Expire(instant before,
              const std::function<void(const open_attempt&)>& expired);
  // Calls `overdue` for each attempt sent before `before` that it hasn't been
  // called for. `before` must not fall between two calls.
  void TakeOverdue(instant before,
                   const std::function<void(const open_attempt&)>& overdue);
  std::size_t size() const { return attempts_.size(); }

 private:
  void RemoveOldest();

  std::size_t capacity_;
  std::unordered_map<flow_key, open_attempt> attempts_;
  // In the order of sending. Entries of removed or replaced attempts stay until
  // they expire or are evicted.
  std::deque<std::pair<instant, flow_key>> by_time_;
  // Number of entries at the front of `by_time_` that TakeOverdue has seen.
  std::size_t seen_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_OPEN_ATTEMPTS_H_
