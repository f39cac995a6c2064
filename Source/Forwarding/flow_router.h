// Where each packet of a caller goes. A packet of an open connection names its
// target itself, so no table of flows is kept and any instance can forward it;
// an opening packet is placed on a target of the route's service.
#ifndef LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_
#define LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Common/latency_histogram.h"
#include "Forwarding/answer_times.h"
#include "Forwarding/demand.h"
#include "Forwarding/open_attempts.h"
#include "Forwarding/overload.h"
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
  service_priorities priorities;  // Of `routes`.
};

// Which of the candidates gets a new flow; there is at least one.
using target_selector = std::function<const known_target*(
    instant now, const std::vector<const known_target*>& candidates)>;

// Part of the new flows that is refused; see RefusedPart.
using refusal_policy =
    std::function<double(slot_pressure pressure, std::uint32_t priority,
                         const std::set<std::uint32_t>& priorities)>;

class flow_router {
 public:
  // `state` must outlive the router.
  // `own` is the data centre whose callers come here.
  flow_router(const routing_state* state, data_centre_name own,
              std::uint64_t seed);

  forward_decision Route(instant now, const flow_packet& packet);
  void Tick(instant now);

  // The baseline in tests: another choice than the one by load.
  void set_target_selector(target_selector choice) {
    choice_ = std::move(choice);
  }
  // The baseline in tests: none is refused for load.
  void set_refusal_policy(refusal_policy refusal) {
    refusal_ = std::move(refusal);
  }
  // Of a service, over all entry instances. 0 while it isn't known.
  slot_pressure Pressure(instant now, const service_name& service,
                         double slots) const;
  // What is refused for load, of the services where something may be.
  const std::unordered_map<service_name, refusal_level>& refusal_levels()
      const {
    return refusals_;
  }
  const demand_meter& demand() const { return demand_; }
  // From a connection's first packet to its caller's next one.
  const latency_histogram& connect_latency() const { return answer_latency_; }

 private:
  forward_decision Open(instant now, const flow_packet& packet);
  forward_decision Follow(instant now, const flow_packet& packet);
  const service_name& PickService(const route& wanted);
  void FindCandidates(instant now, const service_name& service,
                      target_tag unanswered);
  // What is refused for load: the pressure that decided it.
  std::optional<slot_pressure> MustRefuse(instant now,
                                          const service_name& service,
                                          std::uint32_t priority);
  void KeepDataCentre(const service_name& service);
  const known_target* LeastLoaded(
      instant now, const std::vector<const known_target*>& candidates);

  const routing_state* state_;
  data_centre_name own_;
  std::mt19937_64 random_;
  demand_meter demand_;
  demand_meter last_demand_;  // Of the last moment only.
  std::unordered_map<service_name, refusal_level> refusals_;
  latency_histogram answer_latency_;
  target_load load_;
  open_attempts attempts_;
  answer_times answer_times_;
  instant last_tick_;
  target_selector choice_;
  refusal_policy refusal_ = RefusedPart;
  // Reused by FindCandidates.
  std::vector<const known_target*> candidates_;
  std::vector<const known_target*> silent_;
  std::vector<const known_target*> suspects_;
  // Of all targets that may be open, silent ones too: the demand that is told
  // includes that of data centres that are out of touch.
  double open_slots_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_
