// A packet of a caller's flow, as far as forwarding looks at it, and what is
// done with it.
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

struct flow_packet {
  flow_key flow;
  bool opens = false;   // The first packet of a connection, or a copy of it.
  bool resets = false;  // The caller gives the connection up.
  std::uint32_t retransmission =
      0;           // Of an opening packet: 0 for the first one.
  target_tag tag;  // Of any other one: the connection's target.
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint32_t data_bytes = 0;
};

enum class forward_reason {
  kOpened,       // A new connection was placed.
  kOpenedAgain,  // Its first target didn't answer.
  kFollows,      // Belongs to a connection.
  kNoRoute,
  kNoTarget,       // Nothing of the service can take a new connection.
  kOverloaded,     // More urgent work needs the service's targets.
  kTargetOver,     // The target of the connection has ended for sure.
  kNotYetCurrent,  // No manifest is known here yet.
  kNoTag,
  kUnknownTag,  // No target of that tag is known here.
};
const char* ToString(forward_reason reason);

// Sent on to a target; an opening packet gets the target's tag.
struct forward_to_target {
  const known_target* target = nullptr;
  forward_reason reason{};
};
// The caller is told at once that its connection is over.
struct reset_caller {
  forward_reason reason{};
  // Requests for each slot of the service, when they are the reason.
  double pressure = 0;
};
// The caller sends it again.
struct drop_packet {
  forward_reason reason{};
};
using forward_decision =
    std::variant<forward_to_target, reset_caller, drop_packet>;

}  // namespace lavendertack

template <>
struct std::hash<lavendertack::flow_key> {
  std::size_t operator()(const lavendertack::flow_key& flow) const noexcept {
    const std::hash<lavendertack::ipv4_endpoint> of_end;
    return of_end(flow.caller) * 31 + of_end(flow.route);
  }
};

#endif  // LAVENDERTACK_FORWARDING_PACKET_H_
