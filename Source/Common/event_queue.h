// Event queue of a discrete-event simulation in virtual time, for models and
// randomised tests.
#ifndef LAVENDERTACK_COMMON_EVENT_QUEUE_H_
#define LAVENDERTACK_COMMON_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Common/instant.h"

namespace lavendertack {

// Runs scheduled actions in the order of their virtual time. Actions with the
// same time run in the order in which they were scheduled.
class event_queue {
 public:
  instant Now() const { return now_; }
  // Schedules `action` to run `delay` after Now().
  void ScheduleAfter(microseconds delay, std::function<void()> action);
  // Runs the next action, with Now() set to its time. Returns false when there
  // is none.
  bool RunNext();
  // Runs all actions up to and including `end`, then sets Now() to `end`.
  void RunUntil(instant end);

 private:
  struct entry {
    instant time;
    std::uint64_t sequence;
    std::function<void()> action;
  };
  struct is_later {
    bool operator()(const entry& a, const entry& b) const {
      if (a.time != b.time) return a.time > b.time;
      return a.sequence > b.sequence;
    }
  };

  instant now_;
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<entry, std::vector<entry>, is_later> entries_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_COMMON_EVENT_QUEUE_H_
