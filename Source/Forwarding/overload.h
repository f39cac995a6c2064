// Load shedding: decides which new connections to refuse because their service
// is overloaded.
//
// Without it, a service that gets more requests than its targets can work on
// fills the targets' queues, and requests of high priority wait and are refused
// together with those of low priority. Connections of the route with the lowest
// priority are refused first, at their first packet. Those of the highest
// priority are refused only if their own requests are more than the targets can
// work on: each request that a full target refuses has used the link, and its
// caller sends it again.
#ifndef LAVENDERTACK_FORWARDING_OVERLOAD_H_
#define LAVENDERTACK_FORWARDING_OVERLOAD_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "Common/ipv4.h"
#include "Common/strong_type.h"
#include "Forwarding/demand.h"
#include "Manifest/manifest.h"

namespace lavendertack {

// Number of requests in progress or queued, per slot of a service's targets.
// Below 1 there are free slots.
using slot_pressure = double;

// Pressure by Little's law. `response_time` is the time that a request spends
// at its target, including the queue. 0 without slots.
slot_pressure PressureOf(requests_per_s demand, microseconds response_time,
                         double slots);

// For each service, the priorities of the routes to it. A lower number is a
// higher priority.
using service_priorities =
    std::unordered_map<service_name, std::set<std::uint32_t>>;
// Collects the priorities; a route counts only for the services to which it has
// a share with a weight above 0.
service_priorities PrioritiesOf(
    const std::unordered_map<ipv4_endpoint, route>& routes);

// Pressure at which the refusal of connections of lower priorities settles, and
// the pressure of the highest priority alone at which its own does: most of the
// targets' queues are in use, and requests are still answered in time.
constexpr slot_pressure kLowerPrioritySetpoint = 1.8;
constexpr slot_pressure kHighestPrioritySetpoint = 3.0;

// Integral controller for the refusal of new connections of one service. At
// level 1 all connections of the lowest priority are refused, at level 2 also
// all of the next higher priority. The level changes until the pressure reaches
// its setpoint, where the targets are busy and their queues short.
class refusal_level {
 public:
  explicit refusal_level(slot_pressure setpoint = kLowerPrioritySetpoint)
      : setpoint_(setpoint) {}

  // Changes the level according to the pressure and the time since the last
  // call, and returns it. `refusable_priorities` is the number of priorities
  // that may be refused, the maximum of the level.
  double Update(instant now, slot_pressure pressure,
                std::size_t refusable_priorities);
  double value() const { return level_; }

 private:
  slot_pressure setpoint_;
  double level_ = 0;
  std::optional<instant> updated_;
};

// Share of the new connections of a route with `priority` that is refused, from
// 0 to 1. `level` is the value of the refusal level, and `priorities` are those
// of all routes to the service.
double RefusedShare(double level, std::uint32_t priority,
                    const std::set<std::uint32_t>& priorities);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_OVERLOAD_H_
