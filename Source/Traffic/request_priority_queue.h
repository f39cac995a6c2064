// Bounded priority queue of the requests that wait for one target: higher
// price first, requests of the same price in order of arrival.
#ifndef LAVENDERTACK_TRAFFIC_REQUEST_PRIORITY_QUEUE_H_
#define LAVENDERTACK_TRAFFIC_REQUEST_PRIORITY_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Most requests in the queue of one target.
inline constexpr std::size_t kMaxQueuedRequests = 64;

// Identifies a request within a shard.
struct request_key {
  flow_id flow;
  request_number number;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads operator<=>.
  friend auto operator<=>(const request_key&, const request_key&) = default;
};

// Holds at most kMaxQueuedRequests requests; all operations take O(size).
class request_priority_queue {
 public:
  // A waiting request.
  struct entry {
    class_price price;
    request_key key;
    instant deadline;
  };

  // Inserts an entry behind all entries of the same or a higher price, and
  // returns its position, from 0. The queue must not be full.
  std::size_t Insert(entry waiting);
  // Removes and returns the entry at `position`, which must exist.
  entry RemoveAt(std::size_t position);
  // Removes a request. False when it isn't in the queue.
  bool Remove(const request_key& key);
  // Number of entries that would be ahead of a new entry of this price.
  std::size_t CountAhead(class_price price) const;

  const std::vector<entry>& entries() const { return entries_; }
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  bool full() const { return entries_.size() >= kMaxQueuedRequests; }

 private:
  std::vector<entry> entries_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_REQUEST_PRIORITY_QUEUE_H_
