// Decides where each packet of a caller is forwarded. A packet of an open
// connection carries the tag of its target, so no flow table is kept and any
// instance can forward it. For an opening packet, a target of the route's
// service is selected.
#ifndef LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_
#define LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Common/instant.h"
#include "Common/latency_histogram.h"
#include "Forwarding/caller_shares.h"
#include "Forwarding/data_centre_reachability.h"
#include "Forwarding/demand.h"
#include "Forwarding/failed_openings.h"
#include "Forwarding/flow_cache.h"
#include "Forwarding/link_budget.h"
#include "Forwarding/open_attempts.h"
#include "Forwarding/overload.h"
#include "Forwarding/packet.h"
#include "Forwarding/repeated_requests.h"
#include "Forwarding/request_outcomes.h"
#include "Forwarding/request_tracker.h"
#include "Forwarding/response_time_estimator.h"
#include "Forwarding/target_load.h"
#include "Forwarding/unanswered_packets.h"
#include "Manifest/manifest.h"
#include "Targets/target_view.h"

namespace lavendertack {

// The state that routing decisions are based on. Its owner keeps it up to date.
struct routing_state {
  bool has_manifest = false;
  std::unordered_map<ipv4_endpoint, route> routes;
  std::set<data_centre_name> closed;  // Data centres that get no new flows.
  target_view targets;
  // Demand at all entry instances together, by service and data centre of the
  // callers.
  std::unordered_map<service_name, std::map<data_centre_name, requests_per_s>>
      demand;
  service_priorities priorities;  // PrioritiesOf `routes`.
};

// Selects the target of a new flow. `candidates` isn't empty.
using target_selector = std::function<const known_target*(
    instant now, const std::vector<const known_target*>& candidates)>;

// Returns the share of new flows to refuse, from 0 to 1, at a refusal level;
// see RefusedShare.
using refusal_policy =
    std::function<double(slot_pressure level, std::uint32_t priority,
                         const std::set<std::uint32_t>& priorities)>;

// Is called with the outcome of an opening packet that was forwarded at `sent`:
// the target has answered, or the caller has retransmitted it.
using opening_observer = std::function<void(instant now, target_tag target,
                                            instant sent, bool answered)>;

// A flow that can't go on, whose caller should get a reset.
struct lost_flow {
  flow_packet last_packet;
  forward_reason reason{};
};

// The data centres that have become unreachable, and the recent flows of their
// targets.
struct unreachable_flows {
  std::vector<unreachable_data_centre> data_centres;
  std::vector<lost_flow> flows;
};

// Routes the packets of one entry instance.
class flow_router {
 public:
  // `state` must outlive the router. The own data centre in `reachability` is
  // that of the callers that use this instance. `link_capacity` is the rate of
  // its network link; unlimited if empty.
  flow_router(const routing_state* state, reachability_settings reachability,
              std::uint64_t seed,
              std::optional<bytes_per_s> link_capacity = std::nullopt);

  // Decides what to do with one packet, and updates the observed load and
  // demand by it.
  forward_decision Route(instant now, const flow_packet& packet);
  // Expires old state. Call it several times within 250 ms: a longer gap
  // between two calls counts as a suspension of the process.
  void Tick(instant now);

  // Replaces the selection of the less loaded target; tests use it to get a
  // baseline.
  void set_target_selector(target_selector selector) {
    target_selector_ = std::move(selector);
  }
  // Replaces the refusal policy; tests use it to get a baseline without
  // refusals.
  void set_refusal_policy(refusal_policy policy) {
    refusal_policy_ = std::move(policy);
  }
  void set_opening_observer(opening_observer observer) {
    opening_observer_ = std::move(observer);
  }
  // Pressure on a service with `slots` slots by the demand at all entry
  // instances. 0 while its response time hasn't been measured.
  slot_pressure Pressure(instant now, const service_name& service,
                         double slots) const;
  // Refusal levels of the services with routes of different priorities.
  const std::unordered_map<service_name, refusal_level>& refusal_levels()
      const {
    return refusal_levels_;
  }
  // The same for the highest priority of each service.
  const std::unordered_map<service_name, refusal_level>&
  highest_refusal_levels() const {
    return highest_refusal_levels_;
  }
  // Callers' shares of the new connections that may be refused.
  const std::map<refusal_class, caller_shares>& callers() const {
    return callers_;
  }
  std::map<refusal_class, caller_shares>& callers() { return callers_; }
  // Sets the difference between the wall clock and the process clock. The
  // decision periods of callers follow the wall clock, so that all instances
  // refuse a caller in the same periods.
  void set_wall_clock_offset(microseconds offset) {
    wall_clock_offset_ = offset;
  }
  const demand_meter& demand() const { return demand_; }
  const link_budget& link() const { return link_; }
  // Data centres whose targets don't accept connections.
  const failed_openings& failing() const { return failed_openings_; }
  // Packets that targets didn't answer, to be reported to the control
  // instances.
  unanswered_packets& unanswered() { return unanswered_; }
  // Starts to observe the outcomes of requests.
  void ObserveOutcomes() { outcomes_.emplace(&state_->targets); }
  // Outcomes to be reported to the control instances; empty unless they are
  // observed.
  std::optional<request_outcomes>& outcomes() { return outcomes_; }
  const std::optional<request_outcomes>& outcomes() const { return outcomes_; }
  // The recent flows of the target if it is lost or replaced.
  std::vector<lost_flow> TakeLostFlows(instant now, const known_target& target);
  // A control instance of the data centre has sent an update.
  void RecordUpdate(instant now, const data_centre_name& data_centre) {
    reachability_.RecordUpdate(now, data_centre);
  }
  // A control instance tells when it received the last message from another
  // data centre; see data_centre_reachability.
  void RecordActivity(instant now, const data_centre_name& data_centre,
                      instant received, bool has_entries) {
    reachability_.RecordActivity(now, data_centre, received, has_entries);
  }
  const data_centre_reachability& reachability() const { return reachability_; }
  // Returns the same for the targets of all data centres that have become
  // unreachable since the last call.
  unreachable_flows TakeUnreachableFlows(instant now);
  // Time from the last opening packet of a connection to the caller's next
  // packet, which confirms that the target has accepted it.
  const latency_histogram& connect_latency() const { return connect_latency_; }

 private:
  // Resets the caller of a new connection, or drops the packet if there is no
  // room for the reset on the link: it would arrive too late.
  forward_decision Refuse(instant now, std::uint32_t priority,
                          const reset_caller& reset);
  // Selects a target for an opening packet, or refuses it.
  forward_decision PlaceFlow(instant now, const flow_packet& packet);
  // Forwards a packet of an open connection to the target of its tag.
  forward_decision ForwardFollowing(instant now, const flow_packet& packet);
  // Whether a packet with data of an open connection fits the link.
  bool FitsLink(instant now, const flow_packet& packet, std::uint32_t priority);
  // Updates the observations of the target by a packet of an open connection,
  // and returns what the packet shows.
  request_progress ObserveProgress(instant now, const flow_packet& packet,
                                   const known_target& target);
  // Records openings that their targets haven't accepted in time.
  void ObserveOverdue(instant now);
  // The caller's packet shows that the target with the tag has accepted its
  // connection. It needn't be the target of the last opening packet.
  void ObserveAccepted(instant now, const open_attempt& attempt,
                       target_tag tag);
  // Whether the target is lost, also as far as this instance has observed.
  bool IsLost(instant now, const known_target& target) const;
  // The target has left a packet unanswered.
  void RecordUnanswered(instant now, const known_target& target);
  // Appends the recent flows of the target to `lost`.
  void TakeFlowsOf(instant now, const known_target& target,
                   forward_reason reason, std::vector<lost_flow>* lost);
  // Whether new flows should go to targets in other data centres.
  bool IsSuspected(instant now, const data_centre_name& data_centre) const;
  // Draws a service at random, by the weights of the route's shares.
  const service_name& PickService(const route& matched_route);
  // Draws whether a target with a reduced weight is left out of the candidates
  // for one new flow. With few targets, the division of the load by the weight
  // alone wouldn't bound its share.
  bool IsSkipped(const known_target& target);
  // Sets `candidates_` and `open_slots_`. `unanswered` is the target that
  // didn't answer the previous attempt, or 0.
  void FindCandidates(instant now, const service_name& service,
                      target_tag unanswered);
  // Whether the new flow of `packet` is refused because of overload.
  bool IsRefused(instant now, const service_name& service,
                 std::uint32_t priority, slot_pressure pressure,
                 const flow_packet& packet);
  // The share of the new connections to the service on routes with `priority`
  // to refuse, at this pressure. `priorities` isn't empty.
  double ShareToRefuse(instant now, const service_name& service,
                       std::uint32_t priority, slot_pressure pressure,
                       const std::set<std::uint32_t>& priorities);
  // The part of the pressure that is due to requests of the highest priority.
  slot_pressure HighestPriorityPressure(instant now,
                                        const service_name& service,
                                        slot_pressure pressure) const;
  // Counts a request to the service on a route with `priority`.
  void ObserveDemand(instant now, const service_name& service,
                     std::uint32_t priority);
  caller_shares& CallersOf(const refusal_class& of);
  void SelectDataCentre(const service_name& service, slot_pressure pressure);
  const known_target* SelectLessLoaded(
      instant now, const std::vector<const known_target*>& candidates);

  const routing_state* state_;
  data_centre_name own_data_centre_;
  std::mt19937_64 random_;
  demand_meter demand_;
  demand_meter recent_demand_;          // Over a short window.
  demand_meter recent_highest_demand_;  // The same, highest priority only.
  std::unordered_map<service_name, refusal_level> refusal_levels_;
  std::unordered_map<service_name, refusal_level> highest_refusal_levels_;
  std::map<refusal_class, caller_shares> callers_;
  microseconds wall_clock_offset_{0};
  latency_histogram connect_latency_;
  target_load load_;
  link_budget link_;
  open_attempts attempts_;
  response_time_estimator response_times_;
  request_tracker requests_;
  // Requests that arrived while the link was nearly full.
  repeated_requests requests_for_link_;
  unanswered_packets unanswered_;
  data_centre_reachability reachability_;
  failed_openings failed_openings_;
  std::optional<request_outcomes> outcomes_;
  flow_cache flows_;
  instant last_tick_;
  target_selector target_selector_;
  refusal_policy refusal_policy_ = RefusedShare;
  opening_observer opening_observer_ = [](instant, target_tag, instant, bool) {
  };
  // Kept between calls of FindCandidates to avoid allocations.
  std::vector<const known_target*> candidates_;
  std::vector<const known_target*> not_reporting_;
  std::vector<const known_target*> suspects_;
  // Slots of all targets that accept new flows, including those that don't
  // report: the demand also includes that of unreachable data centres.
  double open_slots_ = 0;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_FLOW_ROUTER_H_
