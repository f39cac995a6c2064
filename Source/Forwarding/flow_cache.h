// Remembers recent flows with their targets, so that the callers of a target
// that vanished can be told at once: a caller that finds out with its next
// request can't repeat the request if it may run only once.
//
// The cache is best effort. No forwarding decision depends on it.
#ifndef LAVENDERTACK_FORWARDING_FLOW_CACHE_H_
#define LAVENDERTACK_FORWARDING_FLOW_CACHE_H_

#include <vector>

#include "Forwarding/packet.h"

namespace lavendertack {

// A hash table of fixed size: a newer flow may take the place of another one.
class flow_cache {
 public:
  flow_cache();

  // Remembers the last packet of its flow, which must have a tag.
  void Insert(const flow_packet& packet);
  void Remove(const flow_key& flow);
  // Removes the flows of the target with the tag and returns the last packet of
  // each.
  std::vector<flow_packet> TakeFlowsOf(target_tag tag);

 private:
  std::vector<flow_packet>::iterator Slot(const flow_key& flow);

  std::vector<flow_packet> flows_;  // An entry without a tag is empty.
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FLOW_CACHE_H_
