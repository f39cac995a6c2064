// Remembers recent flows with their targets, so that the callers of a target
// that vanished can be told at once: a caller that finds out with its next
// request can't repeat the request if it may run only once.
//
// The cache is best effort. No forwarding decision depends on it.
#ifndef LAVENDERTACK_FORWARDING_FLOW_CACHE_H_
#define LAVENDERTACK_FORWARDING_FLOW_CACHE_H_

#include <vector>

#include "Common/instant.h"
#include "Forwarding/packet.h"

namespace lavendertack {

// A hash table of fixed size: a newer flow may take the place of another one.
class flow_cache {
 public:
  flow_cache();

  // Remembers the last packet of its flow, which must have a tag.
  void Insert(instant now, const flow_packet& packet);
  void Remove(const flow_key& flow);
  // Removes the flows of the target with the tag and returns the last packet of
  // each that had one within the last 15 s.
  std::vector<flow_packet> TakeFlowsOf(instant now, target_tag tag);

 private:
  // An entry whose packet has no tag is empty.
  struct cached_flow {
    flow_packet packet;
    instant last_packet;
  };

  cached_flow& Slot(const flow_key& flow);

  std::vector<cached_flow> flows_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FLOW_CACHE_H_
