// Demand for each service by data centre, and which part of a data centre's
// demand its own targets should serve.
//
// Answers two load patterns: a data centre that is cut off, where connections
// within it go on, and uneven callers, where the busier data centre's targets
// must not fill up while others idle.
#ifndef LAVENDERTACK_FORWARDING_DEMAND_H_
#define LAVENDERTACK_FORWARDING_DEMAND_H_

#include <map>
#include <unordered_map>

#include "Common/instant.h"
#include "Common/strong_type.h"
#include "Forwarding/decayed_count.h"

namespace lavendertack {

using requests_per_s = double;

// A demand below it counts as none, and isn't worth telling.
constexpr requests_per_s kMinDemand = 0.05;

// Requests a second for each service, over the last seconds.
class demand_meter {
 public:
  explicit demand_meter(milliseconds window) : window_(window) {}
  void Count(instant now, const service_name& service);
  requests_per_s Rate(instant now, const service_name& service) const;
  std::map<service_name, requests_per_s> Rates(instant now) const;

 private:
  milliseconds window_;
  std::unordered_map<service_name, decayed_count> counts_;
};

// One data centre's part in a service.
struct data_centre_load {
  double slots = 0;           // Of targets that can take new flows.
  requests_per_s demand = 0;  // Of its callers.
};
using load_by_data_centre = std::map<data_centre_name, data_centre_load>;

// Where new flows of the callers in `own` go: weights by data centre, which
// add up to 1. Its own targets take all up to `slack` times the mean load of a
// slot; the rest goes to the data centres that stay below it. Empty when there
// are no slots at all.
std::map<data_centre_name, double> SplitDemand(const data_centre_name& own,
                                               const load_by_data_centre& loads,
                                               double slack);

}  // namespace lavendertack

#endif  // LAVENDERTACK_FORWARDING_DEMAND_H_
