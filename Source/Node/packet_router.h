// Decides what one instance does with a caller's packet: serve it here, hand
// it to the instance in charge, or refuse it. Pure functions.
#ifndef LAVENDERTACK_NODE_PACKET_ROUTER_H_
#define LAVENDERTACK_NODE_PACKET_ROUTER_H_

#include <optional>
#include <variant>

#include "Traffic/messages.h"
#include "Traffic/placement.h"

namespace lavendertack {

// What the instance knows when it routes a packet.
struct routing_view {
  instance_name self;
  data_centre_name data_centre;
  // The instance is in charge of the service here, under a lease that holds.
  bool is_active_owner = false;
  // The instance has learned every entry that a peer told of.
  bool current = false;
  placement_view placement;
};

// How the packet came here.
struct packet_origin {
  // Unset for a packet straight from its caller.
  std::optional<data_centre_name> placed;
  std::uint32_t hops = 0;
  milliseconds waited{0};  // Spent inside the system so far.
};

struct serve_here {};
struct hand_on {
  place_at place;
  std::uint32_t hops = 0;
  milliseconds waited{0};
};
using route = std::variant<serve_here, hand_on, place_refused>;

route RoutePacket(const routing_view& view, const caller_packet& packet,
                  const packet_origin& origin);

// The answer to a packet that this instance refuses. An instance that isn't in
// charge holds no record of the request, another copy of it may have run or
// may yet run: it never says "not run" of a request.
caller_answer RefusalOf(const caller_packet& packet,
                        const place_refused& refusal);

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_PACKET_ROUTER_H_
