// Opening packets that were sent on lately and whose outcome isn't known.
// Bounded: the oldest is forgotten for a new one.
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

struct open_attempt {
  target_tag tag;  // The last target that it was sent to.
  service_name service;
  instant sent;
};

class open_attempts {
 public:
  explicit open_attempts(std::size_t capacity) : capacity_(capacity) {}

  // Puts the attempt in place of an earlier one of the flow.
  void Remember(const flow_key& flow, open_attempt attempt);
  std::optional<open_attempt> Take(const flow_key& flow);
  // Removes and hands over those sent before `before`.
  void Expire(instant before,
              const std::function<void(const open_attempt&)>& expired);
  std::size_t size() const { return attempts_.size(); }

 private:
  std::size_t capacity_;
  std::unordered_map<flow_key, open_attempt> attempts_;
  std::deque<std::pair<instant, flow_key>> by_time_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_OPEN_ATTEMPTS_H_
