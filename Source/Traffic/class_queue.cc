#include "Traffic/class_queue.h"

#include <glog/logging.h>

#include <algorithm>

namespace lavendertack {

std::size_t class_queue::Insert(entry waiting) {
  CHECK(!full()) << "a queue grew past its bound";
  const std::size_t place = CountAhead(waiting.price);
  entries_.insert(entries_.begin() + static_cast<std::ptrdiff_t>(place),
                  waiting);
  return place;
}

class_queue::entry class_queue::Take(std::size_t place) {
  CHECK_LT(place, entries_.size()) << "no such place in the queue";
  const entry taken = entries_[place];
  entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(place));
  return taken;
}

bool class_queue::Remove(const request_key& key) {
  return std::erase_if(entries_, [&](const entry& e) { return e.key == key; }) >
         0;
}

std::size_t class_queue::CountAhead(class_price price) const {
  const auto end =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const entry& e) { return e.price < price; });
  return static_cast<std::size_t>(end - entries_.begin());
}

}  // namespace lavendertack
