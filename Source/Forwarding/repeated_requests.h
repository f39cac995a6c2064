// Recognizes requests on open connections that callers send again.
//
// Load pattern: callers send more requests on open connections than the link
// can carry. A request that was dropped is sent again after 200, 600 and 1,400
// ms and can't be told from a new one by its packet. If it were taken for a new
// one, the requests that were dropped would delay the new ones until long after
// the load has ended.
#ifndef LAVENDERTACK_FORWARDING_REPEATED_REQUESTS_H_
#define LAVENDERTACK_FORWARDING_REPEATED_REQUESTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/instant.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// A set-associative table of fixed size with 8 bytes for a request. A newer
// request may take the place of the oldest one in its set.
class repeated_requests {
 public:
  static constexpr std::size_t kDefaultCapacity = 32'768;

  // `capacity` is the maximum number of requests, a multiple of 8.
  explicit repeated_requests(std::size_t capacity = kDefaultCapacity);

  // Records the request in `packet`, which has data. Returns whether the caller
  // has sent it before; false for a copy that the network made.
  bool Observe(instant now, const flow_packet& packet);

 private:
  static constexpr std::size_t kEntriesPerSet = 8;  // 64 bytes.

  // An entry with fingerprint 0 is empty.
  struct entry {
    std::uint32_t fingerprint = 0;
    std::uint32_t first_sent_ms = 0;  // Wraps around.
  };
  using entry_set = std::array<entry, kEntriesPerSet>;

  std::vector<entry_set> sets_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_REPEATED_REQUESTS_H_
