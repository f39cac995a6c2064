// Keeps callers' packets that arrive before an entry instance knows the
// published state, until it can decide on them.
//
// Load pattern: a whole fleet loses its power or all its processes. When the
// entry instances are back, every caller retransmits, and none of the packets
// can be forwarded until a control instance has sent the state. A caller that
// isn't answered then waits for its next retransmission, which often comes
// after its deadline.
#ifndef LAVENDERTACK_ENTRY_HELD_PACKETS_H_
#define LAVENDERTACK_ENTRY_HELD_PACKETS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "Common/instant.h"
#include "Forwarding/packet.h"

namespace lavendertack {

struct held_packet {
  instant received_at;
  flow_packet packet;
  std::vector<std::uint8_t> bytes;  // The encoded packet.
};

struct held_packet_limits {
  std::size_t packets = 0;  // Maximum number of packets.
  milliseconds max_age{0};  // Time after which a packet is no longer of use.
};

// Not thread-safe; all times are passed in.
class held_packets {
 public:
  explicit held_packets(held_packet_limits limits) : limits_(limits) {}

  // Adds a packet; it replaces an earlier copy of the same packet. Returns the
  // oldest packet if it was removed because of the maximum number.
  std::optional<held_packet> Add(held_packet packet);
  // Removes and returns the packets that are older than the maximum age.
  std::vector<held_packet> TakeExpired(instant now);
  // Calls `decide` for each packet in the order of their arrival, and removes
  // and returns those for which it returns true.
  std::vector<held_packet> TakeIf(
      const std::function<bool(const held_packet&)>& decide);
  std::size_t size() const { return packets_.size(); }

 private:
  held_packet_limits limits_;
  std::deque<held_packet> packets_;  // In the order of their arrival.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_ENTRY_HELD_PACKETS_H_
