// Queue of keys ordered by the time at which they are due.
#ifndef LAVENDERTACK_TRAFFIC_TIMER_QUEUE_H_
#define LAVENDERTACK_TRAFFIC_TIMER_QUEUE_H_

#include <optional>
#include <set>
#include <utility>

#include "Common/instant.h"

namespace lavendertack {

// A key may be queued at several due times. Insertion and removal take O(log
// n).
template <typename Key>
class timer_queue {
 public:
  // Queues `key` to be due at `when`.
  void Schedule(instant when, Key key) {
    entries_.emplace(when, std::move(key));
  }
  // Removes an entry; does nothing when there is none for this time and key.
  void Remove(instant when, const Key& key) { entries_.erase({when, key}); }

  // Removes and returns the earliest key, if it is due at `now`.
  std::optional<Key> PopDue(instant now) {
    if (entries_.empty() || entries_.begin()->first > now) return std::nullopt;
    Key key = entries_.begin()->second;
    entries_.erase(entries_.begin());
    return key;
  }

  // Number of queued entries.
  std::size_t size() const { return entries_.size(); }

 private:
  std::set<std::pair<instant, Key>> entries_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_TIMER_QUEUE_H_
