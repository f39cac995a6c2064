// The requests that wait for one target, in the order in which they are
// served: higher price first, then by arrival. At most kMaxQueue of them.
#ifndef LAVENDERTACK_TRAFFIC_CLASS_QUEUE_H_
#define LAVENDERTACK_TRAFFIC_CLASS_QUEUE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Common/strong_type.h"

namespace lavendertack {

// Longest queue of one target, in requests.
inline constexpr std::size_t kMaxQueue = 64;

// A request of a flow.
struct request_key {
  flow_id flow;
  request_number number;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads operator<=>.
  friend auto operator<=>(const request_key&, const request_key&) = default;
};

class class_queue {
 public:
  struct entry {
    class_price price;
    request_key key;
    instant deadline;
  };

  // Puts it behind all of its price or a higher one; returns its place from 0.
  // The queue must not be full.
  std::size_t Insert(entry waiting);
  // Takes out the entry at `place`.
  entry Take(std::size_t place);
  // Takes out a request. False when it isn't there.
  bool Remove(const request_key& key);
  // Entries that would be served before a newcomer of this price.
  std::size_t CountAhead(class_price price) const;

  const std::vector<entry>& entries() const { return entries_; }
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  bool full() const { return entries_.size() >= kMaxQueue; }

 private:
  std::vector<entry> entries_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_TRAFFIC_CLASS_QUEUE_H_
