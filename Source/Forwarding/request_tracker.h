// Tracks requests on open connections by the callers' packets: whether the
// caller retransmits a request, or has received an answer since it was sent.
//
// Load pattern: targets vanish without notice while callers have connections
// open to them. New connections show it at once, but a caller with an open
// connection waits for its deadline.
#ifndef LAVENDERTACK_FORWARDING_REQUEST_TRACKER_H_
#define LAVENDERTACK_FORWARDING_REQUEST_TRACKER_H_

#include <vector>

#include "Common/instant.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// What a packet of an open connection shows about the request before it.
enum class request_progress {
  kNone,           // Nothing, or the request isn't tracked.
  kRetransmitted,  // The caller has received no acknowledgement of it.
  kAnswered,       // The target has answered it.
};

// Requests are tracked in a table of fixed size, so nothing is allocated for a
// packet; a newer request may take the place of another one.
class request_tracker {
 public:
  request_tracker();

  // Processes a packet of an open connection.
  request_progress Observe(instant now, const flow_packet& packet);

 private:
  struct tracked_request {
    flow_key flow;
    instant sent;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    bool retransmitted = false;
    bool in_use = false;
  };

  std::vector<tracked_request> requests_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_REQUEST_TRACKER_H_
