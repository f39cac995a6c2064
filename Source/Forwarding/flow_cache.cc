#include "Forwarding/flow_cache.h"

#include <utility>

namespace lavendertack {
namespace {

// Size of the hash table, and so the maximum number of flows.
constexpr std::size_t kMaxFlows = 4096;
// A flow that was idle for longer has probably been closed.
constexpr milliseconds kMaxIdleTime{15'000};

}  // namespace

flow_cache::flow_cache() : flows_(kMaxFlows) {}

flow_cache::cached_flow& flow_cache::Slot(const flow_key& flow) {
  return flows_[std::hash<flow_key>()(flow) % kMaxFlows];
}

void flow_cache::Insert(instant now, const flow_packet& packet) {
  Slot(packet.flow) = {packet, now};
}

void flow_cache::Remove(const flow_key& flow) {
  if (cached_flow& slot = Slot(flow); slot.packet.flow == flow) slot = {};
}

std::vector<flow_packet> flow_cache::TakeFlowsOf(instant now, target_tag tag) {
  std::vector<flow_packet> taken;
  for (cached_flow& flow : flows_) {
    if (flow.packet.tag != tag) continue;
    const auto [packet, last_packet] = std::exchange(flow, {});
    if (now - last_packet <= kMaxIdleTime) taken.push_back(packet);
  }
  return taken;
}

}  // namespace lavendertack
