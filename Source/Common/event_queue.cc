#include "Common/event_queue.h"

#include <utility>

namespace lavendertack {

void event_queue::ScheduleAfter(microseconds delay,
                                std::function<void()> action) {
  entries_.push({now_ + delay, ++last_sequence_, std::move(action)});
}

bool event_queue::RunNext() {
  if (entries_.empty()) return false;
  entry next = entries_.top();
  entries_.pop();
  now_ = next.time;
  next.action();
  return true;
}

void event_queue::RunUntil(instant end) {
  while (!entries_.empty() && entries_.top().time <= end) RunNext();
  now_ = end;
}

}  // namespace lavendertack
