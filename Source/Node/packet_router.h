// Decides whether an instance handles a caller's packet itself, forwards it to
// the service's owner, or refuses it. Pure functions.
#ifndef LAVENDERTACK_NODE_PACKET_ROUTER_H_
#define LAVENDERTACK_NODE_PACKET_ROUTER_H_

#include <optional>
#include <variant>

#include "Traffic/messages.h"
#include "Traffic/placement.h"

namespace lavendertack {

// Input of a routing decision.
struct routing_view {
  instance_name self;
  data_centre_name data_centre;
  // The instance owns the service in its data centre and its lease is valid.
  bool is_active_owner = false;
  // The instance has caught up and has applied every log entry that a peer's
  // heartbeat reported. False before the first heartbeat.
  bool current = false;
  placement_view placement;
};

// How the packet reached this instance.
struct packet_origin {
  // Data centre chosen by the first instance; unset for a packet received
  // directly from its caller.
  std::optional<data_centre_name> chosen_data_centre;
  std::uint32_t hops = 0;  // Times that the packet was forwarded.
  milliseconds waited{0};  // Estimated time since the first instance got it.
};

// The packet is for this instance's shard of the service.
struct handle_locally {};
// `hops` and `waited` are the values to send, this hop included.
struct forward_to_owner {
  owner_location location;
  std::uint32_t hops = 0;
  milliseconds waited{0};
};
using route = std::variant<handle_locally, forward_to_owner, placement_refusal>;

// Routes one packet. A packet that has been forwarded twice isn't forwarded
// again, but refused.
route RoutePacket(const routing_view& view, const caller_packet& packet,
                  const packet_origin& origin);

// The answer to a packet that this instance refuses. It never answers a request
// with NOT_RUN: only the owner has a record of the request, and another copy of
// it may have run or may still run.
caller_answer MakeRefusalAnswer(const caller_packet& packet,
                                const placement_refusal& refusal);

}  // namespace lavendertack

#endif  // LAVENDERTACK_NODE_PACKET_ROUTER_H_
