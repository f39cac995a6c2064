// The fields of a caller's packet that forwarding uses, and the decisions that
// it makes on a packet.
#ifndef LAVENDERTACK_FORWARDING_PACKET_H_
#define LAVENDERTACK_FORWARDING_PACKET_H_

#include <cstdint>
#include <variant>

#include "Common/ipv4.h"
#include "Targets/target_view.h"

namespace lavendertack {

// The two ends of a caller's connection.
struct flow_key {
  ipv4_endpoint caller;
  ipv4_endpoint route;  // The address that the caller has connected to.
  friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

// One packet from a caller.
struct flow_packet {
  flow_key flow;
  bool opens = false;   // First packet of a connection, or a retransmission.
  bool resets = false;  // The caller aborts the connection.
  // Number of the retransmission of an opening packet; 0 for the first packet.
  std::uint32_t retransmission = 0;
  target_tag tag;  // Target of the connection; 0 in an opening packet.
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;    // Acknowledgement number.
  std::uint32_t data_bytes = 0;      // Payload without headers.
  std::uint32_t datagram_bytes = 0;  // With the header of the packet format.
};

// Why a packet is forwarded, reset or dropped.
enum class forward_reason {
  kOpened,         // A target was selected for a new connection.
  kOpenedAgain,    // As kOpened, after the previous target didn't answer.
  kFollows,        // Packet of an open connection.
  kNoRoute,        // No route for the address that the packet was sent to.
  kNoTarget,       // No target of the service accepts new connections.
  kOverloaded,     // The service's slots are needed for higher priorities.
  kLinkFull,       // The link of this instance can't carry more connections.
  kUnreachable,    // The target's, or each open, data centre can't be reached.
  kTargetOver,     // The connection's target is gone or was replaced.
  kTargetLost,     // The connection's target doesn't answer or report.
  kNotYetCurrent,  // This instance has no manifest yet.
  kNoTag,          // The packet doesn't open a connection and has no tag.
  kUnknownTag,     // This instance has no target with that tag.
};
// The reason's name in logs and metrics.
const char* ToString(forward_reason reason);

// Forward the packet to `target`; the target's tag is written into an opening
// packet.
struct forward_to_target {
  const known_target* target = nullptr;
  forward_reason reason{};
};
// Answer the caller with a reset of its connection.
struct reset_caller {
  forward_reason reason{};
  // The slot_pressure of the service, for kOverloaded; otherwise 0.
  double pressure = 0;
};
// Drop the packet silently; the caller will retransmit it.
struct drop_packet {
  forward_reason reason{};
};
// Keep the packet and decide again when more of the state is known.
struct hold_packet {
  forward_reason reason{};
};
using forward_decision =
    std::variant<forward_to_target, reset_caller, drop_packet, hold_packet>;

}  // namespace lavendertack

template <>
struct std::hash<lavendertack::flow_key> {
  std::size_t operator()(const lavendertack::flow_key& flow) const noexcept {
    const std::hash<lavendertack::ipv4_endpoint> hash_endpoint;
    return hash_endpoint(flow.caller) * 31 + hash_endpoint(flow.route);
  }
};

#endif  // LAVENDERTACK_FORWARDING_PACKET_H_
