#include "Forwarding/flow_cache.h"

#include <utility>

namespace lavendertack {
namespace {

// Size of the hash table, and so the maximum number of flows.
constexpr std::size_t kMaxFlows = 4096;

}  // namespace

flow_cache::flow_cache() : flows_(kMaxFlows) {}

std::vector<flow_packet>::iterator flow_cache::Slot(const flow_key& flow) {
  const std::size_t index = std::hash<flow_key>()(flow) % kMaxFlows;
  return flows_.begin() + static_cast<std::ptrdiff_t>(index);
}

void flow_cache::Insert(const flow_packet& packet) {
  *Slot(packet.flow) = packet;
}

void flow_cache::Remove(const flow_key& flow) {
  if (const auto slot = Slot(flow); slot->flow == flow) *slot = {};
}

std::vector<flow_packet> flow_cache::TakeFlowsOf(target_tag tag) {
  std::vector<flow_packet> taken;
  for (flow_packet& flow : flows_) {
    if (flow.tag == tag) taken.push_back(std::exchange(flow, {}));
  }
  return taken;
}

}  // namespace lavendertack
