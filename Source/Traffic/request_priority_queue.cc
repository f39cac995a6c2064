#include "Traffic/request_priority_queue.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {

std::size_t request_priority_queue::Insert(entry waiting) {
  CHECK(!full()) << "insertion into a full queue";
  const std::size_t position = CountAhead(waiting.price);
  entries_.insert(entries_.begin() + static_cast<std::ptrdiff_t>(position),
                  waiting);
  return position;
}

request_priority_queue::entry request_priority_queue::RemoveAt(
    std::size_t position) {
  CHECK_LT(position, entries_.size())
      << "position is beyond the end of the queue";
  const entry removed = entries_[position];
  entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(position));
  return removed;
}

bool request_priority_queue::Remove(const request_key& key) {
  return std::erase_if(entries_, [&](const entry& e) { return e.key == key; }) >
         0;
}

std::size_t request_priority_queue::CountAhead(class_price price) const {
  const auto end =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const entry& e) { return e.price < price; });
  return static_cast<std::size_t>(end - entries_.begin());
}

}  // namespace lavendertack
