// Where each packet of a caller goes. A packet of an open connection names its
// target itself, so no table of flows is kept and any instance can forward it;
// an opening packet is placed on a target of the route's service.
#ifndef LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_
#define LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Common/latency_histogram.h"
#include "Forwarding/demand.h"
#include "Forwarding/open_attempts.h"
#include "Forwarding/packet.h"
#include "Forwarding/target_load.h"
#include "Manifest/manifest.h"
#include "Targets/target_view.h"

namespace lavendertack {

// What forwarding follows; kept up to date by its owner.
struct routing_state {
  bool has_manifest = false;
  std::unordered_map<ipv4_endpoint, route> routes;
  std::set<data_centre_name> closed;  // New flows keep out of these.
  target_view targets;
  // Of all entry instances, by service.
  std::unordered_map<service_name, std::map<data_centre_name, requests_per_s>>
      demand;
};

// Which of the candidates gets a new flow; there is at least one.
using choose_target = std::function<const known_target*(
    instant now, const std::vector<const known_target*>& candidates)>;

class flow_router {
 public:
  // `state` must outlive the router.
  // `own` is the data centre whose callers come here.
  flow_router(const routing_state* state, data_centre_name own,
              std::uint64_t seed);

  forward_verdict Route(instant now, const flow_packet& packet);
  void Tick(instant now);

  // The baseline in tests: another choice than the one by load.
  void set_choice(choose_target choice) { choice_ = std::move(choice); }
  const demand_meter& demand() const { return demand_; }
  // From a connection's first packet to its caller's next one.
  const latency_histogram& answer_latency() const { return answer_latency_; }

 private:
  forward_verdict Open(instant now, const flow_packet& packet);
  forward_verdict Follow(instant now, const flow_packet& packet);
  const service_name& PickService(const route& wanted);
  const known_target* PickTarget(instant now, const service_name& service,
                                 target_tag unanswered);
  void KeepDataCentre(const service_name& service);
  const known_target* LeastLoaded(
      instant now, const std::vector<const known_target*>& candidates);

  const routing_state* state_;
  data_centre_name own_;
  std::mt19937_64 random_;
  demand_meter demand_;
  latency_histogram answer_latency_;
  target_load load_;
  open_attempts attempts_;
  choose_target choice_;
  // Reused by PickTarget.
  std::vector<const known_target*> candidates_;
  std::vector<const known_target*> silent_;
  std::vector<const known_target*> suspects_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_
