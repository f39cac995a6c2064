// Virtual time, for models and random runs.
#ifndef LAVENDERTACK_COMMON_EVENT_QUEUE_H_
#define LAVENDERTACK_COMMON_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Common/instant.h"

namespace lavendertack {

// Actions in the order of their virtual time; equal times keep the order in
// which they were put in.
class event_queue {
 public:
  instant Now() const { return now_; }
  void After(microseconds delay, std::function<void()> action);
  // Runs the next action. False when there is none.
  bool RunNext();
  // Runs every action up to `end`, and sets the time to it.
  void RunUntil(instant end);

 private:
  struct entry {
    instant when;
    std::uint64_t order;
    std::function<void()> action;
  };
  struct later {
    bool operator()(const entry& a, const entry& b) const {
      if (a.when != b.when) return a.when > b.when;
      return a.order > b.order;
    }
  };

  instant now_;
  std::uint64_t order_ = 0;
  std::priority_queue<entry, std::vector<entry>, later> entries_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_EVENT_QUEUE_H_
