#include "Entry/held_packets.h"

#include <utility>

namespace lavendertack {
namespace {

// Whether one of two packets is a retransmission of the other.
bool IsSamePacket(const flow_packet& a, const flow_packet& b) {
  return a.flow == b.flow && a.opens == b.opens && a.resets == b.resets &&
         a.sequence == b.sequence && a.data_bytes == b.data_bytes;
}

}  // namespace

std::optional<held_packet> held_packets::Add(held_packet packet) {
  std::erase_if(packets_, [&packet](const held_packet& other) {
    return IsSamePacket(packet.packet, other.packet);
  });
  packets_.push_back(std::move(packet));
  if (packets_.size() <= limits_.packets) return std::nullopt;
  held_packet oldest = std::move(packets_.front());
  packets_.pop_front();
  return oldest;
}

std::vector<held_packet> held_packets::TakeExpired(instant now) {
  std::vector<held_packet> expired;
  while (!packets_.empty() &&
         now - packets_.front().received_at > limits_.max_age) {
    expired.push_back(std::move(packets_.front()));
    packets_.pop_front();
  }
  return expired;
}

std::vector<held_packet> held_packets::TakeIf(
    const std::function<bool(const held_packet&)>& decide) {
  std::vector<held_packet> taken;
  std::erase_if(packets_, [&](held_packet& packet) {
    if (!decide(packet)) return false;
    taken.push_back(std::move(packet));
    return true;
  });
  return taken;
}

}  // namespace lavendertack
