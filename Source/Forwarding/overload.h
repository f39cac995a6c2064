// Which new connections are refused because their service is overloaded.
//
// Answers to the load pattern of more requests than the targets of a service
// can work on: without it the targets' queues fill, and urgent work waits and
// is turned away together with patient work. The most patient route is refused
// first, at its first packet; the most urgent one never is, as a target with a
// full queue refuses best itself.
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

// Requests at work or waiting, for each slot of a service's targets. Below 1
// there are free slots.
using slot_pressure = double;

// By Little's law. `typical` is the time of a request at its target.
slot_pressure PressureOf(requests_per_s demand, microseconds typical,
                         double slots);

// The priorities of the routes that lead to each service.
using service_priorities =
    std::unordered_map<service_name, std::set<std::uint32_t>>;
service_priorities PrioritiesOf(
    const std::unordered_map<ipv4_endpoint, route>& routes);

// How much is refused: 1 is all of the most patient route, 2 all of the next
// more urgent one, too. Moves until the pressure is what it should be, so that
// what is refused settles where the targets are busy and their queues short.
class refusal_level {
 public:
  // Moves the level by the time since the last call. `ranks` is the number of
  // routes' priorities that may be refused.
  double Move(instant now, slot_pressure pressure, std::size_t ranks);
  double value() const { return level_; }

 private:
  double level_ = 0;
  std::optional<instant> moved_;
};

// Part of the new connections of a route with `priority` that is refused, from
// 0 to 1. `priorities` are those of all routes to the service.
double RefusedPart(double level, std::uint32_t priority,
                   const std::set<std::uint32_t>& priorities);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_OVERLOAD_H_
